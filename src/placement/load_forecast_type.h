/** @file load_forecast_type.h Expected ends of model loads, and what they are computed from. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/** A target as the forecast sees it. */
struct ForecastTarget
{
    std::string service;
    std::string softwareVersion;
    std::int64_t roomMb = 0; ///< Memory that is free, is being freed or can be evicted.
    Duration busyFor{}; ///< Time until the target takes an order without regard to its loads.
};

/** A load that is decided or under way. */
struct ForecastLoad
{
    Variant variant;
    std::size_t target = 0; ///< Index into ForecastInput::targets.
    Duration work{}; ///< Time left, for a load from the store at its full speed.
    Duration overdue{}; ///< Time beyond the expected end.
    bool fromStore = false;
    bool isFirst = false; ///< No target holds the variant; only such loads are listed.
};

/** A variant that waits for its first load. */
struct ForecastNeed
{
    Variant variant;
    std::string service;
    std::optional<std::string> softwareVersion; ///< See Need::softwareVersion.
    std::int64_t memoryMb = 0;
    Duration work{}; ///< Time of the load, from the store at its full speed.
    /** Targets with a copy of the weights, as indices; the load waits for one of them. Empty: the
     * load is one from the store. */
    std::vector<std::size_t> cachedAt;
};

struct ForecastInput
{
    std::vector<ForecastTarget> targets;
    std::vector<ForecastLoad> loads;
    std::vector<ForecastNeed> needs; ///< In the order in which the planner serves them.
    int parallelism = 1; ///< Loads that the store serves at full speed.
    double slowness = 1; ///< See StorePace::slowness.
    double loadsPerSecond = 0; ///< Rate limit of loads from the store; 0: none.
    double loadTokens = 0; ///< Loads that may begin now.
    Duration ordersIn{}; ///< Time until the leader may send orders.
};

/** Expected end of the first load of a variant. */
struct ExpectedLoad
{
    Variant variant;
    Duration left{};
    bool placed = true; ///< False: no target has room for it; @c left is a late estimate.
};

struct ForecastResult
{
    std::vector<ExpectedLoad> loads; ///< Under way first, then the needs in their order.
    Duration storeFreeIn{}; ///< Time until the store begins a load that is not listed.
};

/** An expected end that hosts know. */
struct PublishedForecast
{
    Variant variant;
    TimePoint at;
};

/** Forecasts of one leadership. */
struct LoadForecasts
{
    std::uint64_t version = 0; ///< Version of @c published; 0: no forecast has been made yet.
    std::vector<PublishedForecast> published; ///< The earliest expected ends, by time.
    TimePoint unlistedFrom; ///< The store begins a load that is not listed at this time.
    TimePoint due; ///< Time of the next forecast.
    std::size_t loads = 0; ///< Loads under way in the latest forecast.
    std::size_t needs = 0; ///< Needs in the latest forecast.
    std::size_t unplaced = 0; ///< Of these, needs without a target that has room.
    Duration last{}; ///< Latest expected end of a need that has a target.
};

} // namespace bilberry
