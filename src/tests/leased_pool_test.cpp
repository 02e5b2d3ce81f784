/** @file leased_pool_test.cpp A leased pool keeps its bound despite lost replies and failovers. */
#include "account/held_pool_base.h"
#include "account/leased_pool_func.h"
#include "account/lending_limits_func.h"

#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr double RATE = 50;
constexpr double BOUND = 40;

/** Simulates holders that spend, return, miss renewals and report late, under changing leaders. */
struct LeaseSimulation
{
    std::mt19937 random;
    TimePoint now{1s};
    LeasedPool pool = makePool(RATE, BOUND, TimePoint{1s});
    std::uint64_t term = 1;
    std::map<HolderId, HeldPool> heldPools;
    std::map<HolderId, std::uint64_t> terms;
    std::vector<TimePoint> spendTimes;
    bool isLimited = false; ///< Whether leaders keep to recorded limits.
    LendingLimits recorded;
    std::optional<LendingLimits> proposed; ///< Change of the limits that is in flight.

    /** Proposes limits that fit the pool, or commits the change in flight. */
    void recordLimits()
    {
        if (this->proposed) {
            this->recorded = *this->proposed;
            this->proposed.reset();
            this->pool.limits = this->recorded;
            return;
        }
        this->proposed = nextLimits(this->pool, this->recorded, this->random() % 12);
        if (this->proposed)
            this->pool.limits = stricter(this->recorded, *this->proposed);
    }

    void exchangeReport(const HolderId &id, bool replyLost)
    {
        HeldPool &heldPool = this->heldPools[id];
        forfeitExpired(heldPool, this->now);
        const TimePoint sentAt = this->now;
        const std::int64_t want = this->random() % 12;
        if (this->terms[id] == this->term) {
            acceptCarried(this->pool, id, heldPool.carried,
                          this->now + withDriftMargin(BUDGET_LEASE), this->now);
            report(this->pool, id, heldPool.spent, heldPool.returned,
                   this->now + withDriftMargin(BUDGET_LEASE), this->now);
        }
        grant(this->pool, id, want, this->now + withDriftMargin(BUDGET_LEASE), this->now);
        if (replyLost)
            return;
        if (this->terms[id] != this->term) {
            this->terms[id] = this->term;
            resetForNewTerm(heldPool);
            return;
        }
        renewLease(heldPool, this->pool.holdings[id].granted, sentAt + BUDGET_LEASE);
    }

    void changeLeader()
    {
        ++this->term;
        if (this->isLimited) {
            // The change in flight may be lost with the leader or not.
            if (this->proposed && this->random() % 2 == 0)
                this->recorded = *this->proposed;
            this->proposed.reset();
            this->pool = makeLimitedPoolAfterFailover(RATE, BOUND, BOUND, this->recorded,
                                                      this->now + withDriftMargin(BUDGET_LEASE),
                                                      this->now, this->now);
            return;
        }
        this->pool = makePoolAfterFailover(RATE, BOUND, this->now + withDriftMargin(BUDGET_LEASE),
                                           this->now);
    }

    void spendOne(const HolderId &id)
    {
        HeldPool &heldPool = this->heldPools[id];
        forfeitExpired(heldPool, this->now);
        if (heldPool.balance() < 1)
            return;
        ++heldPool.spent;
        this->spendTimes.push_back(this->now);
    }

    void returnHalf(const HolderId &id)
    {
        HeldPool &heldPool = this->heldPools[id];
        forfeitExpired(heldPool, this->now);
        if (heldPool.balance() > 0)
            heldPool.returned += heldPool.balance() / 2;
    }
};

} // namespace

