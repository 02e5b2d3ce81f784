/** @file request_end_cmd.cpp Ends requests: refusals, deadlines, settlement of budgets. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"

#include <algorithm>
#include <map>

namespace bilberry {

namespace {

/** Removes a waiting request from the fair queue or from its account's budget queue. */
void removeFromQueues(Host &host, const Request &request)
{
    const RequestId id = request.asked.request;
    if (request.state == RequestState::Queued)
        removeQueued(host.queue, queueEntryOf(request));
    if (request.state != RequestState::WaitingForBudget || request.account.value.empty())
        return;
    std::deque<RequestId> &waiting = host.accounts[request.account].waiting;
    std::erase(waiting, id);
}

/**
 * Replaces a request's budget reservation by its actual use; refunds the reservation if the request
 * did not run.
 * @param tokensUsed Tokens generated for the request.
 * @param ran Whether a target ran the request.
 */
void settle(Host &host, const Request &request, std::int64_t tokensUsed, bool ran)
{
    if (!request.charged)
        return;
    // Declared tokens are charged in full, however few were generated.
    if (request.asked.declaredTokens || request.asked.byRoute)
        tokensUsed = request.estimate;
    AccountLease &held = host.accounts[request.account];
    if (!ran && !request.maySent) {
        held.requests.spent -= 1;
        held.usedRequests -= 1;
        tokensUsed = 0;
    }
    held.tokens.spent += tokensUsed - request.estimate;
    held.usedTokens += tokensUsed - request.estimate;
    if (request.attempts > 0)
        chargeFlow(host.queue, queueEntryOf(request),
                   static_cast<double>(tokensUsed - request.estimate),
                   weightOf(host, request.account));
}

/** Short, since other hosts can serve at once. */
constexpr Duration OTHER_HOST_RETRY_AFTER = 50ms;
/** Time to bring the last answers to their callers before the process is killed. */
constexpr Duration KILL_MARGIN = 500ms;

/** @return Reason for the end of a request whose deadline a shutdown may have limited. */
RefusalCode codeAtLastEnd(const Request &request)
{
    return request.maySent ? RefusalCode::MayHaveRun : RefusalCode::ShuttingDown;
}

/** Refuses a request at its deadline; cancels its attempt if one is running. */
void onDeadline(Host &host, RequestId id, HostEffects &effects, TimePoint now)
{
    Request &request = host.requests.at(id);
    if (request.state == RequestState::Running) {
        effects.push_back(CancelAttempt{request.attempt});
        request.maySent = true;
        const auto target = host.targets.find(request.target);
        if (target != host.targets.end()) {
            target->second.cancelling.insert(request.attempt);
            host.cancelling[request.attempt] = request.target;
        }
    }
    if (lastEnd(host) && request.deadline >= *lastEnd(host)) {
        refuse(host, id, codeAtLastEnd(request), effects, now,
               request.maySent ? std::nullopt : std::optional<Duration>(OTHER_HOST_RETRY_AFTER));
        return;
    }
    const std::optional<Duration> turn = request.state == RequestState::Queued
        ? rateWait(host, request.group, 0, now)
        : std::nullopt;
    if (turn) {
        refuseForRate(host, id, *turn, effects, now);
        return;
    }
    // The refusal code tells the caller whether a longer time limit would have helped.
    const bool noTarget
        = request.state == RequestState::Queued && !hasEligibleTarget(host, request.group, now);
    refuse(host, id, noTarget ? RefusalCode::NoTarget : RefusalCode::Deadline, effects, now);
}

constexpr std::size_t MAX_EXPECTED_RETRIES = 1'000; ///< Maximum size of GroupStatistics::returns.
constexpr Duration DEFAULT_RETRY_AFTER = 1s; ///< Retry delay when the load time is unknown.

} // namespace

std::optional<TimePoint> lastEnd(const Host &host)
{
    if (!host.leaving || host.settings.grace == Duration::zero())
        return std::nullopt;
    return host.leavingSince + host.settings.grace - KILL_MARGIN;
}

void limitDeadlines(Host &host)
{
    const std::optional<TimePoint> end = lastEnd(host);
    if (!end)
        return;
    for (auto &[id, request] : host.requests) {
        if (request.deadline <= *end)
            continue;
        host.deadlines.erase({request.deadline, id});
        request.deadline = *end;
        host.deadlines.emplace(*end, id);
    }
}

RequestWaits waitsOf(const Request &request, TimePoint now)
{
    const bool admitted = request.admittedAt != TimePoint{};
    const bool dispatched = request.dispatchedAt != TimePoint{};
    const TimePoint admittedAt = admitted ? request.admittedAt : now;
    const TimePoint firstDispatch = dispatched ? request.firstDispatchAt : now;
    RequestWaits waits;
    waits.budget = admittedAt - request.arrived;
    waits.slot = firstDispatch - admittedAt;
    waits.target = dispatched ? now - request.dispatchedAt : Duration::zero();
    return waits;
}

void finish(Host &host, RequestId id, std::int64_t tokensUsed, bool ran, TimePoint)
{
    const auto it = host.requests.find(id);
    Request &request = it->second;
    removeFromQueues(host, request);
    if (ran)
        countFinished(host, request);
    settle(host, request, tokensUsed, ran);
    host.deadlines.erase({request.deadline, id});
    host.waitDeadlines.erase({request.waitUntil, id});
    if (request.state == RequestState::Running) {
        host.attempts.erase(request.attempt);
        const auto target = host.targets.find(request.target);
        if (target != host.targets.end())
            target->second.running.erase(id);
    }
    host.requests.erase(it);
}

