/** @file control_group.h Simulated control group: members exchange messages in memory, with a
 * simulated clock. */
#pragma once

#include "control/control_func.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <set>

namespace bilberry {

constexpr Duration GROUP_STEP = 5ms; ///< Step of the simulated clock; also the latency of messages.
constexpr int GROUP_VOTERS
    = 5; ///< Number of daemons at the start; also the desired number of voters.
constexpr int GROUP_INITIAL_MEMBERS = 3; ///< Members of the initial membership.

/** A daemon with a control member. Its disk outlives its process. */
struct GroupDaemon
{
    std::string address;
    MemberId member;
    std::optional<Control> control;
    DurableState disk;
    bool up = true; ///< Whether the process runs.
    std::uint64_t run = 1; ///< Incremented by each start.
    bool isolated = false; ///< Whether all messages from and to the daemon are lost.
};

/** An order issued by a leader. */
struct IssuedOrder
{
    MemberId leader;
    TimePoint at; ///< Time at which the leader issued it.
    SendOrder order;
};

/** Control members of a group. Messages take one step; writes are synced immediately. */
struct ControlGroup
{
    explicit ControlGroup(int initialMemberCount = GROUP_INITIAL_MEMBERS,
                          int desiredVoterCount = GROUP_VOTERS)
        : desiredVoterCount(desiredVoterCount)
    {
        for (int i = 0; i < GROUP_VOTERS; ++i)
            this->daemons.push_back({"a" + std::to_string(i), {}, {}, {}});
        Membership initialMembership;
        for (int i = 0; i < initialMemberCount; ++i) {
            const MemberId member("founder" + std::to_string(i));
            initialMembership.voters.insert(member);
            initialMembership.addresses[member]
                = this->daemons[static_cast<std::size_t>(i)].address;
        }
        for (int i = 0; i < initialMemberCount; ++i) {
            GroupDaemon &daemon = this->daemons[static_cast<std::size_t>(i)];
            daemon.member = MemberId("founder" + std::to_string(i));
            daemon.disk.latestSnapshot.membership = initialMembership;
        }
        for (int i = initialMemberCount; i < GROUP_VOTERS; ++i)
            this->daemons[static_cast<std::size_t>(i)].member = this->newMemberId();
        for (GroupDaemon &daemon : this->daemons)
            this->start(daemon);
    }

    /** @return A member id that is not in use. */
    MemberId newMemberId() { return MemberId("fresh" + std::to_string(++this->ids)); }

    void start(GroupDaemon &daemon)
    {
        daemon.up = true;
        ++daemon.run;
        daemon.control = makeControl(daemon.member, daemon.disk, ++this->ids, this->now).value();
        daemon.control->desiredVoterCount = this->desiredVoterCount;
    }

    void kill(GroupDaemon &daemon)
    {
        daemon.up = false;
        daemon.control.reset();
    }

    /** Restarts a daemon at the same address with an empty disk, as a new member. */
    void restartWithEmptyDisk(GroupDaemon &daemon)
    {
        this->kill(daemon);
        daemon.disk = {};
        daemon.member = this->newMemberId();
        this->start(daemon);
    }

    /** Passes an event to a daemon's member, if it is up, and carries out the effects. */
    void deliverEvent(GroupDaemon &daemon, const ControlEvent &event)
    {
        if (!daemon.up)
            return;
        this->handleEffects(daemon, step(*daemon.control, event, this->now));
        while (daemon.up && hasCommittedBacklog(daemon.control->replica))
            this->handleEffects(daemon, step(*daemon.control, ApplyCommittedEvent{}, this->now));
    }

    /** Carries out the effects of a daemon's member. */
    void handleEffects(GroupDaemon &daemon, const ControlEffects &effects)
    {
        for (const OutgoingMessage &message : effects.toMembers)
            this->undelivered.push({daemon.member, message});
        for (const SendOrder &order : effects.orders)
            this->orders.push_back({daemon.member, this->now, order});
        for (const ControlLogEvent &note : effects.logEvents) {
            if (this->onLogEvent)
                this->onLogEvent(daemon, note);
        }
        for (const OutgoingControlMessage &message : effects.toHosts) {
            if (this->onHostMessage)
                this->onHostMessage(daemon, message);
        }
        for (const DutyCall &call : effects.dutyCalls) {
            if (this->onDutyCall)
                this->onDutyCall(daemon, call);
        }
        for (const InspectTarget &inspection : effects.inspections) {
            if (this->onInspection)
                this->onInspection(daemon, inspection);
        }
        std::vector<SyncedEvent> synced;
        for (const JournalWrite &write : effects.journal) {
            if (write.snapshot) {
                daemon.disk.latestSnapshot = *write.snapshot;
                daemon.disk.log.clear();
            }
            if (write.hardState)
                daemon.disk.hardState = *write.hardState;
            for (const LogEntry &entry : write.append) {
                while (!daemon.disk.log.empty() && daemon.disk.log.back().index >= entry.index)
                    daemon.disk.log.pop_back();
                daemon.disk.log.push_back(entry);
            }
            if (!write.append.empty())
                synced.push_back({write.append.back().index, write.append.back().term});
            for (const OutgoingMessage &message : write.afterSync)
                this->undelivered.push({daemon.member, message});
        }
        for (const SyncedEvent &event : synced)
            this->deliverEvent(daemon, event);
    }

