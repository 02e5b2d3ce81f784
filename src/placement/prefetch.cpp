/** @file prefetch.cpp Uses spare loads of the weight store for models that no target has. */
#include "placement/planner_internal.h"

#include "state/view_func.h"

namespace bilberry {

namespace {

/** @return The most recently used model that no target holds or has cached, or null. */
const Model *modelToPrefetch(const Pass &pass)
{
    const Model *best = nullptr;
    TimePoint bestUse;
    for (const auto &[id, model] : pass.input.view.models) {
        const auto counts = pass.counts.find({id, {}});
        const bool placed = counts != pass.counts.end() && counts->second.present > 0;
        if (placed || pass.cachedTargets.contains(id)
            || pass.planner.variantBackoffUntil.contains({id, {}}))
            continue;
        const auto history = pass.planner.history.find({id, {}});
        const TimePoint lastUse
            = history == pass.planner.history.end() ? TimePoint{} : history->second.lastUse;
        if (best == nullptr || lastUse > bestUse) {
            best = &model;
            bestUse = lastUse;
        }
    }
    return best;
}

/**
 * @return An evictable base model of the target that has no other replica and whose checkpoint the
 * target has cached, so that it can be reloaded without the weight store.
 */
std::optional<std::size_t> cachedVictim(Pass &pass, TargetFacts &target)
{
    for (const std::size_t i : evictionCandidates(pass, target)) {
        const Replica &replica = pass.replicas[i].current();
        const bool isOnlyReplica = pass.counts.at(replica.variant).present == 1;
        const bool cached
            = tierOf(target.announcement(), replica.variant.model) != CacheTier::Remote;
        if (replica.variant.adapter.value.empty() && isOnlyReplica && cached)
            return i;
    }
    return std::nullopt;
}

} // namespace

void prefetch(Pass &pass)
{
    // Without any reported use it is not known which models are idle.
    if (!storeHasCapacity(pass) || pass.planner.history.empty())
        return;
    const Model *model = modelToPrefetch(pass);
    if (model == nullptr)
        return;
    Need need;
    need.variant = {model->id, {}};
    need.version = model->version;
    need.service = model->service;
    need.memoryMb = model->memoryMb;
    need.isFirstReplica = true;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < pass.targets.size(); ++i) {
        if (canTakeOrder(pass, pass.targets[i])
            && pass.targets[i].announcement().service == need.service)
            all.push_back(i);
    }
    if (const std::optional<std::size_t> target = chooseTarget(pass, need, all)) {
        beginLoad(pass, need, *target);
        return;
    }
    // One eviction per pass frees memory fast enough to keep the weight store busy.
    for (const std::size_t i : all) {
        if (const std::optional<std::size_t> victim = cachedVictim(pass, pass.targets[i])) {
            beginUnload(pass, *victim);
            return;
        }
    }
}

} // namespace bilberry
