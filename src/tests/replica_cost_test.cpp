/** @file replica_cost_test.cpp Simulation of the replicated log in which bytes and applied entries
 * take time: members that restart together, and members that lag behind by megabytes. */
#include "consensus/replica_func.h"

#include <cstdio>
#include <deque>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration ONE_WAY = 5ms; ///< Latency between two members.
constexpr Duration TICK = 10ms;
constexpr int MEMBERS = 5;
constexpr std::size_t CONFIG_BYTES = 300'000; ///< Size of an entry with a whole configuration.
constexpr std::size_t SMALL_BYTES = 300;
constexpr std::size_t SNAPSHOT_BYTES = 700'000;

/** Processing time of a member, charged after each event. */
struct Costs
{
    Duration perMegabyte{}; ///< For each megabyte received or sent.
    Duration perEntry{}; ///< To apply a small entry.
    Duration perConfig{}; ///< To apply an entry with a configuration.
};

/** Bytes of the entries and snapshots in a message. */
std::size_t sizeOf(const ReplicaMessage &message)
{
    std::size_t size = 200;
    if (const auto *append = std::get_if<AppendRequest>(&message)) {
        for (const LogEntry &entry : append->entries)
            size += entry.payload.size() + 50;
    }
    if (const auto *snapshot = std::get_if<SnapshotRequest>(&message))
        size += snapshot->snapshot.state.size();
    return size;
}

struct Delivery
{
    TimePoint due;
    MemberId from;
    ReplicaMessage message;
};

/** A member whose events wait while an earlier one is processed. */
struct CostedMember
{
    MemberId id;
    DurableState disk;
    std::unique_ptr<LogReplica> replica; ///< Null while the process is down.
    std::deque<Delivery> inbox; ///< In order of arrival.
    TimePoint busyUntil; ///< Time of the member while it handles an event.
    TimePoint tickDue;
    TimePoint lastArrival; ///< Latest due time in @c inbox: links keep the order.
    bool isolated = false;
};

/** Group whose members process one event at a time, at the costs of its bytes and entries. */
struct CostedGroup
{
    explicit CostedGroup(Costs costs)
        : costs(costs)
    {
        Membership membership;
        for (int i = 0; i < MEMBERS; ++i)
            membership.voters.insert(MemberId("m" + std::to_string(i)));
        for (const MemberId &id : membership.voters) {
            CostedMember &member = this->members[id];
            member.id = id;
            member.disk.latestSnapshot.membership = membership;
        }
    }

    void start(CostedMember &member, std::uint64_t seed)
    {
        member.replica
            = std::make_unique<LogReplica>(makeReplica(member.id, member.disk, seed, this->now));
        member.inbox.clear();
        member.busyUntil = member.tickDue = this->now;
    }

    void startAll(std::uint64_t seed)
    {
        for (auto &[id, member] : this->members)
            this->start(member, ++seed);
    }

    /** Fills all disks with a log, as after a loss of power of all members. */
    void fillDisks(int entries, int configs)
    {
        for (auto &[id, member] : this->members) {
            member.disk.hardState.term = 1;
            for (int i = 1; i <= entries; ++i) {
                const bool config = i * configs / entries != (i - 1) * configs / entries;
                member.disk.log.push_back({static_cast<LogIndex>(i), 1, EntryKind::Command,
                                           std::string(config ? CONFIG_BYTES : SMALL_BYTES, 'x')});
            }
        }
    }

    Duration timeFor(std::size_t bytes) const
    {
        return Duration(this->costs.perMegabyte.count() * static_cast<std::int64_t>(bytes)
                        / 1'000'000);
    }

    void write(CostedMember &member, const ReplicaEffects &effects)
    {
        if (effects.snapshot) {
            member.disk.latestSnapshot = *effects.snapshot;
            member.disk.log.clear();
        }
        if (effects.hardState)
            member.disk.hardState = *effects.hardState;
        for (const LogEntry &entry : effects.append) {
            while (!member.disk.log.empty() && member.disk.log.back().index >= entry.index)
                member.disk.log.pop_back();
            member.disk.log.push_back(entry);
        }
    }