    /** Delivers all messages sent before the call. */
    void deliver()
    {
        auto messages = std::move(this->undelivered);
        this->undelivered = {};
        while (!messages.empty()) {
            const auto [from, message] = messages.front();
            messages.pop();
            for (GroupDaemon &daemon : this->daemons) {
                if (daemon.member == message.to && !daemon.isolated && !this->isIsolated(from))
                    this->deliverEvent(daemon, ReplicaMessageEvent{from, message.message});
            }
        }
    }

    bool isIsolated(const MemberId &member) const
    {
        return std::any_of(
            this->daemons.begin(), this->daemons.end(),
            [&](const GroupDaemon &daemon) { return daemon.isolated && daemon.member == member; });
    }

    /** @return Daemon of the active leader, or null. */
    GroupDaemon *leader()
    {
        for (GroupDaemon &daemon : this->daemons) {
            if (daemon.up && isActiveLeader(daemon.control->replica, this->now))
                return &daemon;
        }
        return nullptr;
    }

    /** Sends a report of every daemon's host, which knows the latest registry, to the leader, if
     * there is one. */
    void sendHostReports()
    {
        GroupDaemon *leaderDaemon = this->leader();
        bool first = true;
        for (GroupDaemon &daemon : this->daemons) {
            if (!daemon.up || daemon.isolated || leaderDaemon == nullptr)
                continue;
            HostReport report;
            report.holder = {HostId(daemon.address), daemon.run};
            report.sentAt = this->now;
            report.member = ControlCandidate{daemon.member.value, daemon.address};
            if (const auto &leadership = leaderDaemon->control->leadership) {
                report.registryEpoch = leadership->registry.epoch;
                report.registry = leadership->registry.version;
            }
            if (first) {
                report.targets = this->targets;
                report.variants = this->uses;
            }
            first = false;
            this->deliverEvent(*leaderDaemon, HostMessageEvent{report});
        }
    }

    /** Runs the simulation; hosts report every 50 steps. */
    void runFor(Duration length)
    {
        const TimePoint end = this->now + length;
        for (int i = 0; this->now < end; ++i) {
            this->now += GROUP_STEP;
            this->deliver();
            for (GroupDaemon &daemon : this->daemons)
                this->deliverEvent(daemon, ControlTickEvent{});
            if (i % 50 == 0)
                this->sendHostReports();
        }
    }

    /** Replaces the configuration through the leader. @return False if there is no leader. */
    bool replaceConfig(std::uint64_t number, FolderConfig config = {})
    {
        GroupDaemon *leaderDaemon = this->leader();
        if (leaderDaemon == nullptr)
            return false;
        OperatorCall call;
        call.holder = {HostId("operator"), 1};
        call.id = number;
        ReplaceConfig body;
        body.number = Version(number);
        body.document = "document " + std::to_string(number);
        body.config = std::move(config);
        call.body = body;
        this->deliverEvent(*leaderDaemon, HostMessageEvent{call});
        this->runFor(100ms);
        return true;
    }

    /** @return Voters as the leader knows them. There must be a leader. */
    std::set<MemberId> voters() { return this->leader()->control->replica.membership.voters; }
    /** @return Number of the configuration in force at the leader. There must be a leader. */
    std::uint64_t number() { return this->leader()->control->cluster.number.value; }

    const int desiredVoterCount;
    std::vector<GroupDaemon> daemons;
    std::vector<TargetAnnouncement>
        targets; ///< Reported by the host of the first reachable daemon.
    std::vector<VariantUse> uses; ///< Reported by the host of the first reachable daemon.
    std::vector<IssuedOrder> orders; ///< All orders issued by leaders, oldest first.
    std::function<void(GroupDaemon &, const InspectTarget &)>
        onInspection; ///< Answers a leader's inspection of a target; null: no answer.
    std::function<void(GroupDaemon &, const ControlLogEvent &)>
        onLogEvent; ///< Receives what members log; null: dropped.
    std::function<void(GroupDaemon &, const OutgoingControlMessage &)>
        onHostMessage; ///< Receives what members send to hosts; null: dropped.
    std::function<void(GroupDaemon &, const DutyCall &)>
        onDutyCall; ///< Receives the calls of duties; null: they are never answered.
    std::queue<std::pair<MemberId, OutgoingMessage>>
        undelivered; ///< Messages not delivered yet, with their sender.
    TimePoint now{100s};
    std::uint64_t ids = 0; ///< Last number used for a member id or a seed.
};

} // namespace bilberry
