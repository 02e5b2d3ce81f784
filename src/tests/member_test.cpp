/** @file member_test.cpp Control members that lose their disk, move or end, without an operator. */
#include "control_group.h"

#include <criterion/criterion.h>

using namespace bilberry;

Test(members, daemons_that_found_no_group_join_it_and_vote)
{
    ControlGroup group;
    group.runFor(3s);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
}

Test(members, two_lost_disks_are_replaced_within_four_seconds_while_all_others_go_dark)
{
    ControlGroup group;
    group.runFor(3s);
    cr_assert(group.replaceConfig(7));
    for (GroupDaemon &daemon : group.daemons)
        group.kill(daemon);
    group.runFor(1s);
    for (std::size_t i = 0; i < group.daemons.size(); ++i) {
        if (i < 2)
            group.wipe(group.daemons[i]);
        else
            group.start(group.daemons[i]);
    }
    group.runFor(4s);
    cr_assert_eq(group.number(), 7);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
    for (const GroupDaemon &daemon : group.daemons)
        cr_assert(group.voters().contains(daemon.member));
    // The repaired members carry the state alone.
    group.kill(group.daemons[3]);
    group.kill(group.daemons[4]);
    group.runFor(2s);
    cr_assert_eq(group.number(), 7);
}

Test(members, a_member_that_is_gone_makes_place_for_one_at_another_address)
{
    ControlGroup group;
    group.runFor(3s);
    const MemberId gone = group.daemons[1].member;
    group.kill(group.daemons[1]);
    group.daemons.push_back({"a9", group.freshId(), {}, {}});
    group.start(group.daemons.back());
    group.runFor(6s);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
    cr_assert_not(group.voters().contains(gone));
    cr_assert(group.voters().contains(group.daemons.back().member));
}

Test(members, a_new_leader_knows_the_last_fencing_number_before_it_places_anything)
{
    ControlGroup group;
    group.runFor(3s);
    GroupDaemon *first = group.leader();
    Replica replica;
    replica.target = TargetId("t");
    replica.variant = {ModelId("m"), {}};
    replica.fencing = FencingNumber(9);
    ReplicaEffects proposed;
    LogIndex index = 0;
    proposed = propose(first->control->replica,
                       encode(Command{Duration::zero(), DecideReplicas{{replica}, {}}}), index,
                       group.now)
                   .value();
    ControlEffects effects;
    effects.toMembers = proposed.sendNow;
    effects.journal.push_back({{}, proposed.append, {}, {}});
    group.take(*first, effects);
    group.runFor(200ms);
    for (GroupDaemon &daemon : group.daemons)
        group.kill(daemon);
    group.runFor(500ms);
    for (GroupDaemon &daemon : group.daemons)
        group.start(daemon);
    group.runFor(3s);
    const Control &control = *group.leader()->control;
    cr_assert_eq(control.cluster.lastFencing.value, 9);
    cr_assert_eq(control.leadership->planner.inherited.value, 9);
}

Test(members, a_spare_member_waits_while_all_voters_live)
{
    ControlGroup group;
    group.runFor(3s);
    group.daemons.push_back({"a9", group.freshId(), {}, {}});
    group.start(group.daemons.back());
    group.runFor(6s);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
    cr_assert_not(group.voters().contains(group.daemons.back().member));
}
