/** @file election.cpp Elections with pre-vote, and the transfer of the leadership. */
#include "consensus/replica_internal.h"

namespace bilberry {

namespace {

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

bool isUpToDate(const LogReplica &replica, const VoteRequest &request)
{
    if (request.lastTerm != lastTerm(replica))
        return request.lastTerm > lastTerm(replica);
    return request.lastIndex >= lastIndex(replica);
}

} // namespace

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

void onTransferRequest(LogReplica &replica, const MemberId &from, const TransferRequest &request,
                       TimePoint now, ReplicaEffects &effects)
{
    if (request.term == replica.hardState.term && replica.leader == from
        && isVoter(replica, replica.self))
        startElection(replica, true, now, effects);
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

} // namespace bilberry
