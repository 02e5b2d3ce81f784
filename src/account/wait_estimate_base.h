/** @file wait_estimate_base.h Who waits for a pool, and what has been promised to refused callers.
 */
#pragma once

#include "account/leased_pool_base.h"

namespace bilberry {

/** Latest demand of a holder that the pool has not met, in units of the pool. */
struct WaitClaim
{
    std::int64_t unmet = 0; ///< Amount that the holder lacks.
    TimePoint since; ///< Begin of the holder's turn among the claims.
    TimePoint reportedAt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WaitClaim, unmet, since, reportedAt)

/**
 * The queue before a pool, from which the leader tells each holder when there will be budget for
 * it. Refused callers come back when they were told to, so what they need keeps its place in the
 * queue until then.
 */
struct WaitEstimate
{
    std::map<HolderId, WaitClaim> claims;
    double promised = 0; ///< Amount that refused callers come back for; the refill works it off.
    TimePoint drainedAt; ///< Time up to which the refill is deducted from @c promised.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WaitEstimate, claims, promised, drainedAt)

} // namespace bilberry
