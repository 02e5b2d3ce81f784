/** @file wait_estimate_func.h Estimates when a pool has budget for one holder among many. */
#pragma once

#include "account/wait_estimate_base.h"

namespace bilberry {

/**
 * Records the amount that a holder's refused callers come back for.
 * @param refused Total since the begin of the term; only the increase since the last call counts.
 */
void expectRefused(WaitEstimate &estimate, LeasedPool &pool, const HolderId &holder,
                   std::int64_t refused, TimePoint now);

/**
 * Records what a holder still lacks after its report was answered.
 * @param pool Pool after the grant.
 * @param unmet Amount that the holder asked for in its report and did not get.
 * @return Time until the refill has covered the refused callers that are expected back, the holders
 * that have waited for longer, and this holder; zero if the level covers them already, and
 * Duration::max() if the rate is 0.
 */
Duration claimAndEstimateWait(WaitEstimate &estimate, const LeasedPool &pool,
                              const HolderId &holder, std::int64_t unmet, TimePoint now);

} // namespace bilberry
