/** @file usage_counter.cpp Counts a host's requests by usage window, in true time. */
#include "duty/usage_counter_func.h"

#include "duty/usage_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** Requests of so much time share an entry until the true time is known. */
constexpr Duration UNTIMED_RESOLUTION = 20ms;

void addToWindow(UsageCounter &counter, const AccountId &account, TimePoint at, std::int64_t count,
                 Duration length)
{
    const WindowId begun = windowAt(*counter.clockOffset + at.time_since_epoch(), length);
    UsageCell &cell = counter.windows[std::max(begun, counter.fixedUpTo + 1)][account];
    cell.count += count;
    cell.reportedIn = 0;
}

void dropWindow(UsageCounter &counter,
                std::map<WindowId, std::map<AccountId, UsageCell>>::iterator it)
{
    for (const auto &[account, cell] : it->second)
        counter.late += static_cast<std::uint64_t>(cell.count - cell.recorded);
    counter.windows.erase(it);
}

/** @return Bound of a sample's error: half the round trip, and the drift of the clocks since. */
Duration errorBound(const ClockSample &sample, TimePoint now)
{
    return sample.roundTrip / 2 + (now - sample.at) * CLOCK_DRIFT_PERCENT / 100;
}

bool isDue(const UsageCounter &counter, Duration length, TimePoint now)
{
    if (now >= counter.reportedAt + USAGE_REPORT_INTERVAL)
        return true;
    const auto window = [&](TimePoint at) {
        return windowAt(*counter.clockOffset + at.time_since_epoch(), length);
    };
    return window(now) != window(counter.reportedAt);
}

} // namespace

void countUsage(UsageCounter &counter, const AccountId &account, TimePoint at, Duration length)
{
    ++counter.counted;
    if (counter.clockOffset) {
        addToWindow(counter, account, at, 1, length);
        return;
    }
    const TimePoint rounded = at - at.time_since_epoch() % UNTIMED_RESOLUTION;
    ++counter.untimed[{rounded, account}];
}

void addClockSample(UsageCounter &counter, std::int64_t unixMs, TimePoint sentAt, Duration length,
                    TimePoint now)
{
    const Duration offset = std::chrono::milliseconds(unixMs) - sentAt.time_since_epoch();
    counter.samples.push_back({offset, now - sentAt, now});
    if (counter.samples.size() > MAX_CLOCK_SAMPLES)
        counter.samples.pop_front();
    const auto best = std::min_element(counter.samples.begin(), counter.samples.end(),
                                       [&](const ClockSample &a, const ClockSample &b) {
                                           return errorBound(a, now) < errorBound(b, now);
                                       });
    counter.clockOffset = best->offset;
    for (const auto &[key, count] : counter.untimed)
        addToWindow(counter, key.second, key.first, count, length);
    counter.untimed.clear();
}

std::vector<WindowUse> reportUsage(UsageCounter &counter, std::uint64_t sequence, Duration length,
                                   TimePoint now)
{
    std::vector<WindowUse> out;
    if (!counter.clockOffset || !isDue(counter, length, now))
        return out;
    while (counter.windows.size() > MAX_COUNTED_WINDOWS)
        dropWindow(counter, counter.windows.begin());
    for (auto &[window, accounts] : counter.windows) {
        WindowUse use;
        use.window = window;
        for (auto &[account, cell] : accounts) {
            if (cell.count == cell.recorded)
                continue;
            if (cell.reportedIn == 0)
                cell.reportedIn = sequence;
            use.accounts.push_back({account, static_cast<int>(cell.count)});
        }
        if (!use.accounts.empty())
            out.push_back(std::move(use));
    }
    if (out.empty())
        return out;
    counter.reportedAt = now;
    return out;
}

void confirmUsage(UsageCounter &counter, const HostGrant &grant)
{
    counter.lastAnswer = std::max(counter.lastAnswer, grant.sequence);
    counter.fixedUpTo = std::max(counter.fixedUpTo, grant.usageFixedUpTo);
    for (auto &[window, accounts] : counter.windows) {
        for (auto &[account, cell] : accounts) {
            if (cell.reportedIn != 0 && cell.reportedIn <= grant.usageRecordedIn)
                cell.recorded = cell.count;
        }
    }
    while (!counter.windows.empty() && counter.windows.begin()->first <= counter.fixedUpTo)
        dropWindow(counter, counter.windows.begin());
}

bool isUsageReported(const UsageCounter &counter)
{
    if (!counter.untimed.empty())
        return false;
    for (const auto &[window, accounts] : counter.windows) {
        for (const auto &[account, cell] : accounts) {
            const bool answered = cell.reportedIn != 0 && cell.reportedIn <= counter.lastAnswer;
            if (cell.count != cell.recorded && !answered)
                return false;
        }
    }
    return true;
}

std::int64_t unconfirmedUsage(const UsageCounter &counter)
{
    std::int64_t unconfirmed = 0;
    for (const auto &[key, count] : counter.untimed)
        unconfirmed += count;
    for (const auto &[window, accounts] : counter.windows) {
        for (const auto &[account, cell] : accounts)
            unconfirmed += cell.count - cell.recorded;
    }
    return unconfirmed;
}

} // namespace bilberry
