/** @file wait_estimate_test.cpp When a pool has budget for one holder among many. */
#include "account/leased_pool_func.h"
#include "account/wait_estimate_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr double RATE = 1'000;
constexpr double BOUND = 1'000;
constexpr Duration LEASE = 1s;

/** An empty pool, and the queue before it. */
struct Queue
{
    TimePoint now{10s};
    LeasedPool pool = makePool(RATE, BOUND, now);
    WaitEstimate estimate;

    Queue() { this->pool.level = 0; }

    /** Reports a holder's totals and want, as the leader does. @return The wait named to it. */
    Duration ask(const char *name, std::int64_t want, std::int64_t spent = 0,
                 std::int64_t refused = 0)
    {
        const HolderId holder{HostId(name), 1};
        report(this->pool, holder, spent, 0, this->now + LEASE, this->now);
        const std::int64_t granted = grant(this->pool, holder, want, this->now + LEASE, this->now);
        expectRefused(this->estimate, this->pool, holder, refused, this->now);
        return claimAndEstimateWait(this->estimate, this->pool, holder, want - granted, this->now);
    }

    void pass(Duration time) { this->now += time; }
};

void assertNear(Duration actual, Duration expected)
{
    cr_assert_leq(std::abs((actual - expected).count()), Duration(2ms).count(), "%ld us, not %ld",
                  static_cast<long>(actual.count()), static_cast<long>(expected.count()));
}

} // namespace

Test(wait_estimate, holders_get_places_in_the_order_in_which_they_began_to_wait)
{
    Queue queue;
    assertNear(queue.ask("a", 100), 100ms);
    assertNear(queue.ask("b", 100), 200ms);
    assertNear(queue.ask("c", 300), 500ms);
    assertNear(queue.ask("a", 100), 100ms);
}

Test(wait_estimate, refused_callers_keep_their_place_until_they_are_to_return)
{
    Queue queue;
    queue.ask("a", 500);
    assertNear(queue.ask("a", 0, 0, 500), 501ms);
    assertNear(queue.ask("b", 100), 600ms);
    queue.ask("b", 0, 0, 100);
    queue.pool.level = 0;
    queue.pass(600ms);
    queue.pool.refilled = queue.now; // Others have used the refill.
    assertNear(queue.ask("c", 100), 100ms);
}

Test(wait_estimate, spent_amounts_are_not_expected_again)
{
    Queue queue;
    queue.ask("a", 1'000);
    queue.pass(500ms);
    queue.ask("a", 1'000); // Half of it is granted.
    assertNear(queue.ask("a", 500, 500), 500ms);
    cr_assert_float_eq(queue.estimate.promised, 0, 1e-6);
    queue.pass(500ms);
    queue.ask("a", 500, 500); // The rest is granted.
    queue.ask("a", 0, 1'000);
    cr_assert_float_eq(queue.estimate.promised, 0, 1e-6);
    cr_assert(queue.estimate.claims.empty());
}

Test(wait_estimate, steady_demand_that_gets_nothing_counts_what_was_refused_and_once)
{
    Queue queue;
    queue.ask("a", 500);
    for (int i = 0; i < 7; ++i) {
        queue.pass(100ms);
        queue.pool.refilled = queue.now; // Others have used the refill.
        queue.ask("a", 500, 0, i < 5 ? 0 : 500);
    }
    // The refusals were reported after 600 ms; 100 ms of refill have been worked off since.
    cr_assert_float_eq(queue.estimate.promised, 400, 2);
}

// Guards against waits of tens of seconds that are named after an overload: whatever a host no
// longer asked for counted as refused, and what waited for long did so again and again.
Test(wait_estimate, demand_that_ends_or_lasts_without_a_refusal_promises_nothing)
{
    Queue queue;
    for (int i = 0; i < 50; ++i) {
        queue.ask("a", 500);
        queue.ask("b", i % 2 == 0 ? 300 : 0);
        queue.pass(100ms);
        queue.pool.refilled = queue.now; // Others have used the refill.
    }
    cr_assert_float_eq(queue.estimate.promised, 0, 1e-6);
    assertNear(queue.ask("c", 100), 600ms);
}

Test(wait_estimate, silent_holders_do_not_keep_their_place)
{
    Queue queue;
    queue.ask("a", 500);
    queue.pass(1'100ms);
    queue.pool.refilled = queue.now;
    assertNear(queue.ask("b", 100), 100ms);
    cr_assert_eq(queue.estimate.claims.size(), 1);
}

Test(wait_estimate, promises_are_bounded)
{
    Queue queue;
    queue.ask("a", 1'000'000'000);
    queue.ask("a", 0, 0, 1'000'000'000);
    assertNear(queue.ask("b", 1), 30s + 1ms);
}
