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

/** Adds what the holder has refused since its last report to the promised amount.
 * @param need Present need of the holder. @param spent Total that it has spent. */
void promiseRefused(WaitEstimate &estimate, WaitClaim &claim, const LeasedPool &pool,
                    std::int64_t need, std::int64_t spent, TimePoint now)
{
    const std::int64_t served = std::max<std::int64_t>(spent - claim.spent, 0);
    const std::int64_t refused = std::max<std::int64_t>(claim.need - need - served, 0);
    estimate.promised += static_cast<double>(refused);
    claim.left -= served + refused;
    if (now >= claim.since + TURN_TIME) {
        // New requests have taken the place of refused ones between two reports. While grants of an
        // earlier leader are unknown, hosts refuse nothing.
        if (pool.unknown <= 0)
            estimate.promised += static_cast<double>(std::max<std::int64_t>(claim.left, 0));
        claim.since = now;
        claim.left = need;
    }
    estimate.promised = std::min(estimate.promised, pool.rate * toSeconds(MAX_PROMISED_TIME));
}

} // namespace

std::int64_t grantedTo(const LeasedPool &pool, const HolderId &holder)
{
    const auto holding = pool.holdings.find(holder);
    return holding == pool.holdings.end() ? 0 : holding->second.granted;
}

Duration claimAndEstimateWait(WaitEstimate &estimate, const LeasedPool &pool,
                              const HolderId &holder, std::int64_t want, std::int64_t granted,
                              TimePoint now)
{
    drainPromises(estimate, pool.rate, now);
    std::erase_if(estimate.claims,
                  [&](const auto &item) { return now - item.second.reportedAt > BUDGET_LEASE; });
    const auto holding = pool.holdings.find(holder);
    const bool known = holding != pool.holdings.end();
    const std::int64_t held = known ? std::max<std::int64_t>(holding->second.outstanding(), 0) : 0;
    const std::int64_t spent = known ? holding->second.spent : 0;
    const std::int64_t unmet = std::max<std::int64_t>(want - std::max<std::int64_t>(granted, 0), 0);
    const std::int64_t need = want > 0 ? unmet + held : 0;
    const auto earlier = estimate.claims.find(holder);
    if (earlier != estimate.claims.end())
        promiseRefused(estimate, earlier->second, pool, need, spent, now);
    TimePoint since = now;
    if (unmet > 0) {
        WaitClaim &claim
            = estimate.claims.try_emplace(holder, WaitClaim{need, unmet, need, spent, now, now})
                  .first->second;
        claim.need = need;
        claim.unmet = unmet;
        claim.spent = spent;
        claim.reportedAt = now;
        since = claim.since;
    } else if (earlier != estimate.claims.end()) {
        estimate.claims.erase(earlier);
    }
    double ahead = estimate.promised;
    for (const auto &[other, claim] : estimate.claims) {
        if (other != holder && std::tie(claim.since, other) < std::tie(since, holder))
            ahead += static_cast<double>(claim.unmet);
    }
    return timeUntilLevel(pool, ahead + static_cast<double>(std::max<std::int64_t>(unmet, 1)));
}

} // namespace bilberry
