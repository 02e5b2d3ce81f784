/** @file held_pool_base.h The host's side of a leased pool; leased_pool_base.h has the leader's. */
#pragma once

#include "link/link_type.h"

namespace bilberry {

/**
 * Amounts that one host holds of one pool, in units of the pool (requests, tokens or slots). The
 * totals count from the start of the term of the leader that grants them.
 */
struct HeldPool
{
    std::int64_t granted = 0; ///< Total granted by the leader.
    std::int64_t spent = 0; ///< Total used up; may exceed @c granted.
    std::int64_t returned = 0; ///< Total given back to the leader.
    std::int64_t carried = 0; ///< Part of @c granted that was held before the term began.
    std::int64_t refused = 0; ///< Total for refused requests, see PoolUse.
    /** End of the lease by this host's clock, counted from the sending of the answered report. */
    TimePoint expires;

    /** @return Amount that may still be spent or returned; negative after an overrun. */
    std::int64_t balance() const { return this->granted - this->spent - this->returned; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldPool, granted, spent, returned, carried,
                                                refused, expires)

/**
 * Resets the totals for a new term: a positive balance becomes the carried grant, an overrun
 * becomes the spent amount.
 */
inline void resetForNewTerm(HeldPool &pool)
{
    const std::int64_t remaining = pool.balance();
    pool.granted = pool.carried = std::max<std::int64_t>(remaining, 0);
    pool.spent = pool.returned = pool.refused = 0;
    // The new leader has to deduct an overrun too.
    if (remaining < 0)
        pool.spent = -remaining;
}

/**
 * Renews the lease from a grant of the leader.
 * @param granted Total granted in this term.
 * @param expires End of the lease by this host's clock.
 */
inline void renewLease(HeldPool &pool, std::int64_t granted, TimePoint expires)
{
    pool.granted = granted;
    pool.expires = expires;
}

/** Counts the balance as spent if the lease has expired. @return Whether any amount expired. */
inline bool forfeitExpired(HeldPool &pool, TimePoint now)
{
    if (now < pool.expires || pool.balance() <= 0)
        return false;
    pool.spent += pool.balance();
    return true;
}

/** @return The totals for the report to the leader. @param want Additional amount asked for. */
inline PoolUse makePoolUse(const HeldPool &pool, std::int64_t want)
{
    return {pool.spent, pool.returned, want, pool.carried, pool.refused};
}

} // namespace bilberry
