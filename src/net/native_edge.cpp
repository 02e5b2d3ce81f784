/** @file native_edge.cpp Protocol adapter of the native HTTP interface towards callers and targets.
 */
#include "net/native_edge_func.h"

#include "daemon/operators_port_func.h"
#include "net/grammar_func.h"
#include "net/http_server_base.h"
#include "stream/stream_progress_func.h"
#include "target/statement_func.h"

#include <absl/strings/match.h>

namespace bilberry {

namespace {

constexpr int STATUS_UNAVAILABLE = 503;

nlohmann::json errorBody(const RefuseCaller &refusal)
{
    const RefusalResponse &response = refusalResponseOf(refusal.code);
    const std::string execution = nlohmann::json(refusal.execution).get<std::string>();
    return {{"error",
             {{"type", response.type}, {"message", response.message}, {"execution", execution}}}};
}

EncodedAnswer encodeRefusal(const RefuseCaller &refusal, const std::string &)
{
    const std::string execution = nlohmann::json(refusal.execution).get<std::string>();
    EncodedAnswer answer;
    answer.status = refusalResponseOf(refusal.code).status;
    answer.contentType = "application/json";
    answer.headers.emplace_back("X-Execution", execution);
    answer.body = errorBody(refusal).dump();
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        answer.headers.emplace_back("Retry-After",
                                    std::to_string(std::max<std::int64_t>(seconds, 1)));
    }
    return answer;
}

std::string encodeStreamError(const RefuseCaller &refusal)
{
    return "event: error\ndata: " + errorBody(refusal).dump() + "\n\n";
}

/** @return Whether the interface reads the field, and reads one alone. */
bool standsOnce(std::string_view name)
{
    for (const char *known : {"Authorization", "Content-Type", "Idempotency-Key",
                              "Idempotency-Created", "X-Time-Limit-Ms"}) {
        if (equalHeaderNames(name, known))
            return true;
    }
    return false;
}

std::optional<GrammarFault> checkHeaders(const HeaderList &headers)
{
    return checkRepeated(headers, &standsOnce);
}

HeaderList attemptHeaders(const ForwardedRequest &forwarded, const StartAttempt &attempt)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.remaining);
    HeaderList headers = forwarded.headers;
    headers.emplace_back("X-Correlation-Id", std::to_string(attempt.correlation.value));
    headers.emplace_back("X-Time-Limit-Ms", std::to_string(remaining.count()));
    headers.emplace_back("X-Priority",
                         forwarded.workClass == WorkClass::Bulk ? "bulk" : "interactive");
    if (const std::optional<EventId> last = continuesAfter(attempt.relayed))
        headers.emplace_back("Last-Event-ID", last->text);
    return headers;
}

/** @return Whether the field tells to which attempt an answer belongs, or whether it ran. */
bool standsOnceInAnswers(std::string_view name)
{
    return equalHeaderNames(name, "X-Correlation-Id") || equalHeaderNames(name, "X-Execution");
}

AnswerHead readAnswerHead(const ForwardedRequest &, const StartAttempt &attempt, int status,
                          const HeaderList &headers)
{
    AnswerHead head;
    // Of an answer with two ids no one can tell whose it is.
    if (checkRepeated(headers, &standsOnceInAnswers))
        return head;
    head.belongsToAttempt
        = headerValue(headers, "X-Correlation-Id") == std::to_string(attempt.correlation.value);
    head.identified = head.belongsToAttempt;
    head.notRun = headerValue(headers, "X-Execution") == "not-run";
    if (head.belongsToAttempt)
        head.statement = readStatement(
            {headerValues(headers, "X-Target-Leaving"), headerValues(headers, "X-Request-Rate"),
             head.notRun && status == STATUS_UNAVAILABLE ? headerValues(headers, "Retry-After")
                                                         : std::vector<std::string_view>()});
    const std::string contentType = headerValue(headers, "Content-Type");
    head.streamed = status == 200 && absl::StartsWith(contentType, "text/event-stream");
    if (!contentType.empty())
        head.relayedHeaders.emplace_back("Content-Type", contentType);
    return head;
}

std::optional<EventId> eventId(std::string_view, std::int64_t place)
{
    // Events of this interface are named by their place, whatever ids they carry.
    return EventId{place, std::to_string(place)};
}

EncodedOrder encodeOrder(const Order &order, const std::string &holder)
{
    return {"/orders",
            {{"Content-Type", "application/json"}, {"X-Order-Holder", holder}},
            nlohmann::json(order).dump()};
}

std::string inspectionPath()
{
    return "";
}

std::optional<TargetInspection> readInspection(const std::string &)
{
    return std::nullopt;
}

HttpReply answerReadiness(const DaemonRoles &roles, const HttpRequest &request)
{
    return answerOperator(roles, request);
}

} // namespace

const Edge &nativeEdge()
{
    static const Edge edge{&checkHeaders,
                           &parseCallerRequest,
                           &encodeRefusal,
                           &encodeStreamError,
                           &attemptHeaders,
                           &readAnswerHead,
                           CompletionRule::EndMarker,
                           &eventId,
                           &encodeOrder,
                           &inspectionPath,
                           &readInspection,
                           nullptr, // This interface defines no calls to the infrastructure.
                           &answerTarget,
                           &answerReadiness};
    return edge;
}

} // namespace bilberry
