/** @file edge_type.h What the daemon says to callers, targets and operators, as free functions. */
#pragma once

#include "control/control_type.h"
#include "host/host_type.h"
#include "net/exchange_base.h"

#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

struct DaemonDuties;
struct HttpReply;
struct HttpRequest;

/** A caller's HTTP request as it came. */
struct RawRequest
{
    std::string method;
    std::string target; ///< Path and query, byte for byte.
    HeaderList headers;
    std::string body;
};

/** An event, or a refusal by form. */
struct ParsedRequest
{
    std::optional<RefusalCode> refusal;
    CallerRequest event;
    ForwardedRequest forwarded;
};

/** A whole answer to a caller. */
struct EncodedAnswer
{
    int status = 0;
    std::string contentType;
    HeaderList headers;
    std::string body;
};

/** What the head of a target's answer says. */
struct AnswerHead
{
    bool own = false; ///< It answers this very attempt and may be passed on.
    bool notRun = false; ///< The target says that it did not run the request.
    bool streamed = false; ///< A series of events.
    HeaderList relayed; ///< Headers that the caller gets.
};

/** How the end of an answer is known. */
enum class AnswerEnd {
    Marked, ///< Streams end with an event of their own, other answers have a length.
    Framed, ///< By length, last chunk, or the orderly end of the connection.
};

/** An order as a HTTP request. */
struct EncodedOrder
{
    std::string path;
    HeaderList headers;
    std::string body;
};

/** One way of speaking; the daemon takes one by its settings. */
struct Edge
{
    /** Parses a request; never throws. @param unixSeconds Present time of day. */
    ParsedRequest (*parseRequest)(RequestId id, RawRequest raw, std::int64_t unixSeconds);
    /** @param correlation Of the request, as parseRequest() read it. */
    EncodedAnswer (*encodeRefusal)(const RefuseCaller &refusal, const std::string &correlation);
    /** @return What a stream that has begun gets before it visibly breaks; empty: nothing. */
    std::string (*encodeStreamError)(const RefuseCaller &refusal);
    /** @return Headers of an attempt. */
    HeaderList (*attemptHeaders)(const ForwardedRequest &forwarded, const StartAttempt &attempt);
    AnswerHead (*readAnswerHead)(const ForwardedRequest &forwarded, const StartAttempt &attempt,
                                 int status, const HeaderList &headers);
    AnswerEnd answerEnd;
    /** @return Number of the event that @p event is, or nothing if it has none. */
    std::optional<std::int64_t> (*eventNumber)(std::string_view event);
    EncodedOrder (*encodeOrder)(const Order &order, const std::string &holder);
    /** @return Path at which a target tells what it has accepted; empty: it does not. */
    std::string (*inspectionPath)();
    std::optional<TargetInspection> (*readInspection)(const std::string &body);
    /** Answers targets; may block. */
    HttpReply (*answerTarget)(const DaemonDuties &duties, const HttpRequest &request);
    /** Answers a balancer that asks for readiness. */
    HttpReply (*answerReadiness)(const DaemonDuties &duties, const HttpRequest &request);
};

/** @return Whether two header names are the same; case does not count. */
bool sameName(std::string_view a, std::string_view b);

/** @return The value of the header @p name, empty if there is none. Names ignore case. */
std::string headerOf(const HeaderList &headers, std::string_view name);

} // namespace bilberry
