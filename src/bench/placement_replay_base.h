/** @file placement_replay_base.h Replays a trace of requests against placement policies with a
 * made-up clock. */
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
    Duration at{};
    Variant variant;
    AccountId account;
    Duration service{}; ///< Time on a warm replica.
    Duration limit{}; ///< Caller's time limit.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TraceRequest, at, variant, account, service, limit)

/** Engines, models and the requests for them. */
struct PlacementTrace
{
    std::vector<TargetAnnouncement> engines;
    View view;
    std::vector<TraceRequest> requests; ///< In order of time.
    Duration length{};
};

/** Shape of a synthetic trace. */
struct TraceShape
{
    int engines = 9;
    int models = 50;
    int adapters = 40;
    double requestsPerSecond = 6;
    Duration length = 60min;
    double wakingShare = 0.29; ///< Of the variants, waking or falling idle within an hour.
    double onShare = 0.2; ///< Of the variants, on all the time.
    double rareShare = 0.05; ///< Of the requests for variants that are off.
    std::int64_t engineMemoryMb = 80'000;
};

/** @return A trace with Zipf popularity, on and off times and zones; the same for the same seed. */
PlacementTrace makeTrace(const TraceShape &shape, unsigned seed);

enum class PlacementPolicy {
    Planner, ///< The product's decisions.
    LeastRecentlyUsed, ///< Naive: load on first request, unload only for room, oldest use first.
    KeepAll, ///< Naive: load what fits at the start and keep it.
};

/** Figures of one replay. */
struct PlacementResult
{
    std::vector<double> coldSeconds; ///< Waits of requests that found no replica, served ones.
    std::size_t served = 0;
    std::size_t refused = 0;
    double idleHours
        = 0; ///< Replica hours without a request running, weighted by memory share of an engine.
    std::size_t loads = 0;
    double worstPassMs = 0; ///< Longest decision pass, by the machine's clock.
    double meanPassMs = 0;
    std::size_t overcommits = 0; ///< Times that an engine's memory was exceeded.
};

/** Replays @p trace under @p policy. */
PlacementResult replayPlacement(const PlacementTrace &trace, PlacementPolicy policy);

} // namespace bilberry
