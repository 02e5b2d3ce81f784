/** @file call_cmd.cpp A host's side of recorded calls, which are not repeatable. */
#include "host/host_internal.h"

namespace bilberry {

namespace {

CallId callIdOf(const Request &request)
{
    return {request.account, request.asked.idempotencyKey};
}

/** Sends a call report to the leader and keeps it until acknowledged. */
void reportCall(Host &host, CallReport report, HostEffects &effects)
{
    effects.push_back(SendControl{report});
    const RequestId request = report.request;
    host.callReports[request] = std::move(report);
}

/** Ends a request with the stored response of its call; refuses it if the response was too large to
 * be stored. */
void replay(Host &host, RequestId id, const StoredAnswer &answer, HostEffects &effects,
            TimePoint now)
{
    ++host.counters.callsReplayed;
    Request &request = host.requests.at(id);
    if (answer.truncated) {
        request.maySent = true;
        refuse(host, id, RefusalCode::AnswerNotKept, effects, now);
        return;
    }
    if (!request.callerGone)
        effects.push_back(ReplayAnswer{id, answer});
    finish(host, id, 0, false, now);
}

} // namespace

void requestCallVerdict(Host &host, const Request &request, HostEffects &effects)
{
    effects.push_back(SendControl{CallQuery{host.settings.holder, request.asked.request,
                                            callIdOf(request), request.asked.body}});
}

void endCallRecord(Host &host, Request &request, CallEnd end, std::optional<StoredAnswer> answer,
                   HostEffects &effects)
{
    request.recordOwned = false;
    reportCall(host,
               {host.settings.holder, request.asked.request, callIdOf(request), end,
                std::move(answer).value_or(StoredAnswer{})},
               effects);
}

void onCallAnswer(Host &host, const CallAnswer &answer, HostEffects &effects, TimePoint now)
{
    const auto it = host.requests.find(answer.request);
    if (it == host.requests.end()) {
        // The request ended before this verdict arrived and was not dispatched, so the call record
        // is ended as not run. If a report on the request is still unacknowledged, that report
        // ends the record.
        const bool ended = host.callReports.contains(answer.request);
        if (answer.verdict == CallVerdict::Dispatch && !ended)
            reportCall(host, {host.settings.holder, answer.request, answer.id, CallEnd::NotRun, {}},
                       effects);
        return;
    }
    Request &request = it->second;
    const bool waits
        = request.state == RequestState::WaitingForVerdict || request.state == RequestState::Joined;
    if (!waits)
        return; // A repeated verdict: the first one has been applied already.
    const RequestId id = answer.request;
    switch (answer.verdict) {
    case CallVerdict::Dispatch:
        request.recordOwned = true;
        enqueueAdmitted(host, request, effects, now);
        return;
    case CallVerdict::Join:
        // A second Join means that the call record was dropped because its owner did not run the
        // call: ask the leader again.
        if (request.state == RequestState::Joined)
            requestCallVerdict(host, request, effects);
        else
            ++host.counters.callsJoined;
        request.state = RequestState::Joined;
        return;
    case CallVerdict::Replay:
        replay(host, id, answer.answer, effects, now);
        return;
    case CallVerdict::MayHaveRun:
        request.maySent = true;
        refuse(host, id, RefusalCode::MayHaveRun, effects, now);
        return;
    case CallVerdict::IdempotencyConflict:
        request.state = RequestState::WaitingForVerdict;
        refuse(host, id, RefusalCode::IdempotencyConflict, effects, now);
        return;
    case CallVerdict::TableFull:
        refuse(host, id, RefusalCode::CallRecordsFull, effects, now);
        return;
    }
}

} // namespace bilberry
