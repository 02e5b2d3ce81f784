/** @file replica.cpp Raft replication of the log. */
#include "consensus/replica_func.h"

#include "consensus/progress_func.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

namespace {

Term lastTerm(const LogReplica &replica)
{
    return replica.log.empty() ? replica.latestSnapshot.term : replica.log.back().term;
}

/** @return Term of the entry at @p index, or nothing if it is compacted away or not yet written. */
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

std::set<MemberId> allMembers(const Membership &membership)
{
    std::set<MemberId> all = membership.voters;
    all.insert(membership.outgoingVoters.begin(), membership.outgoingVoters.end());
    all.insert(membership.learners.begin(), membership.learners.end());
    return all;
}

bool isVoter(const LogReplica &replica, const MemberId &member)
{
    return replica.membership.voters.contains(member)
        || replica.membership.outgoingVoters.contains(member);
}

void resetElectionTimer(LogReplica &replica, TimePoint now)
{
    // The minimum is above ELECTION_TIMEOUT_MIN: when the first member starts an election, the
    // others no longer withhold votes because of the last message from the old leader.
    constexpr Duration MIN_TIMEOUT = ELECTION_TIMEOUT_MIN + ELECTION_TIMEOUT_MIN / 10;
    std::uniform_int_distribution<Duration::rep> distribution(MIN_TIMEOUT.count(),
                                                              ELECTION_TIMEOUT_MAX.count());
    replica.electionDue = now + Duration(distribution(replica.random));
}

void setRole(LogReplica &replica, ReplicaRole role, ReplicaEffects &effects)
{
    effects.roleChanged = effects.roleChanged || replica.role != role;
    replica.role = role;
    replica.votes.clear();
}

/** Becomes a follower, in @p term if it is higher than the current one. */
void adoptTerm(LogReplica &replica, Term term, TimePoint now, ReplicaEffects &effects)
{
    if (term > replica.hardState.term) {
        replica.hardState = {term, std::nullopt};
        effects.hardState = replica.hardState;
        replica.leader.reset();
    }
    if (replica.role != ReplicaRole::Follower)
        resetElectionTimer(replica, now);
    setRole(replica, ReplicaRole::Follower, effects);
}

/**
 * Sets the membership to the latest one in the log, or to that of the snapshot if the log has none.
 */
void refreshMembership(LogReplica &replica)
{
    replica.membership = replica.latestSnapshot.membership;
    replica.membershipIndex = replica.latestSnapshot.index;
    for (auto it = replica.log.rbegin(); it != replica.log.rend(); ++it) {
        if (it->kind != EntryKind::Membership)
            continue;
        auto decoded = decode<Membership>(it->payload);
        assert(decoded);
        replica.membership = std::move(decoded).value();
        replica.membershipIndex = it->index;
        return;
    }
}

/** Adds new members to the leader's progress table and removes those that left. */
void refreshProgress(LogReplica &replica, TimePoint now)
{
    const std::set<MemberId> members = allMembers(replica.membership);
    std::erase_if(replica.progress,
                  [&](const auto &item) { return !members.contains(item.first); });
    for (const MemberId &member : members) {
        if (member == replica.self || replica.progress.contains(member))
            continue;
        ReplicationProgress progress;
        progress.next = lastIndex(replica) + 1;
        progress.lastAcknowledgedSendTime = now - ELECTION_TIMEOUT_MIN;
        replica.progress.emplace(member, progress);
    }
}

/** @return Memory and transfer size of an entry, for the bounds in bytes. */
std::size_t sizeOf(const LogEntry &entry)
{
    constexpr std::size_t OVERHEAD = 64;
    return entry.payload.size() + OVERHEAD;
}

AppendRequest makeAppend(const LogReplica &replica, LogIndex previousIndex, Term previousTerm,
                         TimePoint now)
{
    AppendRequest request;
    request.term = replica.hardState.term;
    request.previousIndex = previousIndex;
    request.previousTerm = previousTerm;
    request.commit = replica.commit;
    request.sentAt = now;
    return request;
}

/** Adds the next entries for the member, as far as the bounds of a request allow. */
void addEntries(const LogReplica &replica, ReplicationProgress &progress, AppendRequest &request)
{
    std::size_t bytes = 0;
    LogIndex next = progress.next;
    while (request.entries.size() < MAX_ENTRIES_PER_APPEND && next <= lastIndex(replica)) {
        const std::size_t size = sizeOf(entryAt(replica, next));
        if (bytes > 0 && bytes + size > MAX_BYTES_PER_APPEND)
            break;
        request.entries.push_back(entryAt(replica, next));
        bytes += size;
        ++next;
    }
    if (bytes > 0)
        recordEntriesSent(progress, next - 1, bytes);
}

/** @return Size of the applied entries after the snapshot. */
std::size_t appliedLogBytes(const LogReplica &replica)
{
    std::size_t bytes = 0;
    for (const LogEntry &entry : replica.log) {
        if (entry.index > replica.applied)
            break;
        bytes += sizeOf(entry);
    }
    return bytes;
}

void sendSnapshot(LogReplica &replica, const MemberId &member, TimePoint now,
                  ReplicaEffects &effects)
{
    startSnapshot(replica.progress.at(member), now);
    effects.sendNow.push_back(
        {member, SnapshotRequest{replica.hardState.term, replica.latestSnapshot, now}});
}

/** Sends entries as far as flow control allows, else a heartbeat. */
void sendAppend(LogReplica &replica, const MemberId &member, TimePoint now, ReplicaEffects &effects)
{
    ReplicationProgress &progress = replica.progress.at(member);
    if (progress.state == ProgressState::Snapshot) {
        if (isSnapshotLost(progress, now))
            sendSnapshot(replica, member, now, effects);
        // Every log matches at index 0, so that the heartbeat is not rejected.
        effects.sendNow.push_back({member, makeAppend(replica, 0, 0, now)});
        return;
    }
    // What the member has is not known to be compacted away before it has rejected a request.
    if (!termAt(replica, progress.next - 1))
        startProbe(progress, lastIndex(replica) + 1, now);
    const LogIndex previous = progress.next - 1;
    AppendRequest request = makeAppend(replica, previous, *termAt(replica, previous), now);
    if (maySendEntries(progress))
        addEntries(replica, progress, request);
    effects.sendNow.push_back({member, std::move(request)});
}

/** Sends the entries that the member lacks, as far as flow control allows. */
void sendEntries(LogReplica &replica, const MemberId &member, TimePoint now,
                 ReplicaEffects &effects)
{
    const ReplicationProgress &progress = replica.progress.at(member);
    if (maySendEntries(progress) && progress.next <= lastIndex(replica))
        sendAppend(replica, member, now, effects);
}

void broadcastAppend(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    replica.heartbeatDue = now + HEARTBEAT_INTERVAL;
    for (const auto &[member, progress] : replica.progress)
        sendAppend(replica, member, now, effects);
}

void appendAsLeader(LogReplica &replica, EntryKind kind, std::string payload,
                    ReplicaEffects &effects)
{
    LogEntry entry{lastIndex(replica) + 1, replica.hardState.term, kind, std::move(payload)};
    effects.append.push_back(entry);
    replica.log.push_back(std::move(entry));
}

/** Adds the next batch of committed entries to the effects. */
void collectCommitted(LogReplica &replica, ReplicaEffects &effects)
{
    std::size_t bytes = 0;
    while (replica.applied < replica.commit && effects.committed.size() < MAX_ENTRIES_PER_BATCH) {
        const LogEntry &entry = entryAt(replica, replica.applied + 1);
        if (bytes > 0 && bytes + sizeOf(entry) > MAX_BYTES_PER_BATCH)
            return;
        bytes += sizeOf(entry);
        ++replica.applied;
        effects.committed.push_back(entry);
    }
}

/** Raises the commit index. While earlier entries wait to be applied, the new ones do too, so that
 * messages take no longer. */
void raiseCommit(LogReplica &replica, LogIndex commit, ReplicaEffects &effects)
{
    const bool backlog = replica.applied < replica.commit;
    replica.commit = std::max(replica.commit, commit);
    if (!backlog)
        collectCommitted(replica, effects);
}

void appendMembership(LogReplica &replica, const Membership &next, TimePoint now,
                      ReplicaEffects &effects)
{
    appendAsLeader(replica, EntryKind::Membership, encode(next), effects);
    refreshMembership(replica);
    refreshProgress(replica, now);
    broadcastAppend(replica, now, effects);
}

/**
 * Ends a joint membership once it is committed. After the change, a leader that is no longer a
 * voter steps down.
 */
void finishMembershipChange(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    if (replica.role != ReplicaRole::Leader || replica.membershipIndex > replica.commit)
        return;
    if (!replica.membership.outgoingVoters.empty()) {
        Membership next = replica.membership;
        next.outgoingVoters.clear();
        const std::set<MemberId> members = allMembers(next);
        std::erase_if(next.addresses,
                      [&](const auto &item) { return !members.contains(item.first); });
        appendMembership(replica, next, now, effects);
        return;
    }
    if (!replica.membership.voters.contains(replica.self))
        setRole(replica, ReplicaRole::Follower, effects);
}

LogIndex matchIndexOf(const LogReplica &replica, const MemberId &member)
{
    if (member == replica.self)
        return replica.durableIndex;
    const auto it = replica.progress.find(member);
    return it == replica.progress.end() ? 0 : it->second.match;
}

void advanceCommit(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    for (LogIndex index = lastIndex(replica); index > replica.commit; --index) {
        if (termAt(replica, index) != replica.hardState.term)
            break; // Entries of older terms commit only together with one of the current term.
        const bool stored = hasQuorum(replica.membership, [&](const MemberId &member) {
            return matchIndexOf(replica, member) >= index;
        });
        if (!stored)
            continue;
        raiseCommit(replica, index, effects);
        finishMembershipChange(replica, now, effects);
        return;
    }
}

void becomeLeader(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    setRole(replica, ReplicaRole::Leader, effects);
    replica.leader = replica.self;
    replica.leaderSince = now;
    replica.transferring = false;
    replica.progress.clear();
    refreshProgress(replica, now);
    appendAsLeader(replica, EntryKind::Noop, "", effects);
    replica.termStartIndex = lastIndex(replica);
    broadcastAppend(replica, now, effects);
}

void requestVotes(LogReplica &replica, bool preVote, bool transfer, ReplicaEffects &effects)
{
    const Term term = replica.hardState.term + (preVote ? 1 : 0);
    const VoteRequest request{term, lastIndex(replica), lastTerm(replica), preVote, transfer};
    auto &queue = preVote ? effects.sendNow : effects.sendAfterSync;
    for (const MemberId &member : allMembers(replica.membership)) {
        if (member != replica.self && isVoter(replica, member))
            queue.push_back({member, request});
    }
}

bool hasVotesOfQuorum(const LogReplica &replica)
{
    return hasQuorum(replica.membership,
                     [&](const MemberId &member) { return replica.votes.contains(member); });
}

void startElection(LogReplica &replica, bool transfer, TimePoint now, ReplicaEffects &effects)
{
    setRole(replica, ReplicaRole::Candidate, effects);
    replica.hardState = {replica.hardState.term + 1, replica.self};
    effects.hardState = replica.hardState;
    replica.leader.reset();
    replica.votes = {replica.self};
    resetElectionTimer(replica, now);
    requestVotes(replica, false, transfer, effects);
    // A single voter is elected by its own vote, which is synced before any entry of the term.
    if (hasVotesOfQuorum(replica))
        becomeLeader(replica, now, effects);
}

void startPreVote(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    setRole(replica, ReplicaRole::PreCandidate, effects);
    replica.leader.reset();
    replica.votes = {replica.self};
    resetElectionTimer(replica, now);
    if (hasVotesOfQuorum(replica)) {
        startElection(replica, false, now, effects);
        return;
    }
    requestVotes(replica, true, false, effects);
}

bool isUpToDate(const LogReplica &replica, const VoteRequest &request)
{
    if (request.lastTerm != lastTerm(replica))
        return request.lastTerm > lastTerm(replica);
    return request.lastIndex >= lastIndex(replica);
}

void onVoteRequest(LogReplica &replica, const MemberId &from, const VoteRequest &request,
                   TimePoint now, ReplicaEffects &effects)
{
    const bool hasLiveLeader = replica.role == ReplicaRole::Leader
        || now < replica.lastLeaderContact + ELECTION_TIMEOUT_MIN;
    if (hasLiveLeader && !request.transfer) {
        if (request.preVote)
            effects.sendNow.push_back({from, VoteReply{replica.hardState.term, false, true}});
        return;
    }
    if (request.preVote) {
        const bool granted = request.term > replica.hardState.term && isUpToDate(replica, request);
        const Term term = granted ? request.term : replica.hardState.term;
        effects.sendNow.push_back({from, VoteReply{term, granted, true}});
        // If two members start a pre-vote at the same time, the one with the larger id gives way,
        // so that the votes are not split.
        if (granted && replica.role == ReplicaRole::PreCandidate && from < replica.self) {
            setRole(replica, ReplicaRole::Follower, effects);
            resetElectionTimer(replica, now);
        }
        // Give the member that got the pre-vote time to request votes before this member starts a
        // pre-vote.
        if (granted)
            replica.electionDue = std::max(replica.electionDue, now + ELECTION_TIMEOUT_MIN / 3);
        return;
    }
    if (request.term > replica.hardState.term)
        adoptTerm(replica, request.term, now, effects);
    const bool canVote = !replica.hardState.votedFor || *replica.hardState.votedFor == from;
    const bool granted
        = request.term == replica.hardState.term && canVote && isUpToDate(replica, request);
    if (granted) {
        replica.hardState.votedFor = from;
        effects.hardState = replica.hardState;
        resetElectionTimer(replica, now);
    }
    effects.sendAfterSync.push_back({from, VoteReply{replica.hardState.term, granted, false}});
}

void onVoteReply(LogReplica &replica, const MemberId &from, const VoteReply &reply, TimePoint now,
                 ReplicaEffects &effects)
{
    if (!reply.granted) {
        if (reply.term > replica.hardState.term)
            adoptTerm(replica, reply.term, now, effects);
        return;
    }
    const ReplicaRole expected = reply.preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    const Term term = replica.hardState.term + (reply.preVote ? 1 : 0);
    if (replica.role != expected || reply.term != term)
        return;
    replica.votes.insert(from);
    if (!hasVotesOfQuorum(replica))
        return;
    if (reply.preVote)
        startElection(replica, false, now, effects);
    else
        becomeLeader(replica, now, effects);
}

/**
 * Registers the sender of an append or snapshot request as the leader.
 * @return False if the sender's term is outdated.
 */
bool acceptLeader(LogReplica &replica, const MemberId &from, Term term, TimePoint sentAt,
                  TimePoint now, ReplicaEffects &effects)
{
    if (term < replica.hardState.term)
        return false;
    if (term > replica.hardState.term || replica.role != ReplicaRole::Follower)
        adoptTerm(replica, term, now, effects);
    // A message that arrives after a later one is no sign that the leader is still alive.
    const bool outOfOrder = replica.leader == from && sentAt < replica.latestLeaderSendTime;
    replica.leader = from;
    if (outOfOrder)
        return true;
    replica.latestLeaderSendTime = sentAt;
    replica.lastLeaderContact = now;
    resetElectionTimer(replica, now);
    return true;
}

/** Stores entries from the leader; truncates the log at the first entry that conflicts. */
void storeEntries(LogReplica &replica, const std::vector<LogEntry> &entries,
                  ReplicaEffects &effects)
{
    for (const LogEntry &entry : entries) {
        if (entry.index <= replica.latestSnapshot.index)
            continue;
        const std::optional<Term> present = termAt(replica, entry.index);
        if (present == entry.term)
            continue;
        if (present) {
            assert(entry.index > replica.commit);
            replica.log.resize(entry.index - replica.latestSnapshot.index - 1);
            replica.durableIndex = std::min(replica.durableIndex, entry.index - 1);
        }
        replica.log.push_back(entry);
        effects.append.push_back(entry);
    }
    if (!effects.append.empty())
        refreshMembership(replica);
}

/** @return Last index at which the log may match that of a leader whose entry at @p rejected is
 * another one than here, or is missing here. Skips all entries of a term at once. */
LogIndex lastPossibleMatch(const LogReplica &replica, LogIndex rejected)
{
    if (rejected > lastIndex(replica))
        return lastIndex(replica);
    const std::optional<Term> conflicting = termAt(replica, rejected);
    LogIndex index = rejected - 1;
    while (index > replica.latestSnapshot.index && termAt(replica, index) == conflicting)
        --index;
    return index;
}

void onAppendRequest(LogReplica &replica, const MemberId &from, const AppendRequest &request,
                     TimePoint now, ReplicaEffects &effects)
{
    AppendReply reply{replica.hardState.term, false, 0, request.sentAt};
    if (!acceptLeader(replica, from, request.term, request.sentAt, now, effects)) {
        effects.sendNow.push_back({from, reply});
        return;
    }
    reply.term = replica.hardState.term;
    const bool beforeSnapshot = request.previousIndex < replica.latestSnapshot.index;
    if (!beforeSnapshot && termAt(replica, request.previousIndex) != request.previousTerm) {
        reply.match = std::max(lastPossibleMatch(replica, request.previousIndex), replica.commit);
        effects.sendAfterSync.push_back({from, reply});
        return;
    }
    storeEntries(replica, request.entries, effects);
    const LogIndex known = request.previousIndex + request.entries.size();
    reply.success = true;
    reply.match = std::max(known, replica.latestSnapshot.index);
    raiseCommit(replica, std::min(request.commit, reply.match), effects);
    effects.sendAfterSync.push_back({from, reply});
}

void onAppendReply(LogReplica &replica, const MemberId &from, const AppendReply &reply,
                   TimePoint now, ReplicaEffects &effects)
{
    if (reply.term > replica.hardState.term) {
        adoptTerm(replica, reply.term, now, effects);
        return;
    }
    const auto it = replica.progress.find(from);
    if (replica.role != ReplicaRole::Leader || reply.term != replica.hardState.term
        || it == replica.progress.end())
        return;
    ReplicationProgress &progress = it->second;
    progress.lastAcknowledgedSendTime = std::max(progress.lastAcknowledgedSendTime, reply.sentAt);
    if (!reply.success) {
        if (!recordRejection(progress, reply, now))
            return;
        if (termAt(replica, progress.next - 1))
            sendAppend(replica, from, now, effects);
        else
            sendSnapshot(replica, from, now, effects);
        return;
    }
    recordSuccess(progress, reply, replica.latestSnapshot.index);
    advanceCommit(replica, now, effects);
    // The commit may have ended a membership change, and with it the sender's progress.
    if (replica.role == ReplicaRole::Leader && replica.progress.contains(from))
        sendEntries(replica, from, now, effects);
}

void onSnapshotRequest(LogReplica &replica, const MemberId &from, const SnapshotRequest &request,
                       TimePoint now, ReplicaEffects &effects)
{
    AppendReply reply{replica.hardState.term, false, 0, request.sentAt};
    if (!acceptLeader(replica, from, request.term, request.sentAt, now, effects)) {
        effects.sendNow.push_back({from, reply});
        return;
    }
    const Snapshot &snapshot = request.snapshot;
    reply.term = replica.hardState.term;
    reply.success = true;
    reply.match = snapshot.index;
    if (snapshot.index > replica.commit) {
        const bool keepsSuffix = termAt(replica, snapshot.index) == snapshot.term;
        // Entries that come at the indexes of a cleared log are not synced yet.
        replica.durableIndex
            = keepsSuffix ? std::max(replica.durableIndex, snapshot.index) : snapshot.index;
        if (keepsSuffix)
            replica.log.erase(
                replica.log.begin(),
                replica.log.begin()
                    + static_cast<std::ptrdiff_t>(snapshot.index - replica.latestSnapshot.index));
        else
            replica.log.clear();
        replica.latestSnapshot = snapshot;
        replica.commit = replica.applied = snapshot.index;
        refreshMembership(replica);
        effects.snapshot = effects.restored = snapshot;
        effects.hardState = replica.hardState;
        effects.append.assign(replica.log.begin(), replica.log.end());
    }
    effects.sendAfterSync.push_back({from, reply});
}

void onTransferRequest(LogReplica &replica, const MemberId &from, const TransferRequest &request,
                       TimePoint now, ReplicaEffects &effects)
{
    if (request.term == replica.hardState.term && replica.leader == from
        && isVoter(replica, replica.self))
        startElection(replica, true, now, effects);
}

} // namespace

