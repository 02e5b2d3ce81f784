/** @file wait_estimate.cpp Estimates when a pool has budget for one holder among many. */
#include "account/wait_estimate_func.h"

#include "account/leased_pool_func.h"
#include "link/link_type.h"

#include <algorithm>

namespace bilberry {

namespace {

/** All requests that waited at the begin of this time are served or refused at its end, and the
 * leader has a report on it: longer than MAX_BUDGET_WAIT of the hosts by a report interval. */
constexpr Duration TURN_TIME = 600ms;
/** Promises reach at most this far ahead, since some refused callers never come back. */
constexpr Duration MAX_PROMISED_TIME = 30s;

/** Deducts the refill since the last call from the promised amount. */
void drainPromises(WaitEstimate &estimate, double rate, TimePoint now)
{
    const double elapsed = toSeconds(now - estimate.drainedAt);
    estimate.promised = std::max(estimate.promised - std::max(elapsed, 0.0) * rate, 0.0);
    estimate.drainedAt = std::max(estimate.drainedAt, now);
}

} // namespace

void expectRefused(WaitEstimate &estimate, LeasedPool &pool, const HolderId &holder,
                   std::int64_t refused, TimePoint now)
{
    drainPromises(estimate, pool.rate, now);
    Holding &holding = pool.holdings[holder];
    const std::int64_t added = std::max<std::int64_t>(refused - holding.refused, 0);
    holding.refused += added;
    estimate.promised = std::min(estimate.promised + static_cast<double>(added),
                                 pool.rate * toSeconds(MAX_PROMISED_TIME));
}

Duration claimAndEstimateWait(WaitEstimate &estimate, const LeasedPool &pool,
                              const HolderId &holder, std::int64_t unmet, TimePoint now)
{
    drainPromises(estimate, pool.rate, now);
    std::erase_if(estimate.claims,
                  [&](const auto &item) { return now - item.second.reportedAt > BUDGET_LEASE; });
    TimePoint since = now;
    if (unmet > 0) {
        WaitClaim &claim
            = estimate.claims.try_emplace(holder, WaitClaim{unmet, now, now}).first->second;
        if (now >= claim.since + TURN_TIME)
            claim.since = now; // New requests have taken the place of those that waited then.
        claim.unmet = unmet;
        claim.reportedAt = now;
        since = claim.since;
    } else {
        estimate.claims.erase(holder);
    }
    double ahead = estimate.promised;
    for (const auto &[other, claim] : estimate.claims) {
        if (other != holder && std::tie(claim.since, other) < std::tie(since, holder))
            ahead += static_cast<double>(claim.unmet);
    }
    return timeUntilLevel(pool, ahead + static_cast<double>(std::max<std::int64_t>(unmet, 1)));
}

} // namespace bilberry
