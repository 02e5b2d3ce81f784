/** @file pending_operator_request_base.h An operator's request on its way to the leader. */
#pragma once

#include "link/link_type.h"

namespace bilberry {

/** Steps of an operator's request, in this order; some requests need the last one only. */
enum class OperatorStep {
    AskingForBase, ///< The leader was asked what the change is to be based on.
    CheckingOperator, ///< The base is known; the change goes on only if the operator still waits.
    Sent, ///< The request itself was sent to the leader.
};

/**
 * An operator's request that has not ended. Its base is read before the operator is seen to wait.
 * So whatever the operator got acknowledged elsewhere, after it had stopped waiting here, is newer
 * than the base, and this request is refused however late it reaches the leader.
 */
struct PendingOperatorRequest
{
    OperatorCall call; ///< Message to the leader. Each step has an id of its own.
    OperatorStep step = OperatorStep::Sent;
    bool dryRun = false; ///< OperatorRequest::dryRun.
    TimePoint receivedAt; ///< Time at which the host handled the OperatorRequest.
    TimePoint deadline; ///< OperatorRequest::deadline; nothing is sent from then on.
};

} // namespace bilberry
