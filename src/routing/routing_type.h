/** @file routing_type.h Outlier detection, retry budget and routing candidates of one host. */
#pragma once

#include "core/ids_type.h"
#include "core/time_type.h"

#include <algorithm>

namespace bilberry {

constexpr int FAILURES_TO_EJECT = 3; ///< Consecutive failures after which a target is ejected.
constexpr Duration MIN_EJECTION_TIME = 2s; ///< Length of the first ejection.
constexpr Duration MAX_EJECTION_TIME = 60s; ///< Upper limit of an ejection.

/** Outlier detection state of a target, from the attempts of one host. */
struct TargetHealth
{
    /** Failures since the last success; an ejection sets it to FAILURES_TO_EJECT - 1. */
    int failuresInRow = 0;
    int ejections = 0; ///< Ejections since the last success; each doubles the length of the next.
    TimePoint ejectedUntil; ///< The target gets no new requests of this host before this time.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetHealth, failuresInRow, ejections,
                                                ejectedUntil)

/**
 * Records the outcome of an attempt; ejects the target after FAILURES_TO_EJECT consecutive
 * failures. A success resets the state.
 */
inline void recordAttemptOutcome(TargetHealth &health, bool ok, TimePoint now)
{
    if (ok) {
        health = {};
        return;
    }
    if (++health.failuresInRow < FAILURES_TO_EJECT)
        return;
    const int doublings = std::min(health.ejections++, 5);
    health.ejectedUntil
        = now + std::min<Duration>(MIN_EJECTION_TIME * (1 << doublings), MAX_EJECTION_TIME);
    health.failuresInRow = FAILURES_TO_EJECT - 1; // The next failure ejects the target again.
}

/**
 * Token bucket that limits retries to a share of the requests, so that retries do not overload
 * targets that fail together.
 */
struct RetryBudget
{
    double credit = 1; ///< Retries allowed now; each new request adds a fraction.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RetryBudget, credit)

/**
 * Adds the credit of one new request.
 * @param share Retries that one request adds to the budget.
 * @param maxCredit Upper limit of the credit, in retries; values below 1 count as 1.
 */
inline void addRetryCredit(RetryBudget &budget, double share, double maxCredit)
{
    budget.credit = std::min(budget.credit + share, std::max(maxCredit, 1.0));
}

/** Takes one retry from the budget. @return False, with no change, if less than one is left. */
inline bool tryTakeRetry(RetryBudget &budget)
{
    if (budget.credit < 1)
        return false;
    budget.credit -= 1;
    return true;
}

/** A target that can take a given request now. */
struct RoutingCandidate
{
    TargetId target;
    bool sameZone = false;
    bool prefixCached = false; ///< From cache hints, which may be late or lost.
    bool failing = false; ///< High failure rate over all hosts, as found by the control leader.
    bool tried = false; ///< An earlier attempt of the same request went to this target.
    int running = 0; ///< Requests of this host that run on the target.
    int freeSlots = 0; ///< Slots of the target that are granted to this host and free.
};

} // namespace bilberry
