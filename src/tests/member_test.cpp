/** @file member_test.cpp Control members that lose their disk, move or end, without an operator. */
#include "control/control_func.h"

#include <queue>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration STEP = 5ms;
constexpr int VOTERS = 5;

/** One daemon with a control member; its disk survives its process. */
struct Daemon
{
    std::string address;
    MemberId member;
    std::optional<Control> control;
    DurableState disk;
    bool up = true;
    std::uint64_t run = 1;
};

/** Control members joined by messages that take one step; every write is synced at once. */
struct Group
{
    Group()
    {
        for (int i = 0; i < VOTERS; ++i)
            this->daemons.push_back({"a" + std::to_string(i), {}, {}, {}, true, 1});
        Membership founders;
        for (int i = 0; i < 3; ++i) {
            const MemberId member("founder" + std::to_string(i));
            founders.voters.insert(member);
            founders.addresses[member] = this->daemons[static_cast<std::size_t>(i)].address;
        }
        for (int i = 0; i < 3; ++i) {
            Daemon &daemon = this->daemons[static_cast<std::size_t>(i)];
            daemon.member = MemberId("founder" + std::to_string(i));
            daemon.disk.base.membership = founders;
        }
        for (int i = 3; i < VOTERS; ++i)
            this->daemons[static_cast<std::size_t>(i)].member = this->freshId();
        for (Daemon &daemon : this->daemons)
            this->start(daemon);
    }

    MemberId freshId() { return MemberId("fresh" + std::to_string(++this->ids)); }

    void start(Daemon &daemon)
    {
        daemon.up = true;
        ++daemon.run;
        daemon.control = makeControl(daemon.member, daemon.disk, ++this->ids, this->now).value();
        daemon.control->votersWanted = VOTERS;
    }

    void kill(Daemon &daemon)
    {
        daemon.up = false;
        daemon.control.reset();
    }

    /** Starts a daemon again at its address with an empty disk. */
    void wipe(Daemon &daemon)
    {
        this->kill(daemon);
        daemon.disk = {};
        daemon.member = this->freshId();
        this->start(daemon);
    }

    void feed(Daemon &daemon, const ControlEvent &event)
    {
        if (!daemon.up)
            return;
        this->take(daemon, step(*daemon.control, event, this->now));
    }

    void take(Daemon &daemon, const ControlEffects &effects)
    {
        for (const OutgoingMessage &message : effects.toMembers)
            this->mail.push({daemon.member, message});
        std::vector<SyncedEvent> synced;
        for (const JournalWrite &write : effects.journal) {
            if (write.snapshot) {
                daemon.disk.base = *write.snapshot;
                daemon.disk.log.clear();
            }
            if (write.hardState)
                daemon.disk.hard = *write.hardState;
            for (const LogEntry &entry : write.append) {
                while (!daemon.disk.log.empty() && daemon.disk.log.back().index >= entry.index)
                    daemon.disk.log.pop_back();
                daemon.disk.log.push_back(entry);
            }
            if (!write.append.empty())
                synced.push_back({write.append.back().index, write.append.back().term});
            for (const OutgoingMessage &message : write.afterSync)
                this->mail.push({daemon.member, message});
        }
        for (const SyncedEvent &event : synced)
            this->feed(daemon, event);
    }

    void deliver()
    {
        auto letters = std::move(this->mail);
        this->mail = {};
        while (!letters.empty()) {
            const auto [from, message] = letters.front();
            letters.pop();
            for (Daemon &daemon : this->daemons) {
                if (daemon.member == message.to)
                    this->feed(daemon, ReplicaMessageEvent{from, message.message});
            }
        }
    }

    Daemon *leader()
    {
        for (Daemon &daemon : this->daemons) {
            if (daemon.up && isActiveLeader(daemon.control->replica, this->now))
                return &daemon;
        }
        return nullptr;
    }

