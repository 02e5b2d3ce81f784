/** @file call_pacer_test.cpp Pace of the leader's calls to the infrastructure. */
#include "duty/call_pacer_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

/** @return Calls that the pacer allows within @p time, tried every 10 ms. */
int countCalls(CallPacer &pacer, TimePoint from, Duration time)
{
    int calls = 0;
    for (TimePoint now = from; now < from + time; now += 10ms)
        calls += tryTakeCall(pacer, now) ? 1 : 0;
    return calls;
}

} // namespace

// Guards against more calls than the interface takes, also from a leader elected just after calls
// of an earlier one.
Test(call_pacer, half_of_the_rate_is_used)
{
    CallPacer pacer = makeCallPacer(50, TimePoint(1s));
    for (int second = 1; second < 10; ++second) {
        const int calls = countCalls(pacer, TimePoint(std::chrono::seconds(second)), 1s);
        cr_assert(calls >= 23 && calls <= 26, "%d calls", calls);
    }
}

// Guards against a burst that two leaders together turn into more than the rate.
Test(call_pacer, a_pause_allows_no_burst_beyond_half_of_the_rate)
{
    CallPacer pacer = makeCallPacer(50, TimePoint(1s));
    int burst = 0;
    while (tryTakeCall(pacer, TimePoint(100s)))
        ++burst;
    cr_assert_leq(burst, 25);
}

// Guards against an interface with a rate below 2 that never gets a call.
Test(call_pacer, a_low_rate_still_allows_calls)
{
    CallPacer pacer = makeCallPacer(0.5, TimePoint(1s));
    const int calls = countCalls(pacer, TimePoint(1s), 20s);
    cr_assert(calls >= 4 && calls <= 6, "%d calls", calls);
}

// Guards against calls that hammer an interface which is overloaded or down.
Test(call_pacer, the_back_off_doubles_up_to_its_bound_and_ends)
{
    CallPacer pacer = makeCallPacer(50, TimePoint(1s));
    TimePoint now(10s);
    for (const Duration expected : {200ms, 400ms, 800ms, 1'600ms, 1'600ms}) {
        cr_assert(tryTakeCall(pacer, now));
        recordCallReply(pacer, expected == 400ms ? DutyReply::Throttled : DutyReply::Unknown, now);
        cr_assert_not(tryTakeCall(pacer, now + expected - 1ms));
        now += expected;
    }
    cr_assert(tryTakeCall(pacer, now));
    recordCallReply(pacer, DutyReply::Accepted, now);
    cr_assert(tryTakeCall(pacer, now + 100ms));
    recordCallReply(pacer, DutyReply::Unknown, now + 100ms);
    cr_assert_not(tryTakeCall(pacer, now + 299ms));
    cr_assert(tryTakeCall(pacer, now + 300ms));
}

// Guards against a back-off for calls of which the interface knows nothing.
Test(call_pacer, an_unsent_call_changes_no_back_off)
{
    CallPacer pacer = makeCallPacer(50, TimePoint(1s));
    cr_assert(tryTakeCall(pacer, TimePoint(10s)));
    recordCallReply(pacer, DutyReply::Unsent, TimePoint(10s));
    cr_assert(tryTakeCall(pacer, TimePoint(10s)));
}
