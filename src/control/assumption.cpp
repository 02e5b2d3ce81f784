/** @file assumption.cpp What targets are taken to hold before they announce it. */
#include "control/assumption_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** An adapter goes with its model, whatever was ordered of it before. */
void amend(TargetAnnouncement &announcement, const AdapterAssumption &item)
{
    std::vector<LoadedVariant> &loaded = announcement.loaded;
    const auto find = [&](const Variant &variant) {
        return std::find_if(loaded.begin(), loaded.end(),
                            [&](const LoadedVariant &l) { return l.variant == variant; });
    };
    const auto found = find(item.variant);
    const bool holdsModel = find({item.variant.model, {}}) != loaded.end();
    if (item.loaded && holdsModel && found == loaded.end())
        loaded.push_back({item.variant, item.version, 0});
    else if (!item.loaded && found != loaded.end())
        loaded.erase(found);
}

} // namespace

void assume(Leadership &leadership, AdapterAssumption assumption)
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
        if (item.applied && now < item.at + ASSUMPTION_HOLD && item.target == announcement.id
            && item.start == announcement.start)
            amend(announcement, item);
    }
    return announcement;
}

void applyAssumptions(Leadership &leadership, TimePoint now)
{
    std::erase_if(leadership.assumptions,
                  [&](const AdapterAssumption &item) { return now >= item.at + ASSUMPTION_HOLD; });
    for (AdapterAssumption &item : leadership.assumptions) {
        if (item.applied || now < item.at)
            continue;
        item.applied = true;
        const auto entry = leadership.registry.targets.find(item.target);
        if (entry == leadership.registry.targets.end()
            || entry->second.announcement.start != item.start)
            continue;
        amend(entry->second.announcement, item);
        entry->second.modified = Version(++leadership.registry.version.value);
        leadership.placementDue = now;
    }
}

} // namespace bilberry
