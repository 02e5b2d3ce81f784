/** @file member_test.cpp The control group replaces members that crash, lose their disk or
 * move to another address, without an operator. */
#include "control_group.h"

#include <criterion/criterion.h>

using namespace bilberry;

Test(members, daemons_outside_the_initial_membership_join_and_become_voters)
{
    ControlGroup group;
    group.runFor(3s);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
}

Test(members, two_members_with_lost_disks_are_replaced_within_four_seconds_of_a_full_restart)
{
    ControlGroup group;
    group.runFor(3s);
    cr_assert(group.replaceConfig(7));
    for (GroupDaemon &daemon : group.daemons)
        group.kill(daemon);
    group.runFor(1s);
    for (std::size_t i = 0; i < group.daemons.size(); ++i) {
        if (i < 2)
            group.restartWithEmptyDisk(group.daemons[i]);
        else
            group.start(group.daemons[i]);
    }
    group.runFor(4s);
    cr_assert_eq(group.number(), 7);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
    for (const GroupDaemon &daemon : group.daemons)
        cr_assert(group.voters().contains(daemon.member));
    // Only one of the remaining voters still has its old disk: with two daemons down, the quorum
    // needs both new members.
    group.kill(group.daemons[3]);
    group.kill(group.daemons[4]);
    group.runFor(2s);
    cr_assert_eq(group.number(), 7);
}

Test(members, a_crashed_member_is_replaced_by_one_at_another_address)
{
    ControlGroup group;
    group.runFor(3s);
    const MemberId gone = group.daemons[1].member;
    group.kill(group.daemons[1]);
    group.daemons.push_back({"a9", group.newMemberId(), {}, {}});
    group.start(group.daemons.back());
    group.runFor(6s);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
    cr_assert_not(group.voters().contains(gone));
    cr_assert(group.voters().contains(group.daemons.back().member));
}

Test(members, a_new_leader_inherits_the_last_fencing_token_before_it_issues_orders)
{
    ControlGroup group;
    group.runFor(3s);
    GroupDaemon *first = group.leader();
    Replica replica;
    replica.target = TargetId("t");
    replica.variant = {ModelId("m"), {}};
    replica.fencing = FencingToken(9);
    ReplicaEffects proposed;
    LogIndex index = 0;
    proposed = propose(first->control->replica,
                       encode(Command{Duration::zero(), UpdateReplicas{{replica}, {}}}), index,
                       group.now)
                   .value();
    ControlEffects effects;
    effects.toMembers = proposed.sendNow;
    effects.journal.push_back({{}, proposed.append, {}, {}});
    group.handleEffects(*first, effects);
    group.runFor(200ms);
    for (GroupDaemon &daemon : group.daemons)
        group.kill(daemon);
    group.runFor(500ms);
    for (GroupDaemon &daemon : group.daemons)
        group.start(daemon);
    group.runFor(3s);
    const Control &control = *group.leader()->control;
    cr_assert_eq(control.cluster.lastFencing.value, 9);
    cr_assert_eq(control.leadership->planner.inheritedFencing.value, 9);
}

Test(members, a_spare_member_does_not_become_a_voter_while_all_voters_are_up)
{
    ControlGroup group;
    group.runFor(3s);
    group.daemons.push_back({"a9", group.newMemberId(), {}, {}});
    group.start(group.daemons.back());
    group.runFor(6s);
    cr_assert_eq(group.voters().size(), GROUP_VOTERS);
    cr_assert_not(group.voters().contains(group.daemons.back().member));
}
