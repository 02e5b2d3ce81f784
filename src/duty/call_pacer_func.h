/** @file call_pacer_func.h Pace of the leader's calls to the infrastructure. */
#pragma once

#include "duty/call_pacer_base.h"
#include "duty/duty_type.h"

namespace bilberry {

constexpr Duration MIN_CALL_BACKOFF = 200ms; ///< After the first call that was not accepted.
constexpr Duration MAX_CALL_BACKOFF = 1'600ms;

/**
 * @param interfaceRate Calls per second that the interface takes from all daemons together.
 * @return A pacer that uses half of the rate: the rest is for the calls of an earlier leader.
 */
CallPacer makeCallPacer(double interfaceRate, TimePoint now);

/** Takes a call out of the pace. @return False, with no change, if none may be made now. */
bool tryTakeCall(CallPacer &pacer, TimePoint now);

/** Doubles the back-off after a call that was throttled or got no answer; ends it after an accepted
 * one. */
void recordCallReply(CallPacer &pacer, DutyReply reply, TimePoint now);

} // namespace bilberry
