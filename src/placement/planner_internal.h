/** @file planner_internal.h State and steps of one placement pass; internal to src/placement. */
#pragma once

#include "placement/planner_func.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <set>

namespace bilberry {

/** A replica with its committed record and the change that the pass has decided. */
struct ReplicaFacts
{
    const std::string *id = nullptr; ///< See replicaId(); never null.
    const Replica *committed = nullptr; ///< Null for a replica that the pass has created.
    std::optional<Replica> changed; ///< Record as changed or created by the pass.
    bool gone = false; ///< The pass removes the replica.

    /** @return The record with the changes of this pass. */
    const Replica &current() const { return this->changed ? *this->changed : *this->committed; }
};

/** A target with the resources left after the decisions of the pass. */
struct TargetFacts
{
    const TargetEntry *entry = nullptr;
    bool serving = false; ///< May get new replicas, and its replicas count for their variants.
    bool fenced = false; ///< The target checks fencing tokens.
    std::int64_t freeMb = 0; ///< Accelerator memory left.
    int freeAdapters = 0; ///< Adapter slots left.
    int orders = 0; ///< Pending loads and unloads, whether sent or not.
    std::vector<std::size_t> replicas; ///< Indices into Pass::replicas.
    /** Cached result of evictionCandidates(): indices into Pass::replicas, best candidate first. */
    std::optional<std::vector<std::size_t>> evictable;

    const TargetAnnouncement &announcement() const { return this->entry->announcement; }
};

/** Number of replicas of a variant on serving targets. */
struct VariantCounts
{
    int present = 0; ///< Loading or ready.
    int ready = 0;
};

/** A variant that needs one more replica. */
struct Need
{
    Variant variant;
    Version version;
    std::string service; ///< Service name of the engines that may hold the replica.
    std::optional<std::string> softwareVersion; ///< Only engines of this version; empty: any.
    std::int64_t memoryMb = 0; ///< Accelerator memory of the replica.
    TimePoint deadline = TimePoint::max(); ///< Earliest deadline of the waiting requests.
    /** Number of requests plus weighted waiting time, see WAIT_WEIGHT; with
     * PlannerTuning::forecastsLoads, waiting requests count by their weight, and only those that
     * can still be served in time. */
    double urgency = 0;
    bool hasCopy
        = false; ///< A serving target has the model's weights in its memory or on its disk.
    double charge = 0; ///< Lowest load charge among the accounts.
    std::set<AccountId> accounts; ///< Accounts with waiting requests.
    bool isFirstReplica = false; ///< The variant has no replica that is loading or ready.

