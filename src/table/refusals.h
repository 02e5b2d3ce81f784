/** @file refusals.h HTTP face of each refusal. */
#pragma once

namespace bilberry {

/** Why a request was not answered by a target. */
enum class RefusalCode {
    Malformed,
    BodyTooLarge,
    HeadersTooLarge,
    KeyInBody,
    KeyMissing,
    KeyUnknown,
    Forbidden,
    UnknownRoute,
    UnknownModel,
    RateLimited,
    TokenRateLimited,
    Overloaded,
    NoTarget,
    Deadline,
    Unreachable, ///< Cut off from the control group.
    ShuttingDown,
    Quarantined,
    OtherBody, ///< Idempotency key with another body.
    CallTableFull,
    MayHaveRun, ///< Lost after it was sent.
    AnswerNotKept, ///< The call is done, but its answer was too large to store.
    TooOld, ///< Older than the call records reach.
};

/** Status, type and default text of one refusal. */
struct RefusalFace
{
    RefusalCode code;
    int status;
    const char *type;
    const char *message;
};

constexpr RefusalFace REFUSAL_FACES[] = {
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
    {RefusalCode::Unreachable, 503, "control_unreachable", "this host is cut off; try another"},
    {RefusalCode::ShuttingDown, 503, "shutting_down", "this host is shutting down; try another"},
    {RefusalCode::Quarantined, 422, "quarantined", "this request has crashed several targets"},
    {RefusalCode::OtherBody, 409, "idempotency_conflict",
     "the idempotency key was used with another body"},
    {RefusalCode::CallTableFull, 503, "call_records_full",
     "the account has too many recorded calls"},
    {RefusalCode::MayHaveRun, 502, "may_have_run", "the target was lost; the request may have run"},
    {RefusalCode::AnswerNotKept, 409, "answer_not_kept",
     "the call ran; its answer was too large to keep"},
    {RefusalCode::TooOld, 409, "too_old", "the call is older than the records reach"},
};

/** @return The face of @p code. */
constexpr const RefusalFace &faceOf(RefusalCode code)
{
    for (const RefusalFace &face : REFUSAL_FACES) {
        if (face.code == code)
            return face;
    }
    return REFUSAL_FACES[0];
}

} // namespace bilberry
