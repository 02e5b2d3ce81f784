/** @file request_end_cmd.cpp Ends of requests: refusals, deadlines, settlements. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** Takes a waiting request out of whatever it waits in. */
void unwait(Host &host, const Request &request)
{
    const RequestId id = request.asked.request;
    if (request.state == RequestState::Queued)
        removeWaiting(host.queue, {id, request.account, request.group, request.workClass});
    if (request.state != RequestState::WaitingBudget || request.account.value.empty())
        return;
    std::deque<RequestId> &waiting = host.accounts[request.account].waiting;
    std::erase(waiting, id);
}

/** Settles the reservation: what did not run is given back, a wrong estimate is corrected. */
void settle(Host &host, const Request &request, std::int64_t tokensUsed, bool ran)
{
    if (!request.charged)
        return;
    // What the caller declared is what counts, however little was generated.
    if (request.asked.declaredTokens || request.asked.byRoute)
        tokensUsed = request.estimate;
    HeldAccount &held = host.accounts[request.account];
    if (!ran && !request.maySent) {
        held.requests.spent -= 1;
        held.usedRequests -= 1;
        tokensUsed = 0;
    }
    held.tokens.spent += tokensUsed - request.estimate;
    held.usedTokens += tokensUsed - request.estimate;
    if (request.attempts > 0)
        charge(host.queue, request.workClass, request.account,
               static_cast<double>(tokensUsed - request.estimate), weightOf(host, request.account));
}

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
    // The cause tells callers whether another time limit would have helped.
    const bool cold = request.state == RequestState::Queued && !isServed(host, request.group, now);
    refuse(host, id, cold ? RefusalCode::NoTarget : RefusalCode::Deadline, effects, now);
}

constexpr std::size_t MAX_RETURNS = 1'000;
constexpr Duration ANOTHER_HOST = 50ms; ///< Another host can serve at once.
constexpr Duration DEFAULT_RETURN = 1s; ///< Where nothing tells when there will be room.

} // namespace

void finish(Host &host, RequestId id, std::int64_t tokensUsed, bool ran, TimePoint)
{
    const auto it = host.requests.find(id);
    Request &request = it->second;
    unwait(host, request);
    settle(host, request, tokensUsed, ran);
    host.deadlines.erase({request.deadline, id});
    host.waits.erase({request.waitUntil, id});
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
    // A question under way may still make this request the owner of a record.
    if (request.recordOwned || request.state == RequestState::WaitingVerdict)
        endCallRecord(host, request, request.maySent ? CallEnd::Lost : CallEnd::NotRun, {},
                      effects);
    ++host.counters.refusals[faceOf(code).type];
    note(host.counters.refusalTimes, now - request.arrived);
    if (!request.callerGone)
        effects.push_back(RefuseCaller{id, code, execution, retryAfter});
    finish(host, id, 0, request.maySent, now);
}

void turnAway(Host &host, RequestId id, Duration wait, HostEffects &effects, TimePoint now)
{
    const Request &request = host.requests.at(id);
    std::deque<TimePoint> &returns = host.groups[request.group].returns;
    if (returns.size() < MAX_RETURNS)
        returns.push_back(now + wait);
    host.reportWanted = true;
    refuse(host, id, RefusalCode::NoTarget, effects, now, wait);
}

/** Callers who are about to leave are told at once when to come back. */
void sweepWaits(Host &host, HostEffects &effects, TimePoint now)
{
    while (!host.waits.empty() && host.waits.begin()->first <= now) {
        const RequestId id = host.waits.begin()->second;
        host.waits.erase(host.waits.begin());
        const Request &request = host.requests.at(id);
        if (request.state != RequestState::Queued || request.eventsRelayed > 0)
            continue;
        const std::optional<Duration> load = expectedLoad(host, request.group, now);
        turnAway(host, id, load.value_or(DEFAULT_RETURN), effects, now);
    }
}

/** Once the drain is over, what still waits is better off at another host. */
void sweepLeaving(Host &host, HostEffects &effects, TimePoint now)
{
    if (!host.leaving || now < host.leavingSince + host.settings.drain)
        return;
    std::vector<RequestId> waiting;
    for (const auto &[id, request] : host.requests) {
        if (request.asked.byRoute && request.state != RequestState::Running)
            waiting.push_back(id);
    }
    for (const RequestId id : waiting)
        refuse(host, id, RefusalCode::ShuttingDown, effects, now, ANOTHER_HOST);
}

void sweepDeadlines(Host &host, HostEffects &effects, TimePoint now)
{
    sweepWaits(host, effects, now);
    sweepLeaving(host, effects, now);
    while (!host.deadlines.empty()) {
        const auto [deadline, id] = *host.deadlines.begin();
        if (now < deadline - ANSWER_MARGIN)
            return;
        onDeadline(host, id, effects, now);
    }
}

} // namespace bilberry
