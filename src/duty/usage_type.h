/** @file usage_type.h Usage windows in the replicated state, and the commands that change them. */
#pragma once

#include "account/leased_pool_base.h"
#include "duty/duty_type.h"

#include <vector>

namespace bilberry {

/** Windows for which the totals of host runs are kept after the fix, to tell what is late. */
constexpr std::size_t KEPT_CLOSED_WINDOWS = 3;

using AccountCounts = std::map<AccountId, std::int64_t>;

/** Totals of one host run in one window; only accounts whose total has changed. */
struct HolderUsage
{
    HolderId holder;
    std::uint64_t sequence = 0; ///< Sequence number of the report that stated the totals.
    WindowId window = 0;
    AccountCounts counts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HolderUsage, holder, sequence, window, counts)

/** Records totals that hosts have reported. */
struct RecordUsage
{
    std::vector<HolderUsage> uses;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordUsage, uses)

/** Turns the totals of all open windows up to one into reports, which never change again. */
struct FixUsage
{
    WindowId upTo = 0;
    Duration length{}; ///< Length of the windows.
    /** The windows up to @c upTo get no reports: the system counts from the next one on. Ignored
     * if there was an earlier beginning. */
    bool begins = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FixUsage, upTo, length, begins)

/** Records that the report of a window was accepted or refused, and is not sent again. */
struct UsageSent
{
    WindowId window = 0;
    bool accepted = true;
    int status = 0; ///< HTTP status of the answer.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UsageSent, window, accepted, status)

/** Totals of one window by host run. */
using HolderCounts = std::map<HolderId, AccountCounts>;

/** Replicated state of the usage windows. */
struct UsageWindows
{
    Duration length{}; ///< Length of all windows; 0: nothing has begun.
    WindowId fixedUpTo = 0; ///< All windows up to this one are fixed; 0: nothing has begun.
    std::map<WindowId, HolderCounts> open; ///< Recorded totals of windows that are not fixed.
    std::map<WindowId, AccountCounts> fixed; ///< Reports that are neither accepted nor refused.
    std::map<WindowId, HolderCounts> closed; ///< Totals of the latest fixed windows.
    WindowId lastSent = 0; ///< Latest window whose report was accepted.
    std::uint64_t sent = 0; ///< Accepted reports.
    std::uint64_t refused = 0; ///< Refused reports.
    std::int64_t late = 0; ///< Requests that were recorded after the fix of their window.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UsageWindows, length, fixedUpTo, open, fixed,
                                                closed, lastSent, sent, refused, late)

} // namespace bilberry
