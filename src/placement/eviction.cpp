/** @file eviction.cpp Selects idle replicas to evict and decides unloads. */
#include "placement/planner_internal.h"

#include "state/view_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** How long memory freed for a variant is withheld from others; an unload usually takes less. */
constexpr Duration MEMORY_RESERVATION_TIME = 2s;

/** @return Mean idle gap between uses of a variant; one hour if no gap was recorded. */
Duration meanIdleGap(const VariantHistory &history)
{
    if (history.idleGaps.empty())
        return std::chrono::hours(1);
    Duration sum{};
    for (const Duration gap : history.idleGaps)
        sum += gap;
    return sum / static_cast<std::int64_t>(history.idleGaps.size());
}

/** @return Whether the target holds an adapter of the model. */
bool hasAdapterOf(const Pass &pass, const TargetFacts &target, const ModelId &model)
{
    return std::any_of(target.replicas.begin(), target.replicas.end(), [&](std::size_t i) {
        const Variant &variant = pass.replicas[i].current().variant;
        return variant.model == model && !variant.adapter.value.empty();
    });
}

/** @return Expected time until the replica is needed again, or nothing if the replica must not be
 * evicted. */
std::optional<Duration> expectedIdleTime(const Pass &pass, const TargetFacts &target,
                                         const Replica &replica)
{
    if (replica.state != ReplicaState::Ready)
        return std::nullopt;
    const auto history = pass.planner.history.find(replica.variant);
    const bool known = history != pass.planner.history.end();
    if (known && history->second.waiting + history->second.running + history->second.returning > 0)
        return std::nullopt;
    const TimePoint lastUse
        = known ? std::max(history->second.lastUse, pass.planner.since) : pass.planner.since;
    if (pass.now - lastUse < pass.planner.tuning.evictionIdleTime)
        return std::nullopt;
    const bool isModel = replica.variant.adapter.value.empty();
    const auto model = pass.input.view.models.find(replica.variant.model);
    const VariantCounts &counts = pass.counts.at(replica.variant);
    const bool pinned = model != pass.input.view.models.end() && isModel
        && counts.present <= model->second.minReplicas;
    if (pinned || (isModel && hasAdapterOf(pass, target, replica.variant.model)))
        return std::nullopt;
    // Other ready replicas can serve the variant, or its use is unknown: rank the replica as one
    // that is not needed for a long time.
    if (counts.ready > 1 || !known)
        return std::chrono::hours(3);
    return std::max(meanIdleGap(history->second), pass.now - lastUse);
}

/**
 * @return Whether the target holds a model whose adapters are in use. A target accepts no adapter
 * orders while it loads a model, so such a target is the last choice for a model load.
 */
bool hasActiveAdapters(const Pass &pass, const TargetFacts &target)
{
    return std::any_of(target.replicas.begin(), target.replicas.end(), [&](std::size_t i) {
        const Variant &variant = pass.replicas[i].current().variant;
        const auto active = pass.planner.activeVariants.upper_bound({variant.model, {}});
        return variant.adapter.value.empty() && active != pass.planner.activeVariants.end()
            && active->model == variant.model;
    });
}

/**
 * @return Replicas to unload so that @p need fits on the target; empty if pending unloads suffice;
 * nothing if the need cannot fit.
 */
std::optional<std::vector<std::size_t>> selectVictims(Pass &pass, TargetFacts &target,
                                                      const Need &need)
{
    std::int64_t freeMb = target.freeMb;
    int freeAdapters = need.isModel() ? 1 : target.freeAdapters;
    // Memory and adapter slots that pending unloads will free count as free, so that no further
    // replica is evicted for them.
    for (const std::size_t i : target.replicas) {
        const Replica &replica = pass.replicas[i].current();
        if (replica.state != ReplicaState::Unloading)
            continue;
        freeMb += memoryOf(pass.input.view, replica);
        freeAdapters += replica.variant.adapter.value.empty() ? 0 : 1;
    }
    std::vector<std::size_t> chosen;
    for (const std::size_t victim : evictionCandidates(pass, target)) {
        if (freeMb >= need.memoryMb && freeAdapters >= 1)
            break;
        const Replica &replica = pass.replicas[victim].current();
        const bool isAdapter = !replica.variant.adapter.value.empty();
        if (replica.variant.model == need.variant.model && (need.isModel() || !isAdapter))
            continue;
        freeMb += memoryOf(pass.input.view, replica);
        freeAdapters += isAdapter ? 1 : 0;
        chosen.push_back(victim);
    }
    if (freeMb < need.memoryMb || freeAdapters < 1)
        return std::nullopt;
    return chosen;
}

} // namespace

