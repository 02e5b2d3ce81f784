/** @file target_count_cmd.cpp Orders the number of targets of services. */
#include "control/control_internal.h"

namespace bilberry {

void runTargetCounts(Control &, ControlEffects &, TimePoint) { }

void onTargetCountReply(Control &, const DutyReplyEvent &, ControlEffects &, TimePoint) { }

} // namespace bilberry
