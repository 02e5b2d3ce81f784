/** @file operators_port_func.h What the operators' port and the targets' port answer. */
#pragma once

#include "daemon/control_duty_base.h"
#include "daemon/host_duty_base.h"
#include "net/http_server_base.h"

namespace bilberry {

/** Duties that the ports reach; control may be null. */
struct DaemonDuties
{
    HostDuty *host = nullptr;
    ControlDuty *control = nullptr;
};

/** GET /healthz, /readyz, /metrics, /dump, /member; POST /operator. */
HttpReply answerOperator(const DaemonDuties &duties, const HttpRequest &request);

/** POST /v1/targets/announce and /v1/targets/cache. */
HttpReply answerTarget(const DaemonDuties &duties, const HttpRequest &request);

} // namespace bilberry
