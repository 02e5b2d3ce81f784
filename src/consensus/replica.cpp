/** @file replica.cpp A member of the replicated log: its log, its start and its events. */
#include "consensus/replica_internal.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

namespace {

/** @return Size of the applied entries after the snapshot. */
std::size_t appliedLogBytes(const LogReplica &replica)
{
    std::size_t bytes = 0;
    for (const LogEntry &entry : replica.log) {
        if (entry.index > replica.applied)
            break;
        bytes += entrySize(entry);
    }
    return bytes;
}

} // namespace

std::size_t logBytes(const LogReplica &replica)
{
    std::size_t bytes = 0;
    for (const LogEntry &entry : replica.log)
        bytes += entrySize(entry);
    return bytes;
}

Term lastTerm(const LogReplica &replica)
{
    return replica.log.empty() ? replica.latestSnapshot.term : replica.log.back().term;
}

std::optional<Term> termAt(const LogReplica &replica, LogIndex index)
{
    if (index == replica.latestSnapshot.index)
        return replica.latestSnapshot.term;
    if (index < replica.latestSnapshot.index || index > lastIndex(replica))
        return std::nullopt;
    return replica.log[index - replica.latestSnapshot.index - 1].term;
}

const LogEntry &entryAt(const LogReplica &replica, LogIndex index)
{
    return replica.log[index - replica.latestSnapshot.index - 1];
}

std::size_t entrySize(const LogEntry &entry)
{
    constexpr std::size_t OVERHEAD = 64;
    return entry.payload.size() + OVERHEAD;
}

LogIndex lastIndex(const LogReplica &replica)
{
    return replica.latestSnapshot.index + replica.log.size();
}

bool isCompactionDue(const LogReplica &replica)
{
    if (replica.applied > replica.latestSnapshot.index + COMPACT_AFTER_ENTRIES)
        return true;
    const std::size_t limit = std::max(
        MIN_COMPACT_BYTES, COMPACT_AFTER_SNAPSHOT_SIZES * replica.latestSnapshot.state.size());
    return appliedLogBytes(replica) > limit;
}

LogReplica makeReplica(const MemberId &self, DurableState durable, std::uint64_t seed,
                       TimePoint now)
{
    LogReplica replica;
    replica.self = self;
    replica.hardState = std::move(durable.hardState);
    replica.latestSnapshot = std::move(durable.latestSnapshot);
    replica.log.assign(durable.log.begin(), durable.log.end());
    replica.durableIndex = lastIndex(replica);
    replica.commit = replica.applied = replica.latestSnapshot.index;
    // The start counts as a message from a leader: before the restart, the member may have
    // acknowledged a request that extended a lease, and that lease may still be valid.
    replica.lastLeaderContact = now;
    replica.random.seed(seed);
    refreshMembership(replica);
    resetElectionTimer(replica, now);
    return replica;
}

ReplicaEffects receive(LogReplica &replica, const MemberId &from, const ReplicaMessage &message,
                       TimePoint now)
{
    ReplicaEffects effects;
    std::visit(
        [&](const auto &m) {
            using M = std::decay_t<decltype(m)>;
            if constexpr (std::is_same_v<M, VoteRequest>)
                onVoteRequest(replica, from, m, now, effects);
            else if constexpr (std::is_same_v<M, VoteReply>)
                onVoteReply(replica, from, m, now, effects);
            else if constexpr (std::is_same_v<M, AppendRequest>)
                onAppendRequest(replica, from, m, now, effects);
            else if constexpr (std::is_same_v<M, AppendReply>)
                onAppendReply(replica, from, m, now, effects);
            else if constexpr (std::is_same_v<M, SnapshotRequest>)
                onSnapshotRequest(replica, from, m, now, effects);
            else
                onTransferRequest(replica, from, m, now, effects);
        },
        message);
    return effects;
}

bool hasCommittedBacklog(const LogReplica &replica)
{
    return replica.applied < replica.commit;
}

