/** @file lending_limits.cpp Chooses the recorded limits of a pool and keeps grants in them. */
#include "account/lending_limits_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

/** Limits change in steps of this part of the bound, so that few changes are recorded. */
constexpr int STEPS = 4;
/** Steps of the bound that may be lent without a record. */
constexpr int DEFAULT_LENT_STEPS = 2;
/** A limit that is nearer to the pool's state than this part of the bound is moved ahead. */
constexpr double MARGIN_PART = 0.125;

std::int64_t stepsOf(double bound, int steps)
{
    return static_cast<std::int64_t>(std::ceil(bound * std::clamp(steps, 0, STEPS) / STEPS));
}

/** @return Most steps whose amount is at most @p amount. */
int stepsWithin(double bound, double amount)
{
    return static_cast<int>(std::floor(std::clamp(amount / bound, 0.0, 1.0) * STEPS));
}

/** @return Highest capacity that a leader may give the pool. */
double highestBound(const LeasedPool &pool)
{
    return std::max(pool.bound, pool.highestBound);
}

/** @return Limit of the lent amount for what is lent and wanted; 0: the default is enough. */
std::int64_t lentLimit(const LeasedPool &pool, const LendingLimits &recorded, std::int64_t wanted)
{
    const double most = highestBound(pool);
    const double lent = static_cast<double>(pool.out) + std::max(pool.unknown, 0.0);
    const double margin = most * MARGIN_PART;
    const double needed = lent + static_cast<double>(wanted) + margin;
    const auto present
        = static_cast<double>(std::max(recorded.maxLent, stepsOf(most, DEFAULT_LENT_STEPS)));
    // What is lent exceeds the bound for some time after the bound has been lowered.
    if (lent > most)
        return std::max(recorded.maxLent, static_cast<std::int64_t>(std::ceil(lent)));
    int steps = DEFAULT_LENT_STEPS;
    while (steps < STEPS && static_cast<double>(stepsOf(most, steps)) < needed)
        ++steps;
    const std::int64_t next = steps == DEFAULT_LENT_STEPS ? 0 : stepsOf(most, steps);
    // Lowered with two margins to spare, so that a steady use does not move it up and down.
    const bool lower = needed + 2 * margin < present - most / STEPS;
    return next > recorded.maxLent || lower ? next : recorded.maxLent;
}

/** @return Limit of the level for a pool whose lent amount is limited to @p maxLent. */
std::int64_t levelLimit(const LeasedPool &pool, const LendingLimits &recorded, std::int64_t maxLent,
                        std::int64_t wanted)
{
    const double level = pool.level - static_cast<double>(wanted);
    const double margin = pool.bound * MARGIN_PART;
    const auto present = static_cast<double>(recorded.minLevel);
    const bool raise = level >= present + pool.bound / STEPS + 2 * margin;
    const bool lower = recorded.minLevel > 0 && level < present + margin;
    if (!raise && !lower)
        return recorded.minLevel;
    const double room = pool.bound - static_cast<double>(maxLent);
    const int steps = stepsWithin(pool.bound, std::min(level - margin, room));
    return static_cast<std::int64_t>(std::floor(pool.bound * steps / STEPS));
}

} // namespace

LendingLimits effectiveLimits(const LendingLimits &recorded, double rate, double bound,
                              double highestBound)
{
    LendingLimits limits = recorded;
    limits.maxLent = std::max(limits.maxLent, stepsOf(highestBound, DEFAULT_LENT_STEPS));
    const auto room = static_cast<std::int64_t>(std::floor(bound)) - limits.maxLent;
    limits.minLevel = rate > 0 ? std::clamp<std::int64_t>(room, 0, limits.minLevel) : 0;
    return limits;
}

std::int64_t availableAmount(const LeasedPool &pool)
{
    double amount = pool.level;
    if (pool.limits) {
        const LendingLimits limits
            = effectiveLimits(*pool.limits, pool.rate, pool.bound, highestBound(pool));
        const double lent = static_cast<double>(pool.out) + std::max(pool.unknown, 0.0);
        amount = std::min({amount, pool.level - static_cast<double>(limits.minLevel),
                           static_cast<double>(limits.maxLent) - lent});
    }
    return std::max<std::int64_t>(static_cast<std::int64_t>(std::floor(amount)), 0);
}

std::optional<LendingLimits> nextLimits(const LeasedPool &pool, const LendingLimits &recorded,
                                        std::int64_t wanted)
{
    if (pool.bound <= 0)
        return std::nullopt;
    // What the level does not hold, no limit can give.
    const auto level = static_cast<std::int64_t>(std::floor(std::max(pool.level, 0.0)));
    wanted = std::clamp<std::int64_t>(wanted, 0, level);
    LendingLimits next;
    next.maxLent = lentLimit(pool, recorded, wanted);
    const LendingLimits lent
        = effectiveLimits({next.maxLent, 0}, pool.rate, pool.bound, highestBound(pool));
    next.minLevel = pool.rate > 0 ? levelLimit(pool, recorded, lent.maxLent, wanted) : 0;
    if (next == recorded)
        return std::nullopt;
    return next;
}

LendingLimits stricter(const LendingLimits &a, const LendingLimits &b)
{
    return {std::min(a.maxLent, b.maxLent), std::max(a.minLevel, b.minLevel)};
}

} // namespace bilberry
