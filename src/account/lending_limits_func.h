/** @file lending_limits_func.h Chooses the recorded limits of a pool and keeps grants in them. */
#pragma once

#include "account/leased_pool_base.h"

#include <optional>

namespace bilberry {

/**
 * @param recorded Limits in the replicated log.
 * @param rate Refill of the pool; 0 for lent quantities.
 * @param bound Capacity of the pool.
 * @param highestBound Highest capacity that a leader may give the pool; the same for all leaders.
 * @return Limits in force: half of @p highestBound may be lent without a record, and @c minLevel
 * leaves room for what may be lent.
 */
LendingLimits effectiveLimits(const LendingLimits &recorded, double rate, double bound,
                              double highestBound);

/** @return Amount that may be granted now: within the pool's level and its limits. */
std::int64_t availableAmount(const LeasedPool &pool);

/**
 * @param recorded Limits in the replicated log.
 * @param wanted Amount that a holder did not get.
 * @return Limits to record for the pool, if the recorded ones do not fit it any more.
 */
std::optional<LendingLimits> nextLimits(const LeasedPool &pool, const LendingLimits &recorded,
                                        std::int64_t wanted);

/** @return The stricter of two limits, which holds while a change from one to the other is not
 * committed. */
LendingLimits stricter(const LendingLimits &a, const LendingLimits &b);

} // namespace bilberry
