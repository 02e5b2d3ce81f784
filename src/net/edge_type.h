/** @file edge_type.h Protocol adapter: encoding of the messages between the daemon and its callers,
 * targets and load balancer. */
#pragma once

#include "control/control_type.h"
#include "host/host_type.h"
#include "net/exchange_base.h"
#include "net/grammar_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

struct DaemonRoles;
struct HttpReply;
struct HttpRequest;

/** HTTP request of a caller as received, not yet parsed. */
struct RawRequest
{
    std::string method;
    std::string target; ///< HTTP request target: path and query, byte for byte.
    HeaderList headers;
    std::string body;
};

/** Result of parsing a caller's request. */
struct ParsedRequest
{
    std::optional<RefusalCode> refusal; ///< Set if the request is invalid; it is then not admitted.
    CallerRequest event; ///< Event for the host's state machine.
    ForwardedRequest forwarded; ///< Request as sent to a target.
};

/** Complete HTTP response to a caller. */
struct EncodedAnswer
{
    int status = 0; ///< HTTP status code.
    std::string contentType;
    HeaderList headers;
    std::string body;
};

/** Information from the status line and the headers of a target's answer. */
struct AnswerHead
{
    bool identified = false; ///< The answer carries the id of the request.
    bool belongsToAttempt = false; ///< The answer belongs to this attempt; the caller may get it.
    bool notRun = false; ///< The target states that it did not execute the request.
    bool streamed = false; ///< The body is a stream of server-sent events.
    /** What the target states about itself; empty if the answer may be another target's. */
    std::optional<TargetStatement> statement;
    HeaderList relayedHeaders; ///< Headers to send to the caller.
};

/** How the daemon tells a complete answer of a target from a truncated one. */
enum class CompletionRule {
    EndMarker, ///< Streams end with an end marker event; other answers have a length or are
               ///< chunked.
    HttpFraming, ///< HTTP framing alone: length, last chunk, or orderly close of the connection.
};

/** Order to a target or call to the infrastructure, encoded as an HTTP POST request. */
struct EncodedOrder
{
    std::string path;
    HeaderList headers;
    std::string body;
};

/** Protocol adapter as a table of functions; the settings select which one the daemon uses. */
struct Edge
{
    /** @return Fault in the fields of the interface, in the head of a caller's request that is well
     * formed otherwise. */
    std::optional<GrammarFault> (*checkHeaders)(const HeaderList &headers);
    /**
     * Parses a caller's request; never throws.
     * @param unixSeconds Current wall-clock time, in Unix seconds.
     */
    ParsedRequest (*parseRequest)(RequestId id, RawRequest raw, std::int64_t unixSeconds);
    /**
     * @param correlation Caller's correlation id as read by parseRequest(); empty if none.
     * @return The refusal as a complete HTTP response.
     */
    EncodedAnswer (*encodeRefusal)(const RefuseCaller &refusal, const std::string &correlation);
    /** @return Bytes to append to a started stream before it is aborted; empty: none. */
    std::string (*encodeStreamError)(const RefuseCaller &refusal);
    /** @return Request headers that an attempt sends to the target. */
    HeaderList (*attemptHeaders)(const ForwardedRequest &forwarded, const StartAttempt &attempt);
    /** Interprets the status code and the headers of a target's answer to @p attempt. */
    AnswerHead (*readAnswerHead)(const ForwardedRequest &forwarded, const StartAttempt &attempt,
                                 int status, const HeaderList &headers);
    CompletionRule completionRule; ///< Rule by which a target's answer counts as complete.
    /**
     * @param place Place of the event in its stream, from 1.
     * @return Id by which a target continues the stream after @p event; nothing if its order among
     * the ids of the stream is not known.
     */
    std::optional<EventId> (*eventId)(std::string_view event, std::int64_t place);
    /** @param holder Id of the host that sends the order. */
    EncodedOrder (*encodeOrder)(const Order &order, const std::string &holder);
    /** @return Path at which a target reports its accepted orders; empty: targets do not report. */
    std::string (*inspectionPath)();
    /** Parses a target's report on its accepted orders. @return Nothing if @p body is malformed. */
    std::optional<TargetInspection> (*readInspection)(const std::string &body);
    /**
     * Encodes a call to the infrastructure's interface; null if the protocol defines no such calls.
     * @param holder Id of the host that makes the call. Equal calls have equal bodies.
     */
    EncodedOrder (*encodeDutyCall)(const DutyCall &call, const std::string &holder);
    /** Handles a request that a target sends to the daemon; may block. */
    HttpReply (*answerTarget)(const DaemonRoles &roles, const HttpRequest &request);
    /** Handles the readiness probe of a load balancer. */
    HttpReply (*answerReadiness)(const DaemonRoles &roles, const HttpRequest &request);
};

/** @return Whether two header names are equal, ignoring case. */
bool equalHeaderNames(std::string_view a, std::string_view b);

/** @return Value of the first header named @p name, ignoring case; empty if there is none. */
std::string headerValue(const HeaderList &headers, std::string_view name);

/** @return Values of all headers named @p name, ignoring case; valid as long as @p headers. */
std::vector<std::string_view> headerValues(const HeaderList &headers, std::string_view name);

} // namespace bilberry
