/** @file order_test.cpp Orders to targets that ignore fencing: one at a time, counted, repeated. */
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
    replica.start = StartNumber(1);
    replica.fencing = FencingNumber(fencing);
    replica.state = state;
    replica.memoryMb = 10;
    return replica;
}

/** Committed replicas of one target that ignores fencing and counts its orders. */
struct Orders
{
    Orders()
    {
        TargetAnnouncement target;
        target.id = TARGET;
        target.memoryMb = 100;
        target.start = StartNumber(1);
        announce(this->registry, target, this->now);
        this->planner.tuning.countsOrders = true;
        this->planner.since = this->now - 10s;
    }

    void commit(const Replica &replica)
    {
        apply(this->cluster, {Duration::zero(), DecideReplicas{{replica}, {}}});
    }

    DueOrders due()
    {
        const PlacementView view{this->cluster.view, this->registry, this->cluster.lastFencing};
        return dueOrders(
            this->planner, view, [](const Replica &) { return true; }, this->now);
    }

    void answer(const OutstandingOrder &order, OrderReply reply)
    {
        noteOrderReply(this->planner, replicaId(TARGET, order.order.variant), order.order.fencing,
                       reply, this->now);
    }

    void inspect(std::uint64_t accepted, bool busy = false)
    {
        noteInspection(this->planner, TARGET, StartNumber(1), TargetInspection{accepted, busy},
                       this->now);
    }

    void decidePass()
    {
        const PlacementView view{this->cluster.view, this->registry, this->cluster.lastFencing};
        const PlacementDecision decision = decide(this->planner, view, this->now);
        apply(this->cluster, {Duration::zero(), DecideReplicas{decision.put, decision.gone}});
    }

    Cluster cluster;
    TargetRegistry registry;
    Planner planner;
    TimePoint now{100s};
};

} // namespace

Test(orders, several_decisions_for_one_target_go_out_in_the_order_of_their_numbers)
{
    Orders o;
    o.inspect(0);
    o.commit(makeReplica("z", 5, ReplicaState::Unloading));
    o.commit(makeReplica("a", 7, ReplicaState::Loading));
    const DueOrders first = o.due();
    cr_assert_eq(first.orders.size(), 1);
    cr_assert_eq(first.orders[0].order.fencing.value, 5);
    cr_assert_eq(o.due().orders.size(), 0, "the next one waits until the first is settled");
}

Test(orders, an_adapter_waits_for_a_models_order_since_the_target_would_refuse_it)
{
    Orders o;
    o.inspect(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.due().orders.at(0), OrderReply::Accepted);
    Replica adapter = makeReplica("c", 7, ReplicaState::Loading);
    adapter.variant.adapter = AdapterId("x");
    o.commit(adapter);
    cr_assert_eq(o.due().orders.size(), 0);
    o.commit(makeReplica("a", 5, ReplicaState::Ready));
    const DueOrders next = o.due();
    cr_assert_eq(next.orders.size(), 1);
    cr_assert_eq(next.orders[0].order.fencing.value, 7);
    cr_assert_eq(next.orders[0].order.precondition.value(), 1);
}

Test(orders, a_model_that_a_target_has_cached_is_not_fetched_from_the_store_elsewhere)
{
    // The pattern: rare models asked for at once; a load from the store takes four times as long.
    Orders o;
    o.planner.tuning = makeSwapTuning();
    o.planner.storeCreditAt = o.now - 10s;
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
    announce(o.registry, target, o.now);
    TargetAnnouncement empty;
    empty.id = TargetId("empty");
    empty.memoryMb = 100;
    empty.start = StartNumber(1);
    announce(o.registry, empty, o.now);
    VariantUse busy;
    busy.variant = {ModelId("busy"), {}};
    busy.running = 1;
    VariantUse rare;
    rare.variant = {ModelId("rare"), {}};
    rare.waiting = 1;
    noteUses(o.planner, HostId("h"), {busy, rare}, o.now);
    o.now += 1s;
    o.decidePass();
    cr_assert_not(o.cluster.view.replicas.contains("empty/rare:"), "its engine is free soon");
    noteUses(o.planner, HostId("h"), {rare}, o.now);
    o.now += 1s;
    o.decidePass();
    o.decidePass();
    cr_assert_eq(o.cluster.view.replicas.at("t/busy:").state, ReplicaState::Unloading);
}