namespace {

/** @param isLimited Whether leaders keep to recorded limits and start from them. */
void assertSpendingWithinRate(bool isLimited)
{
    for (unsigned seed = 0; seed < 300; ++seed) {
        LeaseSimulation simulation;
        simulation.random.seed(seed);
        simulation.isLimited = isLimited;
        if (isLimited)
            simulation.pool.limits = LendingLimits();
        for (int i = 0; i < 2'000; ++i) {
            simulation.now += Duration(simulation.random() % 20'000);
            if (isLimited && simulation.random() % 3 == 0)
                simulation.recordLimits();
            const HolderId id{HostId("h" + std::to_string(simulation.random() % 5)), 1};
            const unsigned roll = simulation.random() % 100;
            if (roll < 30)
                simulation.exchangeReport(id, simulation.random() % 5 == 0);
            else if (roll < 90)
                simulation.spendOne(id);
            else if (roll < 99)
                simulation.returnHalf(id);
            else
                simulation.changeLeader();
        }
        for (std::size_t i = 0; i < simulation.spendTimes.size(); i += 7) {
            for (std::size_t j = i; j < simulation.spendTimes.size(); j += 3) {
                const double window
                    = toSeconds(simulation.spendTimes[j] - simulation.spendTimes[i]);
                cr_assert_leq(static_cast<double>(j - i + 1), BOUND + RATE * window + 1e-6,
                              "seed %u", seed);
            }
        }
    }
}

} // namespace

Test(leased_pool, spending_never_exceeds_burst_plus_rate_in_any_window)
{
    assertSpendingWithinRate(false);
}

// Guards against leaders that lend beyond what the limits of their predecessors allow.
Test(leased_pool, spending_never_exceeds_burst_plus_rate_with_recorded_limits)
{
    assertSpendingWithinRate(true);
}

// Guards against a pool that is empty after a change of leader, though little of it was lent.
Test(leased_pool, level_outlives_its_leader)
{
    TimePoint now{1s};
    LeasedPool pool = makePool(10, 40, now);
    pool.limits = LendingLimits();
    const std::optional<LendingLimits> next = nextLimits(pool, {}, 0);
    cr_assert(next.has_value());
    cr_assert_eq(next->minLevel, 20);
    pool = makeLimitedPoolAfterFailover(10, 40, 40, *next, now + 1s, now, now);
    cr_assert_eq(pool.level, 20);
    cr_assert_eq(pool.unknown, 20);
    now += 1s;
    refillAndExpire(pool, now);
    cr_assert_eq(pool.level, 20, "there is no room for the refill while the rest may be lent");
    now += 1s;
    refillAndExpire(pool, now);
    cr_assert_eq(pool.level, 30);
}

// Guards against a refill that stops after a change of leader, though the bound leaves room for it.
Test(leased_pool, refill_goes_on_after_a_change_of_leader)
{
    TimePoint now{1s};
    LeasedPool pool = makeLimitedPoolAfterFailover(10, 40, 40, {}, now + 1s, now, now);
    cr_assert_eq(pool.level, 0);
    now += 500ms;
    refillAndExpire(pool, now);
    cr_assert_eq(pool.level, 5);
}

// Guards against more slots lent than the limits that the next leader starts from.
Test(leased_pool, grants_keep_to_the_recorded_limits)
{
    const TimePoint now{1s};
    LeasedPool slots = makePool(0, 18, now);
    slots.limits = LendingLimits();
    const HolderId holder{HostId("a"), 1};
    cr_assert_eq(grant(slots, holder, 18, now + 1s, now), 9);
    const std::optional<LendingLimits> next = nextLimits(slots, {}, 9);
    cr_assert(next.has_value());
    cr_assert_eq(next->maxLent, 18);
    slots.limits = stricter({}, *next);
    cr_assert_eq(grant(slots, holder, 9, now + 1s, now), 0);
    slots.limits = *next;
    cr_assert_eq(grant(slots, holder, 9, now + 1s, now), 9);
}

Test(leased_pool, amount_of_a_lost_holder_is_not_granted_again_before_its_lease_expires)
{
    TimePoint now{1s};
    LeasedPool pool = makePool(10, 20, now);
    const HolderId lost{HostId("a"), 1};
    const HolderId other{HostId("b"), 1};
    cr_assert_eq(grant(pool, lost, 20, now + 2s, now), 20);
    now += 1s;
    cr_assert_eq(grant(pool, other, 20, now + 2s, now), 0);
    now += 2s;
    cr_assert_eq(grant(pool, other, 20, now + 2s, now), 20);
}

Test(leased_pool, expired_lent_slots_are_credited_once_despite_a_late_return)
{
    TimePoint now{1s};
    LeasedPool slots = makePool(0, 8, now);
    const HolderId holder{HostId("a"), 1};
    cr_assert_eq(grant(slots, holder, 8, now + 2s, now), 8);
    now += 3s;
    refillAndExpire(slots, now);
    cr_assert_eq(slots.level, 8);
    // A late report of the holder returns the amount that was written off at expiry.
    report(slots, holder, 0, 8, now + 2s, now);
    cr_assert_eq(slots.level, 8);
    cr_assert_eq(outstanding(slots), 0);
}
