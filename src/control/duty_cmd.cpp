/** @file duty_cmd.cpp Grants singleton duties to the leader and makes their calls. */
#include "control/control_internal.h"

namespace bilberry {

std::optional<FencingToken> holdDuty(Control &, const DutyKey &, ControlEffects &, TimePoint)
{
    return std::nullopt;
}

std::optional<std::uint64_t> makeDutyCall(Control &, const DutyKey &, FencingToken,
                                          std::variant<UsageReport, TargetCountOrder>,
                                          ControlEffects &, TimePoint)
{
    return std::nullopt;
}

void onDutyReply(Control &, const DutyReplyEvent &, ControlEffects &, TimePoint) { }

} // namespace bilberry