Test(orders, a_target_is_asked_before_its_first_order_and_the_order_names_the_count)
{
    Orders o;
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    const DueOrders first = o.due();
    cr_assert_eq(first.orders.size(), 0);
    cr_assert_eq(first.inspections.size(), 1);
    cr_assert_eq(o.due().inspections.size(), 0, "one question at a time");
    o.inspect(3);
    const DueOrders second = o.due();
    cr_assert_eq(second.orders.size(), 1);
    cr_assert_eq(second.orders[0].order.precondition.value(), 3);
}

Test(orders, an_order_without_an_answer_is_repeated_under_a_new_number_once_the_count_is_known)
{
    Orders o;
    o.inspect(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.due().orders.at(0), OrderReply::Unknown);
    cr_assert_eq(o.due().orders.size(), 0, "a late order may still be on its way");
    o.decidePass();
    cr_assert_eq(o.due().inspections.size(), 0, "a report would be older than the order");
    o.now += 1s;
    cr_assert_eq(o.due().inspections.size(), 1);
    o.inspect(0);
    const DueOrders repeat = o.due();
    cr_assert_eq(repeat.orders.size(), 1);
    cr_assert_gt(repeat.orders[0].order.fencing.value, 5);
    cr_assert_eq(repeat.orders[0].order.precondition.value(), 0, "only one of the two can pass");
}

// Guards against a decision that is lost, or a target that is left alone, because an order was held
// back at the end of its leader's lease.
Test(orders, an_order_that_was_held_back_goes_out_under_its_number_once_the_lease_is_renewed)
{
    Orders o;
    o.inspect(3);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.due().orders.at(0), OrderReply::Unsent);
    const DueOrders again = o.due();
    cr_assert_eq(again.orders.size(), 1);
    cr_assert_eq(again.orders[0].order.fencing.value, 5);
    cr_assert_eq(again.orders[0].order.precondition.value(), 3, "the target accepted nothing");
}

