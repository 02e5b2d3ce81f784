/** @file call_pacer.cpp Pace of the leader's calls to the infrastructure. */
#include "duty/call_pacer_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr double USED_RATE_FRACTION = 0.5;

} // namespace

CallPacer makeCallPacer(double interfaceRate, TimePoint now)
{
    CallPacer pacer;
    pacer.callsPerSecond = USED_RATE_FRACTION * interfaceRate;
    pacer.refilledAt = now;
    return pacer;
}

bool tryTakeCall(CallPacer &pacer, TimePoint now)
{
    const double elapsed = std::max(toSeconds(now - pacer.refilledAt), 0.0);
    pacer.refilledAt = now;
    const double most = std::max(pacer.callsPerSecond, 1.0);
    pacer.tokens = std::min(pacer.tokens + elapsed * pacer.callsPerSecond, most);
    if (now < pacer.notBefore || pacer.tokens < 1)
        return false;
    pacer.tokens -= 1;
    return true;
}

void recordCallReply(CallPacer &pacer, DutyReply reply, TimePoint now)
{
    if (reply == DutyReply::Accepted || reply == DutyReply::Refused) {
        pacer.backoff = Duration::zero();
        return;
    }
    if (reply == DutyReply::Unsent)
        return;
    pacer.backoff = std::clamp<Duration>(2 * pacer.backoff, MIN_CALL_BACKOFF, MAX_CALL_BACKOFF);
    pacer.notBefore = now + pacer.backoff;
}

} // namespace bilberry
