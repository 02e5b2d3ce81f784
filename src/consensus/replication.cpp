/** @file replication.cpp What the leader sends to the members, and what is committed. */
#include "consensus/replica_internal.h"

#include "consensus/progress_func.h"

#include <algorithm>

namespace bilberry {

namespace {

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
        const std::size_t size = entrySize(entryAt(replica, next));
        if (bytes > 0 && bytes + size > MAX_BYTES_PER_APPEND)
            break;
        request.entries.push_back(entryAt(replica, next));
        bytes += size;
        ++next;
    }
    if (bytes > 0)
        recordEntriesSent(progress, next - 1, bytes);
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

} // namespace

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

void collectCommitted(LogReplica &replica, ReplicaEffects &effects)
{
    std::size_t bytes = 0;
    while (replica.applied < replica.commit && effects.committed.size() < MAX_ENTRIES_PER_BATCH) {
        const LogEntry &entry = entryAt(replica, replica.applied + 1);
        if (bytes > 0 && bytes + entrySize(entry) > MAX_BYTES_PER_BATCH)
            return;
        bytes += entrySize(entry);
        ++replica.applied;
        effects.committed.push_back(entry);
    }
}

void raiseCommit(LogReplica &replica, LogIndex commit, ReplicaEffects &effects)
{
    const bool backlog = replica.applied < replica.commit;
    replica.commit = std::max(replica.commit, commit);
    if (!backlog)
        collectCommitted(replica, effects);
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
    progress.lastAnswerAt = now;
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

} // namespace bilberry
