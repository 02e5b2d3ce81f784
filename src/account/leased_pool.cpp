/** @file leased_pool.cpp Rules of a leased pool. */
#include "account/leased_pool_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

LeasedPool makePool(double rate, double bound, TimePoint now)
{
    LeasedPool pool;
    pool.rate = rate;
    pool.bound = bound;
    pool.level = bound;
    pool.refilled = now;
    return pool;
}

LeasedPool makeInheritedPool(double rate, double bound, TimePoint unknownUntil, TimePoint now)
{
    LeasedPool pool = makePool(rate, bound, now);
    pool.level = 0;
    pool.unknown = bound;
    pool.unknownUntil = unknownUntil;
    return pool;
}

std::int64_t outstanding(const LeasedPool &pool)
{
    std::int64_t sum = 0;
    for (const auto &[holder, holding] : pool.holdings)
        sum += holding.outstanding();
    return sum;
}

void refresh(LeasedPool &pool, TimePoint now)
{
    for (auto it = pool.holdings.begin(); it != pool.holdings.end();) {
        // The amount lapses: it is neither given back nor handed out again, except what is lent.
        if (now < it->second.expires) {
            ++it;
            continue;
        }
        if (pool.rate == 0)
            pool.level += static_cast<double>(it->second.outstanding());
        it->second.lapsed += it->second.outstanding();
        // The totals stay for a while, in case the holder is heard of again.
        const bool forgotten = now >= it->second.expires + 10min;
        it = forgotten ? pool.holdings.erase(it) : std::next(it);
    }
    if (pool.unknown > 0 && now >= pool.unknownUntil) {
        if (pool.rate == 0)
            pool.level += pool.unknown;
        pool.unknown = 0;
    }
    const double elapsed = toSeconds(now - pool.refilled);
    pool.refilled = std::max(pool.refilled, now);
    if (elapsed <= 0)
        return;
    const double room
        = pool.bound - pool.unknown - static_cast<double>(outstanding(pool)) - pool.level;
    pool.level += std::min(std::max(room, 0.0), pool.rate * elapsed);
}

void resize(LeasedPool &pool, double rate, double bound, TimePoint now)
{
    refresh(pool, now);
    if (pool.rate == 0 && rate == 0)
        pool.level += bound - pool.bound;
    pool.rate = rate;
    pool.bound = bound;
    const double out = static_cast<double>(outstanding(pool)) + pool.unknown;
    pool.level = std::min(pool.level, bound - out);
    if (rate > 0)
        pool.level = std::max(pool.level, std::min(0.0, bound - out));
}

void report(LeasedPool &pool, const HolderId &holder, std::int64_t spent, std::int64_t returned,
            TimePoint expires, TimePoint now)
{
    refresh(pool, now);
    Holding &holding = pool.holdings[holder];
    const std::int64_t newlyReturned = std::max<std::int64_t>(returned - holding.returned, 0);
    const std::int64_t newlySpent = std::max<std::int64_t>(spent - holding.spent, 0);
    holding.returned += newlyReturned;
    holding.spent += newlySpent;
    // What was written off already must not be credited a second time.
    const std::int64_t writtenOff = std::min(holding.lapsed, newlyReturned + newlySpent);
    holding.lapsed -= writtenOff;
    pool.level += static_cast<double>(std::max<std::int64_t>(newlyReturned - writtenOff, 0));
    const std::int64_t overrun = -holding.outstanding();
    if (overrun > 0) {
        holding.granted += overrun;
        pool.level -= static_cast<double>(overrun);
    }
    holding.expires = std::max(holding.expires, expires);
}

void acceptCarried(LeasedPool &pool, const HolderId &holder, std::int64_t carried,
                   TimePoint expires, TimePoint now)
{
    refresh(pool, now);
    Holding &holding = pool.holdings[holder];
    holding.expires = std::max(holding.expires, expires);
    const auto unknown = static_cast<std::int64_t>(std::floor(pool.unknown));
    const std::int64_t accepted = std::clamp<std::int64_t>(carried - holding.carried, 0,
                                                           std::max<std::int64_t>(unknown, 0));
    holding.carried += accepted;
    holding.granted += accepted;
    pool.unknown -= static_cast<double>(accepted);
}

std::int64_t grant(LeasedPool &pool, const HolderId &holder, std::int64_t want, TimePoint expires,
                   TimePoint now)
{
    refresh(pool, now);
    const auto available = static_cast<std::int64_t>(std::floor(pool.level));
    const std::int64_t amount
        = std::clamp<std::int64_t>(want, 0, std::max<std::int64_t>(available, 0));
    if (amount == 0)
        return 0;
    Holding &holding = pool.holdings[holder];
    holding.granted += amount;
    holding.expires = std::max(holding.expires, expires);
    pool.level -= static_cast<double>(amount);
    return amount;
}

Duration timeUntil(const LeasedPool &pool, double amount)
{
    if (pool.level >= amount)
        return Duration::zero();
    if (pool.rate <= 0)
        return Duration::max();
    return fromSeconds(std::min((amount - pool.level) / pool.rate, 1e6));
}

} // namespace bilberry
