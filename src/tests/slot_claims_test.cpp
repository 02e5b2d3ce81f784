/** @file slot_claims_test.cpp How the leader divides few slots among the hosts that claim them. */
#include "account/leased_pool_func.h"
#include "replay/decision_simulation_base.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int SLOTS = 6; ///< A target that queues requests itself lends three times as many.
constexpr int LENT = 3 * SLOTS;
constexpr int CLAIMANTS = 40;

FolderConfig makeFolder()
{
    FolderConfig folder;
    ServicePolicy policy;
    policy.id = "s";
    policy.ramps = false;
    folder.services["s"] = policy;
    return folder;
}

/** A leader with two targets, and hosts whose reports the test writes itself. */
class SlotLeader
{
public:
    SlotLeader()
        : simulation(1, makeFolder(), 1)
    {
        for (const char *id : {"t0", "t1"}) {
            SimulatedTarget target;
            target.announcement.id = TargetId(id);
            target.announcement.kind = TargetKind::Service;
            target.announcement.service = "s";
            target.announcement.start = Incarnation(1);
            target.announcement.maxConcurrent = SLOTS;
            // The recorded limits allow all slots to be lent, so that no commit delays a grant.
            this->simulation.control.cluster.slotLending[target.announcement.id]
                = {target.announcement.id, target.announcement.start, {LENT, 0}};
            this->simulation.addTarget(target);
        }
        this->simulation.runUntil(this->simulation.now() + 3s);
        this->term = this->simulation.control.leadership->term;
    }

    /** Reports one request that waits at the target. @return Slots granted to the host there. */
    std::int64_t ask(int host, const char *target, TimePoint now, const char *account = "a")
    {
        HostReport report;
        report.holder = {HostId("asking-" + std::to_string(host)), 1};
        report.sequence = ++this->sequence;
        report.term = this->term;
        SlotUse use;
        use.target = TargetId(target);
        use.start = Incarnation(1);
        use.slots.want = 1;
        use.demand = {{AccountId(account), 1}};
        report.slots.push_back(use);
        const ControlEffects effects
            = step(this->simulation.control, HostMessageEvent{HostMessage(report)}, now);
        for (const OutgoingControlMessage &message : effects.toHosts) {
            const auto *grant = std::get_if<HostGrant>(&message.message);
            if (grant != nullptr && message.holder == report.holder)
                return grant->slots.at(0).slots;
        }
        cr_assert_fail("no grant");
        return 0;
    }

    DecisionSimulation simulation;

private:
    Term term = 0;
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against slots that the leader keeps for hosts which asked at a target once and have asked
// at another one since: free slots are then refused to the hosts that wait there now.
Test(slot_claims, claim_ends_with_a_report_that_does_not_name_its_target)
{
    SlotLeader leader;
    const TimePoint now = leader.simulation.now();
    std::int64_t granted = 0;
    for (int i = 0; i < CLAIMANTS; ++i)
        granted += leader.ask(i, "t0", now);
    cr_assert_eq(granted, LENT);
    // The hosts that got nothing ask at the other target, and the others return their slots.
    Leadership &leadership = *leader.simulation.control.leadership;
    for (int i = 0; i < CLAIMANTS; ++i)
        leader.ask(i, "t1", now + 10ms);
    LeasedPool &pool = leadership.slots.at(TargetId("t0")).pool;
    for (const auto &[holder, holding] : std::map(pool.holdings))
        report(pool, holder, 0, holding.granted, now + 1s, now + 20ms);
    cr_assert_eq(pool.level, LENT);
    granted = 0;
    for (int i = 0; i < LENT; ++i)
        granted += leader.ask(CLAIMANTS + i, "t0", now + 40ms);
    cr_expect_eq(granted, LENT, "%d of %d", static_cast<int>(granted), LENT);
}

// Guards against a host that gets no free slot because it was not among the hosts at the last
// division of the slots: its next report comes long after.
Test(slot_claims, new_claim_counts_at_once)
{
    SlotLeader leader;
    const TimePoint now = leader.simulation.now();
    for (int i = 0; i < LENT - 1; ++i)
        cr_assert_eq(leader.ask(i, "t0", now), 1);
    // One host claims the rest and more, so that the slots are divided.
    Leadership &leadership = *leader.simulation.control.leadership;
    TargetSlots &slots = leadership.slots.at(TargetId("t0"));
    slots.demands.at({HostId("asking-0"), 1}).demand = {{AccountId("a"), 10}};
    leader.ask(1, "t0", now + 30ms);
    cr_assert(!slots.shares.empty());
    cr_assert_eq(slots.pool.level, 1);
    cr_expect_eq(leader.ask(50, "t0", now + 35ms, "b"), 1);
}
