/** @file usage_cmd.cpp Records, fixes and reports usage windows. */
#include "control/control_internal.h"

namespace bilberry {

void runUsage(Control &, ControlEffects &, TimePoint) { }

} // namespace bilberry
