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

/** Sends the message of the request's present step, under a new id: an answer to an earlier step
 * that arrives late has another one. */
void sendStep(Host &host, PendingChange &change, HostEffects &effects)
{
    change.call.id = ++host.lastOperatorCall;
    effects.push_back(SendControl{change.call});
}

void askForBase(Host &host, PendingChange &change, HostEffects &effects)
{
    change.step = ChangeStep::AskingForBase;
    change.call.dryRun = true;
    change.call.asksForBase = true;
    change.call.base.reset();
    sendStep(host, change, effects);
}

void sendRequest(Host &host, PendingChange &change, HostEffects &effects)
{
    change.step = ChangeStep::Sent;
    change.call.dryRun = change.dryRun;
    change.call.asksForBase = false;
    sendStep(host, change, effects);
}

/** Ends a request: tells the operator, if it still waits. */
void endRequest(Host &host, std::uint64_t request, OperatorAnswer answer, OperatorEnd end,
                HostEffects &effects, TimePoint now)
{
    const auto it = host.operatorCalls.find(request);
    const PendingChange &change = it->second;
    answer.id = request;
    effects.push_back(AnswerOperator{std::move(answer), end, now - change.receivedAt,
                                     nameOf(change.call.body), changeIdOf(change.call.body),
                                     change.call.base});
    host.operatorCalls.erase(it);
}

/** Takes over the leader's answer to askForBase(). A leader that does not know the question answers
 * without a base; the change is then sent without one. */
void adoptBase(PendingChange &change, const nlohmann::json &body)
{
    const ChangeBase known = body.is_object() ? body.get<ChangeBase>() : ChangeBase();
    change.call.base = known.base;
    if (auto *shutdown = std::get_if<RecordTargetShutdown>(&change.call.body))
        shutdown->start = known.start;
}

} // namespace

void onOperatorRequest(Host &host, const OperatorRequest &request, HostEffects &effects,
                       TimePoint now)
{
    PendingChange &change = host.operatorCalls[request.id];
    change.call.holder = host.settings.holder;
    change.call.body = request.body;
    change.dryRun = request.dryRun;
    change.receivedAt = now;
    change.deadline = request.deadline;
    if (now >= change.deadline)
        expireOperatorCalls(host, effects, now);
    else if (!change.dryRun && needsBase(change.call.body))
        askForBase(host, change, effects);
    else
        sendRequest(host, change, effects);
}

void onOperatorAnswer(Host &host, const OperatorAnswer &answer, HostEffects &effects, TimePoint now)
{
    const auto it
        = std::find_if(host.operatorCalls.begin(), host.operatorCalls.end(),
                       [&](const auto &item) { return item.second.call.id == answer.id; });
    if (it == host.operatorCalls.end())
        return;
    PendingChange &change = it->second;
    if (change.step == ChangeStep::AskingForBase && answer.error == Errc::Ok) {
        adoptBase(change, answer.body);
        change.step = ChangeStep::CheckingOperator;
        effects.push_back(CheckOperator{it->first});
    } else if (change.step == ChangeStep::Sent && change.call.base
               && answer.error == Errc::VersionConflict) {
        ++host.counters.changesOvertaken;
        askForBase(host, change, effects);
    } else if (change.step != ChangeStep::CheckingOperator) {
        endRequest(host, it->first, answer, OperatorEnd::Answered, effects, now);
    }
}

void onOperatorPresence(Host &host, const OperatorPresence &presence, HostEffects &effects,
                        TimePoint now)
{
    const auto it = host.operatorCalls.find(presence.id);
    if (it == host.operatorCalls.end() || it->second.step != ChangeStep::CheckingOperator)
        return;
    if (presence.waits) {
        sendRequest(host, it->second, effects);
        return;
    }
    ++host.counters.changesAbandoned;
    endRequest(host, it->first, {0, Errc::Timeout, nullptr}, OperatorEnd::OperatorGone, effects,
               now);
}

void expireOperatorCalls(Host &host, HostEffects &effects, TimePoint now)
{
    for (auto it = host.operatorCalls.begin(); it != host.operatorCalls.end();) {
        const auto &[request, change] = *it++;
        if (now < change.deadline)
            continue;
        ++host.counters.changesExpired;
        endRequest(host, request, {0, Errc::Timeout, nullptr}, OperatorEnd::Expired, effects, now);
    }
}

void resendOperatorCalls(const Host &host, HostEffects &effects)
{
    for (const auto &[request, change] : host.operatorCalls) {
        if (change.step != ChangeStep::CheckingOperator)
            effects.push_back(SendControl{change.call});
    }
}

} // namespace bilberry
