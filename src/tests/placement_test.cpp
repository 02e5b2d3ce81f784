/** @file placement_test.cpp Decisions about replicas under failures of targets, orders and leaders.
 */
#include "placement/planner_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

/** A planner with its committed state and what targets announced. */
struct Placement
{
    explicit Placement(bool fenced)
    {
        Model model;
        model.id = ModelId("m");
        model.memoryMb = 60;
        this->cluster.view.models[model.id] = model;
        Model other = model;
        other.id = ModelId("n");
        this->cluster.view.models[other.id] = other;
        this->cluster.view.targets[TargetId("t")] = {TargetId("t"), fenced, false};
        this->announceTarget(1, {});
        this->planner.since = this->now;
        this->planner.storeCreditAt = this->now;
        this->now += 10s;
    }

    void announceTarget(std::uint64_t start, const std::vector<LoadedVariant> &loaded,
                        FencingNumber last = {}, const std::vector<FencingNumber> &failed = {})
    {
        TargetAnnouncement target;
        target.id = TargetId("t");
        target.memoryMb = 100;
        target.start = StartNumber(start);
        target.loaded = loaded;
        target.lastOrder = last;
        target.failedOrders = failed;
        announce(this->registry, target, this->now);
    }

    void wait(const std::string &model, int count)
    {
        VariantUse use;
        use.variant = {ModelId(model), {}};
        use.waiting = count;
        use.arrived = count;
        use.earliestDeadlineIn = 30s;
        use.accounts = {{AccountId("a"), count}};
        std::vector<VariantUse> uses;
        if (count > 0)
            uses.push_back(use);
        noteUses(this->planner, HostId("h-" + model), uses, this->now);
    }

    std::vector<OutstandingOrder> pass()
    {
        const PlacementView before{this->cluster.view, this->registry, this->cluster.lastFencing};
        const PlacementDecision decision = decide(this->planner, before, this->now);
        apply(this->cluster, {Duration::zero(), DecideReplicas{decision.put, decision.gone}});
        return dueOrders(
                   this->planner, this->view(), [](const Replica &) { return true; }, this->now)
            .orders;
    }

    PlacementView view() const
    {
        return {this->cluster.view, this->registry, this->cluster.lastFencing};
    }

    /** A new leader knows only what is committed and announced. */
    void changeLeader()
    {
        this->planner = {};
        this->planner.since = this->now;
        this->planner.storeCreditAt = this->now;
        this->planner.inherited = this->cluster.lastFencing;
    }

    std::int64_t reserved() const
    {
        std::int64_t sum = 0;
        for (const auto &[id, replica] : this->cluster.view.replicas)
            sum += replica.memoryMb;
        return sum;
    }

    Cluster cluster;
    TargetRegistry registry;
    Planner planner;
    TimePoint now{100s};
};

const LoadedVariant LOADED_M{{ModelId("m"), {}}, Version(1), 60};

} // namespace

Test(placement, one_burst_makes_one_order_and_memory_is_never_overcommitted)
{
    Placement p(true);
    p.wait("m", 50);
    p.wait("n", 50);
    cr_assert_eq(p.pass().size(), 1, "both models need 60 of 100");
    for (int i = 0; i < 20; ++i) {
        p.now += 100ms;
        cr_assert_eq(p.pass().size(), 0, "no order is sent twice");
        cr_assert_leq(p.reserved(), 100);
    }
}

Test(placement, a_target_that_dies_mid_load_and_returns_gets_the_order_anew)
{
    Placement p(true);
    p.wait("m", 1);
    cr_assert_eq(p.pass().size(), 1);
    p.now += 1s;
    p.announceTarget(2, {});
    p.now += 2s;
    const auto orders = p.pass();
    const auto later = orders.empty() ? p.pass() : orders;
    p.now += 2s;
    const auto last = later.empty() ? p.pass() : later;
    cr_assert_eq(last.size(), 1);
    cr_assert_eq(last[0].order.start.value, 2);
    cr_assert_leq(p.reserved(), 60);
}

