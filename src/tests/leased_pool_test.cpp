/** @file leased_pool_test.cpp A leased pool keeps its bound despite lost replies and failovers. */
#include "account/held_pool_base.h"
#include "account/leased_pool_func.h"

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

Test(leased_pool, spending_never_exceeds_burst_plus_rate_in_any_window)
{
    for (unsigned seed = 0; seed < 300; ++seed) {
        LeaseSimulation simulation;
        simulation.random.seed(seed);
        for (int i = 0; i < 2'000; ++i) {
            simulation.now += Duration(simulation.random() % 20'000);
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
