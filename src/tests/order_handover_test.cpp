/** @file order_handover_test.cpp Separation in time of the orders of two successive leaders. */
#include "control_group.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration SEPARATION = 3s; ///< Required by targets between orders of two leaders.
constexpr Duration MAX_TRANSIT_TIME
    = 1s; ///< Longest time from a decision of a leader until its order is at the target.
constexpr Duration REMAINING_LEASE = 10ms; ///< Remaining lease when the order is decided.

const TargetId TARGET("t");
const Variant MODEL{ModelId("m"), {}};

/** A group whose leader wants to load a model and has sent an inspection to the target. */
struct HandoverGroup : ControlGroup
{
    explicit HandoverGroup(int initialMemberCount = GROUP_INITIAL_MEMBERS,
                           int desiredVoterCount = GROUP_VOTERS)
        : ControlGroup(initialMemberCount, desiredVoterCount)
    {
        for (GroupDaemon &daemon : this->daemons)
            daemon.control->tuning = makeFastLoadTuning();
        TargetAnnouncement target;
        target.id = TARGET;
        target.memoryMb = 100;
        target.start = Incarnation(1);
        this->targets = {target};
        FolderConfig config;
        config.models[MODEL.model].id = MODEL.model;
        config.models[MODEL.model].memoryMb = 10;
        this->runFor(3s);
        this->replaceConfig(1, config);
        this->onInspection = [this](GroupDaemon &, const InspectTarget &item) { inspected = item; };
        VariantUse use;
        use.variant = MODEL;
        use.waiting = 1;
        this->uses = {use};
        this->runFor(2s);
        cr_assert(this->inspected, "the leader must inspect the target before its first order");
        cr_assert(this->orders.empty());
    }

    /** Passes the target's answer to @p leader, which then sends its order. */
    void answerInspection(GroupDaemon &leader)
    {
        this->deliverEvent(leader,
                           InspectionEvent{TARGET, Incarnation(1), TargetInspection{0, false, {}}});
        this->deliverEvent(leader, ControlTickEvent{});
    }

    /** Makes the target answer every later inspection at once. */
    void answerAllInspections()
    {
        this->onInspection = [this](GroupDaemon &daemon, const InspectTarget &) {
            this->deliverEvent(
                daemon, InspectionEvent{TARGET, Incarnation(1), TargetInspection{0, false, {}}});
        };
    }

    /** Checks the time between the latest arrival of the first order and another leader's order. */
    void checkSeparation()
    {
        const IssuedOrder first = this->orders.front();
        for (const IssuedOrder &order : this->orders) {
            if (order.leader == first.leader)
                continue;
            const Duration gap = order.at - (first.at + MAX_TRANSIT_TIME);
            cr_assert_geq(gap.count(), SEPARATION.count(),
                          "orders of %s and %s can reach the target %.3f s apart",
                          first.leader.value.c_str(), order.leader.value.c_str(), toSeconds(gap));
            return;
        }
        cr_assert_fail("no other leader sent an order");
    }

    std::optional<InspectTarget> inspected;
};

} // namespace

// Guards against orders of two leaders that reach a target too close together. The first leader
// was partitioned, and an order that it sent at the end of its lease arrived late.
Test(order_handover, orders_of_partitioned_leader_and_successor_keep_separation)
{
    HandoverGroup group;
    GroupDaemon &first = *group.leader();
    first.isolated = true;
    while (group.now + GROUP_STEP < leaseEnd(first.control->replica) - REMAINING_LEASE)
        group.runFor(GROUP_STEP);
    group.answerInspection(first);
    cr_assert_eq(group.orders.size(), 1);
    group.answerAllInspections();
    group.runFor(10s);
    group.checkSeparation();
}

// Guards against orders of two leaders that reach a target too close together when the first
// leader sends an order and then transfers its leadership.
Test(order_handover, orders_of_leaving_leader_and_successor_keep_separation)
{
    HandoverGroup group;
    GroupDaemon &first = *group.leader();
    group.answerInspection(first);
    cr_assert_eq(group.orders.size(), 1);
    group.deliverEvent(first, ControlShutdownEvent{});
    group.runFor(200ms);
    cr_assert_neq(group.leader(), &first);
    group.answerAllInspections();
    group.runFor(10s);
    group.checkSeparation();
}

// Guards against an order without a send deadline. The lease of a single voter does not depend on
// other members, so that its order could be sent long after new members have elected a successor.
Test(order_handover, order_of_single_voter_has_send_deadline)
{
    HandoverGroup group(1, 1);
    group.answerInspection(*group.leader());
    cr_assert_eq(group.orders.size(), 1);
    const IssuedOrder &given = group.orders.front();
    cr_assert_leq((given.order.sendBy - given.at).count(), LEADER_LEASE.count(), "%.0f s",
                  toSeconds(given.order.sendBy - given.at));
}