Test(placement, an_order_of_unknown_outcome_keeps_its_memory_until_it_is_undone)
{
    Placement p(false);
    p.wait("m", 1);
    const auto orders = p.pass();
    cr_assert_eq(orders.size(), 1);
    const std::string id = replicaId(TargetId("t"), {ModelId("m"), {}});
    noteOrderReply(p.planner, id, orders[0].order.fencing, OrderReply::Unknown, p.now);
    p.wait("m", 0);
    p.wait("n", 5);
    for (int i = 0; i < 50; ++i) {
        p.now += 1s;
        cr_assert(p.pass().empty(), "nothing else fits while the outcome is unknown");
        cr_assert_eq(p.reserved(), 60);
    }
    p.now += 11s;
    const auto undo = p.pass();
    cr_assert_eq(undo.size(), 1);
    cr_assert(undo[0].order.action == OrderAction::Unload);
    noteOrderReply(p.planner, id, undo[0].order.fencing, OrderReply::Accepted, p.now);
    p.announceTarget(1, {}, undo[0].order.fencing);
    p.now += 1s;
    const auto next = p.pass();
    cr_assert_eq(next.size(), 1);
    cr_assert_eq(next[0].order.variant.model.value, "n");
}

Test(placement, a_new_leader_never_repeats_a_load_at_a_target_that_ignores_fencing)
{
    Placement p(false);
    p.wait("m", 1);
    cr_assert_eq(p.pass().size(), 1);
    p.changeLeader();
    p.wait("m", 1);
    for (int i = 0; i < 55; ++i) {
        p.now += 1s;
        cr_assert(p.pass().empty(), "the old leader's order may still be carried out");
    }
    p.announceTarget(1, {LOADED_M});
    p.pass();
    cr_assert(p.cluster.view.replicas.begin()->second.state == ReplicaState::Ready);
}

Test(placement, a_new_leader_repeats_an_order_at_a_target_that_checks_fencing)
{
    Placement p(true);
    p.wait("m", 1);
    const auto first = p.pass();
    p.changeLeader();
    p.now += 1s;
    const auto again = p.pass();
    cr_assert_eq(again.size(), 1);
    cr_assert_eq(again[0].order.fencing, first[0].order.fencing);
}

Test(placement, eviction_without_warning_frees_the_record)
{
    Placement p(true);
    p.announceTarget(1, {LOADED_M});
    p.pass();
    cr_assert_eq(p.reserved(), 60, "what a target holds is taken into account");
    p.announceTarget(1, {});
    p.pass();
    cr_assert_eq(p.reserved(), 0);
}

Test(placement, a_failed_load_is_tried_again_after_a_pause)
{
    Placement p(true);
    p.wait("m", 1);
    const auto orders = p.pass();
    p.announceTarget(1, {}, orders[0].order.fencing, {orders[0].order.fencing});
    cr_assert(p.pass().empty());
    cr_assert_eq(p.reserved(), 0);
    p.now += 2s;
    p.wait("m", 1);
    cr_assert_eq(p.pass().size(), 1);
}

Test(placement, nothing_with_waiters_is_unloaded_and_idle_replicas_are)
{
    Placement p(true);
    p.announceTarget(1, {LOADED_M});
    for (int i = 0; i < 300; ++i) {
        p.now += 1s;
        p.wait("m", 1);
        for (const OutstandingOrder &order : p.pass())
            cr_assert(order.order.action != OrderAction::Unload);
    }
    p.wait("m", 0);
    bool unloaded = false;
    for (int i = 0; i < 1'000 && !unloaded; ++i) {
        p.now += 1s;
        for (const OutstandingOrder &order : p.pass())
            unloaded = unloaded || order.order.action == OrderAction::Unload;
    }
    cr_assert(unloaded, "an idle replica is kept no longer than its window");
}
