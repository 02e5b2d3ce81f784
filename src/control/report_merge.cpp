/** @file report_merge.cpp Merges two reports of a host of which the leader decides only one. */
#include "control/report_merge_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** Puts the items of @p earlier before those of @p later. */
template <class Item> void prepend(const std::vector<Item> &earlier, std::vector<Item> &later)
{
    later.insert(later.begin(), earlier.begin(), earlier.end());
}

/** Adds the earlier requests of a model or an adapter, which each report counts anew. */
void addArrived(const VariantUse &earlier, std::vector<VariantUse> &later)
{
    if (earlier.arrived == 0)
        return;
    const auto same = std::find_if(later.begin(), later.end(), [&](const VariantUse &use) {
        return use.variant == earlier.variant;
    });
    if (same != later.end()) {
        same->arrived += earlier.arrived;
        return;
    }
    VariantUse use;
    use.variant = earlier.variant;
    use.arrived = earlier.arrived;
    later.push_back(std::move(use));
}

/** Adds the targets heard before, unless the later report says more about them. */
void addAlive(const HostReport &earlier, HostReport &later)
{
    for (const auto &item : earlier.alive) {
        const bool announced = std::any_of(
            later.targets.begin(), later.targets.end(),
            [&](const TargetAnnouncement &target) { return target.id == item.first; });
        if (!announced && std::count(later.alive.begin(), later.alive.end(), item) == 0)
            later.alive.push_back(item);
    }
}

} // namespace

void mergeIntoLater(const HostReport &earlier, HostReport &later)
{
    prepend(earlier.targetsLeft, later.targetsLeft);
    prepend(earlier.suspicions, later.suspicions);
    prepend(earlier.cleared, later.cleared);
    addAlive(earlier, later);
    for (const VariantUse &use : earlier.variants)
        addArrived(use, later.variants);
}

} // namespace bilberry
