/** @file decision_load_test.cpp Longest steps and pauses of the decision thread. */
#include "daemon/decision_load_base.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr TimePoint START{100s};

/** Decision thread with simulated clocks. */
struct SimulatedThread
{
    /** Waits for @p pause and handles an event; only a tenth of both is processor time. */
    void run(Duration pause, const std::string &kind, Duration step)
    {
        this->pass(pause);
        const DecisionClock began = this->clock;
        recordPause(this->load, began);
        this->pass(step);
        recordDecision(this->load, kind, began, this->clock, this->clock);
    }

    void pass(Duration time)
    {
        this->clock.wall += time;
        this->clock.processor += time / 10;
    }

    DecisionLoad load;
    DecisionClock clock{START, Duration::zero()};
};

} // namespace

Test(decision_load, longest_step_and_pause_of_the_last_second)
{
    SimulatedThread thread;
    thread.run(5s, "tick", 1ms); // No pause: it is the first step.
    cr_assert(longestRecentSpans(thread.load).pause.time.wall == Duration::zero());
    thread.run(300ms, "report", 200ms);
    thread.run(10ms, "tick", 1ms);
    LongestSpans recent = longestRecentSpans(thread.load);
    cr_assert(recent.step.kind == "report");
    cr_assert(recent.step.time.wall == 200ms);
    cr_assert(recent.step.time.processor == 20ms);
    cr_assert(recent.pause.time.wall == 300ms);
    cr_assert(recent.pause.time.processor == 30ms);
    for (int i = 0; i < 100; ++i)
        thread.run(9ms, i == 50 ? "synced" : "tick", i == 50 ? 3ms : 1ms);
    thread.run(400ms, "tick", 1ms);
    recent = longestRecentSpans(thread.load);
    cr_assert(recent.step.kind == "synced");
    cr_assert(recent.step.time.wall == 3ms);
    cr_assert(recent.pause.time.wall == 400ms);
}

Test(decision_load, a_pause_counts_as_soon_as_the_next_step_begins)
{
    SimulatedThread thread;
    thread.run(1ms, "tick", 1ms);
    thread.pass(2s);
    recordPause(thread.load, thread.clock);
    const LongestSpans recent = longestRecentSpans(thread.load);
    cr_assert(recent.pause.time.wall == 2s);
    cr_assert(recent.step.time.wall == Duration::zero());
}

Test(decision_load, a_line_in_the_log_keeps_the_last_second)
{
    SimulatedThread thread;
    thread.run(1ms, "report", 50ms);
    thread.run(20ms, "tick", 1ms);
    logDecisionLoad(thread.load, 0, thread.clock.wall);
    cr_assert(thread.load.times.empty());
    cr_assert(thread.load.longest.step.time.wall == Duration::zero());
    cr_assert(longestRecentSpans(thread.load).step.time.wall == 50ms);
    cr_assert(longestRecentSpans(thread.load).pause.time.wall == 20ms);
    thread.run(30ms, "tick", 2ms);
    cr_assert(thread.load.longest.step.time.wall == 2ms);
    cr_assert(thread.load.longest.pause.time.wall == 30ms);
}
