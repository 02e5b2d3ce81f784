/** @file planner_internal.h Facts and steps of one placement pass; only for src/placement. */
#pragma once

#include "placement/planner_func.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <set>

namespace bilberry {

/** A committed replica and what the pass makes of it. */
struct ReplicaFacts
{
    const std::string *id = nullptr;
    const Replica *committed = nullptr; ///< Null for one that the pass decides to load.
    std::optional<Replica> changed;
    bool gone = false;

    const Replica &now() const { return this->changed ? *this->changed : *this->committed; }
};

/** A target and what is decided to be on it. */
struct TargetFacts
{
    const TargetEntry *entry = nullptr;
    bool serving = false; ///< May get new replicas and its replicas count.
    bool fenced = false;
    std::int64_t freeMb = 0;
    int freeAdapters = 0; ///< Places for further adapters.
    int orders = 0; ///< Under way, or decided and not yet sent.
    std::vector<std::size_t> replicas; ///< Indices into Pass::replicas.
    std::optional<std::vector<std::size_t>> idle; ///< Memo: may go, the one least missed first.

    const TargetAnnouncement &announcement() const { return this->entry->announcement; }
};

/** Replicas of a variant on serving targets. */
struct VariantCounts
{
    int present = 0; ///< Loading or ready.
    int ready = 0;
};

/** A replica that ought to be loaded. */
struct Need
{
    Variant variant;
    Version version;
    std::string service; ///< Of the engines that may serve it.
    std::int64_t memoryMb = 0;
    TimePoint deadline = TimePoint::max();
    double urgency = 0; ///< Requests that want it and the seconds that they have wanted it.
    double charge = 0; ///< Least of the recent loads of the accounts that ask.
    std::set<AccountId> accounts; ///< Who asks.
    bool first = false; ///< There is no replica at all.

    bool isModel() const { return this->variant.adapter.value.empty(); }
};

/** Facts of one pass. */
struct Pass
{
    Planner &planner;
    const PlacementView &input;
    TimePoint now;
    std::vector<ReplicaFacts> replicas{};
    std::deque<std::string> newIds{}; ///< Ids of replicas decided in this pass.
    std::vector<TargetFacts> targets{};
    absl::flat_hash_map<TargetId, std::size_t> targetIndex{};
    absl::flat_hash_map<Variant, VariantCounts> counts{};
    absl::flat_hash_map<ModelId, std::vector<std::size_t>>
        cachedAt{}; ///< Targets with the checkpoint.
    absl::flat_hash_map<ModelId, std::vector<std::size_t>>
        readyAt{}; ///< Targets with the base ready.
    int storeLoads = 0; ///< Models under way from the weight store.
    int adapterLoads = 0;
    FencingNumber nextFencing{};
    PlacementDecision decision{};
};

/** @return Facts before any decision. */
Pass beginPass(Planner &planner, const PlacementView &input, TimePoint now);

/** Compares replicas with inventories, adopts strays, undoes lost orders; then counts. */
void reconcile(Pass &pass);

/** Loads what is needed, making room where there is none. */
void placeNeeds(Pass &pass, const std::vector<Need> &needs);

/** Uses spare loads of the weight store for a model that no target has at hand. */
void prefetch(Pass &pass);

/** Unloads replicas that were idle for longer than their window, or whose model is withdrawn. */
void unloadIdle(Pass &pass);

/**
 * @return Memory that a replica takes. One that was found at a target before the first
 * configuration has none on record: then the configuration tells, or the largest model counts.
 */
std::int64_t memoryOf(const View &view, const Replica &replica);

CacheTier tierOf(const TargetAnnouncement &target, const ModelId &model);

/** Decides to unload. */
void beginUnload(Pass &pass, std::size_t replica);

} // namespace bilberry
