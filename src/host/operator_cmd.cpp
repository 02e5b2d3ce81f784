/** @file operator_cmd.cpp Operators' requests on their way from a host to the leader. */
#include "host/host_internal.h"

#include "state/change_func.h"

#include <algorithm>
#include <array>

namespace bilberry {

namespace {

/** @return Whether the leader must be asked what the change is to be based on. */
bool needsBase(const OperatorBody &body)
{
    return std::visit(
        [](const auto &change) {
            using Body = std::decay_t<decltype(change)>;
            if constexpr (std::is_same_v<Body, RecordTargetShutdown>)
                return change.start == Incarnation();
            else
                return ChangesRecord<Body> || std::is_same_v<Body, ChangeMember>;
        },
        body);
}

/** Names of the alternatives of OperatorBody, for log lines. */
constexpr std::array<const char *, std::variant_size_v<OperatorBody>> REQUEST_NAMES
    = {"applyConfig", "grantKey",     "withdrawKey",   "setZone",    "setTargetLeaving",
       "status",      "changeMember", "replaceConfig", "showConfig", "targetShutdown"};

/** @return Kind of the request and the id of what it is about, as "setZone z1". */
std::string nameOf(const OperatorBody &body)
{
    std::string name = REQUEST_NAMES[body.index()];
    return std::visit(
        [&](const auto &change) -> std::string {
            using Body = std::decay_t<decltype(change)>;
            if constexpr (ChangesRecord<Body>)
                return name + " " + recordOf(change).id;
            else if constexpr (std::is_same_v<Body, RecordTargetShutdown>)
                return name + " " + change.target.value;
            else
                return name;
        },
        body);
}

std::string changeIdOf(const OperatorBody &body)
{
    return std::visit(
        [](const auto &change) -> std::string {
            if constexpr (requires { change.changeId; })
                return change.changeId;
            else
                return "";
        },
        body);
}

/** Sends the message of the request's present step, with the time that the host still waits. */
void sendCall(const PendingOperatorRequest &pending, HostEffects &effects, TimePoint now)
{
    OperatorCall call = pending.call;
    if (pending.deadline != TimePoint::max())
        call.timeLeftMs = std::max<std::int64_t>(toMilliseconds(pending.deadline - now), 0);
    effects.push_back(SendControl{std::move(call)});
}

/** Sends the message of the request's present step, under a new id: an answer to an earlier step
 * that arrives late has another one. */
void sendStep(Host &host, PendingOperatorRequest &pending, HostEffects &effects, TimePoint now)
{
    pending.call.id = ++host.lastOperatorCall;
    sendCall(pending, effects, now);
}

void askForBase(Host &host, PendingOperatorRequest &pending, HostEffects &effects, TimePoint now)
{
    pending.step = OperatorStep::AskingForBase;
    pending.call.dryRun = true;
    pending.call.asksForBase = true;
    pending.call.base.reset();
    sendStep(host, pending, effects, now);
}

void sendRequest(Host &host, PendingOperatorRequest &pending, HostEffects &effects, TimePoint now)
{
    pending.step = OperatorStep::Sent;
    pending.call.dryRun = pending.dryRun;
    pending.call.asksForBase = false;
    sendStep(host, pending, effects, now);
}

/** Ends a request: tells the operator, if it still waits. */
void endRequest(Host &host, std::uint64_t request, OperatorAnswer answer, OperatorEnd end,
                HostEffects &effects, TimePoint now)
{
    const auto it = host.operatorRequests.find(request);
    const PendingOperatorRequest &pending = it->second;
    answer.id = request;
    effects.push_back(AnswerOperator{std::move(answer), end, now - pending.receivedAt,
                                     nameOf(pending.call.body), changeIdOf(pending.call.body),
                                     pending.call.base});
    host.operatorRequests.erase(it);
}

/** Takes over the leader's answer to askForBase(). A leader that does not know the question answers
 * without a base; the change is then sent without one. */
void adoptBase(PendingOperatorRequest &pending, const nlohmann::json &body)
{
    const ChangeBase known = body.is_object() ? body.get<ChangeBase>() : ChangeBase();
    pending.call.base = known.base;
    if (auto *shutdown = std::get_if<RecordTargetShutdown>(&pending.call.body))
        shutdown->start = known.start;
}

} // namespace

void onOperatorRequest(Host &host, const OperatorRequest &request, HostEffects &effects,
                       TimePoint now)
{
    PendingOperatorRequest &pending = host.operatorRequests[request.id];
    pending.call.holder = host.settings.holder;
    pending.call.body = request.body;
    pending.dryRun = request.dryRun;
    pending.receivedAt = now;
    pending.deadline = request.deadline;
    if (now >= pending.deadline)
        expireOperatorRequests(host, effects, now);
    else if (!pending.dryRun && needsBase(pending.call.body))
        askForBase(host, pending, effects, now);
    else
        sendRequest(host, pending, effects, now);
}

void onOperatorAnswer(Host &host, const OperatorAnswer &answer, HostEffects &effects, TimePoint now)
{
    const auto it
        = std::find_if(host.operatorRequests.begin(), host.operatorRequests.end(),
                       [&](const auto &item) { return item.second.call.id == answer.id; });
    if (it == host.operatorRequests.end())
        return;
    PendingOperatorRequest &pending = it->second;
    if (pending.step == OperatorStep::AskingForBase && answer.error == Errc::Ok) {
        adoptBase(pending, answer.body);
        pending.step = OperatorStep::CheckingOperator;
        effects.push_back(CheckOperator{it->first});
    } else if (pending.step == OperatorStep::Sent && pending.call.base
               && answer.error == Errc::VersionConflict) {
        ++host.counters.changesOvertaken;
        askForBase(host, pending, effects, now);
    } else if (pending.step != OperatorStep::CheckingOperator) {
        endRequest(host, it->first, answer, OperatorEnd::Answered, effects, now);
    }
}

void onOperatorPresence(Host &host, const OperatorPresence &presence, HostEffects &effects,
                        TimePoint now)
{
    const auto it = host.operatorRequests.find(presence.id);
    if (it == host.operatorRequests.end() || it->second.step != OperatorStep::CheckingOperator)
        return;
    if (presence.waits) {
        sendRequest(host, it->second, effects, now);
        return;
    }
    ++host.counters.operatorRequestsAbandoned;
    endRequest(host, it->first, {0, Errc::Timeout, nullptr}, OperatorEnd::OperatorGone, effects,
               now);
}

void expireOperatorRequests(Host &host, HostEffects &effects, TimePoint now)
{
    for (auto it = host.operatorRequests.begin(); it != host.operatorRequests.end();) {
        const auto &[request, pending] = *it++;
        if (now < pending.deadline)
            continue;
        ++host.counters.operatorRequestsExpired;
        endRequest(host, request, {0, Errc::Timeout, nullptr}, OperatorEnd::Expired, effects, now);
    }
}

void resendOperatorRequests(const Host &host, HostEffects &effects, TimePoint now)
{
    for (const auto &[request, pending] : host.operatorRequests) {
        if (pending.step != OperatorStep::CheckingOperator)
            sendCall(pending, effects, now);
    }
}

} // namespace bilberry