    void send(CostedMember &member, const OutgoingMessage &message)
    {
        const std::size_t size = sizeOf(message.message);
        member.busyUntil += this->timeFor(size);
        CostedMember &to = this->members.at(message.to);
        if (member.isolated || to.isolated || !to.replica)
            return;
        this->bytesSent += size;
        to.lastArrival = std::max(to.lastArrival, member.busyUntil + ONE_WAY);
        to.inbox.push_back({to.lastArrival, member.id, message.message});
    }

    void handle(CostedMember &member, const ReplicaEffects &effects)
    {
        for (const LogEntry &entry : effects.committed) {
            member.busyUntil += entry.payload.size() >= CONFIG_BYTES ? this->costs.perConfig
                                                                     : this->costs.perEntry;
            if (member.replica->role == ReplicaRole::Leader)
                this->latestCommitAt = this->now;
        }
        for (const OutgoingMessage &message : effects.sendNow)
            this->send(member, message);
        this->write(member, effects);
        for (const OutgoingMessage &message : effects.sendAfterSync)
            this->send(member, message);
        if (effects.roleChanged) {
            const bool leads = member.replica->role == ReplicaRole::Leader;
            this->leadershipsEnded += !leads && this->leading.contains(member.id) ? 1 : 0;
            if (leads)
                this->leading.insert(member.id);
            else
                this->leading.erase(member.id);
        }
        if (!effects.append.empty())
            this->handle(member,
                         synced(*member.replica, effects.append.back().index,
                                effects.append.back().term, member.busyUntil));
    }

    /** Handles the next message. @return False if none has arrived. */
    bool receiveNext(CostedMember &member)
    {
        if (member.inbox.empty() || member.inbox.front().due > this->now)
            return false;
        const Delivery delivery = std::move(member.inbox.front());
        member.inbox.pop_front();
        member.busyUntil += this->timeFor(sizeOf(delivery.message));
        if (!member.isolated)
            this->handle(
                member,
                receive(*member.replica, delivery.from, delivery.message, member.busyUntil));
        return true;
    }

    void compactIfDue(CostedMember &member)
    {
        if (!this->compacts || !isCompactionDue(*member.replica))
            return;
        member.busyUntil = std::max(member.busyUntil, this->now) + this->timeFor(SNAPSHOT_BYTES);
        this->handle(
            member,
            compact(*member.replica, member.replica->applied, std::string(SNAPSHOT_BYTES, 's')));
    }

    /** Stops a member; what it has written is synced. */
    void kill(CostedMember &member)
    {
        member.replica.reset();
        this->leading.erase(member.id);
    }

    /** Handles the events that a member has time for. */
    void process(CostedMember &member)
    {
        while (member.replica && member.busyUntil <= this->now) {
            member.busyUntil = this->now;
            const bool applies = hasCommittedBacklog(*member.replica);
            const bool ticks = member.tickDue <= this->now;
            bool hasMessage = this->receiveNext(member);
            while (applies && hasMessage)
                hasMessage = this->receiveNext(member);
            if (applies)
                this->handle(member, applyCommitted(*member.replica));
            if (ticks) {
                member.tickDue = this->now + TICK;
                this->handle(member, tick(*member.replica, member.busyUntil));
                this->compactIfDue(member);
            }
            if (!hasMessage && !applies && !ticks)
                return;
        }
    }

    void advance()
    {
        this->now += 1ms;
        for (auto &[id, member] : this->members)
            this->process(member);
        if (!this->activeAt && this->leader() != nullptr)
            this->activeAt = this->now;
        this->longestWithoutCommit
            = std::max(this->longestWithoutCommit, this->now - this->latestCommitAt);
    }

    void runFor(Duration length)
    {
        for (const TimePoint end = this->now + length; this->now < end;)
            this->advance();
    }

