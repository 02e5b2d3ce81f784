/** @file order_test.cpp Orders to targets without fencing: sequence, preconditions and repeats. */
#include "placement/planner_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

const TargetId TARGET("t");

Replica makeReplica(const std::string &model, std::uint64_t fencing, ReplicaState state)
{
    Replica replica;
    replica.variant = {ModelId(model), {}};
    replica.target = TARGET;
    replica.start = Incarnation(1);
    replica.fencing = FencingToken(fencing);
    replica.state = state;
    replica.memoryMb = 10;
    return replica;
}

/** A planner and committed replicas on one target without fencing that counts accepted orders. */
struct Orders
{
    Orders()
    {
        TargetAnnouncement target;
        target.id = TARGET;
        target.memoryMb = 100;
        target.start = Incarnation(1);
        applyAnnouncement(this->registry, target, this->now);
        this->planner.tuning.usesOrderPrecondition = true;
        this->planner.since = this->now - 10s;
    }

    void commit(const Replica &replica)
    {
        apply(this->cluster, {Duration::zero(), UpdateReplicas{{replica}, {}}});
    }

    DueOrders takeDueOrders()
    {
        const PlacementInput view{this->cluster.view, this->registry, this->cluster.lastFencing};
        return issueDueOrders(
            this->planner, view, [](const Replica &) { return true; }, this->now);
    }

    void answer(const OutstandingOrder &order, OrderReply reply)
    {
        handleOrderReply(this->planner, replicaId(TARGET, order.order.variant), order.order.fencing,
                         reply, false, this->now);
    }

    void answerInspection(std::uint64_t accepted, bool busy = false)
    {
        handleInspection(this->planner, TARGET, Incarnation(1),
                         TargetInspection{accepted, busy, {}}, this->now);
    }

    void decidePass()
    {
        const PlacementInput view{this->cluster.view, this->registry, this->cluster.lastFencing};
        const PlacementDecision decision = decidePlacement(this->planner, view, this->now);
        apply(this->cluster, {Duration::zero(), UpdateReplicas{decision.put, decision.gone}});
    }

    Cluster cluster;
    TargetRegistry registry;
    Planner planner;
    TimePoint now{100s};
};

} // namespace

Test(orders, decisions_for_one_target_are_ordered_one_at_a_time_by_fencing_token)
{
    Orders o;
    o.answerInspection(0);
    o.commit(makeReplica("z", 5, ReplicaState::Unloading));
    o.commit(makeReplica("a", 7, ReplicaState::Loading));
    const DueOrders first = o.takeDueOrders();
    cr_assert_eq(first.orders.size(), 1);
    cr_assert_eq(first.orders[0].order.fencing.value, 5);
    cr_assert_eq(o.takeDueOrders().orders.size(), 0,
                 "the second order waits until the first replica is no longer pending");
}

Test(orders, an_adapter_is_not_ordered_while_its_target_loads_a_model)
{
    Orders o;
    o.answerInspection(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.takeDueOrders().orders.at(0), OrderReply::Accepted);
    Replica adapter = makeReplica("c", 7, ReplicaState::Loading);
    adapter.variant.adapter = AdapterId("x");
    o.commit(adapter);
    cr_assert_eq(o.takeDueOrders().orders.size(), 0);
    o.commit(makeReplica("a", 5, ReplicaState::Ready));
    const DueOrders next = o.takeDueOrders();
    cr_assert_eq(next.orders.size(), 1);
    cr_assert_eq(next.orders[0].order.fencing.value, 7);
    cr_assert_eq(next.orders[0].order.precondition.value(), 1);
}

