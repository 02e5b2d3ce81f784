/** @file leased_pool_func.h Rules of a leased pool. */
#pragma once

#include "account/leased_pool_base.h"

namespace bilberry {

/** @return A full pool without holders. */
LeasedPool makePool(double rate, double bound, TimePoint now);

/** @return A pool of a new leader: empty, and all of @p bound possibly out until @p unknownUntil.
 */
LeasedPool makeInheritedPool(double rate, double bound, TimePoint unknownUntil, TimePoint now);

/** Refills, and drops what holders did not renew in time. */
void refresh(LeasedPool &pool, TimePoint now);

/** Changes rate and bound; a level above the new bound is cut. */
void resize(LeasedPool &pool, double rate, double bound, TimePoint now);

/**
 * Notes a holder's totals and renews its lease; what it returned goes back to the level, what it
 * spent beyond its grants is taken off the level.
 */
void report(LeasedPool &pool, const HolderId &holder, std::int64_t spent, std::int64_t returned,
            TimePoint expires, TimePoint now);

/**
 * Notes what a holder still has from an earlier leader; as long as that is unknown to the pool, it
 * becomes an ordinary grant.
 */
void acceptCarried(LeasedPool &pool, const HolderId &holder, std::int64_t carried,
                   TimePoint expires, TimePoint now);

/** Hands out at most @p want. @return The amount, 0 if the pool has none. */
std::int64_t grant(LeasedPool &pool, const HolderId &holder, std::int64_t want, TimePoint expires,
                   TimePoint now);

/** @return Sum of all outstanding amounts, without what is unknown. */
std::int64_t outstanding(const LeasedPool &pool);

/** @return Time until the level reaches @p amount if nobody takes or returns any. */
Duration timeUntil(const LeasedPool &pool, double amount);

} // namespace bilberry
