/** @file candidate.cpp Selects targets for new replicas and idle replicas to evict. */
#include "placement/planner_internal.h"
#include "placement/store_pace_func.h"

#include "state/view_func.h"

#include <algorithm>
#include <iterator>

namespace bilberry {

namespace {

/**
 * Limits the duration of a pass. After this many searches, a need gets a target with enough free
 * memory or waits for the next pass.
 */
constexpr std::size_t EVICTION_SEARCHES_PER_PASS = 8;
/** How long memory freed for a variant is withheld from others; an unload usually takes less. */
constexpr Duration MEMORY_RESERVATION_TIME = 2s;
constexpr int MAX_CONCURRENT_FENCED_ORDERS = 4; ///< At one target that checks fencing tokens.

/**
 * @return Whether a new order may be decided for the target: it serves, has fewer pending orders
 * than its limit (one without fencing), is not in back-off and, without fencing, ordersAllowedFrom
 * has passed.
 */
bool canTakeOrder(const Pass &pass, const TargetFacts &target)
{
    if (!target.serving || target.orders >= (target.fenced ? MAX_CONCURRENT_FENCED_ORDERS : 1))
        return false;
    const auto refused = pass.planner.targetBackoffUntil.find(target.announcement().id);
    if (refused != pass.planner.targetBackoffUntil.end() && pass.now < refused->second)
        return false;
    return target.fenced || pass.now >= pass.planner.ordersAllowedFrom;
}

/** @return Whether memory on the target is reserved for a variant other than @p variant. */
bool isReservedForOther(const Pass &pass, const TargetFacts &target, const Variant &variant)
{
    const auto reservation = pass.planner.memoryReservations.find(target.announcement().id);
    return reservation != pass.planner.memoryReservations.end()
        && pass.now < reservation->second.until && reservation->second.variant != variant;
}

/** @return Whether the model may be loaded on the target, if it fits: the target does not limit its
 * request rate, and no memory is reserved for another model. */
bool mayTakeModel(const Pass &pass, const TargetFacts &target, const Variant &model)
{
    return !target.entry->requestRate && !isReservedForOther(pass, target, model);
}

/** @return Whether the need may be met at the target's software version. */
bool fitsVersion(const TargetFacts &target, const Need &need)
{
    return !need.softwareVersion || target.announcement().softwareVersion == *need.softwareVersion;
}

/** @return Whether a replica of the variant is on the target or decided for it, in any state. */
bool hasVariant(const Pass &pass, const TargetFacts &target, const Variant &variant)
{
    return std::any_of(target.replicas.begin(), target.replicas.end(), [&](std::size_t i) {
        return pass.replicas[i].current().variant == variant;
    });
}

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
 * @return Idle replicas of the target that may be evicted, the one with the longest expected idle
 * time first. The result is cached in the target until its replicas change.
 */
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

/** Decides to load @p need on a target, and charges the load to limits and accounts. */
void beginLoad(Pass &pass, const Need &need, std::size_t targetIndex)
{
    TargetFacts &target = pass.targets[targetIndex];
    Replica replica;
    replica.variant = need.variant;
    replica.target = target.announcement().id;
    replica.start = target.announcement().start;
    replica.fencing = FencingToken(++pass.highestFencing.value);
    replica.version = need.version;
    replica.memoryMb = need.memoryMb;
    pass.newIds.push_back(replicaId(replica.target, need.variant));
    const auto reservation = pass.planner.memoryReservations.find(replica.target);
    if (reservation != pass.planner.memoryReservations.end()
        && reservation->second.variant == need.variant)
        pass.planner.memoryReservations.erase(reservation);
    target.replicas.push_back(pass.replicas.size());
    target.evictable.reset();
    target.freeMb -= need.memoryMb;
    target.freeAdapters -= need.isModel() ? 0 : 1;
    ++target.orders;
    pass.replicas.push_back({&pass.newIds.back(), nullptr, replica, false});
    ++pass.counts[need.variant].present;
    pass.decision.put.push_back(replica);
    if (!need.isModel()) {
        ++pass.adapterLoads;
    } else if (tierOf(target.announcement(), need.variant.model) == CacheTier::Remote) {
        ++pass.storeLoads;
        pass.planner.storeLoadTokens -= 1;
    } else {
        pass.planner.loadsFromCache.insert(pass.newIds.back());
    }
    for (const AccountId &account : need.accounts)
        pass.planner.loadChargeByAccount[account] += 1;
}

/** @return Whether another load from the weight store may begin under both store limits. */
bool storeHasCapacity(const Pass &pass)
{
    const PlannerTuning &tuning = pass.planner.tuning;
    const int most = tuning.maxConcurrentStoreLoads;
    if (pass.storeLoads >= most || pass.planner.storeLoadTokens < 1)
        return false;
    if (!tuning.forecastsLoads)
        return true;
    const StorePace &pace = pass.planner.storePace;
    return pass.storeLoads - countEndingLoads(pace, most, pass.now) < storeParallelism(pace, most);
}

/**
 * @return Targets considered for a load of @p need: for an adapter those with its base model ready,
 * for a model all of @p all or only those with its checkpoint cached. None if a load limit is
 * reached; memory is not checked here.
 */
const std::vector<std::size_t> &candidatesFor(const Pass &pass, const Need &need,
                                              const std::vector<std::size_t> &all)
{
    static const std::vector<std::size_t> none;
    const auto &index = need.isModel() ? pass.cachedTargets : pass.readyTargets;
    if (!need.isModel() && pass.adapterLoads >= pass.planner.tuning.maxConcurrentAdapterLoads)
        return none;
    // Waiting for a target with a cached checkpoint takes less time than a load from the store.
    const auto cached = index.find(need.variant.model);
    const bool anyCached = cached != index.end()
        && std::any_of(cached->second.begin(), cached->second.end(),
                       [&](std::size_t i) { return fitsVersion(pass.targets[i], need); });
    const bool prefersCachedTarget = pass.planner.tuning.prioritizesByDemand && anyCached;
    if (need.isModel() && storeHasCapacity(pass) && !prefersCachedTarget)
        return all;
    const auto found = index.find(need.variant.model);
    return found == index.end() ? none : found->second;
}

/** @return Number of serving targets in the zone that have a replica of the variant. */
int replicasInZone(const Pass &pass, const ZoneId &zone, const Variant &variant)
{
    int count = 0;
    if (!pass.counts.contains(variant))
        return 0;
    for (const TargetFacts &target : pass.targets)
        count += target.serving && target.announcement().zone == zone
                && hasVariant(pass, target, variant)
            ? 1
            : 0;
    return count;
}

/**
 * @return The target to load @p need on now, if one has enough free memory. Prefers the fastest
 * cache tier, then the zone with the fewest replicas of the variant, then the most free memory.
 */
std::optional<std::size_t> chooseTarget(const Pass &pass, const Need &need,
                                        const std::vector<std::size_t> &candidates)
{
    std::optional<std::size_t> best;
    std::tuple<int, int, std::int64_t> bestRank;
    std::map<ZoneId, int> zones; // Replicas per zone; unused for the first replica.
    for (const std::size_t i : candidates) {
        const TargetFacts &target = pass.targets[i];
        if (target.freeMb < need.memoryMb || !canTakeOrder(pass, target)
            || target.announcement().service != need.service || !fitsVersion(target, need)
            || (!need.isModel() && target.freeAdapters < 1)
            || (need.isModel() && !mayTakeModel(pass, target, need.variant))
            || hasVariant(pass, target, need.variant))
            continue;
        int inZone = 0;
        if (!need.isFirstReplica) {
            const auto [zone, added] = zones.try_emplace(target.announcement().zone, 0);
            if (added)
                zone->second = replicasInZone(pass, zone->first, need.variant);
            inZone = zone->second;
        }
        const std::tuple<int, int, std::int64_t> rank{
            static_cast<int>(tierOf(target.announcement(), need.variant.model)), inZone,
            -target.freeMb};
        if (!best || rank < bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
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

/**
 * Decides to unload idle replicas on one target so that @p need fits there. Prefers, for a model,
 * targets without active adapters, then the fastest cache tier, then the fewest evictions.
 * @param onlyCached Only targets that have the checkpoint cached are considered.
 * @return Whether a pending or newly decided unload frees the memory.
 */
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

} // namespace

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

std::vector<std::size_t> targetsWithCopy(const Pass &pass, const Need &need)
{
    std::vector<std::size_t> fitting;
    const auto cached = pass.cachedTargets.find(need.variant.model);
    if (!need.isModel() || cached == pass.cachedTargets.end())
        return fitting;
    std::copy_if(cached->second.begin(), cached->second.end(), std::back_inserter(fitting),
                 [&](std::size_t i) { return fitsVersion(pass.targets[i], need); });
    return fitting;
}

CacheTier tierOf(const TargetAnnouncement &target, const ModelId &model)
{
    CacheTier best = CacheTier::Remote;
    for (const CachedModel &cached : target.cached) {
        if (cached.model == model)
            best = std::min(best, cached.tier);
    }
    return best;
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

void placeNeeds(Pass &pass, const std::vector<Need> &needs)
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < pass.targets.size(); ++i) {
        if (canTakeOrder(pass, pass.targets[i]))
            all.push_back(i);
    }
    std::size_t searches = 0;
    for (const Need &need : needs) {
        const std::vector<std::size_t> &candidates = candidatesFor(pass, need, all);
        if (candidates.empty())
            continue;
        const std::optional<std::size_t> target = chooseTarget(pass, need, candidates);
        const bool uncached = target
            && tierOf(pass.targets[*target].announcement(), need.variant.model)
                == CacheTier::Remote;
        // Evicting where the checkpoint is cached is faster than a load from the weight store.
        const bool mayEvict = need.isFirstReplica || pass.planner.tuning.prioritizesByDemand;
        const bool needsEviction = mayEvict && (!target || (uncached && need.isModel()));
        if (needsEviction && searches < EVICTION_SEARCHES_PER_PASS) {
            ++searches;
            if (evictFor(pass, need, candidates, target.has_value()))
                continue;
        }
        if (target)
            beginLoad(pass, need, *target);
    }
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