// Guards against a load that waits for good for a target to which no connection can be made.
Test(orders, a_load_goes_elsewhere_when_its_order_could_not_be_sent_three_times_in_a_row)
{
    Orders o;
    o.inspect(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    const auto unsent = [&]() {
        const OutstandingOrder order = o.due().orders.at(0);
        return noteOrderReply(o.planner, replicaId(TARGET, order.order.variant),
                              order.order.fencing, OrderReply::Unsent, o.now);
    };
    cr_assert(unsent().empty());
    cr_assert(unsent().empty());
    cr_assert_eq(unsent(), std::vector<std::string>{"t/a:"});
    cr_assert_gt(o.planner.refusedUntil.at(TARGET), o.now);
}

// Guards against orders of a new leader in the time in which a target may still get an earlier
// one's.
Test(orders, no_order_goes_out_and_no_load_is_decided_before_the_planner_may_give_orders)
{
    Orders o;
    o.planner.ordersFrom = o.now + 1s;
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.inspect(0);
    cr_assert(o.due().orders.empty());
    o.now += 1s;
    cr_assert_eq(o.due().orders.size(), 1);
}

Test(orders, a_busy_target_is_asked_again_instead_of_losing_the_decision)
{
    Orders o;
    o.inspect(0);
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.answer(o.due().orders.at(0), OrderReply::Busy);
    o.decidePass();
    o.now += 1s;
    cr_assert_eq(o.due().inspections.size(), 1);
    o.inspect(1, true);
    cr_assert_eq(o.due().orders.size(), 0, "an order is under way there");
}

Test(orders, a_new_leader_gives_no_inherited_number_again)
{
    Orders o;
    o.commit(makeReplica("a", 5, ReplicaState::Loading));
    o.planner.inherited = FencingNumber(5);
    o.inspect(1);
    cr_assert_eq(o.due().orders.size(), 0);
    o.decidePass();
    const DueOrders due = o.due();
    cr_assert_eq(due.orders.size(), 1);
    cr_assert_gt(due.orders[0].order.fencing.value, 5);
}

// Guards against one number from two leaders at a target that neither checks nor counts orders.
Test(orders, a_new_leader_repeats_an_inherited_unload_under_a_number_of_its_own)
{
    Orders o;
    o.planner.tuning.countsOrders = false;
    o.commit(makeReplica("a", 5, ReplicaState::Unloading));
    o.planner.inherited = FencingNumber(5);
    cr_assert(o.due().orders.empty());
    o.decidePass();
    const DueOrders due = o.due();
    cr_assert_eq(due.orders.size(), 1);
    cr_assert_eq(due.orders[0].order.action, OrderAction::Unload);
    cr_assert_gt(due.orders[0].order.fencing.value, 5);
}

Test(orders, the_model_that_most_callers_want_gets_the_room_that_was_made_for_it)
{
    // The pattern: demand moves to other models while callers are told to come back.
    Orders o;
    o.planner.tuning = makeSwapTuning();
    for (const char *name : {"idle", "hot", "rare"}) {
        Model model;
        model.id = ModelId(name);
        model.memoryMb = 80;
        o.cluster.view.models[model.id] = model;
    }
    TargetAnnouncement target = o.registry.targets.at(TARGET).announcement;
    target.loaded = {{{ModelId("idle"), {}}, Version(1), 80}};
    target.cached = {{ModelId("hot"), CacheTier::Disk}, {ModelId("rare"), CacheTier::Disk}};
    announce(o.registry, target, o.now);
    VariantUse hot;
    hot.variant = {ModelId("hot"), {}};
    hot.returning = 20;
    VariantUse rare;
    rare.variant = {ModelId("rare"), {}};
    rare.waiting = 1;
    rare.earliestDeadlineIn = 1s;
    noteUses(o.planner, HostId("h"), {hot, rare}, o.now);
    o.now += 1s;
    o.decidePass();
    o.decidePass();
    o.inspect(0);
    o.answer(o.due().orders.at(0), OrderReply::Accepted);
    target.loaded.clear();
    announce(o.registry, target, o.now);
    o.decidePass();
    o.decidePass();
    cr_assert(o.cluster.view.replicas.contains("t/hot:"));
    cr_assert_not(o.cluster.view.replicas.contains("t/rare:"));
}

Test(orders, what_was_found_before_the_first_configuration_counts_with_its_memory)
{
    Orders o;
    TargetAnnouncement target = o.registry.targets.at(TARGET).announcement;
    target.loaded = {{{ModelId("held"), {}}, Version(1), 0}};
    announce(o.registry, target, o.now);
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
    noteUses(o.planner, HostId("h"), {held, wanted}, o.now);
    o.planner.storeCreditAt = o.now - 10s;
    o.decidePass();
    cr_assert_not(o.cluster.view.replicas.contains("t/wanted:"), "80 of 100 are taken");
}

Test(orders, a_late_announcement_does_not_bring_back_a_target_that_has_left)
{
    TargetRegistry registry;
    TargetAnnouncement target;
    target.id = TARGET;
    target.start = StartNumber(1);
    target.sequence = 17;
    announce(registry, target, TimePoint(1s));
    noteLeft(registry, TARGET);
    cr_assert_eq(dropSilent(registry, TimePoint(5s)).size(), 1);
    target.sequence = 18;
    cr_assert_eq(announce(registry, target, TimePoint(5s)), AnnounceOutcome::Stale);
    cr_assert(registry.targets.empty());
    target.start = StartNumber(2);
    target.sequence = 1;
    cr_assert_eq(announce(registry, target, TimePoint(5s)), AnnounceOutcome::Restarted);
}

Test(orders, spare_store_loads_bring_in_models_that_no_target_has_at_hand)
{
    Orders o;
    o.planner.tuning.prefetches = true;
    o.planner.storeCreditAt = o.now - 10s;
    for (const char *name : {"held", "cached", "missing"}) {
        Model model;
        model.id = ModelId(name);
        model.memoryMb = 80;
        o.cluster.view.models[model.id] = model;
    }
    TargetAnnouncement target = o.registry.targets.at(TARGET).announcement;
    target.loaded = {{{ModelId("held"), {}}, Version(1), 80}};
    target.cached = {{ModelId("held"), CacheTier::Disk}, {ModelId("cached"), CacheTier::Disk}};
    announce(o.registry, target, o.now);
    o.planner.history[{ModelId("held"), {}}].lastUse = o.now;
    o.now += 5s;
    o.decidePass();
    o.decidePass();
    cr_assert_eq(o.cluster.view.replicas.at("t/held:").state, ReplicaState::Unloading,
                 "it comes back from the disk whenever it is asked for");
    target.loaded.clear();
    announce(o.registry, target, o.now);
    o.inspect(0);
    o.answer(o.due().orders.at(0), OrderReply::Accepted);
    o.decidePass();
    o.decidePass();
    cr_assert(o.cluster.view.replicas.contains("t/missing:"));
    cr_assert_not(o.cluster.view.replicas.contains("t/cached:"));
}
