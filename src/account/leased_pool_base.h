/** @file leased_pool_base.h A conserved quantity that is handed out in leased amounts. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>

namespace bilberry {

/** One run of one host; a restarted host is another holder. */
struct HolderId
{
    HostId host;
    std::uint64_t run = 0;

    friend bool operator==(const HolderId &, const HolderId &) = default;
    friend auto operator<=>(const HolderId &, const HolderId &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HolderId, host, run)

/** What one holder was given; totals only grow, so repeated or lost reports do no harm. */
struct Holding
{
    std::int64_t granted = 0;
    std::int64_t spent = 0;
    std::int64_t returned = 0;
    std::int64_t lapsed
        = 0; ///< Written off when the lease ran out, not yet accounted for by the holder.
    std::int64_t carried = 0; ///< Part of the grants that stems from an earlier leader.
    TimePoint expires; ///< By the pool's clock.

    std::int64_t outstanding() const
    {
        return this->granted - this->spent - this->returned - this->lapsed;
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Holding, granted, spent, returned, lapsed, carried,
                                                expires)

/**
 * Pool of a conserved quantity: level + outstanding + unknown <= bound at all times, so that the
 * holders together use at most bound + rate * t in any time t.
 */
struct LeasedPool
{
    double rate = 0; ///< Refill per second; 0 for quantities that are only lent.
    double bound = 0;
    double level = 0; ///< Not handed out; negative while an overrun is owed.
    TimePoint refilled; ///< When the level was last brought up to date.
    double unknown = 0; ///< Amount that holders of an earlier leader may still have.
    TimePoint unknownUntil;
    std::map<HolderId, Holding> holdings;
    std::int64_t out = 0; ///< Sum of what the holdings have outstanding.
    TimePoint expiryDue = TimePoint::max(); ///< No holding lapses or is forgotten before this.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeasedPool, rate, bound, level, refilled, unknown,
                                                unknownUntil, holdings, out, expiryDue)

} // namespace bilberry
