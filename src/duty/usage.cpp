/** @file usage.cpp Rules of the usage windows. */
#include "duty/usage_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** Raises the kept totals to those of a report. */
void raiseCounts(AccountCounts &kept, const AccountCounts &reported)
{
    for (const auto &[account, count] : reported) {
        std::int64_t &total = kept[account];
        total = std::max(total, count);
    }
}

AccountCounts sumOf(const HolderCounts &totals)
{
    AccountCounts sum;
    for (const auto &[holder, counts] : totals) {
        for (const auto &[account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

/** Starts the counting. Requests of earlier windows get no report and so count as late. */
void beginUsage(UsageWindows &windows, const FixUsage &command)
{
    windows.length = command.length;
    windows.fixedUpTo = command.upTo;
    const auto end = windows.open.upper_bound(command.upTo);
    for (auto it = windows.open.begin(); it != end; ++it)
        windows.late += totalOf(sumOf(it->second));
    windows.open.erase(windows.open.begin(), end);
}

void fixNext(UsageWindows &windows)
{
    const WindowId window = ++windows.fixedUpTo;
    AccountCounts &report = windows.fixed[window];
    const auto open = windows.open.find(window);
    if (open != windows.open.end()) {
        report = sumOf(open->second);
        windows.closed[window] = std::move(open->second);
        windows.open.erase(open);
    }
    const auto kept = static_cast<WindowId>(KEPT_CLOSED_WINDOWS);
    windows.closed.erase(windows.closed.begin(), windows.closed.upper_bound(window - kept));
}

} // namespace

WindowId windowAt(Duration unixTime, Duration length)
{
    return unixTime.count() / length.count();
}

Duration windowBegin(WindowId window, Duration length)
{
    return window * length;
}

std::int64_t totalOf(const AccountCounts &counts)
{
    std::int64_t total = 0;
    for (const auto &[account, count] : counts)
        total += count;
    return total;
}

std::int64_t recordedCount(const UsageWindows &windows, const HolderId &holder, WindowId window,
                           const AccountId &account)
{
    const auto &table = window <= windows.fixedUpTo ? windows.closed : windows.open;
    const auto totals = table.find(window);
    if (totals == table.end())
        return 0;
    const auto counts = totals->second.find(holder);
    if (counts == totals->second.end())
        return 0;
    const auto count = counts->second.find(account);
    return count == counts->second.end() ? 0 : count->second;
}

std::int64_t lateCount(const UsageWindows &windows, const HolderUsage &use)
{
    if (use.window > windows.fixedUpTo)
        return 0;
    std::int64_t late = 0;
    for (const auto &[account, count] : use.counts) {
        const std::int64_t known = recordedCount(windows, use.holder, use.window, account);
        late += std::max<std::int64_t>(count - known, 0);
    }
    return late;
}

void recordUsage(UsageWindows &windows, const RecordUsage &command)
{
    for (const HolderUsage &use : command.uses) {
        windows.late += lateCount(windows, use);
        if (use.window > windows.fixedUpTo) {
            raiseCounts(windows.open[use.window][use.holder], use.counts);
            continue;
        }
        // Without an entry the window is so old, or was so empty, that its totals are not kept.
        const auto closed = windows.closed.find(use.window);
        if (closed != windows.closed.end())
            raiseCounts(closed->second[use.holder], use.counts);
    }
}

void fixUsage(UsageWindows &windows, const FixUsage &command)
{
    const bool begun = windows.fixedUpTo != 0;
    if (command.begins && !begun)
        beginUsage(windows, command);
    if (command.begins || !begun || command.length != windows.length)
        return;
    while (windows.fixedUpTo < command.upTo)
        fixNext(windows);
}

void markUsageSent(UsageWindows &windows, const UsageSent &command)
{
    if (windows.fixed.erase(command.window) == 0)
        return;
    if (!command.accepted) {
        ++windows.refused;
        return;
    }
    ++windows.sent;
    windows.lastSent = std::max(windows.lastSent, command.window);
}

} // namespace bilberry
