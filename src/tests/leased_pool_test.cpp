/** @file leased_pool_test.cpp The bound of a leased pool under any mix of holders and losses. */
#include "account/held_pool_base.h"
#include "account/leased_pool_func.h"

#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr double RATE = 50;
constexpr double BOUND = 40;

/** Holders that spend, fall silent, come back late, and leaders that change. */
struct PoolRun
{
    std::mt19937 random;
    TimePoint now{1s};
    LeasedPool pool = makePool(RATE, BOUND, TimePoint{1s});
    std::uint64_t term = 1;
    std::map<HolderId, HeldPool> held;
    std::map<HolderId, std::uint64_t> terms;
    std::vector<TimePoint> spent;

    void exchangeWith(const HolderId &id, bool answerLost)
    {
        HeldPool &own = this->held[id];
        lapse(own, this->now);
        const TimePoint sentAt = this->now;
        const std::int64_t want = this->random() % 12;
        if (this->terms[id] == this->term) {
            acceptCarried(this->pool, id, own.carried, this->now + withDriftMargin(BUDGET_LEASE),
                          this->now);
            report(this->pool, id, own.spent, own.returned,
                   this->now + withDriftMargin(BUDGET_LEASE), this->now);
        }
        grant(this->pool, id, want, this->now + withDriftMargin(BUDGET_LEASE), this->now);
        if (answerLost)
            return;
        if (this->terms[id] != this->term) {
            this->terms[id] = this->term;
            beginTerm(own);
            return;
        }
        renew(own, this->pool.holdings[id].granted, sentAt + BUDGET_LEASE);
    }

    void changeLeader()
    {
        ++this->term;
        this->pool
            = makeInheritedPool(RATE, BOUND, this->now + withDriftMargin(BUDGET_LEASE), this->now);
    }

    void spendSome(const HolderId &id)
    {
        HeldPool &own = this->held[id];
        lapse(own, this->now);
        if (own.balance() < 1)
            return;
        ++own.spent;
        this->spent.push_back(this->now);
    }

    void returnSome(const HolderId &id)
    {
        HeldPool &own = this->held[id];
        lapse(own, this->now);
        if (own.balance() > 0)
            own.returned += own.balance() / 2;
    }
};

} // namespace

Test(leased_pool, spending_never_exceeds_burst_plus_rate_in_any_window)
{
    for (unsigned seed = 0; seed < 300; ++seed) {
        PoolRun run;
        run.random.seed(seed);
        for (int i = 0; i < 2'000; ++i) {
            run.now += Duration(run.random() % 20'000);
            const HolderId id{HostId("h" + std::to_string(run.random() % 5)), 1};
            const unsigned dice = run.random() % 100;
            if (dice < 30)
                run.exchangeWith(id, run.random() % 5 == 0);
            else if (dice < 90)
                run.spendSome(id);
            else if (dice < 99)
                run.returnSome(id);
            else
                run.changeLeader();
        }
        for (std::size_t i = 0; i < run.spent.size(); i += 7) {
            for (std::size_t j = i; j < run.spent.size(); j += 3) {
                const double window = toSeconds(run.spent[j] - run.spent[i]);
                cr_assert_leq(static_cast<double>(j - i + 1), BOUND + RATE * window + 1e-6,
                              "seed %u", seed);
            }
        }
    }
}

Test(leased_pool, what_a_lost_holder_had_is_not_handed_out_again_before_its_lease_ends)
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

Test(leased_pool, lent_slots_come_back_exactly_once)
{
    TimePoint now{1s};
    LeasedPool slots = makePool(0, 8, now);
    const HolderId holder{HostId("a"), 1};
    cr_assert_eq(grant(slots, holder, 8, now + 2s, now), 8);
    now += 3s;
    refresh(slots, now);
    cr_assert_eq(slots.level, 8);
    // The holder is heard of again and returns what had been written off.
    report(slots, holder, 0, 8, now + 2s, now);
    cr_assert_eq(slots.level, 8);
    cr_assert_eq(outstanding(slots), 0);
}
