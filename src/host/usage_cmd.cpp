/** @file usage_cmd.cpp Counts the requests that began to run, and reports them to the leader. */
#include "host/host_internal.h"

#include "duty/usage_counter_func.h"

namespace bilberry {

namespace {

/** A host that shuts down waits at most so long beyond its drain time until its last counts are
 * reported. */
constexpr Duration MAX_USAGE_WAIT = 2s;

bool countsUsage(const Host &host)
{
    return host.settings.usageWindow > Duration::zero();
}

/** @return Whether the request begins to run when a target begins to work on it: no token marks
 * the beginning. */
bool isPlain(const Request &request)
{
    const bool streams = request.asked.streamed || request.waitUntil != TimePoint{};
    return request.group.variant.model.value.empty() && !streams;
}

/** Counts a request once, however many attempts it has had. A stream that is taken up has been
 * counted at its beginning. */
void count(Host &host, Request &request, TimePoint at)
{
    if (!countsUsage(host) || request.countedInUsage || request.account.value.empty())
        return;
    if (request.asked.takesUp)
        return;
    request.countedInUsage = true;
    countUsage(host.usage, request.account, at, host.settings.usageWindow);
}

} // namespace

bool reportsBegin(const Host &host, const Request &request)
{
    return countsUsage(host) || !request.asked.promptParts.empty();
}

void countBegun(Host &host, Request &request, TimePoint now)
{
    count(host, request, now);
}

void countEnded(Host &host, Request &request, const AttemptEnded &ended, TimePoint now)
{
    const bool didNotRun
        = ended.result == AttemptResult::Refused || ended.result == AttemptResult::NotSent;
    if (didNotRun)
        return;
    // The time of the first token of an answer in one piece is not known. It is nearer to the
    // dispatch than to the end of the generation.
    const bool answered = ended.result == AttemptResult::Answered && ended.status < 400;
    if (isPlain(request) || (answered && !ended.relayed.begun))
        count(host, request, request.dispatchedAt);
    else if (ended.relayed.begun)
        count(host, request, now);
}

void countFinished(Host &host, Request &request)
{
    if (isPlain(request) && request.dispatchedAt != TimePoint{})
        count(host, request, request.dispatchedAt);
}

void noteTimeOfDay(Host &host, const TickEvent &tick, TimePoint now)
{
    host.unixMs = tick.unixMs;
    host.unixMsAt = now;
}

void addUsage(Host &host, HostReport &report, TimePoint now)
{
    if (!countsUsage(host))
        return;
    if (host.unixMs != 0)
        report.unixMs = host.unixMs + toMilliseconds(now - host.unixMsAt);
    report.usage = reportUsage(host.usage, report.sequence, host.settings.usageWindow, now);
}

void applyUsageGrant(Host &host, const HostGrant &grant, TimePoint now)
{
    if (!countsUsage(host))
        return;
    if (grant.unixMs != 0)
        addClockSample(host.usage, grant.unixMs, grant.sentAt, host.settings.usageWindow, now);
    confirmUsage(host.usage, grant);
}

bool keepsUsage(const Host &host, TimePoint now)
{
    return countsUsage(host) && !isUsageReported(host.usage)
        && now < host.leavingSince + host.settings.drain + MAX_USAGE_WAIT;
}

} // namespace bilberry
