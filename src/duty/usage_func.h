/** @file usage_func.h Rules of the usage windows. */
#pragma once

#include "duty/usage_type.h"

namespace bilberry {

/** @param unixTime True time since the start of 1970. @return The window that contains it. */
WindowId windowAt(Duration unixTime, Duration length);

/** @return Begin of a window, since the start of 1970. */
Duration windowBegin(WindowId window, Duration length);

/** @return Recorded total of an account in a window; 0 if there is none or it is not kept. */
std::int64_t recordedCount(const UsageWindows &windows, const HolderId &holder, WindowId window,
                           const AccountId &account);

/** @return Number of requests in @p use that come after the fix of their window. */
std::int64_t lateCount(const UsageWindows &windows, const HolderUsage &use);

/** Records totals. They never decrease, so that repeated and reordered commands are harmless.
 * Totals of fixed windows are counted as late and change no report. */
void recordUsage(UsageWindows &windows, const RecordUsage &command);

/** Fixes windows in their order; a window that is fixed stays as it is. */
void fixUsage(UsageWindows &windows, const FixUsage &command);

/** Drops the report of a window that needs not be sent again. */
void markUsageSent(UsageWindows &windows, const UsageSent &command);

/** @return Number of requests of all accounts. */
std::int64_t totalOf(const AccountCounts &counts);

} // namespace bilberry
