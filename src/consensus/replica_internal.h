/** @file replica_internal.h Functions shared by the files of src/consensus. */
#pragma once

#include "consensus/replica_func.h"

namespace bilberry {

/** @return Term of the last entry. */
Term lastTerm(const LogReplica &replica);

/** @return Term of the entry at @p index, or nothing if it is compacted away or not yet written. */
std::optional<Term> termAt(const LogReplica &replica, LogIndex index);

/** @return The entry at @p index, which must be in the log. */
const LogEntry &entryAt(const LogReplica &replica, LogIndex index);

/** @return Memory and transfer size of an entry, for the bounds in bytes. */
std::size_t entrySize(const LogEntry &entry);

/** @return Voters, outgoing voters and learners. */
std::set<MemberId> allMembers(const Membership &membership);

/** @return Whether the member is a voter, also if it is an outgoing one. */
bool isVoter(const LogReplica &replica, const MemberId &member);

/**
 * Sets the membership to the latest one in the log, or to that of the snapshot if the log has none.
 */
void refreshMembership(LogReplica &replica);

/** Adds new members to the leader's progress table and removes those that left. */
void refreshProgress(LogReplica &replica, TimePoint now);

/** Appends a membership, which is in force at once, and sends it. */
void appendMembership(LogReplica &replica, const Membership &next, TimePoint now,
                      ReplicaEffects &effects);

/**
 * Ends a joint membership once it is committed. After the change, a leader that is no longer a
 * voter steps down.
 */
void finishMembershipChange(LogReplica &replica, TimePoint now, ReplicaEffects &effects);

/** Sets a random time at which the next election starts unless a leader is heard. */
void resetElectionTimer(LogReplica &replica, TimePoint now);

/** Changes the role and drops the votes. */
void setRole(LogReplica &replica, ReplicaRole role, ReplicaEffects &effects);

/** Becomes a follower, in @p term if it is higher than the current one. */
void adoptTerm(LogReplica &replica, Term term, TimePoint now, ReplicaEffects &effects);

/** Raises the term and asks for votes. @param transfer The leader has requested the election. */
void startElection(LogReplica &replica, bool transfer, TimePoint now, ReplicaEffects &effects);

/** Asks whether the voters would vote, without raising the term. */
void startPreVote(LogReplica &replica, TimePoint now, ReplicaEffects &effects);

/** Handles a request for a vote or a pre-vote. */
void onVoteRequest(LogReplica &replica, const MemberId &from, const VoteRequest &request,
                   TimePoint now, ReplicaEffects &effects);

/** Counts a vote or a pre-vote. */
void onVoteReply(LogReplica &replica, const MemberId &from, const VoteReply &reply, TimePoint now,
                 ReplicaEffects &effects);

/** Starts an election at the leader's request. */
void onTransferRequest(LogReplica &replica, const MemberId &from, const TransferRequest &request,
                       TimePoint now, ReplicaEffects &effects);

/** Sends the entries that the member lacks, as far as flow control allows. */
void sendEntries(LogReplica &replica, const MemberId &member, TimePoint now,
                 ReplicaEffects &effects);

/** Sends entries or a heartbeat to all members. */
void broadcastAppend(LogReplica &replica, TimePoint now, ReplicaEffects &effects);

/** Appends an entry to the leader's log. */
void appendAsLeader(LogReplica &replica, EntryKind kind, std::string payload,
                    ReplicaEffects &effects);

/** Adds the next batch of committed entries to the effects. */
void collectCommitted(LogReplica &replica, ReplicaEffects &effects);

/** Raises the commit index. While earlier entries wait to be applied, the new ones do too, so that
 * messages take no longer. */
void raiseCommit(LogReplica &replica, LogIndex commit, ReplicaEffects &effects);

/** @return Last index known to be on the disk of the member. */
LogIndex matchIndexOf(const LogReplica &replica, const MemberId &member);

/** Commits what is on the disks of a quorum. */
void advanceCommit(LogReplica &replica, TimePoint now, ReplicaEffects &effects);

/** Handles a member's answer to entries, a heartbeat or a snapshot. */
void onAppendReply(LogReplica &replica, const MemberId &from, const AppendReply &reply,
                   TimePoint now, ReplicaEffects &effects);

/** Handles entries or a heartbeat of a leader. */
void onAppendRequest(LogReplica &replica, const MemberId &from, const AppendRequest &request,
                     TimePoint now, ReplicaEffects &effects);

/** Handles a snapshot of a leader. */
void onSnapshotRequest(LogReplica &replica, const MemberId &from, const SnapshotRequest &request,
                       TimePoint now, ReplicaEffects &effects);

} // namespace bilberry