Test(orders, a_model_cached_at_a_busy_target_is_not_loaded_from_the_store_elsewhere)
{
    // Guards against a load from the weight store on an idle target while another target has the
    // checkpoint cached. A load from the store takes four times as long.
    Orders o;
    o.planner.tuning = makeFastLoadTuning();
    o.planner.storeLoadTokensAt = o.now - 10s;
    Model model;
    model.id = ModelId("rare");
    model.memoryMb = 80;
    o.cluster.view.models[model.id] = model;
    Model other = model;
    other.id = ModelId("busy");
    o.cluster.view.models[other.id] = other;
    TargetAnnouncement target = o.registry.targets.at(TARGET).announcement;
    target.loaded = {{{ModelId("busy"), {}}, Version(1), 80}};
    target.cached = {{ModelId("rare"), CacheTier::Disk}};
    applyAnnouncement(o.registry, target, o.now);
    TargetAnnouncement empty;
    empty.id = TargetId("empty");
    empty.memoryMb = 100;
    empty.start = Incarnation(1);
    applyAnnouncement(o.registry, empty, o.now);
    VariantUse busy;
    busy.variant = {ModelId("busy"), {}};
    busy.running = 1;
    VariantUse rare;
    rare.variant = {ModelId("rare"), {}};
    rare.waiting = 1;
    recordVariantUses(o.planner, HostId("h"), {busy, rare}, o.now);
    o.now += 1s;
    o.decidePass();
    cr_assert_not(o.cluster.view.replicas.contains("empty/rare:"),
                  "the target with the cached checkpoint becomes idle soon");
    recordVariantUses(o.planner, HostId("h"), {rare}, o.now);
    o.now += 1s;
    o.decidePass();
    o.decidePass();
    cr_assert_eq(o.cluster.view.replicas.at("t/busy:").state, ReplicaState::Unloading);
}

Test(orders, a_target_is_inspected_before_its_first_order_and_the_count_becomes_the_precondition)
{
    Orders o;
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    const DueOrders first = o.takeDueOrders();
    cr_assert_eq(first.orders.size(), 0);
    cr_assert_eq(first.inspections.size(), 1);
    cr_assert_eq(o.takeDueOrders().inspections.size(), 0,
                 "no second inspection while one is outstanding");
    o.answerInspection(3);
    const DueOrders second = o.takeDueOrders();
    cr_assert_eq(second.orders.size(), 1);
    cr_assert_eq(second.orders[0].order.precondition.value(), 3);
}

Test(orders, an_unanswered_order_is_repeated_with_a_new_fencing_token_once_the_count_is_known)
{
    Orders o;
    o.answerInspection(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.takeDueOrders().orders.at(0), OrderReply::Unknown);
    cr_assert_eq(o.takeDueOrders().orders.size(), 0, "the order may still be in flight");
    o.decidePass();
    cr_assert_eq(o.takeDueOrders().inspections.size(), 0,
                 "the inspected state could be older than the order");
    o.now += 1s;
    cr_assert_eq(o.takeDueOrders().inspections.size(), 1);
    o.answerInspection(0);
    const DueOrders repeat = o.takeDueOrders();
    cr_assert_eq(repeat.orders.size(), 1);
    cr_assert_gt(repeat.orders[0].order.fencing.value, 5);
    cr_assert_eq(repeat.orders[0].order.precondition.value(), 0,
                 "the target can accept only one of the two orders");
}

// Guards against a lost decision or a needless back-off of the target when an order is not sent
// because the leader's lease is about to end.
Test(orders, an_unsent_order_is_sent_with_the_same_fencing_token_once_the_lease_is_renewed)
{
    Orders o;
    o.answerInspection(3);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.takeDueOrders().orders.at(0), OrderReply::Unsent);
    const DueOrders again = o.takeDueOrders();
    cr_assert_eq(again.orders.size(), 1);
    cr_assert_eq(again.orders[0].order.fencing.value, 5);
    cr_assert_eq(again.orders[0].order.precondition.value(), 3,
                 "the target has accepted no further order");
}

