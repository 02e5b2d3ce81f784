/** @file load_forecast_func.h Forecasts when the models that callers wait for are loaded. */
#pragma once

#include "link/link_type.h"
#include "placement/load_forecast_type.h"

namespace bilberry {

/** Most entries of a list for hosts. */
constexpr std::size_t MAX_FORECASTS = 200;

/** Assumed time of a load beyond the transfer itself: decision, eviction of other models and
 * notification of the hosts. */
constexpr Duration FORECAST_OVERHEAD = 700ms;

/** @return Expected ends of the loads under way and of the needs, each served in its turn. */
ForecastResult forecastLoads(ForecastInput input);

/**
 * Replaces the published list, under a new version, if an entry came, went or moved by more than a
 * fifth of its time left and more than 500 ms.
 */
void publishForecast(LoadForecasts &forecasts, const ForecastResult &result, TimePoint now);

/** @return The published list for a grant that is sent now. */
std::vector<LoadForecast> listForecasts(const LoadForecasts &forecasts, TimePoint now);

} // namespace bilberry