void refuse(Host &host, RequestId id, RefusalCode code, HostEffects &effects, TimePoint now,
            std::optional<Duration> retryAfter)
{
    Request &request = host.requests.at(id);
    const bool joined = request.state == RequestState::Joined;
    const Execution execution
        = request.maySent || joined ? Execution::MayHaveRun : Execution::NotRun;
    // An unanswered CallQuery may still make this request the owner of the call record.
    if (request.recordOwned || request.state == RequestState::WaitingForVerdict)
        endCallRecord(host, request, request.maySent ? CallEnd::Lost : CallEnd::NotRun, {},
                      effects);
    ++host.counters.refusals[refusalResponseOf(code).type];
    if (request.ranked)
        ++host.counters.refusedByRank[request.rank];
    recordDuration(host.counters.refusalTimes, now - request.arrived);
    if (!request.callerGone)
        effects.push_back(RefuseCaller{id, code, execution, retryAfter, waitsOf(request, now),
                                       request.origin ? request.origin->version : "",
                                       rankNoteOf(request, now)});
    finish(host, id, 0, request.maySent, now);
}

TimePoint latestDispatch(const Request &request)
{
    const bool isLimited = request.waitUntil != TimePoint{} && !request.relayed.begun;
    return isLimited ? std::min(request.waitUntil, request.deadline) : request.deadline;
}

void expectReturn(Host &host, const WorkGroup &group, TimePoint at)
{
    std::deque<TimePoint> &returns = host.groups[group].returns;
    if (returns.size() < MAX_EXPECTED_RETRIES)
        returns.push_back(at);
    host.earlyReportRequested = true;
}

void refuseUntilLoaded(Host &host, RequestId id, Duration wait, HostEffects &effects, TimePoint now)
{
    expectReturn(host, host.requests.at(id).group, now + wait);
    refuse(host, id, RefusalCode::NoTarget, effects, now, wait);
}

bool refuseUnlessServedInTime(Host &host, const Request &request, HostEffects &effects,
                              TimePoint now)
{
    const bool forecast = hasForecast(host, request.group, now);
    const bool mayLoad = (request.waitUntil != TimePoint{} || forecast) && !request.relayed.begun;
    const std::optional<Duration> load
        = mayLoad ? estimatedLoadTime(host, request.group, now) : std::nullopt;
    const std::optional<Duration> quiet = quietLeft(host, request.group, now);
    if (!load && !quiet)
        return false;
    const Duration wait = std::min(load.value_or(Duration::max()), quiet.value_or(Duration::max()));
    if (now + wait <= latestDispatch(request))
        return false;
    if (load) {
        host.counters.refusedByForecast += forecast ? 1 : 0;
        refuseUntilLoaded(host, request.asked.request, wait, effects, now);
    } else {
        expectReturn(host, request.group, now + wait);
        refuse(host, request.asked.request, RefusalCode::Overloaded, effects, now, wait);
    }
    return true;
}

void refuseLateLoads(Host &host, HostEffects &effects, TimePoint now)
{
    std::vector<RequestId> waiting;
    std::map<WorkGroup, bool> served;
    for (const auto &[id, request] : host.requests) {
        if (request.state != RequestState::Queued || request.group.variant.model.value.empty())
            continue;
        const auto [group, added] = served.try_emplace(request.group, false);
        if (added)
            group->second = hasEligibleTarget(host, request.group, now);
        if (!group->second)
            waiting.push_back(id);
    }
    for (const RequestId id : waiting)
        refuseUnlessServedInTime(host, host.requests.at(id), effects, now);
}

/** Refuses queued requests that have reached waitUntil, with the delay after which to retry. */
void refuseExpiredWaits(Host &host, HostEffects &effects, TimePoint now)
{
    while (!host.waitDeadlines.empty() && host.waitDeadlines.begin()->first <= now) {
        const RequestId id = host.waitDeadlines.begin()->second;
        host.waitDeadlines.erase(host.waitDeadlines.begin());
        const Request &request = host.requests.at(id);
        if (request.state == RequestState::WaitingForOrigin && !request.relayed.begun) {
            refuse(host, id, RefusalCode::ControlUnreachable, effects, now, DEFAULT_RETRY_AFTER);
            continue;
        }
        if (request.state != RequestState::Queued || request.relayed.begun)
            continue;
        const std::optional<Duration> load = estimatedLoadTime(host, request.group, now);
        refuseUntilLoaded(host, id, load.value_or(DEFAULT_RETRY_AFTER), effects, now);
    }
}

/** Refuses waiting requests once the drain time of a shutdown is over: another host can serve them.
 */
void refuseAfterDrain(Host &host, HostEffects &effects, TimePoint now)
{
    if (!host.leaving || now < host.leavingSince + host.settings.drain)
        return;
    std::vector<RequestId> waiting;
    for (const auto &[id, request] : host.requests) {
        if (request.asked.byRoute && request.state != RequestState::Running)
            waiting.push_back(id);
    }
    for (const RequestId id : waiting)
        refuse(host, id, RefusalCode::ShuttingDown, effects, now, OTHER_HOST_RETRY_AFTER);
}

void refuseExpired(Host &host, HostEffects &effects, TimePoint now)
{
    refuseExpiredWaits(host, effects, now);
    refuseAfterDrain(host, effects, now);
    while (!host.deadlines.empty()) {
        const auto [deadline, id] = *host.deadlines.begin();
        if (now < deadline - REFUSAL_MARGIN)
            return;
        onDeadline(host, id, effects, now);
    }
}

} // namespace bilberry
