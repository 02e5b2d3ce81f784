/** @file held_pool_base.h A host's side of a leased pool. */
#pragma once

#include "link/link_type.h"

namespace bilberry {

/** What one host holds of one pool. Totals refer to the term of the granting leader. */
struct HeldPool
{
    std::int64_t granted = 0;
    std::int64_t spent = 0;
    std::int64_t returned = 0;
    std::int64_t carried = 0; ///< Part of @c granted that stems from an earlier term.
    TimePoint expires; ///< By this host's clock, counted from when it sent the report.

    /** @return What may still be spent or returned; negative while an overrun is owed. */
    std::int64_t balance() const { return this->granted - this->spent - this->returned; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldPool, granted, spent, returned, carried,
                                                expires)

/** Starts the totals of a new term with what is still held. */
inline void beginTerm(HeldPool &pool)
{
    const std::int64_t rest = pool.balance();
    pool.granted = pool.carried = std::max<std::int64_t>(rest, 0);
    pool.spent = pool.returned = 0;
    // An overrun stays owed under the new leader.
    if (rest < 0)
        pool.spent = -rest;
}

/** Takes over a leader's total. */
inline void renew(HeldPool &pool, std::int64_t granted, TimePoint expires)
{
    pool.granted = granted;
    pool.expires = expires;
}

/** Gives up what the lease no longer covers. @return Whether anything lapsed. */
inline bool lapse(HeldPool &pool, TimePoint now)
{
    if (now < pool.expires || pool.balance() <= 0)
        return false;
    pool.spent += pool.balance();
    return true;
}

/** @return The totals as reported, with @p want on top. */
inline PoolUse useOf(const HeldPool &pool, std::int64_t want)
{
    return {pool.spent, pool.returned, want, pool.carried};
}

} // namespace bilberry
