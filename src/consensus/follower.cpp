/** @file follower.cpp Entries and snapshots that a member receives from a leader. */
#include "consensus/replica_internal.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

namespace {

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

} // namespace

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

} // namespace bilberry
