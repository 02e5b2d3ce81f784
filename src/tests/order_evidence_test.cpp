/** @file order_evidence_test.cpp Orders that depend on leases and answers which a leader got
 * before, or which an earlier leader gave. */
#include "control/control_internal.h"
#include "control_group.h"
#include "placement/planner_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

const TargetId TARGET("t");
const Variant MODEL{ModelId("m"), {}};

TargetAnnouncement makeTarget()
{
    TargetAnnouncement target;
    target.id = TARGET;
    target.memoryMb = 100;
    target.start = Incarnation(1);
    return target;
}

Replica makeLoad(const std::string &model, std::uint64_t fencing)
{
    Replica replica;
    replica.variant = {ModelId(model), {}};
    replica.target = TARGET;
    replica.start = Incarnation(1);
    replica.fencing = FencingToken(fencing);
    replica.state = ReplicaState::Loading;
    replica.memoryMb = 10;
    return replica;
}

/** A configuration of one model, and a target that checks fencing tokens. */
FolderConfig makeFencedConfig()
{
    FolderConfig config;
    config.models[MODEL.model].id = MODEL.model;
    config.models[MODEL.model].memoryMb = 10;
    config.targets[TARGET].id = TARGET;
    config.targets[TARGET].checksFencing = true;
    return config;
}

/** A planner, and committed replicas on one target that counts accepted orders. */
struct CountedOrders
{
    CountedOrders()
    {
        applyAnnouncement(this->registry, makeTarget(), this->now);
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

    void answerInspection(std::uint64_t accepted)
    {
        handleInspection(this->planner, TARGET, Incarnation(1),
                         TargetInspection{accepted, false, {}}, this->now);
    }

    Cluster cluster;
    TargetRegistry registry;
    Planner planner;
    TimePoint now{100s};
};

/** Sends a report of every host that is not cut off; these know the latest table and registry. */
void reportLatestTable(ControlGroup &group, GroupDaemon &leader)
{
    for (const GroupDaemon &daemon : group.daemons) {
        if (!daemon.up || daemon.isolated)
            continue;
        HostReport report;
        report.holder = {HostId(daemon.address), daemon.run};
        report.sentAt = group.now;
        report.member = ControlCandidate{daemon.member.value, daemon.address};
        report.table = leader.control->cluster.version;
        report.registryEpoch = leader.control->leadership->registry.epoch;
        report.registry = leader.control->leadership->registry.version;
        group.deliverEvent(leader, HostMessageEvent{report});
    }
}

} // namespace

// Guards against an unload that is sent while a request to the replica may still leave a host. What
// a host has dispatched with a slot may leave until its freshness lease ends, see latestSendTime().
// A new leader has not heard of a host that is cut off and must wait until then. It has no other
// wait before its orders to a target that checks fencing tokens.
Test(order_evidence, unload_waits_for_freshness_leases_of_an_earlier_leader)
{
    ControlGroup group;
    for (GroupDaemon &daemon : group.daemons)
        daemon.control->tuning = makeFastLoadTuning();
    TargetAnnouncement target = makeTarget();
    target.loaded = {{MODEL, Version(1), 10}};
    group.targets = {target};
    group.runFor(3s);
    cr_assert(group.replaceConfig(1, makeFencedConfig()));
    group.runFor(1s);
    GroupDaemon &first = *group.leader();
    GroupDaemon &unaware
        = &first == &group.daemons.back() ? group.daemons.at(1) : group.daemons.back();
    const auto &replicas = first.control->cluster.view.replicas;
    cr_assert(replicas.contains(replicaId(TARGET, MODEL)), "the loaded model must be recorded");
    Replica unload = replicas.at(replicaId(TARGET, MODEL));
    unload.state = ReplicaState::Unloading;
    unload.fencing = FencingToken(first.control->cluster.lastFencing.value + 1);

    group.runFor(GROUP_STEP); // All hosts report.
    const TimePoint lastReport = group.now;
    unaware.isolated = true;
    ControlEffects effects;
    cr_assert(proposeCommand(*first.control, UpdateReplicas{{unload}, {}}, {}, effects, group.now)
                  .has_value());
    group.handleEffects(first, effects);
    group.runFor(100ms);
    cr_assert(group.orders.empty(), "the first leader must wait for the host without the unload");
    group.deliverEvent(first, ControlShutdownEvent{});
    group.runFor(200ms);
    cr_assert(group.leader() != nullptr && group.leader() != &first);

    group.runFor(5s);
    cr_assert_not(group.orders.empty(), "the new leader must send the unload in the end");
    const IssuedOrder &order = group.orders.front();
    cr_assert_eq(order.order.order.action, OrderAction::Unload);
    cr_assert_geq((order.at - lastReport).count(), FRESHNESS_LEASE.count(),
                  "unload sent %.3f s after the last report of a host with a lease of %.3f s",
                  toSeconds(order.at - lastReport), toSeconds(FRESHNESS_LEASE));
}

