/** @file operators_port_func.h HTTP endpoints of the operators' port and of the targets' port. */
#pragma once

#include "daemon/control_runner_base.h"
#include "daemon/host_runner_base.h"
#include "net/http_server_base.h"

namespace bilberry {

/** Parts of the daemon that the endpoints use. */
struct DaemonRoles
{
    HostRunner *host = nullptr;
    ControlRunner *control = nullptr; ///< Null without the control role.
};

/**
 * Answers a request on the operators' port: GET /healthz, /readyz, /metrics, /dump or /member, or
 * POST /operator.
 * @return The answer; status 404 for other paths, 405 for other methods.
 */
HttpReply answerOperator(const DaemonRoles &roles, const HttpRequest &request);

/**
 * Answers a request on the targets' port: POST /v1/targets/announce or /v1/targets/cache.
 * @return The answer; status 400 if the request is malformed, 404 for other paths, 503 if the
 * decision thread's queue is full.
 */
HttpReply answerTarget(const DaemonRoles &roles, const HttpRequest &request);

} // namespace bilberry