    void reportAll()
    {
        Daemon *to = this->leader();
        for (Daemon &daemon : this->daemons) {
            if (!daemon.up || to == nullptr)
                continue;
            HostReport report;
            report.holder = {HostId(daemon.address), daemon.run};
            report.sentAt = this->now;
            report.member = ControlCandidate{daemon.member.value, daemon.address};
            this->feed(*to, HostMessageEvent{report});
        }
    }

    void runFor(Duration length)
    {
        const TimePoint end = this->now + length;
        for (int i = 0; this->now < end; ++i) {
            this->now += STEP;
            this->deliver();
            for (Daemon &daemon : this->daemons)
                this->feed(daemon, ControlTickEvent{});
            if (i % 50 == 0)
                this->reportAll();
        }
    }

    bool replaceConfig(std::uint64_t number)
    {
        Daemon *to = this->leader();
        if (to == nullptr)
            return false;
        OperatorCall call;
        call.holder = {HostId("operator"), 1};
        call.id = number;
        ReplaceConfig body;
        body.number = Version(number);
        body.document = "document " + std::to_string(number);
        call.body = body;
        this->feed(*to, HostMessageEvent{call});
        this->runFor(100ms);
        return true;
    }

    std::set<MemberId> voters() { return this->leader()->control->replica.membership.voters; }
    std::uint64_t number() { return this->leader()->control->cluster.number.value; }

    std::vector<Daemon> daemons;
    std::queue<std::pair<MemberId, OutgoingMessage>> mail;
    TimePoint now{100s};
    std::uint64_t ids = 0;
};

} // namespace

Test(members, daemons_that_found_no_group_join_it_and_vote)
{
    Group group;
    group.runFor(3s);
    cr_assert_eq(group.voters().size(), VOTERS);
}

Test(members, two_lost_disks_are_replaced_within_four_seconds_while_all_others_go_dark)
{
    Group group;
    group.runFor(3s);
    cr_assert(group.replaceConfig(7));
    for (Daemon &daemon : group.daemons)
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
    cr_assert_eq(group.voters().size(), VOTERS);
    for (const Daemon &daemon : group.daemons)
        cr_assert(group.voters().contains(daemon.member));
    // The repaired members carry the state alone.
    group.kill(group.daemons[3]);
    group.kill(group.daemons[4]);
    group.runFor(2s);
    cr_assert_eq(group.number(), 7);
}

Test(members, a_member_that_is_gone_makes_place_for_one_at_another_address)
{
    Group group;
    group.runFor(3s);
    const MemberId gone = group.daemons[1].member;
    group.kill(group.daemons[1]);
    group.daemons.push_back({"a9", group.freshId(), {}, {}, true, 1});
    group.start(group.daemons.back());
    group.runFor(6s);
    cr_assert_eq(group.voters().size(), VOTERS);
    cr_assert_not(group.voters().contains(gone));
    cr_assert(group.voters().contains(group.daemons.back().member));
}

Test(members, a_new_leader_knows_the_last_fencing_number_before_it_places_anything)
{
    Group group;
    group.runFor(3s);
    Daemon *first = group.leader();
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
    for (Daemon &daemon : group.daemons)
        group.kill(daemon);
    group.runFor(500ms);
    for (Daemon &daemon : group.daemons)
        group.start(daemon);
    group.runFor(3s);
    const Control &control = *group.leader()->control;
    cr_assert_eq(control.cluster.lastFencing.value, 9);
    cr_assert_eq(control.leadership->planner.inherited.value, 9);
}

Test(members, a_spare_member_waits_while_all_voters_live)
{
    Group group;
    group.runFor(3s);
    group.daemons.push_back({"a9", group.freshId(), {}, {}, true, 1});
    group.start(group.daemons.back());
    group.runFor(6s);
    cr_assert_eq(group.voters().size(), VOTERS);
    cr_assert_not(group.voters().contains(group.daemons.back().member));
}
