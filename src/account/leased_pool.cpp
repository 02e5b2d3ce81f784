/** @file leased_pool.cpp The leader's side of a leased pool: grants, reports and expiry. */
#include "account/leased_pool_func.h"

#include "account/lending_limits_func.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bilberry {

namespace {

/** Time after expiry for which the holding of an ended host run is kept, so that a late report is
 * not counted twice. */
constexpr Duration EXPIRED_HOLDING_RETENTION = 10min;

/**
 * @return Whether a later run of the same host has a holding. Otherwise the host may still report
 * its totals, which count from the start of the term; without the holding, the pool would charge
 * all of them again.
 */
bool isOfEndedRun(const LeasedPool &pool, std::map<HolderId, Holding>::const_iterator holding)
{
    const auto next = std::next(holding);
    return next != pool.holdings.end() && next->first.host == holding->first.host;
}

/** Writes off the outstanding amounts of expired holdings; erases those of ended runs later. */
void expireHoldings(LeasedPool &pool, TimePoint now)
{
    pool.expiryDue = TimePoint::max();
    for (auto it = pool.holdings.begin(); it != pool.holdings.end();) {
        Holding &holding = it->second;
        if (now < holding.expires) {
            pool.expiryDue = std::min(pool.expiryDue, holding.expires);
            ++it;
            continue;
        }
        // The holder may have spent the expired amount of a rate budget without reporting it, so
        // the amount is not put back into the level. Lent quantities (rate 0) return to the level.
        const std::int64_t lapsed = holding.outstanding();
        if (pool.rate == 0)
            pool.level += static_cast<double>(lapsed);
        holding.lapsed += lapsed;
        pool.out -= lapsed;
        const TimePoint eraseDue = holding.expires + EXPIRED_HOLDING_RETENTION;
        if (now < eraseDue)
            pool.expiryDue = std::min(pool.expiryDue, eraseDue);
        else if (isOfEndedRun(pool, it)) {
            it = pool.holdings.erase(it);
            continue;
        }
        ++it;
    }
}

/** Adds the refill up to @p now, as far as the bound leaves room. */
void refill(LeasedPool &pool, TimePoint now)
{
    const double elapsed = toSeconds(now - pool.refilled);
    pool.refilled = std::max(pool.refilled, now);
    if (elapsed <= 0)
        return;
    const double room = pool.bound - pool.unknown - static_cast<double>(pool.out) - pool.level;
    pool.level += std::min(std::max(room, 0.0), pool.rate * elapsed);
}

/** Renews the lease of a holding; the end of a lease never moves back. */
void extendLease(LeasedPool &pool, Holding &holding, TimePoint expires)
{
    holding.expires = std::max(holding.expires, expires);
    pool.expiryDue = std::min(pool.expiryDue, holding.expires);
}

} // namespace

LeasedPool makePool(double rate, double bound, TimePoint now)
{
    LeasedPool pool;
    pool.rate = rate;
    pool.bound = bound;
    pool.level = bound;
    pool.refilled = now;
    return pool;
}

LeasedPool makePoolAfterFailover(double rate, double bound, TimePoint unknownUntil, TimePoint now)
{
    LeasedPool pool = makePool(rate, bound, now);
    pool.level = 0;
    pool.unknown = bound;
    pool.unknownUntil = unknownUntil;
    return pool;
}

LeasedPool makeLimitedPoolAfterFailover(double rate, double bound, double highestBound,
                                        const LendingLimits &recorded, TimePoint unknownUntil,
                                        TimePoint electedAt, TimePoint now)
{
    const LendingLimits limits = effectiveLimits(recorded, rate, bound, highestBound);
    LeasedPool pool = makePool(rate, bound, electedAt);
    // More than the bound may be lent if the bound has been lowered.
    pool.unknown = static_cast<double>(limits.maxLent);
    pool.highestBound = highestBound;
    pool.unknownUntil = unknownUntil;
    pool.level = rate > 0 ? static_cast<double>(limits.minLevel) : bound - pool.unknown;
    pool.limits = recorded;
    refillAndExpire(pool, now);
    return pool;
}

std::int64_t outstanding(const LeasedPool &pool)
{
    return pool.out;
}

void refillAndExpire(LeasedPool &pool, TimePoint now)
{
    if (now >= pool.expiryDue)
        expireHoldings(pool, now);
    if (pool.unknown > 0 && now >= pool.unknownUntil) {
        refill(pool, pool.unknownUntil);
        if (pool.rate == 0)
            pool.level += pool.unknown;
        pool.unknown = 0;
    }
    refill(pool, now);
}

void resize(LeasedPool &pool, double rate, double bound, TimePoint now)
{
    refillAndExpire(pool, now);
    if (pool.rate == 0 && rate == 0)
        pool.level += bound - pool.bound;
    pool.rate = rate;
    pool.bound = bound;
    const double committed = static_cast<double>(outstanding(pool)) + pool.unknown;
    pool.level = std::min(pool.level, bound - committed);
    if (rate > 0)
        pool.level = std::max(pool.level, std::min(0.0, bound - committed));
}

void report(LeasedPool &pool, const HolderId &holder, std::int64_t spent, std::int64_t returned,
            TimePoint expires, TimePoint now)
{
    refillAndExpire(pool, now);
    Holding &holding = pool.holdings[holder];
    const std::int64_t before = holding.outstanding();
    const std::int64_t newlyReturned = std::max<std::int64_t>(returned - holding.returned, 0);
    const std::int64_t newlySpent = std::max<std::int64_t>(spent - holding.spent, 0);
    holding.returned += newlyReturned;
    holding.spent += newlySpent;
    // An amount that was written off at expiry must not be credited a second time.
    const std::int64_t writtenOff = std::min(holding.lapsed, newlyReturned + newlySpent);
    holding.lapsed -= writtenOff;
    pool.level += static_cast<double>(std::max<std::int64_t>(newlyReturned - writtenOff, 0));
    const std::int64_t overrun = -holding.outstanding();
    if (overrun > 0) {
        holding.granted += overrun;
        pool.level -= static_cast<double>(overrun);
    }
    pool.out += holding.outstanding() - before;
    extendLease(pool, holding, expires);
}

void acceptCarried(LeasedPool &pool, const HolderId &holder, std::int64_t carried,
                   TimePoint expires, TimePoint now)
{
    refillAndExpire(pool, now);
    Holding &holding = pool.holdings[holder];
    extendLease(pool, holding, expires);
    const auto unknown = static_cast<std::int64_t>(std::floor(pool.unknown));
    const std::int64_t accepted = std::clamp<std::int64_t>(carried - holding.carried, 0,
                                                           std::max<std::int64_t>(unknown, 0));
    holding.carried += accepted;
    holding.granted += accepted;
    pool.out += accepted;
    pool.unknown -= static_cast<double>(accepted);
}

std::int64_t grant(LeasedPool &pool, const HolderId &holder, std::int64_t want, TimePoint expires,
                   TimePoint now)
{
    refillAndExpire(pool, now);
    const std::int64_t amount = std::clamp<std::int64_t>(want, 0, availableAmount(pool));
    if (amount == 0)
        return 0;
    Holding &holding = pool.holdings[holder];
    holding.granted += amount;
    pool.out += amount;
    extendLease(pool, holding, expires);
    pool.level -= static_cast<double>(amount);
    return amount;
}

Duration timeUntilLevel(const LeasedPool &pool, double amount)
{
    if (pool.level >= amount)
        return Duration::zero();
    if (pool.rate <= 0)
        return Duration::max();
    return fromSeconds(std::min((amount - pool.level) / pool.rate, 1e6));
}

} // namespace bilberry