// Guards against a leader that says a change is in force on all hosts while a host that is cut off
// still trusts the table from before, under a freshness lease of an earlier leader.
Test(order_evidence, change_is_not_in_force_while_an_earlier_leaders_freshness_lease_lasts)
{
    ControlGroup group;
    group.runFor(3s);
    cr_assert(group.replaceConfig(1, makeFencedConfig()));
    group.runFor(1s);
    GroupDaemon &first = *group.leader();
    GroupDaemon &unaware
        = &first == &group.daemons.back() ? group.daemons.at(1) : group.daemons.back();
    reportLatestTable(group, first);
    const TimePoint lastReport = group.now;
    unaware.isolated = true;
    cr_assert(group.replaceConfig(2, FolderConfig()));
    const Version changed = first.control->cluster.version;
    reportLatestTable(group, first);
    cr_assert_lt(inForce(*first.control, group.now).value, changed.value,
                 "the first leader must wait for the host without the change");
    group.deliverEvent(first, ControlShutdownEvent{});
    group.runFor(200ms);
    cr_assert(group.leader() != nullptr && group.leader() != &first);

    GroupDaemon &second = *group.leader();
    for (; group.now < lastReport + FRESHNESS_LEASE; group.runFor(50ms)) {
        reportLatestTable(group, second);
        cr_assert_lt(inForce(*second.control, group.now).value, changed.value,
                     "said to be in force %.3f s after the last report of a host with a lease of "
                     "%.3f s",
                     toSeconds(group.now - lastReport), toSeconds(FRESHNESS_LEASE));
    }
    group.runFor(1s);
    reportLatestTable(group, second);
    cr_assert_geq(inForce(*second.control, group.now).value, changed.value);
}

// Guards against an answer to an earlier inspection that replaces what is known from a later one
// and from an order accepted since: the next order would carry a number that the target refuses.
Test(order_evidence, late_answer_to_an_earlier_inspection_does_not_lower_the_accepted_count)
{
    CountedOrders o;
    o.commit(makeLoad("a", 5));
    cr_assert_eq(o.takeDueOrders().inspections.size(), 1);
    o.now += 600ms;
    cr_assert_eq(o.takeDueOrders().inspections.size(), 1, "the first one may be lost");
    o.answerInspection(3); // Answer to the second inspection.
    const DueOrders first = o.takeDueOrders();
    cr_assert_eq(first.orders.size(), 1);
    cr_assert_eq(first.orders[0].order.precondition.value(), 3);
    handleOrderReply(o.planner, replicaId(TARGET, first.orders[0].order.variant),
                     first.orders[0].order.fencing, OrderReply::Accepted, false, o.now);
    Replica ready = makeLoad("a", 5);
    ready.state = ReplicaState::Ready;
    o.commit(ready);
    o.now += 100ms;
    o.answerInspection(3); // Late answer to the first inspection.
    o.commit(makeLoad("b", 6));
    for (int i = 0; i < 5; ++i) {
        const DueOrders due = o.takeDueOrders();
        for (const OutstandingOrder &order : due.orders) {
            cr_assert_eq(order.order.precondition.value(), 4,
                         "the target has accepted four orders and refuses any other number");
            return;
        }
        if (!due.inspections.empty())
            o.answerInspection(4);
        o.now += 600ms;
    }
    cr_assert_fail("the second load was never ordered");
}
