/** @file operators_port.cpp HTTP endpoints for operators and targets. */
#include "daemon/operators_port_func.h"

namespace bilberry {

namespace {

constexpr Duration OPERATOR_TIMEOUT = 8s; ///< Maximum wait for the leader's answer.
constexpr Duration TARGET_CALL_TIMEOUT
    = 1s; ///< Maximum wait for the leader's answer to a target's shutdown.

HttpReply errorReply(int status, const std::string &type)
{
    return {status, "application/json", nlohmann::json{{"error", {{"type", type}}}}.dump()};
}

HttpReply jsonReply(const nlohmann::json &body)
{
    return {200, "application/json",
            body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

HttpReply healthReply(const DaemonRoles &roles)
{
    const bool journal = roles.control == nullptr || roles.control->isJournalWritable();
    HttpReply reply = jsonReply({{"journal", journal ? "ok" : "unwritable"}});
    reply.status = journal ? 200 : 503;
    return reply;
}

HttpReply readinessReply(const DaemonRoles &roles)
{
    HttpReply reply = jsonReply({{"ready", roles.host->ready()}});
    reply.status = roles.host->ready() ? 200 : 503;
    return reply;
}

HttpReply memberReply(const DaemonRoles &roles)
{
    if (roles.control == nullptr)
        return errorReply(404, "no_control_role");
    return jsonReply({{"member", roles.control->member()}, {"leads", roles.control->isLeader()}});
}

HttpReply dumpReply(const DaemonRoles &roles)
{
    nlohmann::json out{{"host", roles.host->dumpState()}};
    if (roles.control != nullptr)
        out["control"] = roles.control->dumpState();
    return jsonReply(out);
}

HttpReply metricsReply(const DaemonRoles &roles)
{
    std::string out = roles.host->metrics();
    if (roles.control != nullptr)
        out += roles.control->metrics();
    return {200, "text/plain; version=0.0.4", std::move(out)};
}

HttpReply callLeader(const DaemonRoles &roles, const HttpRequest &request)
{
    const nlohmann::json content = nlohmann::json::parse(request.body, nullptr, false);
    if (!content.is_object() || !content.contains("body"))
        return errorReply(400, "malformed_request");
    LeaderCall call{{}, request.arrivedAt + OPERATOR_TIMEOUT, request.callerWaits};
    call.dryRun = content.value("dryRun", false);
    try {
        call.body = content["body"].get<OperatorBody>();
    } catch (const nlohmann::json::exception &) {
        return errorReply(400, "malformed_request");
    }
    const OperatorAnswer answer = roles.host->callLeader(std::move(call));
    return jsonReply({{"error", make_error_code(answer.error).message()},
                      {"code", answer.error},
                      {"body", answer.body}});
}

} // namespace

HttpReply answerOperator(const DaemonRoles &roles, const HttpRequest &request)
{
    if (request.method == "POST" && request.path == "/operator")
        return callLeader(roles, request);
    if (request.method != "GET")
        return errorReply(405, "method");
    if (request.path == "/healthz")
        return healthReply(roles);
    if (request.path == "/readyz")
        return readinessReply(roles);
    if (request.path == "/metrics")
        return metricsReply(roles);
    if (request.path == "/dump")
        return dumpReply(roles);
    if (request.path == "/member")
        return memberReply(roles);
    return errorReply(404, "unknown_path");
}

HttpReply answerTarget(const DaemonRoles &roles, const HttpRequest &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object())
        return errorReply(400, "malformed_request");
    HostEvent event;
    try {
        if (request.path == "/v1/targets/announce") {
            const auto announcement = body.get<TargetAnnouncement>();
            if (announcement.id.value.empty() || announcement.address.empty()
                || announcement.start.value == 0)
                return errorReply(400, "malformed_announcement");
            event = TargetAnnounced{announcement};
        } else if (request.path == "/v1/targets/cache") {
            event = body.get<CacheHint>();
        } else {
            return errorReply(404, "unknown_path");
        }
    } catch (const nlohmann::json::exception &) {
        return errorReply(400, "malformed_announcement");
    }
    const auto *announced = std::get_if<TargetAnnounced>(&event);
    const bool leaving = announced != nullptr && announced->announcement.leaving;
    const RecordTargetShutdown shutdown = leaving
        ? RecordTargetShutdown{announced->announcement.id, announced->announcement.start}
        : RecordTargetShutdown{};
    if (!roles.host->post(std::move(event)))
        return errorReply(503, "overloaded");
    // The acknowledgement promises that no host sends new requests from then on.
    if (!leaving)
        return jsonReply({{"ok", true}});
    const OperatorAnswer recorded = roles.host->callLeader(
        {shutdown, request.arrivedAt + TARGET_CALL_TIMEOUT, request.callerWaits});
    if (recorded.error != Errc::Ok)
        return errorReply(503, "no_leader");
    return jsonReply({{"ok", true}});
}

} // namespace bilberry
