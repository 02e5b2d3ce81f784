/** @file refusals.h HTTP status, type and message of each refusal. */
#pragma once

namespace bilberry {

/**
 * Reason for which a host refuses a request or ends it without a target's answer. The decision
 * trace contains the number of the enumerator, so the order of the enumerators must not change.
 */
enum class RefusalCode {
    Malformed, ///< The request cannot be parsed.
    BodyTooLarge,
    HeadersTooLarge,
    KeyInBody, ///< The API key appears outside of the Authorization header.
    KeyMissing, ///< No API key was sent.
    KeyUnknown, ///< The API key is unknown or revoked.
    Forbidden, ///< The account has no permission for this route or model.
    UnknownRoute,
    UnknownModel,
    RateLimited, ///< The account's request rate limit is exceeded.
    TokenRateLimited, ///< The account's token rate limit is exceeded.
    Overloaded, ///< Admission control: the request would wait too long in the queue.
    NoTarget, ///< No target serves the requested variant now.
    Deadline, ///< The request's deadline has passed.
    ControlUnreachable, ///< This host has lost contact with the control group.
    ShuttingDown, ///< This host is shutting down gracefully.
    Quarantined, ///< Earlier attempts at this request have crashed several targets.
    IdempotencyConflict, ///< The idempotency key was used before with a different body.
    CallRecordsFull, ///< The account has the maximum number of recorded idempotent calls.
    MayHaveRun, ///< The target was lost after the request was sent to it.
    AnswerNotKept, ///< The call has completed, but its answer was too large to store for a replay.
    CallTooOld, ///< The call is older than the retained records of idempotent calls.
    TargetRateLimited, ///< Its turn at targets that limit their request rate would come too late.
    PartQuarantined, ///< Requests with the same part of the prompt have crashed several targets.
    StreamUnknown, ///< There is no record of the stream that the request would take up.
    StreamVersionGone, ///< No target has the software version that began the stream.
};

/** HTTP representation of one refusal. */
struct RefusalResponse
{
    RefusalCode code;
    int status; ///< HTTP status.
    const char *type; ///< Machine-readable name in the answer, in logs and in metrics.
    const char *message; ///< Default text for the caller.
};

/** One element for each RefusalCode. */
constexpr RefusalResponse REFUSAL_RESPONSES[] = {
    {RefusalCode::Malformed, 400, "malformed_request", "the request does not parse"},
    {RefusalCode::BodyTooLarge, 413, "body_too_large", "the body exceeds the limit"},
    {RefusalCode::HeadersTooLarge, 431, "headers_too_large", "the headers exceed the limit"},
    {RefusalCode::KeyInBody, 400, "key_in_body",
     "the key may only stand in the Authorization header"},
    {RefusalCode::KeyMissing, 401, "key_missing", "Authorization: Bearer KEY is required"},
    {RefusalCode::KeyUnknown, 401, "key_unknown", "the key is unknown or withdrawn"},
    {RefusalCode::Forbidden, 403, "forbidden", "the account may not call this"},
    {RefusalCode::UnknownRoute, 404, "unknown_route", "there is no such path"},
    {RefusalCode::UnknownModel, 404, "unknown_model", "there is no such model or adapter"},
    {RefusalCode::RateLimited, 429, "rate_limited", "the account's request rate is used up"},
    {RefusalCode::TokenRateLimited, 429, "token_rate_limited",
     "the account's token rate is used up"},
    {RefusalCode::Overloaded, 503, "overloaded",
     "the queue is too long to serve the request in time"},
    {RefusalCode::NoTarget, 503, "no_target", "no target serves this now"},
    {RefusalCode::Deadline, 504, "deadline", "the time limit ran out"},
    {RefusalCode::ControlUnreachable, 503, "control_unreachable",
     "this host is cut off; try another"},
    {RefusalCode::ShuttingDown, 503, "shutting_down", "this host is shutting down; try another"},
    {RefusalCode::Quarantined, 422, "quarantined", "this request has crashed several targets"},
    {RefusalCode::IdempotencyConflict, 409, "idempotency_conflict",
     "the idempotency key was used with another body"},
    {RefusalCode::CallRecordsFull, 503, "call_records_full",
     "the account has too many recorded calls"},
    {RefusalCode::MayHaveRun, 502, "may_have_run", "the target was lost; the request may have run"},
    {RefusalCode::AnswerNotKept, 409, "answer_not_kept",
     "the call ran; its answer was too large to keep"},
    {RefusalCode::CallTooOld, 409, "too_old", "the call is older than the records reach"},
    {RefusalCode::TargetRateLimited, 503, "target_rate_limited",
     "the targets limit how many requests they take"},
    {RefusalCode::PartQuarantined, 503, "part_quarantined",
     "requests with a part of this prompt have crashed several targets"},
    {RefusalCode::StreamUnknown, 503, "stream_unknown",
     "nothing is known of the stream that the request would take up"},
    {RefusalCode::StreamVersionGone, 503, "stream_version_gone",
     "no target of the software version that began the stream serves it"},
};

/** @return The HTTP representation of @p code. */
constexpr const RefusalResponse &refusalResponseOf(RefusalCode code)
{
    for (const RefusalResponse &response : REFUSAL_RESPONSES) {
        if (response.code == code)
            return response;
    }
    return REFUSAL_RESPONSES[0];
}

} // namespace bilberry
