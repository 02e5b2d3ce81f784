/** @file urgency_test.cpp Place, urgency and least share of requests by rank and time left. */
#include "queue/fair_queue_func.h"
#include "queue/urgency_func.h"
#include "target/share_func.h"

#include <cmath>
#include <criterion/criterion.h>
#include <numeric>
#include <set>

using namespace bilberry;

namespace {

constexpr TimePoint NOW{100s};

StartLimits limitsIn(Duration goal, Duration last)
{
    return {NOW + goal, NOW + last};
}

QueueEntry entryOf(std::uint64_t id, const std::string &account, int rank, Duration goal,
                   Duration last)
{
    QueueEntry entry;
    entry.request = RequestId(id);
    entry.account = AccountId(account);
    entry.group = {{}, "s"};
    entry.rank = rank;
    entry.limits = limitsIn(goal, last);
    return entry;
}

bool always(const WorkGroup &, WorkClass, RequestId)
{
    return true;
}

/** @return Id of the next request; 0 if none is queued. */
std::uint64_t takeNext(FairQueue &queue, TimePoint now = NOW)
{
    const auto entry = dequeueNext(queue, always, now);
    return entry ? entry->request.value : 0;
}

ClusterView makeView(std::optional<int> secondAccount, int secondRoute)
{
    ClusterView view;
    view.accounts[AccountId("a")].id = AccountId("a");
    view.accounts[AccountId("b")].id = AccountId("b");
    view.accounts[AccountId("b")].priority = secondAccount;
    for (const auto &[name, priority] : {std::pair("/x", 0), std::pair("/y", secondRoute)}) {
        Route route;
        route.id = RouteId(name);
        route.path = name;
        route.service = "s";
        route.priority = priority;
        view.routes[route.id] = route;
    }
    return view;
}

} // namespace

// Guards against a request that misses its objective behind one that has missed it already.
Test(urgency, requests_that_meet_their_objective_come_before_those_that_cannot)
{
    cr_assert(placeOf(2, limitsIn(100ms, 2s), NOW) < placeOf(0, limitsIn(-1ms, 2s), NOW));
}

// Guards against an order by rank alone, and against one by time alone.
Test(urgency, a_short_time_left_outweighs_a_rank_but_not_the_reverse)
{
    cr_assert(placeOf(2, limitsIn(400ms, 5s), NOW) < placeOf(0, limitsIn(30s, 30s), NOW));
    cr_assert(placeOf(0, limitsIn(900ms, 5s), NOW) < placeOf(1, limitsIn(400ms, 5s), NOW));
    const StartLimits patient = limitsIn(30s, 30s);
    const StartLimits fresh = limitsIn(29'400ms, 34s);
    cr_assert(placeOf(0, patient, NOW + 29s) < placeOf(2, fresh, NOW + 29s),
              "a patient request gains as its time runs out");
}

// Guards against an engine that preempts a high rank for a low one with less time left.
Test(urgency, engines_are_told_values_in_the_order_of_the_ranks)
{
    for (std::size_t ranks = 2; ranks <= 12; ++ranks) {
        int before = -1;
        for (int rank = 0; rank < static_cast<int>(ranks); ++rank) {
            const int pressing = engineUrgency(rank, ranks, limitsIn(1s, 2s), NOW);
            const int late = engineUrgency(rank, ranks, limitsIn(-1s, 2s), NOW);
            cr_assert_geq(pressing, 0);
            cr_assert_leq(pressing, late);
            cr_assert_leq(late, LEAST_URGENT);
            cr_assert(pressing > before || before == LEAST_URGENT, "%d of %zu", rank, ranks);
            before = late;
        }
    }
}

// Guards against ranks that are switched on where all requests of a service have the same one.
Test(urgency, ranks_are_in_use_with_two_priorities_of_routes_and_accounts)
{
    cr_assert(makeRankTable(makeView({}, 0)).empty());
    cr_assert_eq(makeRankTable(makeView({}, 5)).at("s").size(), 2);
    cr_assert(makeRankTable(makeView(3, 0)).at("s").back() == makePriority(3, 0));
    ClusterView bothOwn = makeView(4, 9);
    bothOwn.accounts.at(AccountId("a")).priority = 4;
    const std::vector<Priority> ofRoutes{makePriority(4, 0), makePriority(4, 9)};
    cr_assert(makeRankTable(bothOwn).at("s") == ofRoutes, "routes decide between equal accounts");
    bothOwn.accounts.at(AccountId("b")).priority = 3;
    const std::vector<Priority> ofBoth{makePriority(3, 0), makePriority(3, 9), makePriority(4, 0),
                                       makePriority(4, 9)};
    cr_assert(makeRankTable(bothOwn).at("s") == ofBoth, "an account's priority goes first");
    ClusterView kept = makeView(3, 0);
    kept.accounts.at(AccountId("b")).routes = {};
    cr_assert(makeRankTable(kept).empty(), "an account that may call no route has no requests");
}

// Guards against a rank that is served more often than the mean by its least share.
Test(urgency, least_shares_stay_below_the_part_of_the_rank)
{
    cr_assert_lt(std::abs(leastPart(25, 100) - 0.4), 1e-9, "a tenth of all");
    cr_assert_eq(leastPart(60, 100), 0.3);
    cr_assert_eq(leastPart(5, 100), 0.6);
    cr_assert_eq(leastPart(0, 100), 0.3);
}

// Guards against first come first served inside an account, and against ranks without effect.
Test(urgency, queue_orders_by_rank_and_time_left)
{
    FairQueue queue;
    enqueue(queue, entryOf(1, "a", 1, 900ms, 3s));
    enqueue(queue, entryOf(2, "a", 1, 500ms, 3s));
    enqueue(queue, entryOf(3, "b", 0, 900ms, 3s));
    enqueue(queue, entryOf(4, "b", 0, -10ms, 3s));
    cr_assert_eq(countQueued(queue, {{}, "s"}), 4);
    cr_assert_eq(takeNext(queue), 3);
    cr_assert_eq(takeNext(queue), 2);
    cr_assert_eq(takeNext(queue), 1);
    cr_assert_eq(takeNext(queue), 4, "late");
    cr_assert_eq(takeNext(queue), 0);
    cr_assert(queue.groupCounts.empty());
}

// Guards against an account of a rank that gets more than its fair share of the rank's picks.
Test(urgency, accounts_of_a_rank_share_its_picks)
{
    FairQueue queue;
    for (std::uint64_t i = 0; i < 40; ++i)
        enqueue(queue, entryOf(i + 1, i < 30 ? "flood" : "small", 0, 500ms, 3s));
    int small = 0;
    for (int i = 0; i < 20; ++i) {
        const auto entry = dequeueNext(queue, always, NOW);
        small += entry->account == AccountId("small") ? 1 : 0;
        chargeFlow(queue, *entry, 1, 1);
    }
    cr_assert_eq(small, 10);
}

// Guards against a lowest rank that gets nothing, and against one that gets more than its share.
Test(urgency, lowest_rank_keeps_a_tenth_of_the_picks)
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 200; ++i) {
        enqueue(queue, entryOf(++id, "low", 2, 500ms, 3s));
        enqueue(queue, entryOf(++id, "high", 0, 500ms, 3s));
        enqueue(queue, entryOf(++id, "high", 0, 500ms, 3s));
    }
    int low = 0;
    for (int i = 0; i < 100; ++i)
        low += dequeueNext(queue, always, NOW)->rank == 2 ? 1 : 0;
    cr_assert_geq(low, 9, "%d", low);
    cr_assert_leq(low, 20, "%d", low);
}

