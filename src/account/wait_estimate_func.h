/** @file wait_estimate_func.h Estimates when a pool has budget for one holder among many. */
#pragma once

#include "account/wait_estimate_base.h"

namespace bilberry {

/** @return Total granted to the holder; 0 if the pool does not know it. */
std::int64_t grantedTo(const LeasedPool &pool, const HolderId &holder);

/**
 * Records what a holder still lacks after its report was answered. What it no longer asks for and
 * has not spent was refused, so its callers are expected back.
 * @param pool Pool after the grant.
 * @param want Amount that the holder asked for in its report.
 * @param granted Amount of it that the holder got.
 * @return Time until the refill has covered the refused callers that are expected back, the holders
 * that have waited for longer, and this holder; zero if the level covers them already, and
 * Duration::max() if the rate is 0.
 */
Duration claimAndEstimateWait(WaitEstimate &estimate, const LeasedPool &pool,
                              const HolderId &holder, std::int64_t want, std::int64_t granted,
                              TimePoint now);

} // namespace bilberry