    bool isModel() const { return this->variant.adapter.value.empty(); }
};

/** Working state of one placement pass. */
struct Pass
{
    Planner &planner;
    const PlacementInput &input;
    TimePoint now;
    std::vector<ReplicaFacts> replicas{};
    std::deque<std::string> newIds{}; ///< Ids of replicas created in this pass; stable addresses.
    std::vector<TargetFacts> targets{};
    absl::flat_hash_map<TargetId, std::size_t> targetIndex{};
    absl::flat_hash_map<Variant, VariantCounts> counts{};
    /** Indices of serving targets with the model's checkpoint cached. */
    absl::flat_hash_map<ModelId, std::vector<std::size_t>> cachedTargets{};
    /** Indices of serving targets with the base model ready. */
    absl::flat_hash_map<ModelId, std::vector<std::size_t>> readyTargets{};
    int storeLoads = 0; ///< Model loads in progress from the weight store.
    int adapterLoads = 0; ///< Adapter loads in progress.
    FencingToken highestFencing{}; ///< Highest fencing token used so far; incremented before use.
    PlacementDecision decision{};
};

/** @return The working state of a pass before any decision. */
Pass beginPass(Planner &planner, const PlacementInput &input, TimePoint now);

/**
 * Compares replicas with the inventories of their targets, adopts replicas without a record, undoes
 * orders that timed out, and counts the replicas and their resources.
 */
void reconcile(Pass &pass);

/** Decides loads for @p needs in their order, and evictions where memory is short. */
void placeNeeds(Pass &pass, const std::vector<Need> &needs);

/**
 * @return Whether a new order may be decided for the target: it serves, has fewer pending orders
 * than its limit (one without fencing), is not in back-off and, without fencing, ordersAllowedFrom
 * has passed.
 */
bool canTakeOrder(const Pass &pass, const TargetFacts &target);

/** @return Whether the model may be loaded on the target, if it fits: the target does not limit its
 * request rate, and no memory is reserved for another model. */
bool mayTakeModel(const Pass &pass, const TargetFacts &target, const Variant &model);

/** @return Whether the need may be met at the target's software version. */
bool fitsVersion(const TargetFacts &target, const Need &need);

/** @return Whether a replica of the variant is on the target or decided for it, in any state. */
bool hasVariant(const Pass &pass, const TargetFacts &target, const Variant &variant);

/** Decides to load @p need on a target, and charges the load to limits and accounts. */
void beginLoad(Pass &pass, const Need &need, std::size_t targetIndex);

/** @return Whether another load from the weight store may begin under both store limits. */
bool storeHasCapacity(const Pass &pass);

/**
 * @return The target to load @p need on now, if one has enough free memory. Prefers the fastest
 * cache tier, then the zone with the fewest replicas of the variant, then the most free memory.
 */
std::optional<std::size_t> chooseTarget(const Pass &pass, const Need &need,
                                        const std::vector<std::size_t> &candidates);

/**
 * @return Idle replicas of the target that may be evicted, the one with the longest expected idle
 * time first. The result is cached in the target until its replicas change.
 */
const std::vector<std::size_t> &evictionCandidates(const Pass &pass, TargetFacts &target);

/**
 * Decides to unload idle replicas on one target so that @p need fits there. Prefers, for a model,
 * targets without active adapters, then the fastest cache tier, then the fewest evictions.
 * @param onlyCached Only targets that have the checkpoint cached are considered.
 * @return Whether a pending or newly decided unload frees the memory.
 */
bool evictFor(Pass &pass, const Need &need, const std::vector<std::size_t> &candidates,
              bool onlyCached);

/** Notes which loads from the weight store are under way, to learn its pace. */
void trackStoreLoads(Pass &pass);

/** Forecasts the loads under way and those of @p needs, in their order, if a forecast is due. */
void forecastNeeds(Pass &pass, const std::vector<Need> &needs);

/** @return Time to load the model, from a copy at the target or from the weight store at its full
 * speed; 0 if it is not configured. */
Duration configuredLoadTime(const ClusterView &view, const ModelId &model, bool cached);

/** @return Memory of the target that is free, is being freed or can be evicted. */
std::int64_t obtainableMb(Pass &pass, TargetFacts &target);

/** @return Serving targets that have the weights of the need's model and fit its version. */
std::vector<std::size_t> targetsWithCopy(const Pass &pass, const Need &need);

/** Uses a spare load of the weight store for a model that no target holds or has cached. */
void prefetch(Pass &pass);

/** Unloads replicas that are idle beyond their keep-warm window or whose model was withdrawn. */
void unloadIdle(Pass &pass);

/**
 * @return Accelerator memory of a replica in MB. A replica adopted before the first configuration
 * has no recorded size: then the configured size of its model is used or, for an unknown model, the
 * largest configured size.
 */
std::int64_t memoryOf(const ClusterView &view, const Replica &replica);

/** @return The fastest tier in which the target has the checkpoint; Remote if it has none. */
CacheTier tierOf(const TargetAnnouncement &target, const ModelId &model);

/** Records that a target no longer holds a variant nor, if it is a model, the model's adapters. */
void recordUnloaded(AcceptedOrders &accepted, const Variant &variant);

/** Decides to unload a ready replica. @param replica Index into Pass::replicas. */
void beginUnload(Pass &pass, std::size_t replica);

} // namespace bilberry
