/** @file placement_replay_base.h Simulates placement policies on a trace of requests. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"
#include "state/view_base.h"
#include "target/target_type.h"

#include <string>
#include <vector>

namespace bilberry {

/** One request of a trace. */
struct TraceRequest
{
    Duration at{}; ///< Arrival after the start of the trace.
    Variant variant;
    AccountId account;
    Duration service{}; ///< Service time on a ready replica.
    Duration limit{}; ///< Time limit that the caller set.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TraceRequest, at, variant, account, service, limit)

/** Engines, models and a trace of requests. */
struct PlacementTrace
{
    std::vector<TargetAnnouncement> engines;
    ClusterView view; ///< Configured models and targets.
    std::vector<TraceRequest> requests; ///< Sorted by arrival.
    Duration length{}; ///< Length of the trace.
};

/** Parameters of a synthetic trace. */
struct TraceShape
{
    int engines = 9;
    int models = 50;
    int adapters = 40; ///< Total number, spread evenly over the models.
    double requestsPerSecond = 6;
    Duration length = 60min;
    double intermittentShare
        = 0.29; ///< Share of variants that become active or idle within an hour.
    double alwaysActiveShare = 0.2; ///< Share of variants that are active all the time.
    double inactiveRequestShare
        = 0.05; ///< Share of the requests for inactive variants that is kept.
    std::int64_t engineMemoryMb = 80'000;
};

/** @return Trace with Zipf popularity, idle periods and zones; deterministic for a seed. */
PlacementTrace makeTrace(const TraceShape &shape, unsigned seed);

/** Policy that decides which replicas are loaded. */
enum class PlacementPolicy {
    Planner, ///< The planner of the leader.
    LeastRecentlyUsed, ///< Baseline: load on demand; evict the least recently used replica when
                       ///< memory is full.
    KeepAll, ///< Baseline: load at the start until memory is full, and never unload.
};

/** Metrics of one replay. */
struct PlacementResult
{
    std::vector<double> coldSeconds; ///< Queueing times in seconds of served requests that found no
                                     ///< ready replica at arrival.
    std::size_t served = 0;
    std::size_t refused = 0; ///< Requests that ran out of time, or were still queued at the end.
    double idleHours = 0; ///< Hours of ready replicas without a request, weighted by their share of
                          ///< the engine's memory.
    std::size_t loads = 0;
    double worstPassMs = 0; ///< Longest planner pass in wall-clock time.
    double meanPassMs = 0; ///< Mean planner pass in wall-clock time.
    std::size_t overcommits = 0; ///< Number of loads that exceeded the memory of an engine.
};

/** Replays @p trace under @p policy in steps of 100 ms, until 60 s after the end of the trace. */
PlacementResult replayPlacement(const PlacementTrace &trace, PlacementPolicy policy);

} // namespace bilberry