    CostedMember *leader()
    {
        for (auto &[id, member] : this->members) {
            if (member.replica && isActiveLeader(*member.replica, this->now))
                return &member;
        }
        return nullptr;
    }

    void proposeOne(std::size_t bytes)
    {
        CostedMember *leader = this->leader();
        if (leader == nullptr)
            return;
        leader->busyUntil = std::max(leader->busyUntil, this->now);
        LogIndex index = 0;
        auto proposed
            = propose(*leader->replica, std::string(bytes, 'x'), index, leader->busyUntil);
        if (proposed)
            this->handle(*leader, std::move(proposed).value());
    }

    /** Starts @p count members, @p gap apart. @return Time at which the third one started. */
    TimePoint startOneByOne(int count, Duration gap, std::uint64_t seed)
    {
        TimePoint quorumAt;
        int started = 0;
        for (auto &[id, member] : this->members) {
            if (started == count)
                break;
            if (started > 0)
                this->runFor(gap);
            this->start(member, ++seed);
            if (++started == MEMBERS / 2 + 1)
                quorumAt = this->now;
        }
        return quorumAt;
    }

    /** Proposes 100 small commands a second, and a configuration at each interval. */
    void runWithLoad(Duration length, Duration configInterval)
    {
        TimePoint configDue = this->now;
        for (const TimePoint end = this->now + length; this->now < end;) {
            this->runFor(10ms);
            this->proposeOne(SMALL_BYTES);
            if (this->now < configDue)
                continue;
            configDue = this->now + configInterval;
            this->proposeOne(CONFIG_BYTES);
        }
    }

    /** Runs until a leader may answer, for up to 20 s. @return Time until then. */
    Duration untilActive()
    {
        const TimePoint began = this->now;
        while (this->leader() == nullptr && this->now < began + 20s)
            this->advance();
        return this->now - began;
    }

    Costs costs;
    bool compacts = true; ///< Whether members take snapshots, so that some need no entries.
    TimePoint now{10s};
    std::map<MemberId, CostedMember> members;
    std::set<MemberId> leading;
    std::size_t bytesSent = 0;
    int leadershipsEnded = 0;
    std::optional<TimePoint> activeAt; ///< First time with an active leader since it was reset.
    TimePoint latestCommitAt{10s}; ///< Last time at which a leader applied an entry.
    Duration longestWithoutCommit{}; ///< Since it was last reset.
};

/** What happens in the 6 s after two of five members were cut off while 4.5 MB were committed. */
struct CatchUp
{
    std::size_t bytesSent = 0;
    Duration longestWithoutCommit{};
    int leadershipsEnded = 0;
    bool caughtUp = false;
};

CatchUp catchUpAfterCut(Duration perMegabyte, bool compacts, std::uint64_t seed)
{
    CostedGroup group({perMegabyte, Duration::zero(), Duration::zero()});
    group.compacts = compacts;
    group.startAll(seed);
    group.untilActive();
    group.runWithLoad(1s, 500ms);
    const MemberId leader = group.leader()->id;
    std::vector<CostedMember *> cut;
    for (auto &[id, member] : group.members) {
        if (id != leader && cut.size() < 2)
            cut.push_back(&member);
    }
    for (CostedMember *member : cut)
        member->isolated = true;
    group.runWithLoad(8s, 533ms);
    for (CostedMember *member : cut)
        member->isolated = false;
    group.bytesSent = 0;
    group.leadershipsEnded = 0;
    group.longestWithoutCommit = {};
    const LogIndex missed = lastIndex(*group.leader()->replica);
    group.runWithLoad(6s, 60min);
    CatchUp result{group.bytesSent, group.longestWithoutCommit, group.leadershipsEnded, true};
    for (const CostedMember *member : cut)
        result.caughtUp = result.caughtUp && lastIndex(*member->replica) >= missed;
    return result;
}