// Guards against requests that stay in the queue after they have ended, and against a repeated
// attempt that waits behind requests that came after it.
Test(urgency, requests_are_removed_and_put_back_to_the_front)
{
    FairQueue queue;
    for (std::uint64_t id = 1; id <= 4; ++id)
        enqueue(queue, entryOf(id, "a", 1, 500ms, 3s));
    cr_assert(removeQueued(queue, entryOf(2, "a", 1, 0ms, 0ms)));
    cr_assert_not(removeQueued(queue, entryOf(2, "a", 1, 0ms, 0ms)));
    cr_assert_eq(takeNext(queue), 1);
    enqueue(queue, entryOf(1, "a", 1, 500ms, 3s), true);
    cr_assert_eq(takeNext(queue), 1);
    cr_assert_eq(takeNext(queue), 3);
    cr_assert_eq(takeNext(queue, NOW + 1s), 4);
    cr_assert_eq(queue.ranked.at("s").count, 0);
    cr_assert(queue.groupCounts.empty());
}

// Guards against an estimate that counts lower ranks ahead, and refuses callers that can be served.
Test(urgency, lower_ranks_do_not_count_ahead)
{
    FairQueue queue;
    for (std::uint64_t id = 1; id <= 10; ++id)
        enqueue(queue, entryOf(id, "a", static_cast<int>(id % 3), 500ms, 3s));
    const auto weight = [](const AccountId &) { return 1.0; };
    cr_assert_eq(countQueuedAhead(queue, entryOf(11, "a", 0, 0ms, 0ms), weight), 3);
    cr_assert_eq(countQueuedAhead(queue, entryOf(11, "a", 1, 0ms, 0ms), weight), 7);
    cr_assert_eq(countQueuedAhead(queue, entryOf(11, "b", 1, 0ms, 0ms), weight), 4,
                 "one of the other account's rank");
    cr_assert_eq(countQueuedAhead(queue, entryOf(11, "b", 2, 0ms, 0ms), weight), 8);
}

// Guards against slots that are lost or lent twice in the division, and against a rank that gets
// more for each of its requests than a higher one.
Test(urgency, slots_are_divided_by_rank_with_least_shares)
{
    const std::vector<std::vector<double>> cases{{40, 40, 40}, {100, 100, 5}, {5, 100, 100},
                                                 {1, 1, 200},  {90, 1, 30},   {0, 70, 70}};
    for (const std::vector<double> &demands : cases) {
        const std::vector<double> shares = sharesByRank(demands, 60);
        cr_assert_lt(std::abs(std::accumulate(shares.begin(), shares.end(), 0.0) - 60), 1e-6);
        const double mean = 60 / std::accumulate(demands.begin(), demands.end(), 0.0);
        double before = 1;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            cr_assert_leq(shares[i], demands[i]);
            if (demands[i] == 0)
                continue;
            cr_assert_leq(shares[i] / demands[i], before + 1e-9);
            cr_assert_geq(shares[i] / demands[i], mean / 4);
            before = shares[i] / demands[i];
        }
    }
    cr_assert_eq(sharesByRank({100}, 60).front(), 60);
}
