/** @file leased_pool_base.h The leader's state of a pool that is granted in leased amounts. */
#pragma once

#include "account/lending_limits_type.h"
#include "core/codec_func.h"
#include "core/time_type.h"

#include <map>
#include <optional>

namespace bilberry {

/** One process lifetime of a host; a restarted host is a different holder. */
struct HolderId
{
    HostId host;
    std::uint64_t run = 0; ///< Identifies the process lifetime.

    friend bool operator==(const HolderId &, const HolderId &) = default;
    friend auto operator<=>(const HolderId &, const HolderId &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HolderId, host, run)

/**
 * Amounts granted to one holder, in units of the pool. Reports contain totals, and the granted,
 * spent and returned totals never decrease, so that repeated, reordered or lost reports are
 * harmless.
 */
struct Holding
{
    std::int64_t granted = 0; ///< Total granted, including carried amounts and overruns.
    std::int64_t spent = 0; ///< Total that the holder reported as spent.
    std::int64_t returned = 0; ///< Total that the holder reported as returned.
    /** Amount written off at expiry and not yet covered by a later report of the holder. */
    std::int64_t lapsed = 0;
    std::int64_t carried = 0; ///< Part of @c granted that an earlier leader granted.
    std::int64_t refused = 0; ///< Total that the holder reported for refused requests.
    TimePoint expires; ///< End of the lease by the leader's clock.

    /** @return Amount that the holder may still spend or return. */
    std::int64_t outstanding() const
    {
        return this->granted - this->spent - this->returned - this->lapsed;
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Holding, granted, spent, returned, lapsed, carried,
                                                refused, expires)

/**
 * Token bucket whose content is granted to holders in leased amounts: level + outstanding + unknown
 * <= bound at all times, so that the holders together use at most bound + rate * t in any interval
 * of t seconds.
 */
struct LeasedPool
{
    double rate = 0; ///< Refill in units per second; 0 for lent quantities, such as slots.
    double bound = 0; ///< Capacity of the pool.
    double level = 0; ///< Amount available for grants; negative after an overrun.
    TimePoint refilled; ///< Time of the last refill.
    double unknown = 0; ///< Amount that holders may still have from grants of an earlier leader.
    TimePoint unknownUntil; ///< Time at which all leases of an earlier leader have expired.
    std::map<HolderId, Holding> holdings;
    std::int64_t out = 0; ///< Sum of the outstanding amounts of all holdings.
    TimePoint expiryDue = TimePoint::max(); ///< No holding expires or is erased before this time.
    std::optional<LendingLimits> limits; ///< Limits of grants; empty: the level alone limits them.
    double highestBound = 0; ///< Highest capacity that a leader may give the pool; 0: @c bound.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeasedPool, rate, bound, level, refilled, unknown,
                                                unknownUntil, holdings, out, expiryDue, limits,
                                                highestBound)

} // namespace bilberry
