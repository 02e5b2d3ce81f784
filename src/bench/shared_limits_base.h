/** @file shared_limits_base.h Compares fairness and rate limits over all hosts with baselines. */
#pragma once

#include "core/json_func.h"

namespace bilberry {

/**
 * Measures fairness while one account sends three times the capacity of the target.
 * @return Lowest share of served requests of the other accounts: with fair queues, and with one
 * first-come-first-served queue.
 */
nlohmann::json measureFairness(unsigned seed);

/**
 * Measures rate limiting of an account that sends 1.1 times its rate.
 * @return Number of refused requests: with budgets leased to the hosts, and with one central token
 * bucket.
 */
nlohmann::json measureRates(unsigned seed);

} // namespace bilberry
