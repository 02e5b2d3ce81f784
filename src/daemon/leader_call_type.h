/** @file leader_call_type.h An operator's request as it reaches a daemon. */
#pragma once

#include "link/link_type.h"

#include <functional>

namespace bilberry {

/** Request of an operator or a target to the leader of the control group. */
struct LeaderCall
{
    OperatorBody body;
    TimePoint deadline; ///< Time at which the daemon answers that the leader has not.
    /** Tells whether the operator still waits for the answer; must not block, is called on the
     * decision thread. Null: it waits. */
    std::function<bool()> operatorWaits;
    bool dryRun = false; ///< Whether the leader only checks the change and does not apply it.
};

} // namespace bilberry
