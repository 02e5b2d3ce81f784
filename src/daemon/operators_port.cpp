/** @file operators_port.cpp Operators' and targets' HTTP endpoints. */
#include "daemon/operators_port_func.h"

namespace bilberry {

namespace {

constexpr Duration OPERATOR_TIMEOUT = 8s;

HttpReply error(int status, const std::string &type)
{
    return {status, "application/json", nlohmann::json{{"error", {{"type", type}}}}.dump()};
}

HttpReply json(const nlohmann::json &body)
{
    return {200, "application/json",
            body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

HttpReply health(const DaemonDuties &duties)
{
    const bool journal = duties.control == nullptr || duties.control->journalWorks();
    HttpReply reply = json({{"journal", journal ? "ok" : "unwritable"}});
    reply.status = journal ? 200 : 503;
    return reply;
}

HttpReply readiness(const DaemonDuties &duties)
{
    HttpReply reply = json({{"ready", duties.host->ready()}});
    reply.status = duties.host->ready() ? 200 : 503;
    return reply;
}

HttpReply member(const DaemonDuties &duties)
{
    if (duties.control == nullptr)
        return error(404, "no_control_role");
    return json({{"member", duties.control->member()}, {"leads", duties.control->leads()}});
}

HttpReply dumpAll(const DaemonDuties &duties)
{
    nlohmann::json out{{"host", duties.host->dumpState()}};
    if (duties.control != nullptr)
        out["control"] = duties.control->dumpState();
    return json(out);
}

HttpReply callLeader(const DaemonDuties &duties, const std::string &body)
{
    const nlohmann::json request = nlohmann::json::parse(body, nullptr, false);
    if (!request.is_object() || !request.contains("body"))
        return error(400, "malformed_request");
    OperatorBody parsed;
    try {
        parsed = request["body"].get<OperatorBody>();
    } catch (const nlohmann::json::exception &) {
        return error(400, "malformed_request");
    }
    const OperatorAnswer answer = duties.host->callLeader(
        std::move(parsed), request.value("dryRun", false), OPERATOR_TIMEOUT);
    return json({{"error", make_error_code(answer.error).message()},
                 {"code", answer.error},
                 {"body", answer.body}});
}

} // namespace

HttpReply answerOperator(const DaemonDuties &duties, const HttpRequest &request)
{
    if (request.method == "POST" && request.path == "/operator")
        return callLeader(duties, request.body);
    if (request.method != "GET")
        return error(405, "method");
    if (request.path == "/healthz")
        return health(duties);
    if (request.path == "/readyz")
        return readiness(duties);
    if (request.path == "/metrics")
        return {200, "text/plain; version=0.0.4", duties.host->metrics()};
    if (request.path == "/dump")
        return dumpAll(duties);
    if (request.path == "/member")
        return member(duties);
    return error(404, "unknown_path");
}

HttpReply answerTarget(const DaemonDuties &duties, const HttpRequest &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object())
        return error(400, "malformed_request");
    HostEvent event;
    try {
        if (request.path == "/v1/targets/announce") {
            const auto announcement = body.get<TargetAnnouncement>();
            if (announcement.id.value.empty() || announcement.address.empty()
                || announcement.start.value == 0)
                return error(400, "malformed_announcement");
            event = TargetAnnounced{announcement};
        } else if (request.path == "/v1/targets/cache") {
            event = body.get<CacheHint>();
        } else {
            return error(404, "unknown_path");
        }
    } catch (const nlohmann::json::exception &) {
        return error(400, "malformed_announcement");
    }
    if (!duties.host->post(std::move(event)))
        return error(503, "overloaded");
    return json({{"ok", true}});
}

} // namespace bilberry
