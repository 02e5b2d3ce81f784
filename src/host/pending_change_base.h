/** @file pending_change_base.h An operator's request on its way to the leader. */
#pragma once

#include "link/link_type.h"

namespace bilberry {

/** Steps of an operator's request, in this order; some requests need the last one only. */
enum class ChangeStep {
    AskingForBase, ///< The leader was asked what the change is to be based on.
    CheckingOperator, ///< The base is known; the change goes on only if the operator still waits.
    Sent, ///< The request itself was sent to the leader.
};
NLOHMANN_JSON_SERIALIZE_ENUM(ChangeStep,
                             {{ChangeStep::AskingForBase, "askingForBase"},
                              {ChangeStep::CheckingOperator, "checkingOperator"},
                              {ChangeStep::Sent, "sent"}})

/**
 * An operator's request that has not ended. What the operator has sent anywhere after it stopped
 * waiting for this request is newer than the base, if the base was read before the operator was
 * seen to wait: so a newer accepted change is never undone, however late the leader gets this one.
 */
struct PendingChange
{
    OperatorCall call; ///< Message to the leader. Each step has an id of its own.
    ChangeStep step = ChangeStep::Sent;
    bool dryRun = false; ///< OperatorRequest::dryRun.
    TimePoint receivedAt;
    TimePoint deadline; ///< OperatorRequest::deadline; nothing is sent from then on.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PendingChange, call, step, dryRun, receivedAt,
                                                deadline)

} // namespace bilberry