// Guards against a load that waits forever for a target to which no connection can be made.
Test(orders, a_load_fails_and_its_target_is_in_backoff_after_three_consecutive_unsent_orders)
{
    Orders o;
    o.answerInspection(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    const auto answerUnsent = [&]() {
        const OutstandingOrder order = o.takeDueOrders().orders.at(0);
        return handleOrderReply(o.planner, replicaId(TARGET, order.order.variant),
                                order.order.fencing, OrderReply::Unsent, false, o.now);
    };
    cr_assert(answerUnsent().empty());
    cr_assert(answerUnsent().empty());
    cr_assert_eq(answerUnsent(), std::vector<std::string>{"t/a:"});
    cr_assert_gt(o.planner.targetBackoffUntil.at(TARGET), o.now);
}

// Guards against orders of a new leader while orders of an earlier leader may still reach the
// target.
Test(orders, no_order_is_issued_before_the_planner_may_give_orders)
{
    Orders o;
    o.planner.ordersAllowedFrom = o.now + 1s;
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answerInspection(0);
    cr_assert(o.takeDueOrders().orders.empty());
    o.now += 1s;
    cr_assert_eq(o.takeDueOrders().orders.size(), 1);
}

Test(orders, a_busy_target_is_inspected_again_and_the_decision_is_kept)
{
    Orders o;
    o.answerInspection(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.takeDueOrders().orders.at(0), OrderReply::Busy);
    o.decidePass();
    o.now += 1s;
    cr_assert_eq(o.takeDueOrders().inspections.size(), 1);
    o.answerInspection(1, true);
    cr_assert_eq(o.takeDueOrders().orders.size(), 0, "the target is carrying out an order");
}

Test(orders, a_new_leader_sends_no_order_with_an_inherited_fencing_token)
{
    Orders o;
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.planner.inheritedFencing = FencingToken(5);
    o.answerInspection(1);
    cr_assert_eq(o.takeDueOrders().orders.size(), 0);
    o.decidePass();
    const DueOrders due = o.takeDueOrders();
    cr_assert_eq(due.orders.size(), 1);
    cr_assert_gt(due.orders[0].order.fencing.value, 5);
}

// Guards against orders of two leaders with the same fencing token at a target that neither checks
// fencing nor counts orders.
Test(orders, a_new_leader_repeats_an_inherited_unload_with_a_new_fencing_token)
{
    Orders o;
    o.planner.tuning.usesOrderPrecondition = false;
    o.commit(makeReplica("a", 5, ReplicaState::Unloading));
    o.planner.inheritedFencing = FencingToken(5);
    cr_assert(o.takeDueOrders().orders.empty());
    o.decidePass();
    const DueOrders due = o.takeDueOrders();
    cr_assert_eq(due.orders.size(), 1);
    cr_assert_eq(due.orders[0].order.action, OrderAction::Unload);
    cr_assert_gt(due.orders[0].order.fencing.value, 5);
}

Test(orders, the_model_with_the_most_demand_gets_the_memory_that_was_freed_for_it)
{
    // Guards against a rarely used model taking memory that was freed for a model in demand, while
    // the callers of the latter were told to retry later and so have no waiting requests.
    Orders o;
    o.planner.tuning = makeFastLoadTuning();
    for (const char *name : {"idle", "hot", "rare"}) {
        Model model;
        model.id = ModelId(name);
        model.memoryMb = 80;
        o.cluster.view.models[model.id] = model;
    }
    TargetAnnouncement target = o.registry.targets.at(TARGET).announcement;
    target.loaded = {{{ModelId("idle"), {}}, Version(1), 80}};
    target.cached = {{ModelId("hot"), CacheTier::Disk}, {ModelId("rare"), CacheTier::Disk}};
    applyAnnouncement(o.registry, target, o.now);
    VariantUse hot;
    hot.variant = {ModelId("hot"), {}};
    hot.returning = 20;
    VariantUse rare;
    rare.variant = {ModelId("rare"), {}};
    rare.waiting = 1;
    rare.earliestDeadlineIn = 1s;
    recordVariantUses(o.planner, HostId("h"), {hot, rare}, o.now);
    o.now += 1s;
    o.decidePass();
    o.decidePass();
    o.answerInspection(0);
    o.answer(o.takeDueOrders().orders.at(0), OrderReply::Accepted);
    target.loaded.clear();
    applyAnnouncement(o.registry, target, o.now);
    o.decidePass();
    o.decidePass();
    cr_assert(o.cluster.view.replicas.contains("t/hot:"));
    cr_assert_not(o.cluster.view.replicas.contains("t/rare:"));
}

Test(orders, a_replica_adopted_before_the_first_configuration_counts_with_the_configured_memory)
{
    Orders o;
    TargetAnnouncement target = o.registry.targets.at(TARGET).announcement;
    target.loaded = {{{ModelId("held"), {}}, Version(1), 0}};
    applyAnnouncement(o.registry, target, o.now);
    o.decidePass();
    for (const char *name : {"held", "wanted"}) {
        Model model;
        model.id = ModelId(name);
        model.memoryMb = 80;
        o.cluster.view.models[model.id] = model;
    }
    VariantUse held;
    held.variant = {ModelId("held"), {}};
    held.running = 1;
    VariantUse wanted;
    wanted.variant = {ModelId("wanted"), {}};
    wanted.waiting = 1;
    recordVariantUses(o.planner, HostId("h"), {held, wanted}, o.now);
    o.planner.storeLoadTokensAt = o.now - 10s;
    o.decidePass();
    cr_assert_not(o.cluster.view.replicas.contains("t/wanted:"), "80 of 100 MB are in use");
}

Test(orders, a_late_announcement_does_not_restore_a_target_that_has_left)
{
    TargetRegistry registry;
    TargetAnnouncement target;
    target.id = TARGET;
    target.start = Incarnation(1);
    target.sequence = 17;
    applyAnnouncement(registry, target, TimePoint(1s));
    markTargetLeaving(registry, TARGET);
    cr_assert_eq(removeTimedOutTargets(registry, TimePoint(5s)).size(), 1);
    target.sequence = 18;
    cr_assert_eq(applyAnnouncement(registry, target, TimePoint(5s)), AnnounceOutcome::Stale);
    cr_assert(registry.targets.empty());
    target.start = Incarnation(2);
    target.sequence = 1;
    cr_assert_eq(applyAnnouncement(registry, target, TimePoint(5s)), AnnounceOutcome::Restarted);
}

Test(orders, spare_store_loads_prefetch_models_that_no_target_holds_or_has_cached)
{
    Orders o;
    o.planner.tuning.prefetches = true;
    o.planner.storeLoadTokensAt = o.now - 10s;
    for (const char *name : {"held", "cached", "missing"}) {
        Model model;
        model.id = ModelId(name);
        model.memoryMb = 80;
        o.cluster.view.models[model.id] = model;
    }
    TargetAnnouncement target = o.registry.targets.at(TARGET).announcement;
    target.loaded = {{{ModelId("held"), {}}, Version(1), 80}};
    target.cached = {{ModelId("held"), CacheTier::Disk}, {ModelId("cached"), CacheTier::Disk}};
    applyAnnouncement(o.registry, target, o.now);
    o.planner.history[{ModelId("held"), {}}].lastUse = o.now;
    o.now += 5s;
    o.decidePass();
    o.decidePass();
    cr_assert_eq(o.cluster.view.replicas.at("t/held:").state, ReplicaState::Unloading,
                 "the model can be reloaded from the disk cache on demand");
    target.loaded.clear();
    applyAnnouncement(o.registry, target, o.now);
    o.answerInspection(0);
    o.answer(o.takeDueOrders().orders.at(0), OrderReply::Accepted);
    o.decidePass();
    o.decidePass();
    cr_assert(o.cluster.view.replicas.contains("t/missing:"));
    cr_assert_not(o.cluster.view.replicas.contains("t/cached:"));
}
