/** @file assumption.cpp Expected adapter changes on targets that have accepted orders. */
#include "control/assumption_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/**
 * Adds or removes the assumed adapter. An adapter is added only while its model is loaded, since
 * unloading a model also unloads its adapters.
 */
void applyAssumption(TargetAnnouncement &announcement, const AdapterAssumption &item)
{
    std::vector<LoadedVariant> &loaded = announcement.loaded;
    const auto find = [&](const Variant &variant) {
        return std::find_if(loaded.begin(), loaded.end(),
                            [&](const LoadedVariant &l) { return l.variant == variant; });
    };
    const auto found = find(item.variant);
    const bool modelLoaded = find({item.variant.model, {}}) != loaded.end();
    if (item.loaded && modelLoaded && found == loaded.end())
        loaded.push_back({item.variant, item.version, 0});
    else if (!item.loaded && found != loaded.end())
        loaded.erase(found);
}

} // namespace

void addAssumption(Leadership &leadership, AdapterAssumption assumption)
{
    std::erase_if(leadership.assumptions, [&](const AdapterAssumption &item) {
        return item.target == assumption.target && item.variant == assumption.variant;
    });
    leadership.assumptions.push_back(std::move(assumption));
}

TargetAnnouncement withAssumptions(const Leadership &leadership, TargetAnnouncement announcement,
                                   TimePoint now)
{
    for (const AdapterAssumption &item : leadership.assumptions) {
        if (item.applied && now < item.effectiveAt + ASSUMPTION_LIFETIME
            && item.target == announcement.id && item.start == announcement.start)
            applyAssumption(announcement, item);
    }
    return announcement;
}

void applyAssumptions(Leadership &leadership, TimePoint now)
{
    std::erase_if(leadership.assumptions, [&](const AdapterAssumption &item) {
        return now >= item.effectiveAt + ASSUMPTION_LIFETIME;
    });
    for (AdapterAssumption &item : leadership.assumptions) {
        if (item.applied || now < item.effectiveAt)
            continue;
        item.applied = true;
        const auto entry = leadership.registry.targets.find(item.target);
        if (entry == leadership.registry.targets.end()
            || entry->second.announcement.start != item.start)
            continue;
        applyAssumption(entry->second.announcement, item);
        entry->second.modified = Version(++leadership.registry.version.value);
        leadership.placementDue = now;
    }
}

} // namespace bilberry
