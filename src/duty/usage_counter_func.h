/** @file usage_counter_func.h Counts a host's requests by usage window, in true time. */
#pragma once

#include "duty/usage_counter_base.h"
#include "link/link_type.h"

namespace bilberry {

constexpr std::size_t MAX_CLOCK_SAMPLES = 64; ///< Of the latest answers; about 16 s of reports.
/** Between two reports with counts, unless a window ends: early reports follow each other within
 * milliseconds, and each would repeat the counts that are not recorded yet. */
constexpr Duration USAGE_REPORT_INTERVAL = 200ms;
/** Windows kept while no leader fixes any; the oldest one beyond is dropped as late. */
constexpr std::size_t MAX_COUNTED_WINDOWS = 720;

/** Counts a request that began to run at time @p at. A window that is fixed takes no more counts:
 * the request then counts in the first one that does. */
void countUsage(UsageCounter &counter, const AccountId &account, TimePoint at, Duration length);

/**
 * Takes over a leader's statement of the true time.
 * @param unixMs True time at @p sentAt, Unix ms. @param sentAt Time of the answered report.
 */
void addClockSample(UsageCounter &counter, std::int64_t unixMs, TimePoint sentAt, Duration length,
                    TimePoint now);

/**
 * @param sequence Sequence number of the report that gets the counts.
 * @return Totals that no leader has confirmed as recorded, if they are due in a report.
 */
std::vector<WindowUse> reportUsage(UsageCounter &counter, std::uint64_t sequence, Duration length,
                                   TimePoint now);

/** Takes over what the leader has recorded and fixed. */
void confirmUsage(UsageCounter &counter, const HostGrant &grant);

/** @return Whether a leader has answered a report with all counts. */
bool isUsageReported(const UsageCounter &counter);

/** @return Number of counted requests that no leader has confirmed as recorded. */
std::int64_t unconfirmedUsage(const UsageCounter &counter);

} // namespace bilberry
