/** @file shared_limits_base.h Measures fairness and rates over all hosts against naive references.
 */
#pragma once

#include <nlohmann/json.hpp>

namespace bilberry {

/** @return Share of the worst-served account under a flood: fair queues, and first come first
 * served. */
nlohmann::json measureFairness(unsigned seed);

/** @return Requests inside the account's rate that were refused: leased pools, and one bucket. */
nlohmann::json measureRates(unsigned seed);

} // namespace bilberry
