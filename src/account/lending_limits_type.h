/** @file lending_limits_type.h Limits within which a leader grants a pool, for its successor. */
#pragma once

#include "core/ids_type.h"

namespace bilberry {

/**
 * Limits of a pool in the replicated log, in units of the pool. A leader grants only within them,
 * so that the next leader knows how much holders may have at most, and what is left at least.
 * Without a record, both are 0: see effectiveLimits().
 */
struct LendingLimits
{
    std::int64_t maxLent = 0; ///< Most that holders have together.
    std::int64_t minLevel = 0; ///< Least that is not granted; unused if the quantity is lent.

    friend bool operator==(const LendingLimits &, const LendingLimits &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LendingLimits, maxLent, minLevel)

/** Limits of the pools of one account. */
struct AccountLending
{
    AccountId account;
    LendingLimits requests;
    LendingLimits tokens;

    friend bool operator==(const AccountLending &, const AccountLending &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountLending, account, requests, tokens)

/** Limits of the slots of one incarnation of a target. */
struct SlotLending
{
    TargetId target;
    Incarnation start;
    LendingLimits slots;

    friend bool operator==(const SlotLending &, const SlotLending &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotLending, target, start, slots)

} // namespace bilberry
