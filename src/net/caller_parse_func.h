/** @file caller_parse_func.h Reads a caller's request into an event. */
#pragma once

#include "host/host_type.h"
#include "net/exchange_base.h"

#include <optional>
#include <string>

namespace bilberry {

/** Parts of a caller's HTTP request that matter. */
struct RawRequest
{
    std::string method;
    std::string path;
    std::string query; ///< Without the question mark.
    std::string authorization;
    std::string contentType;
    std::string accept;
    std::string timeLimitMs;
    std::string idempotencyKey;
    std::string idempotencyCreated;
    std::string body;
};

/** An event, or a refusal by form. */
struct ParsedRequest
{
    std::optional<RefusalCode> refusal;
    CallerRequest event;
    ForwardedRequest forwarded;
};

/**
 * Parses a request; never throws.
 * @param unixSeconds Present time of day, for Idempotency-Created.
 */
ParsedRequest parseCallerRequest(RequestId id, RawRequest raw, std::int64_t unixSeconds);

} // namespace bilberry
