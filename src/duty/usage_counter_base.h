/** @file usage_counter_base.h Requests that began to run at one host, by usage window. */
#pragma once

#include "duty/duty_type.h"

#include <deque>
#include <optional>

namespace bilberry {

/** Requests of one account in one window, in this host run. */
struct UsageCell
{
    std::int64_t count = 0;
    std::int64_t recorded = 0; ///< Count that the leader has confirmed as recorded.
    std::uint64_t reportedIn = 0; ///< First report with the present count; 0: none yet.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UsageCell, count, recorded, reportedIn)

/** True time as a leader has stated it. */
struct ClockSample
{
    Duration offset{}; ///< True time since 1970 minus the host's monotonic time.
    Duration roundTrip{}; ///< Time from the report to the answer; bounds the error.
    TimePoint at; ///< Time of the answer.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClockSample, offset, roundTrip, at)

/** Counts of one host run. */
struct UsageCounter
{
    std::map<WindowId, std::map<AccountId, UsageCell>> windows; ///< Windows that are not fixed.
    /** Requests counted before the true time was known, by time and account. */
    std::map<std::pair<TimePoint, AccountId>, std::int64_t> untimed;
    std::deque<ClockSample> samples; ///< Recent ones, oldest first.
    std::optional<Duration> clockOffset; ///< ClockSample::offset in use; empty: unknown.
    WindowId fixedUpTo = 0; ///< Windows up to this one take no more counts.
    TimePoint reportedAt; ///< Time of the last report with counts.
    std::uint64_t lastAnswer = 0; ///< Sequence number of the latest answered report.
    std::uint64_t counted = 0; ///< Requests counted in this host run.
    /** Requests that were not confirmed as recorded when their window was fixed. */
    std::uint64_t late = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UsageCounter, windows, untimed, samples,
                                                clockOffset, fixedUpTo, reportedAt, lastAnswer,
                                                counted, late)

} // namespace bilberry
