/** @file order_handover_test.cpp Orders of two leaders that follow each other, as a target gets
 * them. */
#include "control_group.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration SEPARATION = 3s; ///< Between orders of two leaders, as targets demand it.
constexpr Duration LONGEST_WAY = 1s; ///< From a leader's decision until the target has the order.
constexpr Duration NOT_YET = 10ms; ///< Before the end of the lease.

const TargetId TARGET("t");
const Variant MODEL{ModelId("m"), {}};

/** A group whose leader has decided to load a model and has yet to hear the target's count. */
struct Handover : ControlGroup
{
    explicit Handover(int founderCount = GROUP_FOUNDERS, int votersWanted = GROUP_VOTERS)
        : ControlGroup(founderCount, votersWanted)
    {
        for (GroupDaemon &daemon : this->daemons)
            daemon.control->tuning = makeSwapTuning();
        TargetAnnouncement target;
        target.id = TARGET;
        target.memoryMb = 100;
        target.start = StartNumber(1);
        this->targets = {target};
        FolderConfig config;
        config.models[MODEL.model].id = MODEL.model;
        config.models[MODEL.model].memoryMb = 10;
        this->runFor(3s);
        this->replaceConfig(1, config);
        this->onInspection = [this](GroupDaemon &, const InspectTarget &item) { asked = item; };
        VariantUse use;
        use.variant = MODEL;
        use.waiting = 1;
        this->uses = {use};
        this->runFor(2s);
        cr_assert(this->asked, "the leader asks the target before its first order");
        cr_assert(this->orders.empty());
    }

    /** The target's answer reaches @p leader, whose order follows. */
    void answer(GroupDaemon &leader)
    {
        this->feed(leader, InspectionEvent{TARGET, StartNumber(1), TargetInspection{0, false}});
        this->feed(leader, ControlTickEvent{});
    }

    /** From here on every leader gets its answers at once. */
    void answerAll()
    {
        this->onInspection = [this](GroupDaemon &daemon, const InspectTarget &) {
            this->feed(daemon, InspectionEvent{TARGET, StartNumber(1), TargetInspection{0, false}});
        };
    }

    /** Checks the first order of another leader against the latest arrival of the first order. */
    void checkSeparation()
    {
        const GivenOrder first = this->orders.front();
        for (const GivenOrder &order : this->orders) {
            if (order.leader == first.leader)
                continue;
            const Duration gap = order.at - (first.at + LONGEST_WAY);
            cr_assert_geq(gap.count(), SEPARATION.count(),
                          "a late order of %s and one of %s are %.3f s apart",
                          first.leader.value.c_str(), order.leader.value.c_str(), toSeconds(gap));
            return;
        }
        cr_assert_fail("no other leader gave an order");
    }

    std::optional<InspectTarget> asked;
};

} // namespace

// Guards against two leaders whose orders reach a target within the separation: the first was cut
// off, and the order that it gave at the end of its lease arrived late.
Test(order_handover, orders_of_a_leader_that_was_cut_off_and_of_its_successor_stay_apart)
{
    Handover group;
    GroupDaemon &first = *group.leader();
    first.cut = true;
    while (group.now + GROUP_STEP < leaseEnd(first.control->replica) - NOT_YET)
        group.runFor(GROUP_STEP);
    group.answer(first);
    cr_assert_eq(group.orders.size(), 1);
    group.answerAll();
    group.runFor(10s);
    group.checkSeparation();
}

// Guards against the same where the first leader hands its leadership over and orders just before.
Test(order_handover, orders_of_a_leader_that_leaves_and_of_its_successor_stay_apart)
{
    Handover group;
    GroupDaemon &first = *group.leader();
    group.answer(first);
    cr_assert_eq(group.orders.size(), 1);
    group.feed(first, ControlLeaveEvent{});
    group.runFor(200ms);
    cr_assert_neq(group.leader(), &first);
    group.answerAll();
    group.runFor(10s);
    group.checkSeparation();
}

// Guards against an order without any limit, which a leader gives whose lease needs nobody else's
// word: it could leave when others have joined and elected a successor long since.
Test(order_handover, an_order_of_a_lone_voter_is_bounded_in_time_too)
{
    Handover group(1, 1);
    group.answer(*group.leader());
    cr_assert_eq(group.orders.size(), 1);
    const GivenOrder &given = group.orders.front();
    cr_assert_leq((given.order.sendBy - given.at).count(), LEADER_LEASE.count(), "%.0f s",
                  toSeconds(given.order.sendBy - given.at));
}
