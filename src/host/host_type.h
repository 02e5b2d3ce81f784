/** @file host_type.h Events that a host's decision logic handles, and the effects it returns. */
#pragma once

#include "link/link_type.h"
#include "queue/fair_queue_base.h"
#include "stream/stream_progress_type.h"
#include "table/refusals.h"
#include "target/statement_type.h"

#include <variant>

namespace bilberry {

constexpr std::size_t MAX_PROMPT_PARTS = 16; ///< Maximum size of CallerRequest::promptParts.
constexpr std::size_t MAX_PROMPT_PART_BYTES = 64; ///< Longer names are cut.

/** API key as presented by a caller, with the secret hashed. */
struct PresentedKey
{
    KeyId id;
    Digest secret; ///< Hash of the secret: digestOf({secret}).
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PresentedKey, id, secret)

/** A caller's request has been received completely. */
struct CallerRequest
{
    RequestId request;
    std::optional<PresentedKey> key; ///< Unset if the caller presented no key.
    std::string path;
    std::string virtualHost; ///< Host name that the caller requested, without the port.
    /** Whether the request is admitted by its route in any case; if false, a request with a
     * @c variant is admitted by its model. */
    bool byRoute = false;
    std::optional<Variant> variant; ///< Requested model and adapter.
    Digest body; ///< Digest of the method, the path and the body.
    std::uint64_t prefix = 0; ///< Hash of the prompt prefix; 0 if the request has none.
    std::int64_t maxTokens = 0; ///< Maximum tokens to generate; 0 if unset.
    /** Number of prompt and generated tokens, as the caller declared it. */
    std::optional<std::int64_t> declaredTokens;
    std::string tag; ///< Request id chosen by the caller, for log lines.
    bool streamed = false; ///< Whether the caller asked for a streamed response.
    std::optional<Duration> timeLimit; ///< Time limit set by the caller.
    std::string idempotencyKey; ///< Empty if the caller sent none.
    std::string resumes; ///< Caller's id of the request that began the stream; empty: none named.
    bool takesUp = false; ///< Whether the caller has events of the stream already.
    /** Parts of the prompt that other requests may share, in their order. */
    std::vector<PromptPart> promptParts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerRequest, request, key, path, virtualHost,
                                                byRoute, variant, body, prefix, maxTokens,
                                                declaredTokens, tag, streamed, timeLimit,
                                                idempotencyKey, promptParts, resumes, takesUp)

/** The caller closed the connection before the response was complete. */
struct CallerDisconnected
{
    RequestId request;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerDisconnected, request)

/** How an attempt at a target ended. */
enum class AttemptResult {
    Answered, ///< The response was complete and is relayed to the caller.
    Refused, ///< The target stated, with the correlation id, that it did not run the request.
    NotSent, ///< No byte of the request was sent to the target.
    ServerError, ///< Server error, withheld from the caller because the request may be retried.
    Lost, ///< The connection broke after the first byte of the request was sent.
    Stalled, ///< The first-byte or inter-byte timeout expired.
    Mismatched, ///< The response belongs to another request.
    InvalidResponse, ///< Malformed or too large response; the request may have run.
    Cancelled, ///< The host gave the attempt up, or the deadline passed.
};
NLOHMANN_JSON_SERIALIZE_ENUM(AttemptResult,
                             {{AttemptResult::Answered, "answered"},
                              {AttemptResult::Refused, "refused"},
                              {AttemptResult::NotSent, "notSent"},
                              {AttemptResult::ServerError, "failed"},
                              {AttemptResult::Lost, "lost"},
                              {AttemptResult::Stalled, "stalled"},
                              {AttemptResult::Mismatched, "mismatched"},
                              {AttemptResult::InvalidResponse, "noAnswer"},
                              {AttemptResult::Cancelled, "cancelled"}})

/** Limit that a target's response exceeded. */
enum class ResponseLimit {
    None,
    Unparsable, ///< The HTTP library could not parse the response, or a line was too long.
    HeaderSize, ///< Total size of headers, interim (1xx) responses and trailers.
    BodySize, ///< Body size of a response that is not streamed.
    Event, ///< Size of one event of a streamed response.
    Stream, ///< Total size of a streamed response.
    Time, ///< Deadline of the request.
    Memory, ///< Bytes of all responses that the host holds; this one held most.
};
NLOHMANN_JSON_SERIALIZE_ENUM(ResponseLimit,
                             {{ResponseLimit::None, ""},
                              {ResponseLimit::Unparsable, "form"},
                              {ResponseLimit::HeaderSize, "head"},
                              {ResponseLimit::BodySize, "plain"},
                              {ResponseLimit::Event, "event"},
                              {ResponseLimit::Stream, "stream"},
                              {ResponseLimit::Time, "time"},
                              {ResponseLimit::Memory, "memory"}})

/** An attempt at a target has ended. */
struct AttemptEnded
{
    AttemptId attempt;
    AttemptResult result = AttemptResult::Lost;
    ResponseLimit bound = ResponseLimit::None; ///< Limit that the response exceeded.
    int status = 0; ///< HTTP status of the response; 0 if there was none.
    std::int64_t tokens = 0; ///< Number of generated tokens.
    StreamProgress relayed; ///< What the caller has of a stream; of this and earlier attempts.
    /** The target closed or reset the connection, which indicates a crash rather than a stall. */
    bool connectionLost = false;
    bool calledBack = false; ///< Not sent because of CallBackAttempts.
    std::optional<StoredAnswer> answer; ///< Response to store; only for recorded calls.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AttemptEnded, attempt, result, bound, status,
                                                tokens, relayed, connectionLost, calledBack, answer)

/** The first event of a streamed response was relayed; the attempt goes on. */
struct ResponseBegan
{
    AttemptId attempt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ResponseBegan, attempt)

/**
 * The head of a target's answer has arrived, and the target states something about itself or the
 * attempt asks for statements. The attempt goes on.
 */
struct TargetStated
{
    AttemptId attempt;
    TargetId target;
    Incarnation start; ///< Incarnation to which the attempt was sent.
    TargetStatement statement;
    TimePoint sentAt; ///< Time at which the request was sent.
    TimePoint receivedAt; ///< Time at which the end of the head arrived.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetStated, attempt, target, start, statement,
                                                sentAt, receivedAt)

/** A message from a control host was received. */
struct ControlMessageEvent
{
    ControlMessage message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlMessageEvent, message)

/** The connection to a control host was opened or closed. */
struct ControlLinkEvent
{
    bool connected = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlLinkEvent, connected)

/** A target sent an announcement to this host. */
struct TargetAnnounced
{
    TargetAnnouncement announcement;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetAnnounced, announcement)

/** Hint that a target has a prompt prefix in its cache. Hints may arrive late or be lost. */
struct CacheHint
{
    TargetId target;
    std::uint64_t prefix = 0; ///< Hash of the prompt prefix.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CacheHint, target, prefix)

/** An operator sent a request to this host, which forwards it to the leader. */
struct OperatorRequest
{
    std::uint64_t id = 0; ///< Unique within one host run.
    bool dryRun = false;
    OperatorBody body;
    TimePoint deadline = TimePoint::max(); ///< Time at which the operator stops waiting.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OperatorRequest, id, dryRun, body, deadline)

/** Answer to CheckOperator. */
struct OperatorPresence
{
    std::uint64_t id = 0; ///< OperatorRequest::id.
    bool waits = false; ///< Whether the operator still waits for the answer.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OperatorPresence, id, waits)

/** The periodic timer fired. */
struct TickEvent
{
    std::int64_t unixMs = 0; ///< Time of day of the host, which may jump; 0: not stated.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TickEvent, unixMs)

/** The daemon was asked to shut down gracefully. */
struct ShutdownEvent
{
};
inline void to_json(nlohmann::json &j, const ShutdownEvent &)
{
    j = nlohmann::json::object();
}
inline void from_json(const nlohmann::json &, ShutdownEvent &) { }

/** A target announced that it is shutting down. */
struct TargetShuttingDown
{
    TargetId target;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetShuttingDown, target)

/** The id and address of this daemon's own control member became known. */
struct ControlMemberIdentified
{
    ControlCandidate member;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlMemberIdentified, member)

using HostEvent = std::variant<CallerRequest, CallerDisconnected, AttemptEnded, ControlMessageEvent,
                               ControlLinkEvent, TargetAnnounced, CacheHint, OperatorRequest,
                               TickEvent, ShutdownEvent, ControlMemberIdentified,
                               TargetShuttingDown, ResponseBegan, TargetStated, OperatorPresence>;

/** Whether a target may have run a refused request. */
enum class Execution {
    NotRun,
    MayHaveRun,
};
NLOHMANN_JSON_SERIALIZE_ENUM(Execution,
                             {{Execution::NotRun, "not-run"},
                              {Execution::MayHaveRun, "may-have-run"}})

/** What a request has waited for so far, one after the other; for log lines, not serialized. */
struct RequestWaits
{
    Duration budget{}; ///< From its arrival until its account's budgets were charged.
    Duration slot{}; ///< From then until its first attempt.
    Duration target{}; ///< From its latest attempt on.
};

/** Rank of a request and time until its objective; for log lines, not serialized. */
struct RankNote
{
    std::optional<int> rank; ///< Empty: ranks are not in use.
    std::optional<Duration> toGoal; ///< Negative once the objective is missed; empty: none.
};

/** Ends a request with a typed refusal. A stream that has begun is aborted, so that the caller
 * detects the truncation. */
struct RefuseCaller
{
    RequestId request;
    RefusalCode code = RefusalCode::Malformed;
    Execution execution = Execution::NotRun;
    std::optional<Duration> retryAfter; ///< Delay before the caller should retry.
    RequestWaits waits; ///< Zero if the request was refused on arrival.
    std::string streamVersion; ///< Software version of its stream; for log lines, not serialized.
    RankNote ranking{};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RefuseCaller, request, code, execution, retryAfter)

/** Ends a request with the stored response of an earlier call. */
struct ReplayAnswer
{
    RequestId request;
    StoredAnswer answer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReplayAnswer, request, answer)

/** Sends a request to a target. */
struct StartAttempt
{
    AttemptId attempt;
    RequestId request;
    TargetId target;
    Incarnation targetStart; ///< Incarnation of @c target that the attempt is meant for.
    std::string address; ///< "ip:port" of the target.
    Duration remaining{}; ///< Time left until @c deadline.
    TimePoint deadline;
    /** The request must not be sent at or after this time, since the state that the decision is
     * based on may be out of date then. */
    TimePoint sendBy;
    Duration firstByteLimit{}; ///< Timeout for the first byte of the response.
    Duration interByteLimit{}; ///< Timeout between two reads of the response.
    bool freshConnection = false; ///< Opens a new connection instead of reusing a pooled one.
    bool keepAnswer = false; ///< The response is to be stored in the call record.
    /** Correlation id sent to the target; a resume sends the id of the attempt that began the
     * stream. */
    AttemptId correlation;
    StreamProgress relayed; ///< What the caller has of the stream that this attempt continues.
    AccountId account; ///< Client account of the request; empty on open routes.
    bool holdFailures = false; ///< Server errors are withheld from the caller, for a retry.
    bool reportBegin = false; ///< ResponseBegan is to be reported.
    bool reportStatement = false; ///< TargetStated is to be reported, also if it states nothing.
    /** Urgency for an engine's queue, 0 first; empty: not stated. Not serialized: recorded traces
     * compare a digest of all effects. */
    std::optional<int> urgency;
    RequestWaits waits;
    RankNote ranking;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartAttempt, attempt, request, target, address,
                                                remaining, deadline, sendBy, firstByteLimit,
                                                interByteLimit, freshConnection, keepAnswer,
                                                correlation, relayed, account, holdFailures,
                                                reportBegin, reportStatement, targetStart)

/** Cancels a running attempt; its AttemptEnded still follows. */
struct CancelAttempt
{
    AttemptId attempt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelAttempt, attempt)

/** Stops the reuse of pooled connections to a target that were opened before now, since an attempt
 * at the target stalled and such a connection may be dead. */
struct RetireConnections
{
    std::string address; ///< "ip:port" of the target.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RetireConnections, address)

/** Ends the attempts at a target whose request has not been sent yet; AttemptEnded follows. */
struct CallBackAttempts
{
    TargetId target;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallBackAttempts, target)

/** Sends a message to the connected control host. */
struct SendControl
{
    HostMessage message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SendControl, message)

/** Connects to another control host. */
struct SwitchControlHost
{
    std::string address; ///< Empty: the next address in the list of control hosts.
    std::vector<std::string> known; ///< New list of all control hosts; empty if unchanged.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SwitchControlHost, address, known)

/** Why an operator's request has ended. */
enum class OperatorEnd {
    Answered, ///< The leader has answered.
    Expired, ///< No answer came by the deadline.
    OperatorGone, ///< The operator has not waited for the answer.
};
NLOHMANN_JSON_SERIALIZE_ENUM(OperatorEnd,
                             {{OperatorEnd::Answered, "answered"},
                              {OperatorEnd::Expired, "expired"},
                              {OperatorEnd::OperatorGone, "operatorGone"}})

/** Returns the result of an operator's request to the operator. */
struct AnswerOperator
{
    OperatorAnswer answer; ///< Its id is OperatorRequest::id.
    OperatorEnd end = OperatorEnd::Answered;
    Duration age{}; ///< Time from the handling of the request to its end; for log lines.
    std::string request; ///< Kind of the request and the id of what it is about; for log lines.
    std::string changeId; ///< Idempotency key, if the change has one; for log lines.
    std::optional<Version> base{}; ///< Version that it was based on, if sent; for log lines.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerOperator, answer, end, age, request, changeId,
                                                base)

/** Asks whether the operator still waits for the answer; OperatorPresence follows at once. */
struct CheckOperator
{
    std::uint64_t id = 0; ///< OperatorRequest::id.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CheckOperator, id)

using HostEffect
    = std::variant<RefuseCaller, ReplayAnswer, StartAttempt, CancelAttempt, RetireConnections,
                   SendControl, SwitchControlHost, AnswerOperator, CallBackAttempts, CheckOperator>;
using HostEffects = std::vector<HostEffect>;

} // namespace bilberry
