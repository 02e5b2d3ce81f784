/** @file control_group.h Control members joined by messages in memory, with a made-up clock. */
#pragma once

#include "control/control_func.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <set>

namespace bilberry {

constexpr Duration GROUP_STEP = 5ms;
constexpr int GROUP_VOTERS = 5;
constexpr int GROUP_FOUNDERS = 3;

/** One daemon with a control member; its disk survives its process. */
struct GroupDaemon
{
    std::string address;
    MemberId member;
    std::optional<Control> control;
    DurableState disk;
    bool up = true;
    std::uint64_t run = 1;
    bool cut = false; ///< No message of the group reaches or leaves it.
};

/** An order as its leader decided it. */
struct GivenOrder
{
    MemberId leader;
    TimePoint at;
    SendOrder order;
};

/** Control members joined by messages that take one step; every write is synced at once. */
struct ControlGroup
{
    explicit ControlGroup(int founderCount = GROUP_FOUNDERS, int votersWanted = GROUP_VOTERS)
        : votersWanted(votersWanted)
    {
        for (int i = 0; i < GROUP_VOTERS; ++i)
            this->daemons.push_back({"a" + std::to_string(i), {}, {}, {}});
        Membership founders;
        for (int i = 0; i < founderCount; ++i) {
            const MemberId member("founder" + std::to_string(i));
            founders.voters.insert(member);
            founders.addresses[member] = this->daemons[static_cast<std::size_t>(i)].address;
        }
        for (int i = 0; i < founderCount; ++i) {
            GroupDaemon &daemon = this->daemons[static_cast<std::size_t>(i)];
            daemon.member = MemberId("founder" + std::to_string(i));
            daemon.disk.base.membership = founders;
        }
        for (int i = founderCount; i < GROUP_VOTERS; ++i)
            this->daemons[static_cast<std::size_t>(i)].member = this->freshId();
        for (GroupDaemon &daemon : this->daemons)
            this->start(daemon);
    }

    MemberId freshId() { return MemberId("fresh" + std::to_string(++this->ids)); }

    void start(GroupDaemon &daemon)
    {
        daemon.up = true;
        ++daemon.run;
        daemon.control = makeControl(daemon.member, daemon.disk, ++this->ids, this->now).value();
        daemon.control->votersWanted = this->votersWanted;
    }

    void kill(GroupDaemon &daemon)
    {
        daemon.up = false;
        daemon.control.reset();
    }

    /** Starts a daemon again at its address with an empty disk. */
    void wipe(GroupDaemon &daemon)
    {
        this->kill(daemon);
        daemon.disk = {};
        daemon.member = this->freshId();
        this->start(daemon);
    }

    void feed(GroupDaemon &daemon, const ControlEvent &event)
    {
        if (!daemon.up)
            return;
        this->take(daemon, step(*daemon.control, event, this->now));
    }

    void take(GroupDaemon &daemon, const ControlEffects &effects)
    {
        for (const OutgoingMessage &message : effects.toMembers)
            this->mail.push({daemon.member, message});
        for (const SendOrder &order : effects.orders)
            this->orders.push_back({daemon.member, this->now, order});
        for (const InspectTarget &item : effects.inspections) {
            if (this->onInspection)
                this->onInspection(daemon, item);
        }
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
            for (GroupDaemon &daemon : this->daemons) {
                if (daemon.member == message.to && !daemon.cut && !this->isCut(from))
                    this->feed(daemon, ReplicaMessageEvent{from, message.message});
            }
        }
    }

    bool isCut(const MemberId &member) const
    {
        return std::any_of(
            this->daemons.begin(), this->daemons.end(),
            [&](const GroupDaemon &daemon) { return daemon.cut && daemon.member == member; });
    }

    GroupDaemon *leader()
    {
        for (GroupDaemon &daemon : this->daemons) {
            if (daemon.up && isActiveLeader(daemon.control->replica, this->now))
                return &daemon;
        }
        return nullptr;
    }

    void reportAll()
    {
        GroupDaemon *to = this->leader();
        bool first = true;
        for (GroupDaemon &daemon : this->daemons) {
            if (!daemon.up || daemon.cut || to == nullptr)
                continue;
            HostReport report;
            report.holder = {HostId(daemon.address), daemon.run};
            report.sentAt = this->now;
            report.member = ControlCandidate{daemon.member.value, daemon.address};
            if (first) {
                report.targets = this->targets;
                report.variants = this->uses;
            }
            first = false;
            this->feed(*to, HostMessageEvent{report});
        }
    }

    void runFor(Duration length)
    {
        const TimePoint end = this->now + length;
        for (int i = 0; this->now < end; ++i) {
            this->now += GROUP_STEP;
            this->deliver();
            for (GroupDaemon &daemon : this->daemons)
                this->feed(daemon, ControlTickEvent{});
            if (i % 50 == 0)
                this->reportAll();
        }
    }

    bool replaceConfig(std::uint64_t number, FolderConfig config = {})
    {
        GroupDaemon *to = this->leader();
        if (to == nullptr)
            return false;
        OperatorCall call;
        call.holder = {HostId("operator"), 1};
        call.id = number;
        ReplaceConfig body;
        body.number = Version(number);
        body.document = "document " + std::to_string(number);
        body.config = std::move(config);
        call.body = body;
        this->feed(*to, HostMessageEvent{call});
        this->runFor(100ms);
        return true;
    }

    std::set<MemberId> voters() { return this->leader()->control->replica.membership.voters; }
    std::uint64_t number() { return this->leader()->control->cluster.number.value; }

    const int votersWanted;
    std::vector<GroupDaemon> daemons;
    std::vector<TargetAnnouncement> targets; ///< Reported by the host of the first daemon in touch.
    std::vector<VariantUse> uses; ///< Reported by the host of the first daemon in touch.
    std::vector<GivenOrder> orders; ///< All that were decided, in order.
    std::function<void(GroupDaemon &, const InspectTarget &)> onInspection; ///< Null: no answer.
    std::queue<std::pair<MemberId, OutgoingMessage>> mail;
    TimePoint now{100s};
    std::uint64_t ids = 0;
};

} // namespace bilberry