const std::vector<std::size_t> &evictionCandidates(const Pass &pass, TargetFacts &target)
{
    if (target.evictable)
        return *target.evictable;
    std::vector<std::pair<Duration, std::size_t>> idle;
    for (const std::size_t i : target.replicas) {
        if (const auto idleTime = expectedIdleTime(pass, target, pass.replicas[i].current()))
            idle.emplace_back(-*idleTime, i);
    }
    std::sort(idle.begin(), idle.end());
    target.evictable.emplace();
    for (const auto &[idleTime, i] : idle)
        target.evictable->push_back(i);
    return *target.evictable;
}

bool evictFor(Pass &pass, const Need &need, const std::vector<std::size_t> &candidates,
              bool onlyCached)
{
    std::optional<std::vector<std::size_t>> best;
    const TargetFacts *bestTarget = nullptr;
    std::tuple<bool, int, std::size_t> bestRank;
    for (const std::size_t i : candidates) {
        TargetFacts &target = pass.targets[i];
        const CacheTier tier = tierOf(target.announcement(), need.variant.model);
        if (!canTakeOrder(pass, target) || hasVariant(pass, target, need.variant)
            || target.announcement().service != need.service || !fitsVersion(target, need)
            || (need.isModel() && !mayTakeModel(pass, target, need.variant))
            || (onlyCached && tier == CacheTier::Remote))
            continue;
        std::optional<std::vector<std::size_t>> chosen = selectVictims(pass, target, need);
        if (!chosen)
            continue;
        if (chosen->empty())
            return true;
        const std::tuple<bool, int, std::size_t> rank{need.isModel()
                                                          && hasActiveAdapters(pass, target),
                                                      static_cast<int>(tier), chosen->size()};
        if (!best || rank < bestRank) {
            best = std::move(chosen);
            bestTarget = &target;
            bestRank = rank;
        }
    }
    if (!best)
        return false;
    if (need.isModel())
        pass.planner.memoryReservations[bestTarget->announcement().id]
            = {need.variant, pass.now + MEMORY_RESERVATION_TIME};
    for (const std::size_t victim : *best)
        beginUnload(pass, victim);
    return true;
}

std::int64_t obtainableMb(Pass &pass, TargetFacts &target)
{
    std::int64_t sum = target.freeMb;
    for (const std::size_t i : target.replicas) {
        const Replica &replica = pass.replicas[i].current();
        if (replica.state == ReplicaState::Unloading)
            sum += memoryOf(pass.input.view, replica);
    }
    for (const std::size_t i : evictionCandidates(pass, target))
        sum += memoryOf(pass.input.view, pass.replicas[i].current());
    return sum;
}

void beginUnload(Pass &pass, std::size_t replica)
{
    ReplicaFacts &facts = pass.replicas[replica];
    facts.changed = facts.current();
    facts.changed->state = ReplicaState::Unloading;
    facts.changed->fencing = FencingToken(++pass.highestFencing.value);
    TargetFacts &target = pass.targets[pass.targetIndex.at(facts.changed->target)];
    ++target.orders;
    target.evictable.reset();
    VariantCounts &counts = pass.counts[facts.changed->variant];
    --counts.present;
    --counts.ready;
    pass.decision.put.push_back(*facts.changed);
}

void unloadIdle(Pass &pass)
{
    constexpr std::size_t TARGETS_PER_PASS = 64; // A larger fleet is scanned over several passes.
    const std::size_t count = std::min(pass.targets.size(), TARGETS_PER_PASS);
    for (std::size_t n = 0; n < count; ++n) {
        TargetFacts &target = pass.targets[++pass.planner.idleScanPosition % pass.targets.size()];
        if (!canTakeOrder(pass, target))
            continue;
        const std::vector<std::size_t> idle = evictionCandidates(pass, target);
        for (const std::size_t i : idle) {
            const Replica &replica = pass.replicas[i].current();
            const bool withdrawn = !pass.input.view.models.contains(replica.variant.model);
            const auto history = pass.planner.history.find(replica.variant);
            const TimePoint lastUse = history == pass.planner.history.end()
                ? pass.planner.since
                : std::max(history->second.lastUse, pass.planner.since);
            const bool windowExpired
                = pass.now - lastUse >= keepWarmWindow(pass.planner, replica.variant);
            if ((withdrawn || windowExpired) && canTakeOrder(pass, target))
                beginUnload(pass, i);
        }
    }
}

} // namespace bilberry
