/** @file attempt_cmd.cpp Handles ended attempts: completion, retry, resumption, crash suspicion. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "stream/stream_progress_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr Duration MIN_DECLINED_BACKOFF = 100ms; ///< First back-off after a target's refusal.
constexpr int MAX_DECLINED_DOUBLINGS = 4; ///< Maximum number of doublings of the back-off.
/** A broken stream is not resumed if its request has had more attempts than this. */
constexpr int MAX_RESUMES = 2;
/** Maximum attempts of a request whose last one was not sent; all kinds of attempts count. */
constexpr int MAX_ATTEMPTS_IF_UNSENT = 10;
constexpr double SMOOTHING = 0.2; ///< Weight of a new sample in the moving averages.
constexpr std::size_t MAX_SUSPECTS = 1'000; ///< Maximum size of Host::suspects.

/** @return Exponentially weighted moving average with @p sample; @p old is 0 if there is none. */
double smooth(double old, double sample)
{
    return old <= 0 ? sample : old + SMOOTHING * (sample - old);
}

/** Updates the group's service time and token statistics from an answered attempt. */
void recordServiceTime(Host &host, const Request &request, const AttemptEnded &ended, TimePoint now)
{
    GroupStatistics &statistics = host.groups[request.group];
    statistics.serviceSeconds
        = smooth(statistics.serviceSeconds, toSeconds(now - request.dispatchedAt));
    if (ended.tokens > 0)
        statistics.tokens = smooth(statistics.tokens, static_cast<double>(ended.tokens));
}

/**
 * Marks every request that ran on a lost target as a suspect, and reports them to the leader, which
 * quarantines requests that repeatedly coincide with a crash.
 * @param ended Request whose attempt ended, no longer in the target's running set.
 */
void suspectRunningRequests(Host &host, KnownTarget &target, const Request &ended)
{
    std::vector<const Request *> running;
    for (const RequestId id : target.running)
        running.push_back(&host.requests.at(id));
    running.push_back(&ended);
    const auto suspected = std::count_if(running.begin(), running.end(),
                                         [](const Request *r) { return r->suspected; });
    for (const Request *request : running) {
        const bool alone = request->suspected && suspected == 1;
        host.suspicions.push_back(
            {request->asked.body, target.announcement.id, request->targetStart, alone});
        if (host.suspects.size() < MAX_SUSPECTS)
            host.suspects.insert(request->asked.body);
    }
    host.earlyReportRequested = true;
}

/** Updates the health and counters of the target from the result of an attempt. */
void recordTargetOutcome(Host &host, const Request &request, const AttemptEnded &ended,
                         HostEffects &effects, TimePoint now)
{
    const auto it = host.targets.find(request.target);
    if (it == host.targets.end())
        return;
    KnownTarget &target = it->second;
    target.running.erase(request.asked.request);
    returnIdleSlots(host, target);
    const bool sameIncarnation = target.announcement.start == request.targetStart;
    host.counters.calledBack += ended.calledBack ? 1 : 0;
    if (ended.calledBack)
        return;
    switch (ended.result) {
    case AttemptResult::Answered:
        recordAttemptOutcome(target.health, ended.status < 500, now);
        target.failed += ended.status < 500 ? 0 : 1;
        target.succeeded += sameIncarnation ? 1 : 0;
        target.declinedInRow = 0;
        return;
    case AttemptResult::Refused:
        // A target that has said what it wants needs no guess.
        if (target.statedLeaving || now < target.quietUntil)
            return;
        target.overloaded += sameIncarnation && !target.requestRate ? 1 : 0;
        target.declinedUntil[request.group] = now
            + MIN_DECLINED_BACKOFF * (1 << std::min(target.declinedInRow, MAX_DECLINED_DOUBLINGS));
        ++target.declinedInRow;
        return;
    case AttemptResult::Cancelled:
        return;
    case AttemptResult::NotSent:
    case AttemptResult::ServerError:
    case AttemptResult::Mismatched:
    case AttemptResult::InvalidResponse:
        recordAttemptOutcome(target.health, false, now);
        target.failed += ended.result == AttemptResult::NotSent ? 0 : 1;
        return;
    case AttemptResult::Stalled:
        recordAttemptOutcome(target.health, false, now);
        ++target.failed;
        target.overloaded += sameIncarnation ? 1 : 0;
        effects.push_back(RetireConnections{target.announcement.address});
        return;
    case AttemptResult::Lost:
        recordAttemptOutcome(target.health, false, now);
        ++target.failed;
        target.overloaded += sameIncarnation ? 1 : 0;
        if (ended.connectionLost && sameIncarnation)
            suspectRunningRequests(host, target, request);
        return;
    }
}

/** @return Whether the attempt left a broken stream that the same incarnation of the target can
 * resume. */
bool mayResume(const Host &host, const Request &request, const AttemptEnded &ended, TimePoint now)
{
    const bool broken
        = ended.result == AttemptResult::Lost || ended.result == AttemptResult::Stalled;
    const auto target = host.targets.find(request.target);
    return broken && !request.asked.byRoute && ended.relayed.events > 0
        && canContinue(ended.relayed) && request.attempts <= MAX_RESUMES
        && target != host.targets.end() && target->second.announcement.start == request.targetStart
        && !target->second.statedLeaving && now >= target->second.quietUntil
        && hasRequest(target->second, now) && now < request.deadline - REFUSAL_MARGIN;
}