ReplicaEffects applyCommitted(LogReplica &replica)
{
    ReplicaEffects effects;
    collectCommitted(replica, effects);
    return effects;
}

ReplicaEffects tick(LogReplica &replica, TimePoint now)
{
    ReplicaEffects effects;
    if (replica.role == ReplicaRole::Leader) {
        if (now >= leaseEnd(replica) && now >= replica.leaderSince + ELECTION_TIMEOUT_MIN) {
            adoptTerm(replica, replica.hardState.term, now, effects);
            replica.leader.reset();
            return effects;
        }
        if (now >= replica.heartbeatDue)
            broadcastAppend(replica, now, effects);
        return effects;
    }
    if (now >= replica.electionDue && isVoter(replica, replica.self))
        startPreVote(replica, now, effects);
    return effects;
}

ReplicaEffects synced(LogReplica &replica, LogIndex index, Term term, TimePoint now)
{
    ReplicaEffects effects;
    if (termAt(replica, index) != term)
        return effects; // Another leader has replaced the entry in the meantime.
    replica.durableIndex = std::max(replica.durableIndex, index);
    if (replica.role == ReplicaRole::Leader)
        advanceCommit(replica, now, effects);
    return effects;
}

Result<ReplicaEffects> propose(LogReplica &replica, std::string payload, LogIndex &index,
                               TimePoint now)
{
    if (replica.role != ReplicaRole::Leader || now >= leaseEnd(replica))
        return Errc::NotLeader;
    ReplicaEffects effects;
    appendAsLeader(replica, EntryKind::Command, std::move(payload), effects);
    index = lastIndex(replica);
    for (const auto &[member, progress] : replica.progress)
        sendEntries(replica, member, now, effects);
    return effects;
}

ReplicaEffects compact(LogReplica &replica, LogIndex index, std::string state)
{
    ReplicaEffects effects;
    assert(index <= replica.applied);
    if (index <= replica.latestSnapshot.index)
        return effects;
    Snapshot next;
    next.index = index;
    next.term = *termAt(replica, index);
    next.membership = replica.latestSnapshot.membership;
    for (LogIndex i = replica.latestSnapshot.index + 1; i <= index; ++i) {
        if (entryAt(replica, i).kind == EntryKind::Membership)
            next.membership = decode<Membership>(entryAt(replica, i).payload).value();
    }
    next.state = std::move(state);
    replica.log.erase(replica.log.begin(),
                      replica.log.begin()
                          + static_cast<std::ptrdiff_t>(index - replica.latestSnapshot.index));
    replica.latestSnapshot = next;
    effects.snapshot = std::move(next);
    effects.hardState = replica.hardState;
    effects.append.assign(replica.log.begin(), replica.log.end());
    return effects;
}

TimePoint leaseEnd(const LogReplica &replica)
{
    if (replica.role != ReplicaRole::Leader || replica.transferring)
        return TimePoint::min();
    // The lease starts at the latest send time that a quorum has acknowledged; the newest time is
    // tried first.
    std::vector<TimePoint> times;
    for (const auto &[member, progress] : replica.progress)
        times.push_back(progress.lastAcknowledgedSendTime);
    times.push_back(TimePoint::max() - LEADER_LEASE);
    std::sort(times.rbegin(), times.rend());
    for (const TimePoint time : times) {
        const bool confirmed = hasQuorum(replica.membership, [&](const MemberId &member) {
            const auto it = replica.progress.find(member);
            return member == replica.self
                || (it != replica.progress.end() && it->second.lastAcknowledgedSendTime >= time);
        });
        if (confirmed)
            return time + LEADER_LEASE;
    }
    return TimePoint::min();
}

bool isActiveLeader(const LogReplica &replica, TimePoint now)
{
    return replica.role == ReplicaRole::Leader && replica.applied >= replica.termStartIndex
        && now < leaseEnd(replica);
}

} // namespace bilberry
