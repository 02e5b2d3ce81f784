/** @file routing_type.h What routing knows of a target beyond its announcement. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <algorithm>

namespace bilberry {

constexpr int FAILURES_TO_EJECT = 3; ///< In a row.
constexpr Duration EJECT_LEAST = 2s;
constexpr Duration EJECT_MOST = 60s;

/** Health of a target as one host sees it. */
struct TargetHealth
{
    int failuresInRow = 0;
    int ejections = 0; ///< In a row, each twice as long.
    TimePoint ejectedUntil;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetHealth, failuresInRow, ejections,
                                                ejectedUntil)

/** Notes the outcome of an attempt. */
inline void noteOutcome(TargetHealth &health, bool ok, TimePoint now)
{
    if (ok) {
        health = {};
        return;
    }
    if (++health.failuresInRow < FAILURES_TO_EJECT)
        return;
    const int doublings = std::min(health.ejections++, 5);
    health.ejectedUntil = now + std::min<Duration>(EJECT_LEAST * (1 << doublings), EJECT_MOST);
    health.failuresInRow = FAILURES_TO_EJECT - 1; // One more failure ejects again.
}

/** Limits retries to a share of the requests, so that a failing fleet is not flooded. */
struct RetryBudget
{
    double credit = 1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RetryBudget, credit)

/**
 * Notes a first attempt.
 * @param share Retries earned by it.
 * @param most Retries that may be saved up.
 */
inline void noteRequest(RetryBudget &budget, double share, double most)
{
    budget.credit = std::min(budget.credit + share, std::max(most, 1.0));
}

/** @return Whether one more retry is allowed; takes it. */
inline bool takeRetry(RetryBudget &budget)
{
    if (budget.credit < 1)
        return false;
    budget.credit -= 1;
    return true;
}

/** A target that could take a request now. */
struct Candidate
{
    TargetId target;
    bool sameZone = false;
    bool prefixCached = false; ///< By a late and gapped hint.
    bool failing = false; ///< Fails often at all hosts together.
    bool tried = false; ///< An earlier attempt of the request ended there.
    int running = 0; ///< Of this host.
    int freeSlots = 0; ///< Of this host.
};

} // namespace bilberry
