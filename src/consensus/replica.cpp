/** @file replica.cpp Rules of the replicated log. */
#include "consensus/replica_func.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

namespace {

Term lastTerm(const LogReplica &replica)
{
    return replica.log.empty() ? replica.base.term : replica.log.back().term;
}

/** @return Term of the entry at @p index, or nothing if it is not in the log any more or yet. */
std::optional<Term> termAt(const LogReplica &replica, LogIndex index)
{
    if (index == replica.base.index)
        return replica.base.term;
    if (index < replica.base.index || index > lastIndex(replica))
        return std::nullopt;
    return replica.log[index - replica.base.index - 1].term;
}

const LogEntry &entryAt(const LogReplica &replica, LogIndex index)
{
    return replica.log[index - replica.base.index - 1];
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
    // Whoever stands first should find that the others' promise to the old leader has run out.
    constexpr Duration LEAST = ELECTION_TIMEOUT_MIN + ELECTION_TIMEOUT_MIN / 10;
    std::uniform_int_distribution<Duration::rep> spread(LEAST.count(),
                                                        ELECTION_TIMEOUT_MAX.count());
    replica.electionDue = now + Duration(spread(replica.random));
}

void setRole(LogReplica &replica, ReplicaRole role, ReplicaEffects &effects)
{
    effects.roleChanged = effects.roleChanged || replica.role != role;
    replica.role = role;
    replica.votes.clear();
}

/** Adopts a higher term as a follower. */
void adoptTerm(LogReplica &replica, Term term, TimePoint now, ReplicaEffects &effects)
{
    if (term > replica.hard.term) {
        replica.hard = {term, std::nullopt};
        effects.hardState = replica.hard;
        replica.leader.reset();
    }
    if (replica.role != ReplicaRole::Follower)
        resetElectionTimer(replica, now);
    setRole(replica, ReplicaRole::Follower, effects);
}

/** Sets the membership to the latest one in the log. */
void refreshMembership(LogReplica &replica)
{
    replica.membership = replica.base.membership;
    replica.membershipIndex = replica.base.index;
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

/** Makes the leader's progress table match the membership. */
void refreshProgress(LogReplica &replica, TimePoint now)
{
    const std::set<MemberId> members = allMembers(replica.membership);
    std::erase_if(replica.progress,
                  [&](const auto &item) { return !members.contains(item.first); });
    for (const MemberId &member : members) {
        if (member == replica.self || replica.progress.contains(member))
            continue;
        Progress progress;
        progress.next = lastIndex(replica) + 1;
        progress.acknowledged = now - ELECTION_TIMEOUT_MIN;
        replica.progress.emplace(member, progress);
    }
}

void sendAppend(LogReplica &replica, const MemberId &member, TimePoint now, ReplicaEffects &effects)
{
    Progress &progress = replica.progress.at(member);
    const std::optional<Term> previousTerm = termAt(replica, progress.next - 1);
    if (!previousTerm) {
        if (progress.snapshotSent != TimePoint{} && now - progress.snapshotSent < SNAPSHOT_RESEND)
            return;
        progress.snapshotSent = now;
        effects.sendNow.push_back({member, SnapshotRequest{replica.hard.term, replica.base, now}});
        return;
    }
    AppendRequest request;
    request.term = replica.hard.term;
    request.previousIndex = progress.next - 1;
    request.previousTerm = *previousTerm;
    request.commit = replica.commit;
    request.sentAt = now;
    while (request.entries.size() < MAX_ENTRIES_PER_APPEND && progress.next <= lastIndex(replica)) {
        request.entries.push_back(entryAt(replica, progress.next));
        ++progress.next;
    }
    effects.sendNow.push_back({member, std::move(request)});
}

void broadcastAppend(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    replica.heartbeatDue = now + HEARTBEAT_INTERVAL;
    for (const auto &[member, progress] : replica.progress)
        sendAppend(replica, member, now, effects);
}

void appendOwn(LogReplica &replica, EntryKind kind, std::string payload, ReplicaEffects &effects)
{
    LogEntry entry{lastIndex(replica) + 1, replica.hard.term, kind, std::move(payload)};
    effects.append.push_back(entry);
    replica.log.push_back(std::move(entry));
}

void handOutCommitted(LogReplica &replica, ReplicaEffects &effects)
{
    while (replica.applied < replica.commit) {
        ++replica.applied;
        effects.committed.push_back(entryAt(replica, replica.applied));
    }
}

void appendMembership(LogReplica &replica, const Membership &next, TimePoint now,
                      ReplicaEffects &effects)
{
    appendOwn(replica, EntryKind::Membership, encode(next), effects);
    refreshMembership(replica);
    refreshProgress(replica, now);
    broadcastAppend(replica, now, effects);
}

/** Ends a joint membership once it is committed; a leader that is no longer a voter steps down. */
void finishMembership(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
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

LogIndex matchOf(const LogReplica &replica, const MemberId &member)
{
    if (member == replica.self)
        return replica.durable;
    const auto it = replica.progress.find(member);
    return it == replica.progress.end() ? 0 : it->second.match;
}

void advanceCommit(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    for (LogIndex index = lastIndex(replica); index > replica.commit; --index) {
        if (termAt(replica, index) != replica.hard.term)
            break; // An entry of an older term commits only below one of the own term.
        const bool stored = hasQuorum(replica.membership, [&](const MemberId &member) {
            return matchOf(replica, member) >= index;
        });
        if (!stored)
            continue;
        replica.commit = index;
        handOutCommitted(replica, effects);
        finishMembership(replica, now, effects);
        if (replica.role == ReplicaRole::Leader && effects.append.empty())
            broadcastAppend(replica, now, effects);
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
    appendOwn(replica, EntryKind::Noop, "", effects);
    replica.termStart = lastIndex(replica);
    broadcastAppend(replica, now, effects);
}

void requestVotes(LogReplica &replica, bool preVote, bool transfer, ReplicaEffects &effects)
{
    const Term term = replica.hard.term + (preVote ? 1 : 0);
    const VoteRequest request{term, lastIndex(replica), lastTerm(replica), preVote, transfer};
    auto &queue = preVote ? effects.sendNow : effects.sendSynced;
    for (const MemberId &member : allMembers(replica.membership)) {
        if (member != replica.self && isVoter(replica, member))
            queue.push_back({member, request});
    }
}

bool electedBy(const LogReplica &replica)
{
    return hasQuorum(replica.membership,
                     [&](const MemberId &member) { return replica.votes.contains(member); });
}

void standForElection(LogReplica &replica, bool transfer, TimePoint now, ReplicaEffects &effects)
{
    setRole(replica, ReplicaRole::Candidate, effects);
    replica.hard = {replica.hard.term + 1, replica.self};
    effects.hardState = replica.hard;
    replica.leader.reset();
    replica.votes = {replica.self};
    resetElectionTimer(replica, now);
    requestVotes(replica, false, transfer, effects);
    // A lone voter needs nobody else; its own vote is synced before any entry of the term is.
    if (electedBy(replica))
        becomeLeader(replica, now, effects);
}

void startPreVote(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    setRole(replica, ReplicaRole::PreCandidate, effects);
    replica.leader.reset();
    replica.votes = {replica.self};
    resetElectionTimer(replica, now);
    if (electedBy(replica)) {
        standForElection(replica, false, now, effects);
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
    const bool leaderIsAlive
        = replica.role == ReplicaRole::Leader || now < replica.heardLeader + ELECTION_TIMEOUT_MIN;
    if (leaderIsAlive && !request.transfer) {
        if (request.preVote)
            effects.sendNow.push_back({from, VoteReply{replica.hard.term, false, true}});
        return;
    }
    if (request.preVote) {
        const bool granted = request.term > replica.hard.term && isUpToDate(replica, request);
        const Term term = granted ? request.term : replica.hard.term;
        effects.sendNow.push_back({from, VoteReply{term, granted, true}});
        // Of two that stand at once one steps back, so that the votes are not split.
        if (granted && replica.role == ReplicaRole::PreCandidate && from < replica.self) {
            setRole(replica, ReplicaRole::Follower, effects);
            resetElectionTimer(replica, now);
        }
        // Whoever was promised a vote gets the time to ask for it.
        if (granted)
            replica.electionDue = std::max(replica.electionDue, now + ELECTION_TIMEOUT_MIN / 3);
        return;
    }
    if (request.term > replica.hard.term)
        adoptTerm(replica, request.term, now, effects);
    const bool free = !replica.hard.votedFor || *replica.hard.votedFor == from;
    const bool granted = request.term == replica.hard.term && free && isUpToDate(replica, request);
    if (granted) {
        replica.hard.votedFor = from;
        effects.hardState = replica.hard;
        resetElectionTimer(replica, now);
    }
    effects.sendSynced.push_back({from, VoteReply{replica.hard.term, granted, false}});
}

void onVoteReply(LogReplica &replica, const MemberId &from, const VoteReply &reply, TimePoint now,
                 ReplicaEffects &effects)
{
    if (!reply.granted) {
        if (reply.term > replica.hard.term)
            adoptTerm(replica, reply.term, now, effects);
        return;
    }
    const ReplicaRole expected = reply.preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    const Term term = replica.hard.term + (reply.preVote ? 1 : 0);
    if (replica.role != expected || reply.term != term)
        return;
    replica.votes.insert(from);
    if (!electedBy(replica))
        return;
    if (reply.preVote)
        standForElection(replica, false, now, effects);
    else
        becomeLeader(replica, now, effects);
}

/** Common to appends and snapshots. @return False if the sender is not the present leader. */
bool hearLeader(LogReplica &replica, const MemberId &from, Term term, TimePoint sentAt,
                TimePoint now, ReplicaEffects &effects)
{
    if (term < replica.hard.term)
        return false;
    if (term > replica.hard.term || replica.role != ReplicaRole::Follower)
        adoptTerm(replica, term, now, effects);
    // A message that was overtaken says nothing new about the leader's life.
    const bool overtaken = replica.leader == from && sentAt < replica.leaderSentAt;
    replica.leader = from;
    if (overtaken)
        return true;
    replica.leaderSentAt = sentAt;
    replica.heardLeader = now;
    resetElectionTimer(replica, now);
    return true;
}

void storeEntries(LogReplica &replica, const std::vector<LogEntry> &entries,
                  ReplicaEffects &effects)
{
    for (const LogEntry &entry : entries) {
        if (entry.index <= replica.base.index)
            continue;
        const std::optional<Term> present = termAt(replica, entry.index);
        if (present == entry.term)
            continue;
        if (present) {
            assert(entry.index > replica.commit);
            replica.log.resize(entry.index - replica.base.index - 1);
            replica.durable = std::min(replica.durable, entry.index - 1);
        }
        replica.log.push_back(entry);
        effects.append.push_back(entry);
    }
    if (!effects.append.empty())
        refreshMembership(replica);
}

void onAppendRequest(LogReplica &replica, const MemberId &from, const AppendRequest &request,
                     TimePoint now, ReplicaEffects &effects)
{
    AppendReply reply{replica.hard.term, false, 0, request.sentAt};
    if (!hearLeader(replica, from, request.term, request.sentAt, now, effects)) {
        effects.sendNow.push_back({from, reply});
        return;
    }
    reply.term = replica.hard.term;
    const bool behindBase = request.previousIndex < replica.base.index;
    if (!behindBase && termAt(replica, request.previousIndex) != request.previousTerm) {
        reply.match = std::min(lastIndex(replica), request.previousIndex - 1);
        reply.match = std::max(reply.match, replica.commit);
        effects.sendSynced.push_back({from, reply});
        return;
    }
    storeEntries(replica, request.entries, effects);
    const LogIndex known = request.previousIndex + request.entries.size();
    reply.success = true;
    reply.match = std::max(known, replica.base.index);
    replica.commit = std::max(replica.commit, std::min(request.commit, reply.match));
    handOutCommitted(replica, effects);
    effects.sendSynced.push_back({from, reply});
}

void onAppendReply(LogReplica &replica, const MemberId &from, const AppendReply &reply,
                   TimePoint now, ReplicaEffects &effects)
{
    if (reply.term > replica.hard.term) {
        adoptTerm(replica, reply.term, now, effects);
        return;
    }
    const auto it = replica.progress.find(from);
    if (replica.role != ReplicaRole::Leader || reply.term != replica.hard.term
        || it == replica.progress.end())
        return;
    Progress &progress = it->second;
    progress.acknowledged = std::max(progress.acknowledged, reply.sentAt);
    if (!reply.success) {
        progress.next
            = std::max<LogIndex>(std::min(reply.match + 1, progress.next), progress.match + 1);
        sendAppend(replica, from, now, effects);
        return;
    }
    progress.match = std::max(progress.match, reply.match);
    progress.next = std::max(progress.next, progress.match + 1);
    progress.snapshotSent = {};
    advanceCommit(replica, now, effects);
    if (progress.next <= lastIndex(replica))
        sendAppend(replica, from, now, effects);
}

void onSnapshotRequest(LogReplica &replica, const MemberId &from, const SnapshotRequest &request,
                       TimePoint now, ReplicaEffects &effects)
{
    AppendReply reply{replica.hard.term, false, 0, request.sentAt};
    if (!hearLeader(replica, from, request.term, request.sentAt, now, effects)) {
        effects.sendNow.push_back({from, reply});
        return;
    }
    const Snapshot &snapshot = request.snapshot;
    reply.term = replica.hard.term;
    reply.success = true;
    reply.match = snapshot.index;
    if (snapshot.index > replica.commit) {
        const bool keepsTail = termAt(replica, snapshot.index) == snapshot.term;
        if (keepsTail)
            replica.log.erase(
                replica.log.begin(),
                replica.log.begin()
                    + static_cast<std::ptrdiff_t>(snapshot.index - replica.base.index));
        else
            replica.log.clear();
        replica.base = snapshot;
        replica.commit = replica.applied = snapshot.index;
        replica.durable = std::max(replica.durable, snapshot.index);
        refreshMembership(replica);
        effects.snapshot = effects.restored = snapshot;
        effects.hardState = replica.hard;
        effects.append.assign(replica.log.begin(), replica.log.end());
    }
    effects.sendSynced.push_back({from, reply});
}

void onTransferRequest(LogReplica &replica, const MemberId &from, const TransferRequest &request,
                       TimePoint now, ReplicaEffects &effects)
{
    if (request.term == replica.hard.term && replica.leader == from
        && isVoter(replica, replica.self))
        standForElection(replica, true, now, effects);
}

} // namespace

bool hasQuorum(const Membership &membership, const std::function<bool(const MemberId &)> &has)
{
    const auto majority = [&](const std::set<MemberId> &voters) {
        const auto count = std::count_if(voters.begin(), voters.end(), has);
        return 2 * static_cast<std::size_t>(count) > voters.size();
    };
    const bool outgoing = membership.outgoingVoters.empty() || majority(membership.outgoingVoters);
    return majority(membership.voters) && outgoing;
}

LogIndex lastIndex(const LogReplica &replica)
{
    return replica.base.index + replica.log.size();
}

LogReplica makeReplica(const MemberId &self, DurableState durable, std::uint64_t seed,
                       TimePoint now)
{
    LogReplica replica;
    replica.self = self;
    replica.hard = std::move(durable.hard);
    replica.base = std::move(durable.base);
    replica.log.assign(durable.log.begin(), durable.log.end());
    replica.durable = lastIndex(replica);
    replica.commit = replica.applied = replica.base.index;
    // It may have acknowledged a leader just before it stopped, so it honours that lease.
    replica.heardLeader = now;
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

ReplicaEffects tick(LogReplica &replica, TimePoint now)
{
    ReplicaEffects effects;
    if (replica.role == ReplicaRole::Leader) {
        if (now >= leaseEnd(replica) && now >= replica.leaderSince + ELECTION_TIMEOUT_MIN) {
            adoptTerm(replica, replica.hard.term, now, effects);
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
        return effects; // Overwritten since by another leader's entry.
    replica.durable = std::max(replica.durable, index);
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
    appendOwn(replica, EntryKind::Command, std::move(payload), effects);
    index = lastIndex(replica);
    for (const auto &[member, progress] : replica.progress)
        sendAppend(replica, member, now, effects);
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
                && now - it->second.acknowledged < 2 * ELECTION_TIMEOUT_MIN);
    });
    for (const MemberId &member : next.voters) {
        const bool caughtUp = member == replica.self || matchOf(replica, member) >= replica.commit;
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
    if (index <= replica.base.index)
        return effects;
    Snapshot next;
    next.index = index;
    next.term = *termAt(replica, index);
    next.membership = replica.base.membership;
    for (LogIndex i = replica.base.index + 1; i <= index; ++i) {
        if (entryAt(replica, i).kind == EntryKind::Membership)
            next.membership = decode<Membership>(entryAt(replica, i).payload).value();
    }
    next.state = std::move(state);
    replica.log.erase(replica.log.begin(),
                      replica.log.begin()
                          + static_cast<std::ptrdiff_t>(index - replica.base.index));
    replica.base = next;
    effects.snapshot = std::move(next);
    effects.hardState = replica.hard;
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
    effects.sendNow.push_back({*best, TransferRequest{replica.hard.term}});
    return effects;
}

TimePoint leaseEnd(const LogReplica &replica)
{
    if (replica.role != ReplicaRole::Leader || replica.transferring)
        return TimePoint::min();
    // The latest time that a quorum has confirmed: try each confirmation, newest first.
    std::vector<TimePoint> times;
    for (const auto &[member, progress] : replica.progress)
        times.push_back(progress.acknowledged);
    times.push_back(TimePoint::max() - LEADER_LEASE);
    std::sort(times.rbegin(), times.rend());
    for (const TimePoint time : times) {
        const bool confirmed = hasQuorum(replica.membership, [&](const MemberId &member) {
            const auto it = replica.progress.find(member);
            return member == replica.self
                || (it != replica.progress.end() && it->second.acknowledged >= time);
        });
        if (confirmed)
            return time + LEADER_LEASE;
    }
    return TimePoint::min();
}

bool isActiveLeader(const LogReplica &replica, TimePoint now)
{
    return replica.role == ReplicaRole::Leader && replica.applied >= replica.termStart
        && now < leaseEnd(replica);
}

} // namespace bilberry
