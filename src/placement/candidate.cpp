/** @file candidate.cpp Selects targets for new replicas. */
#include "placement/planner_internal.h"
#include "placement/store_pace_func.h"

#include "state/view_func.h"

#include <algorithm>
#include <iterator>

namespace bilberry {

namespace {

/** Limits the duration of a pass: searches for evictions look at about this many targets. A need
 * that is not searched for gets a target with enough free memory or waits for the next pass. */
constexpr std::size_t EVICTION_TARGETS_PER_PASS = 1'024;
constexpr int MAX_CONCURRENT_FENCED_ORDERS = 4; ///< At one target that checks fencing tokens.

/** @return Whether memory on the target is reserved for a variant other than @p variant. */
bool isReservedForOther(const Pass &pass, const TargetFacts &target, const Variant &variant)
{
    const auto reservation = pass.planner.memoryReservations.find(target.announcement().id);
    return reservation != pass.planner.memoryReservations.end()
        && pass.now < reservation->second.until && reservation->second.variant != variant;
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

/** @return Why candidatesFor() has found none for the need. */
UnmetReason whyNoCandidate(const Pass &pass, const Need &need)
{
    if (!need.isModel())
        return pass.readyTargets.contains(need.variant.model) ? UnmetReason::AdapterLoadsBusy
                                                              : UnmetReason::NoBaseReplica;
    return storeHasCapacity(pass) ? UnmetReason::NoRoom : UnmetReason::StoreBusy;
}

/** Notes that the pass does not meet the need, if it is one for a first replica. */
void noteUnmet(Pass &pass, const Need &need, UnmetReason reason)
{
    const auto since = pass.planner.unmetSince.find(need.variant);
    if (!need.isFirstReplica || since == pass.planner.unmetSince.end())
        return;
    UnmetNeeds &unmet = pass.planner.unmet;
    ++unmet.counts[reason];
    const auto place = std::upper_bound(
        unmet.oldest.begin(), unmet.oldest.end(), since->second,
        [](TimePoint value, const UnmetNeed &other) { return value < other.since; });
    unmet.oldest.insert(place, {need.variant, since->second, reason});
    if (unmet.oldest.size() > MAX_OLDEST_UNMET)
        unmet.oldest.pop_back();
}

enum class EvictionSearch {
    Found, ///< An unload that is pending or has been decided makes room.
    InVain,
    NotSearched, ///< The pass has looked at as many targets as it may.
};

/** Work of one pass in search of evictions. */
struct EvictionWork
{
    std::size_t targets = 0; ///< Looked at.
    bool isExhausted = false; ///< A need was not searched for.
};

/**
 * Searches for evictions for the need, unless that was in vain since all needs last had their turn:
 * needs that cannot be met must not use up the work of each pass.
 * @param onlyCached See evictFor().
 */
EvictionSearch searchInTurn(Pass &pass, const Need &need,
                            const std::vector<std::size_t> &candidates, bool onlyCached,
                            EvictionWork &work)
{
    std::set<Variant> &searchedInVain = pass.planner.searchedInVain;
    if (searchedInVain.contains(need.variant))
        return EvictionSearch::InVain;
    if (work.targets >= EVICTION_TARGETS_PER_PASS) {
        work.isExhausted = true;
        return EvictionSearch::NotSearched;
    }
    work.targets += candidates.size();
    if (evictFor(pass, need, candidates, onlyCached))
        return EvictionSearch::Found;
    searchedInVain.insert(need.variant);
    return EvictionSearch::InVain;
}

/** Orders a load or decides evictions for one need; else notes why not. */
void placeNeed(Pass &pass, const Need &need, const std::vector<std::size_t> &all,
               EvictionWork &work)
{
    const std::vector<std::size_t> &candidates = candidatesFor(pass, need, all);
    if (candidates.empty()) {
        noteUnmet(pass, need, whyNoCandidate(pass, need));
        return;
    }
    const std::optional<std::size_t> target = chooseTarget(pass, need, candidates);
    const bool uncached = target
        && tierOf(pass.targets[*target].announcement(), need.variant.model) == CacheTier::Remote;
    // Evicting where the checkpoint is cached is faster than a load from the weight store.
    const bool mayEvict = need.isFirstReplica || pass.planner.tuning.prioritizesByDemand;
    const bool needsEviction = mayEvict && (!target || (uncached && need.isModel()));
    const EvictionSearch search = needsEviction
        ? searchInTurn(pass, need, candidates, target.has_value(), work)
        : EvictionSearch::InVain;
    if (search == EvictionSearch::Found)
        noteUnmet(pass, need, UnmetReason::AwaitsUnload);
    else if (target)
        beginLoad(pass, need, *target);
    else
        noteUnmet(pass, need,
                  search == EvictionSearch::NotSearched ? UnmetReason::NotSearched
                                                        : UnmetReason::NoRoom);
}

} // namespace

bool canTakeOrder(const Pass &pass, const TargetFacts &target)
{
    if (!target.serving || target.orders >= (target.fenced ? MAX_CONCURRENT_FENCED_ORDERS : 1))
        return false;
    const auto refused = pass.planner.targetBackoffUntil.find(target.announcement().id);
    if (refused != pass.planner.targetBackoffUntil.end() && pass.now < refused->second)
        return false;
    return target.fenced || pass.now >= pass.planner.ordersAllowedFrom;
}

bool mayTakeModel(const Pass &pass, const TargetFacts &target, const Variant &model)
{
    return !target.entry->requestRate && !isReservedForOther(pass, target, model);
}

bool fitsVersion(const TargetFacts &target, const Need &need)
{
    return !need.softwareVersion || target.announcement().softwareVersion == *need.softwareVersion;
}

bool hasVariant(const Pass &pass, const TargetFacts &target, const Variant &variant)
{
    return std::any_of(target.replicas.begin(), target.replicas.end(), [&](std::size_t i) {
        return pass.replicas[i].current().variant == variant;
    });
}

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

void placeNeeds(Pass &pass, const std::vector<Need> &needs)
{
    pass.planner.unmet = {};
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < pass.targets.size(); ++i) {
        if (canTakeOrder(pass, pass.targets[i]))
            all.push_back(i);
    }
    EvictionWork work;
    for (const Need &need : needs)
        placeNeed(pass, need, all, work);
    if (!work.isExhausted)
        pass.planner.searchedInVain.clear();
}

} // namespace bilberry
