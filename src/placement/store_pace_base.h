/** @file store_pace_base.h What the leader has learnt about the speed of the weight store. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bilberry {

/** Concurrent store loads are told apart up to this number. */
constexpr std::size_t MAX_TRACKED_STORE_LOADS = 8;

/** Time spent with each number of concurrent store loads, in seconds; index 0 is unused. */
using SecondsByConcurrency = std::array<double, MAX_TRACKED_STORE_LOADS + 1>;

/** A load from the weight store that is under way. */
struct StoreLoad
{
    Duration expected{}; ///< Time at full speed; 0: unknown.
    bool measured = false; ///< This leader knows when the target accepted the order.
    SecondsByConcurrency seconds{}; ///< Since the start of the load.
};

/**
 * Loads under way, and the learnt speed of the weight store. A store of parallelism k runs each of
 * n loads at the speed min(1, k / n) / slowness.
 */
struct StorePace
{
    std::optional<double> estimate; ///< Parallelism; empty: nothing learnt yet.
    double slowness = 1; ///< Load time of a single load, as a multiple of the configured time.
    std::map<std::string, StoreLoad> loads; ///< By replicaId().
    TimePoint advancedAt; ///< Time up to which StoreLoad::seconds are counted.
    TimePoint decayedAt; ///< Time up to which the estimates are decayed.
    std::uint64_t samples = 0; ///< Finished loads that were measured.
    std::uint64_t slowSamples = 0; ///< Of these, loads that were slower than at full speed.
};

} // namespace bilberry