void expectCatchUp(const CatchUp &result, std::size_t maxBytes, const std::string &name)
{
    const long withoutCommit = result.longestWithoutCommit / 1ms;
    cr_expect_lt(result.bytesSent, maxBytes, "%s: %zu bytes", name.c_str(), result.bytesSent);
    cr_expect_lt(withoutCommit, 1'000, "%s: no commit for %ld ms", name.c_str(), withoutCommit);
    cr_expect_eq(result.leadershipsEnded, 0, "%s", name.c_str());
    cr_expect(result.caughtUp, "%s", name.c_str());
}

} // namespace

// Guards against a leader that sends a member that lags everything again for each rejected request,
// until it answers nobody else.
Test(replica_cost, members_that_lag_by_megabytes_catch_up_while_commits_go_on)
{
    // Both members miss 4.5 MB. The 600 small commands of the 6 s take 2 MB more, to all members.
    constexpr std::size_t MAX_BYTES = 2 * 2 * 4'500'000 + 4'000'000;
    for (const bool compacts : {false, true}) {
        for (const Duration perMegabyte : {10ms, 40ms}) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed)
                expectCatchUp(catchUpAfterCut(perMegabyte, compacts, seed), MAX_BYTES,
                              std::to_string(perMegabyte / 1ms) + " ms/MB, seed "
                                  + std::to_string(seed) + (compacts ? ", snapshots" : ""));
        }
    }
}

// Guards against members that apply their whole log in one step after a restart: the leader loses
// its lease meanwhile, and the next one does the same.
Test(replica_cost, first_leader_after_a_restart_of_all_members_stays)
{
    struct Case
    {
        int entries;
        Duration perEntry;
    };
    for (const Case item : {Case{754, 1ms}, Case{754, 2500us}, Case{999, 4ms}}) {
        for (std::uint64_t seed = 0; seed < 50; seed += 10) {
            CostedGroup group({10ms, item.perEntry, item.perEntry});
            group.fillDisks(item.entries, 0);
            group.startAll(seed);
            const Duration work = item.entries * item.perEntry;
            const Duration active = group.untilActive();
            group.runFor(2s);
            cr_expect_lt((active / 1ms), (work / 1ms) + 1'200, "%d entries, seed %lu: %ld ms",
                         item.entries, seed, static_cast<long>(active / 1ms));
            cr_expect_eq(group.leadershipsEnded, 0, "%d entries, seed %lu: %d ended", item.entries,
                         seed, group.leadershipsEnded);
        }
    }
}

// Guards against a configuration that cannot be read back in time after a final fault: 1,000
// entries, of which 150 are whole configurations, were committed before it.
Test(replica_cost, leader_answers_a_second_after_a_quorum_is_back)
{
    struct FinalFault
    {
        const char *name;
        int lost; ///< Members that do not come back.
        Duration gap; ///< Between the starts of two members.
    };
    for (const FinalFault &fault :
         {FinalFault{"all lose power", 0, 0ms}, FinalFault{"two disks lost", 2, 0ms},
          FinalFault{"back one after another", 0, 300ms}}) {
        for (std::uint64_t seed = 0; seed < 50; seed += 10) {
            CostedGroup group({10ms, 500us, 25ms});
            group.startAll(seed);
            group.untilActive();
            group.runWithLoad(10s, 66ms);
            for (auto &[id, member] : group.members)
                group.kill(member);
            group.runFor(1s);
            group.activeAt.reset();
            const TimePoint quorumAt = group.startOneByOne(MEMBERS - fault.lost, fault.gap, seed);
            group.untilActive();
            cr_assert(group.activeAt, "%s, seed %lu: no leader", fault.name, seed);
            const long took = (*group.activeAt - quorumAt) / 1ms;
            cr_expect_leq(took, 1'000, "%s, seed %lu: %ld ms", fault.name, seed, took);
            cr_expect_eq(group.leadershipsEnded, 0, "%s, seed %lu", fault.name, seed);
        }
    }
}
