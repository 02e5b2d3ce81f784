/** @file schedule_type.h Requests of an open-loop load schedule and their outcomes. */
#pragma once

#include "core/codec_func.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace bilberry {

/** One request of a schedule. */
struct ScheduledRequest
{
    Duration at{}; ///< Send time after the start of the run, independent of earlier answers.
    std::string account; ///< Label in the report, and account whose key is sent.
    std::string path;
    std::string body;
    std::string idempotencyKey;
    bool streamed = false;
    int timeLimitMs = 0; ///< Time limit sent with the request; 0: none.
    int resends
        = 0; ///< Number of retries left; the request is retried until a complete answer arrives.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ScheduledRequest, at, account, path, body,
                                                idempotencyKey, streamed, timeLimitMs, resends)

/** Outcome of one request. */
struct RequestOutcome
{
    std::string account;
    Duration at{}; ///< Scheduled time.
    Duration latency{}; ///< From the scheduled time to the end of the answer.
    Duration firstByte{}; ///< From the scheduled time to the first byte of the body.
    int status = 0; ///< HTTP status; 0: no answer.
    std::string type; ///< Error type of a refusal, or of a failure to send or receive.
    std::string execution; ///< X-Execution of the answer: "not-run", "may-have-run" or empty.
    bool whole = false; ///< The answer was complete and belongs to this request.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestOutcome, account, at, latency, firstByte,
                                                status, type, execution, whole)

} // namespace bilberry
