/** @file leased_pool_func.h The leader's side of a leased pool: grants, reports and expiry. */
#pragma once

#include "account/leased_pool_base.h"

namespace bilberry {

/**
 * @param rate Refill in units per second; 0 for lent quantities.
 * @param bound Capacity in units.
 * @return A full pool without holders.
 */
LeasedPool makePool(double rate, double bound, TimePoint now);

/**
 * Creates a pool after a change of leader, when the grants of the earlier leader are not known.
 * @param unknownUntil Time at which all leases of the earlier leader have expired.
 * @return An empty pool; all of @p bound counts as granted until holders report or @p unknownUntil.
 */
LeasedPool makePoolAfterFailover(double rate, double bound, TimePoint unknownUntil, TimePoint now);

/**
 * Creates a pool after a change of leader, when the grants of the earlier leader are not known, but
 * the limits within which it granted are.
 * @param highestBound Highest capacity that a leader may give the pool.
 * @param recorded Limits in the replicated log; they limit the new pool too.
 * @param unknownUntil Time at which all leases of the earlier leader have expired.
 * @param electedAt Time from which no earlier leader grants; the refill counts from then on.
 * @return A pool with the least level and the highest lent amount that @p recorded allows; the lent
 * amount counts until holders report or @p unknownUntil.
 */
LeasedPool makeLimitedPoolAfterFailover(double rate, double bound, double highestBound,
                                        const LendingLimits &recorded, TimePoint unknownUntil,
                                        TimePoint electedAt, TimePoint now);

/** Writes off the outstanding amounts of expired leases and refills the level to @p now. */
void refillAndExpire(LeasedPool &pool, TimePoint now);

/**
 * Changes rate and bound. The level is limited to the new bound minus the outstanding and unknown
 * amounts; if the quantity is lent (rate 0), the level first changes by as much as the bound.
 */
void resize(LeasedPool &pool, double rate, double bound, TimePoint now);

/**
 * Applies a holder's report and renews its lease. Returned amounts are added to the level; amounts
 * spent beyond the grants are deducted from the level. Amounts written off at expiry are not
 * credited again.
 * @param spent Total spent by the holder in this term.
 * @param returned Total returned by the holder in this term.
 * @param expires End of the renewed lease by the leader's clock.
 */
void report(LeasedPool &pool, const HolderId &holder, std::int64_t spent, std::int64_t returned,
            TimePoint expires, TimePoint now);

/**
 * Turns the amount that a holder still has from an earlier leader into a grant of this pool, up to
 * the unknown amount.
 * @param carried Total that the holder carried into this term.
 * @param expires End of the renewed lease by the leader's clock.
 */
void acceptCarried(LeasedPool &pool, const HolderId &holder, std::int64_t carried,
                   TimePoint expires, TimePoint now);

/**
 * Grants at most @p want to a holder and, if the granted amount is not 0, renews its lease.
 * @return The granted amount; 0 if the level or the limits of the pool leave less than one unit.
 */
std::int64_t grant(LeasedPool &pool, const HolderId &holder, std::int64_t want, TimePoint expires,
                   TimePoint now);

/** @return Sum of the outstanding amounts of all holdings, without the unknown amount. */
std::int64_t outstanding(const LeasedPool &pool);

/**
 * @return Time until refill alone brings the level to @p amount: zero if the level is that high
 * already, one million seconds at most, and Duration::max() if the rate is 0.
 */
Duration timeUntilLevel(const LeasedPool &pool, double amount);

} // namespace bilberry