bool hasQuorum(const Membership &membership, const std::function<bool(const MemberId &)> &predicate)
{
    const auto majority = [&](const std::set<MemberId> &voters) {
        const auto count = std::count_if(voters.begin(), voters.end(), predicate);
        return 2 * static_cast<std::size_t>(count) > voters.size();
    };
    const bool outgoing = membership.outgoingVoters.empty() || majority(membership.outgoingVoters);
    return majority(membership.voters) && outgoing;
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

Result<ReplicaEffects> changeMembership(LogReplica &replica, Membership next, TimePoint now)
{
    if (!isActiveLeader(replica, now))
        return Errc::NotLeader;
    if (replica.membershipIndex > replica.commit || !replica.membership.outgoingVoters.empty())
        return Errc::MembershipBusy;
    if (next.voters.empty())
        return Errc::QuorumAtRisk;
    next.outgoingVoters.clear();
    const bool reachable = hasQuorum(next, [&](const MemberId &member) {
        const auto it = replica.progress.find(member);
        return member == replica.self
            || (it != replica.progress.end()
                && now - it->second.lastAcknowledgedSendTime < 2 * ELECTION_TIMEOUT_MIN);
    });
    for (const MemberId &member : next.voters) {
        const bool caughtUp
            = member == replica.self || matchIndexOf(replica, member) >= replica.commit;
        if (!replica.membership.voters.contains(member) && !caughtUp)
            return Errc::QuorumAtRisk;
    }
    if (!reachable)
        return Errc::QuorumAtRisk;
    if (next.voters != replica.membership.voters)
        next.outgoingVoters = replica.membership.voters;
    ReplicaEffects effects;
    appendMembership(replica, next, now, effects);
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

ReplicaEffects transferLeadership(LogReplica &replica)
{
    ReplicaEffects effects;
    if (replica.role != ReplicaRole::Leader)
        return effects;
    const MemberId *best = nullptr;
    for (const auto &[member, progress] : replica.progress) {
        if (replica.membership.voters.contains(member)
            && (best == nullptr || progress.match > replica.progress.at(*best).match))
            best = &member;
    }
    if (best == nullptr)
        return effects;
    replica.transferring = true;
    effects.sendNow.push_back({*best, TransferRequest{replica.hardState.term}});
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