/** Starts an attempt that continues a broken stream at the same target. */
void resume(Host &host, Request &request, const AttemptEnded &ended, HostEffects &effects,
            TimePoint now)
{
    ++host.counters.resumed;
    ++request.attempts;
    KnownTarget &target = host.targets.at(request.target);
    target.running.insert(request.asked.request);
    target.requests.spent += target.requestRate ? 1 : 0;
    request.attempt = AttemptId(++host.lastAttempt);
    host.attempts[request.attempt] = request.asked.request;
    beginTrial(host, request, now);
    StartAttempt start;
    start.attempt = request.attempt;
    start.request = request.asked.request;
    start.target = request.target;
    start.targetStart = request.targetStart;
    start.address = target.announcement.address;
    start.remaining = request.deadline - now;
    start.deadline = request.deadline;
    start.sendBy = latestSendTime(host, request, target, now);
    start.reportStatement = target.requestRate.has_value();
    start.firstByteLimit = std::min<Duration>(start.remaining, 5s);
    start.interByteLimit = 5s;
    start.freshConnection = true;
    start.correlation = request.correlation;
    start.relayed = ended.relayed;
    start.reportBegin = reportsBegin(host, request);
    start.urgency = urgencyOf(host, request, now);
    start.ranking = rankNoteOf(request, now);
    effects.push_back(start);
}

/** @return Whether another target may give what the caller lacks of the response. */
bool mayContinueElsewhere(const Request &request)
{
    return !request.relayed.begun || (request.resumable && canContinue(request.relayed));
}

/** @return Whether the request may be attempted again. If so, one retry is taken from the service's
 * retry budget, unless the last attempt was not sent. */
bool mayRetry(Host &host, const Request &request, const AttemptEnded &ended, TimePoint now)
{
    const bool expired = request.callerGone || now >= request.deadline - REFUSAL_MARGIN;
    if (expired || !mayContinueElsewhere(request))
        return false;
    const bool didNotRun
        = ended.result == AttemptResult::Refused || ended.result == AttemptResult::NotSent;
    if (!didNotRun && !request.repeatable && !request.resumable)
        return false;
    // Attempts that were not sent put no load on targets and need no retry budget. Attempts that
    // did not run do not count towards mostRuns.
    if (ended.result == AttemptResult::NotSent)
        return request.attempts < MAX_ATTEMPTS_IF_UNSENT;
    if (!didNotRun && request.runs >= request.mostRuns)
        return false;
    return tryTakeRetry(host.retries[request.group.service]);
}

/** Puts a request back at the front of its queue for another attempt. */
void requeue(Host &host, Request &request, HostEffects &effects, TimePoint now)
{
    ++host.counters.retries;
    request.suspected = request.suspected || host.suspects.contains(request.asked.body);
    enqueueAdmitted(host, request, effects, now);
}

/** Ends a request that a target has answered. */
void complete(Host &host, Request &request, const AttemptEnded &ended, HostEffects &effects,
              TimePoint now)
{
    ++host.counters.answered;
    if (request.ranked)
        ++host.counters.answeredByRank[request.rank];
    recordDuration(host.counters.answers, now - request.arrived);
    recordServiceTime(host, request, ended, now);
    recordResponse(host, request, now);
    if (host.suspects.erase(request.asked.body) > 0)
        host.cleared.push_back(request.asked.body);
    if (request.recordOwned)
        endCallRecord(host, request, CallEnd::Answered, ended.answer, effects);
    finish(host, request.asked.request, ended.tokens, true, now);
}

} // namespace

void onAttemptEnded(Host &host, const AttemptEnded &ended, HostEffects &effects, TimePoint now)
{
    ++host.counters.attempts[nlohmann::json(ended.result).get<std::string>()];
    if (ended.bound != ResponseLimit::None)
        ++host.counters.bounds[nlohmann::json(ended.bound).get<std::string>()];
    const auto attempt = host.attempts.find(ended.attempt);
    if (attempt == host.attempts.end()) {
        // The attempt was cancelled: its result is discarded, and its slot is free from now on.
        const auto cancelled = host.cancelling.find(ended.attempt);
        if (cancelled == host.cancelling.end())
            return;
        const auto target = host.targets.find(cancelled->second);
        if (target != host.targets.end())
            target->second.cancelling.erase(ended.attempt);
        host.cancelling.erase(cancelled);
        return;
    }
    const RequestId id = attempt->second;
    host.attempts.erase(attempt);
    Request &request = host.requests.at(id);
    recordTargetOutcome(host, request, ended, effects, now);
    if (ended.result == AttemptResult::Lost && ended.connectionLost)
        recordLostRequest(host, request, now);
    if (ended.relayed.begun)
        request.relayed = ended.relayed;
    const bool didNotRun
        = ended.result == AttemptResult::Refused || ended.result == AttemptResult::NotSent;
    request.maySent = request.maySent || !didNotRun;
    request.runs += didNotRun ? 0 : 1;
    countEnded(host, request, ended, now);
    if (ended.result == AttemptResult::Answered) {
        complete(host, request, ended, effects, now);
        return;
    }
    if (!request.callerGone && mayResume(host, request, ended, now)) {
        resume(host, request, ended, effects, now);
        return;
    }
    if (mayRetry(host, request, ended, now)) {
        requeue(host, request, effects, now);
        return;
    }
    const RefusalCode code = request.maySent ? RefusalCode::MayHaveRun : RefusalCode::NoTarget;
    refuse(host, id, code, effects, now);
}

} // namespace bilberry
