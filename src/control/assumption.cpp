/** @file assumption.cpp Known changes on targets whose later announcements may not show them. */
#include "control/assumption_func.h"

#include "target/registry_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/**
 * Adds or removes the assumed variant. An adapter is added only while its model is loaded, since
 * unloading a model also unloads its adapters.
 */
void applyAssumption(TargetAnnouncement &announcement, const VariantAssumption &item)
{
    std::vector<LoadedVariant> &loaded = announcement.loaded;
    const auto find = [&](const Variant &variant) {
        return std::find_if(loaded.begin(), loaded.end(),
                            [&](const LoadedVariant &l) { return l.variant == variant; });
    };
    const auto found = find(item.variant);
    const bool isModel = item.variant.adapter.value.empty();
    const bool canBeLoaded = isModel || find({item.variant.model, {}}) != loaded.end();
    if (item.loaded && canBeLoaded && found == loaded.end())
        loaded.push_back({item.variant, item.version, 0});
    else if (!item.loaded && found != loaded.end())
        loaded.erase(found);
}

/** @return Whether @p loaded contains the variant. */
bool contains(const std::vector<LoadedVariant> &loaded, const Variant &variant)
{
    return std::any_of(loaded.begin(), loaded.end(),
                       [&](const LoadedVariant &item) { return item.variant == variant; });
}

} // namespace

void addAssumption(Leadership &leadership, VariantAssumption assumption)
{
    dropAssumption(leadership, assumption.target, assumption.variant);
    leadership.assumptions.push_back(std::move(assumption));
}

void dropAssumption(Leadership &leadership, const TargetId &target, const Variant &variant)
{
    std::erase_if(leadership.assumptions, [&](const VariantAssumption &item) {
        return item.target == target && item.variant == variant;
    });
}

void assumeInventory(Leadership &leadership, const TargetId &target, Incarnation start,
                     const std::vector<LoadedVariant> &held, TimePoint now)
{
    const auto entry = leadership.registry.targets.find(target);
    if (entry == leadership.registry.targets.end() || entry->second.announcement.start != start)
        return;
    const std::vector<LoadedVariant> &announced = entry->second.announcement.loaded;
    std::vector<VariantAssumption> differences;
    // Models come before their adapters, as an adapter is added only while its model is loaded.
    for (const LoadedVariant &item : held) {
        if (!contains(announced, item.variant))
            differences.push_back({now, target, start, item.variant, item.version, true});
    }
    for (const LoadedVariant &item : announced) {
        if (!contains(held, item.variant))
            differences.push_back({now, target, start, item.variant, item.version, false});
    }
    std::stable_sort(differences.begin(), differences.end(),
                     [](const VariantAssumption &a, const VariantAssumption &b) {
                         return a.variant.adapter.value.empty() && !b.variant.adapter.value.empty();
                     });
    for (VariantAssumption &difference : differences)
        addAssumption(leadership, std::move(difference));
    applyAssumptions(leadership, now);
}

TargetAnnouncement withAssumptions(const Leadership &leadership, TargetAnnouncement announcement,
                                   TimePoint now)
{
    for (const VariantAssumption &item : leadership.assumptions) {
        if (item.applied && now < item.effectiveAt + ASSUMPTION_LIFETIME
            && item.target == announcement.id && item.start == announcement.start)
            applyAssumption(announcement, item);
    }
    return announcement;
}

void applyAssumptions(Leadership &leadership, TimePoint now)
{
    std::erase_if(leadership.assumptions, [&](const VariantAssumption &item) {
        return now >= item.effectiveAt + ASSUMPTION_LIFETIME;
    });
    for (VariantAssumption &item : leadership.assumptions) {
        if (item.applied || now < item.effectiveAt)
            continue;
        item.applied = true;
        const auto entry = leadership.registry.targets.find(item.target);
        if (entry == leadership.registry.targets.end()
            || entry->second.announcement.start != item.start)
            continue;
        applyAssumption(entry->second.announcement, item);
        markModified(leadership.registry, entry->second);
        leadership.placementDue = now;
    }
}

} // namespace bilberry
