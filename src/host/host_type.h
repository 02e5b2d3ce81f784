/** @file host_type.h Events and effects of one host's decisions. */
#pragma once

#include "link/link_type.h"
#include "queue/fair_queue_base.h"
#include "table/refusals.h"

#include <variant>

namespace bilberry {

/** A key as presented, without its secret. */
struct PresentedKey
{
    KeyId id;
    Digest secret; ///< digestOf({secret}).
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PresentedKey, id, secret)

/** A whole request of a caller has arrived. */
struct CallerRequest
{
    RequestId request;
    std::optional<PresentedKey> key;
    std::string path;
    std::string virtualHost; ///< Host that the caller named, without a port.
    bool byRoute = false; ///< Routes lead to the engines too; else only the model paths do.
    std::optional<Variant> variant; ///< Model and adapter that are asked for.
    Digest body; ///< Of path and body.
    std::uint64_t prefix = 0; ///< Hash of the prompt's beginning; 0: none.
    std::int64_t maxTokens = 0; ///< Most tokens that the caller lets the engine generate.
    std::optional<std::int64_t> declaredTokens; ///< Read and generated ones, as the caller says.
    std::string tag; ///< Caller's own id of the request, for logs.
    bool streamed = false;
    std::optional<Duration> timeLimit; ///< Caller's own.
    std::string idempotencyKey; ///< Empty: none.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerRequest, request, key, path, virtualHost,
                                                byRoute, variant, body, prefix, maxTokens,
                                                declaredTokens, tag, streamed, timeLimit,
                                                idempotencyKey)

/** The caller's connection has closed. */
struct CallerGone
{
    RequestId request;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerGone, request)

/** How an attempt at a target ended. */
enum class AttemptResult {
    Answered, ///< The caller has the whole answer, or will have it.
    Refused, ///< The target said, on the attempt's own correlation id, that it did not run.
    NotSent, ///< No byte reached the target.
    Failed, ///< A server error, kept back since the request may be repeated.
    Lost, ///< The connection broke after the first byte was sent.
    Stalled, ///< Silent for too long.
    Mismatched, ///< The answer was another request's.
    NoAnswer, ///< Bytes that are no answer, or more than one may have; it may have run.
    Cancelled,
};
NLOHMANN_JSON_SERIALIZE_ENUM(AttemptResult,
                             {{AttemptResult::Answered, "answered"},
                              {AttemptResult::Refused, "refused"},
                              {AttemptResult::NotSent, "notSent"},
                              {AttemptResult::Failed, "failed"},
                              {AttemptResult::Lost, "lost"},
                              {AttemptResult::Stalled, "stalled"},
                              {AttemptResult::Mismatched, "mismatched"},
                              {AttemptResult::NoAnswer, "noAnswer"},
                              {AttemptResult::Cancelled, "cancelled"}})

/** What an answer without end has passed. */
enum class AnswerBound {
    None,
    Form, ///< The library finds no answer in it, or a line is too long.
    Head, ///< Header lines, interim answers, trailer.
    Plain, ///< An answer's body.
    Event, ///< One event of a stream.
    Stream, ///< All events together.
    Time, ///< The request's own.
};
NLOHMANN_JSON_SERIALIZE_ENUM(AnswerBound,
                             {{AnswerBound::None, ""},
                              {AnswerBound::Form, "form"},
                              {AnswerBound::Head, "head"},
                              {AnswerBound::Plain, "plain"},
                              {AnswerBound::Event, "event"},
                              {AnswerBound::Stream, "stream"},
                              {AnswerBound::Time, "time"}})

struct AttemptEnded
{
    AttemptId attempt;
    AttemptResult result = AttemptResult::Lost;
    AnswerBound bound = AnswerBound::None;
    int status = 0; ///< HTTP status of the answer.
    std::int64_t tokens = 0; ///< Generated.
    std::int64_t eventsRelayed = 0; ///< Stream events that the caller already has.
    bool connectionLost = false; ///< The target closed or reset; tells a crash from silence.
    std::optional<StoredAnswer> answer; ///< For recorded calls.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AttemptEnded, attempt, result, bound, status,
                                                tokens, eventsRelayed, connectionLost, answer)

/** A message of a control host. */
struct ControlMessageEvent
{
    ControlMessage message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlMessageEvent, message)

/** The stream to a control host was opened or has ended. */
struct ControlLinkEvent
{
    bool connected = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlLinkEvent, connected)

/** A target announces itself at this host. */
struct TargetAnnounced
{
    TargetAnnouncement announcement;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetAnnounced, announcement)

/** Late and gapped hint that a target has a prompt prefix in its cache. */
struct CacheHint
{
    TargetId target;
    std::uint64_t prefix = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CacheHint, target, prefix)

/** An operator's request through this host. */
struct OperatorRequest
{
    std::uint64_t id = 0;
    bool dryRun = false;
    OperatorBody body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OperatorRequest, id, dryRun, body)

struct TickEvent
{
};
inline void to_json(nlohmann::json &j, const TickEvent &)
{
    j = nlohmann::json::object();
}
inline void from_json(const nlohmann::json &, TickEvent &) { }

/** The daemon was asked to shut down gracefully. */
struct ShutdownEvent
{
};
inline void to_json(nlohmann::json &j, const ShutdownEvent &)
{
    j = nlohmann::json::object();
}
inline void from_json(const nlohmann::json &, ShutdownEvent &) { }

/** A target said that it is about to end. */
struct TargetLeft
{
    TargetId target;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetLeft, target)

/** The daemon's own control member is known by name. */
struct MemberNamed
{
    ControlCandidate member;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(MemberNamed, member)

using HostEvent = std::variant<CallerRequest, CallerGone, AttemptEnded, ControlMessageEvent,
                               ControlLinkEvent, TargetAnnounced, CacheHint, OperatorRequest,
                               TickEvent, ShutdownEvent, MemberNamed, TargetLeft>;

/** Whether a refused request can have had effects. */
enum class Execution {
    NotRun,
    MayHaveRun,
};
NLOHMANN_JSON_SERIALIZE_ENUM(Execution,
                             {{Execution::NotRun, "not-run"},
                              {Execution::MayHaveRun, "may-have-run"}})

/** Ends a request with a typed refusal; visibly breaks a stream that has begun. */
struct RefuseCaller
{
    RequestId request;
    RefusalCode code = RefusalCode::Malformed;
    Execution execution = Execution::NotRun;
    std::optional<Duration> retryAfter;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RefuseCaller, request, code, execution, retryAfter)

/** Ends a request with a stored answer. */
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
    std::string address;
    Duration remaining{}; ///< Until the deadline.
    TimePoint deadline;
    TimePoint sendBy; ///< From then on it must not leave: what it was decided by counts no more.
    Duration firstByteLimit{};
    Duration interByteLimit{};
    bool freshConnection = false; ///< Needs a new connection or one proven alive just now.
    bool keepAnswer = false; ///< The answer is to be stored.
    AttemptId correlation; ///< Differs from @c attempt when a stream is resumed.
    std::int64_t resumeAfter = 0; ///< Stream events that the caller already has.
    AccountId account; ///< Whose request it is; empty on open routes.
    bool holdFailures = false; ///< Server errors are kept back.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartAttempt, attempt, request, target, address,
                                                remaining, deadline, sendBy, firstByteLimit,
                                                interByteLimit, freshConnection, keepAnswer,
                                                correlation, resumeAfter, account, holdFailures)

struct CancelAttempt
{
    AttemptId attempt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelAttempt, attempt)

/** Closes idle pooled connections to a target, since one of that age was found dead. */
struct RetireConnections
{
    std::string address;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RetireConnections, address)

struct SendControl
{
    HostMessage message;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SendControl, message)

/** Connects to another control host. */
struct SwitchControl
{
    std::string address; ///< Empty: the next one known.
    std::vector<std::string> known; ///< All control hosts, if news; else empty.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SwitchControl, address, known)

struct AnswerOperator
{
    OperatorAnswer answer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnswerOperator, answer)

using HostEffect = std::variant<RefuseCaller, ReplayAnswer, StartAttempt, CancelAttempt,
                                RetireConnections, SendControl, SwitchControl, AnswerOperator>;
using HostEffects = std::vector<HostEffect>;

} // namespace bilberry
