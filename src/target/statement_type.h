/** @file statement_type.h What targets state about themselves in the heads of their answers. */
#pragma once

#include "core/codec_func.h"
#include "core/time_type.h"

#include <optional>

namespace bilberry {

constexpr Duration MAX_QUIET_PERIOD = 60min; ///< Longer periods that targets ask for are cut.
/** Least request rate; lower ones, also 0, count as this one, so that a later answer of the target
 * can end the limit. */
constexpr double MIN_REQUEST_RATE = 0.1;
/** Request rates from here on are no limit. */
constexpr double MAX_REQUEST_RATE = 1e6;

/** Statement of a target, from one answer. */
struct TargetStatement
{
    bool leaving = false; ///< The target accepts no new work from now on.
    /** With a refusal: the target wants no request of this host for so long. */
    std::optional<Duration> quietFor;
    /** Requests per second that the target takes from all hosts together; empty: no limit. */
    std::optional<double> requestRate;
    /** A header of the statement has no valid value and is ignored. */
    bool malformed = false;

    /** @return Whether the target asks for anything. */
    bool any() const { return this->leaving || this->quietFor || this->requestRate; }

    friend bool operator==(const TargetStatement &, const TargetStatement &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetStatement, leaving, quietFor, requestRate,
                                                malformed)

/** A target's request rate, and when the target stated it: between the sending of a request and the
 * arrival of the head of its answer. */
struct RateObservation
{
    std::optional<double> rate; ///< As in TargetStatement::requestRate.
    TimePoint madeAfter;
    TimePoint madeBefore;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RateObservation, rate, madeAfter, madeBefore)

} // namespace bilberry
