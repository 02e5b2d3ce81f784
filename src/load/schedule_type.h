/** @file schedule_type.h Open-loop load: what is sent, and when. */
#pragma once

#include "core/codec_func.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace bilberry {

/** One request of a schedule. */
struct ScheduledRequest
{
    Duration at{}; ///< After the start of the run; sent then, whatever else is going on.
    std::string account; ///< Label in the report, and name of the key to use.
    std::string path;
    std::string body;
    std::string idempotencyKey;
    bool streamed = false;
    int timeLimitMs = 0; ///< 0: none.
    int resends = 0; ///< Further sends after a lost answer or a refusal with may-have-run.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ScheduledRequest, at, account, path, body,
                                                idempotencyKey, streamed, timeLimitMs, resends)

/** What became of one request. */
struct RequestOutcome
{
    std::string account;
    Duration at{}; ///< Scheduled time.
    Duration latency{}; ///< From the scheduled time to the end of the answer.
    Duration firstByte{}; ///< From the scheduled time to the first byte of the body.
    int status = 0; ///< 0: no answer.
    std::string type; ///< Type of a refusal.
    std::string execution; ///< Of a refusal: "not-run", "may-have-run" or empty.
    bool whole = false; ///< The answer was complete and its own.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestOutcome, account, at, latency, firstByte,
                                                status, type, execution, whole)

} // namespace bilberry
