/** @file replica_func.h Raft replication of the log: elections with pre-vote, leader leases, commit
 * and membership changes. */
#pragma once

#include "consensus/replica_base.h"

namespace bilberry {

/** State that a member reads from its disk at start. */
struct DurableState
{
    HardState hardState;
    Snapshot latestSnapshot; ///< Covers all entries before the log.
    std::vector<LogEntry> log; ///< Entries after the snapshot, in order.
};

/**
 * Creates a member as a follower.
 * @param self Id stored in the data folder.
 * @param durable Content of the data folder.
 * @param seed Seed of the random election timeouts.
 * @param now Current time; the member grants no votes for ELECTION_TIMEOUT_MIN from now.
 * @return The member.
 */
LogReplica makeReplica(const MemberId &self, DurableState durable, std::uint64_t seed,
                       TimePoint now);

/** Handles one message from another member. */
ReplicaEffects receive(LogReplica &replica, const MemberId &from, const ReplicaMessage &message,
                       TimePoint now);

/**
 * Starts an election or sends heartbeats when due. A leader steps down if its lease has expired
 * because no quorum answered.
 */
ReplicaEffects tick(LogReplica &replica, TimePoint now);

/** @return Whether committed entries wait to be applied; applyCommitted() returns the next ones. */
bool hasCommittedBacklog(const LogReplica &replica);

/**
 * Returns the next batch of committed entries. All effects have at most one batch, so that a member
 * that has a long log to apply handles messages in between.
 */
ReplicaEffects applyCommitted(LogReplica &replica);

/** Reports that this member's disk has synced the log up to the entry at @p index with @p term. */
ReplicaEffects synced(LogReplica &replica, LogIndex index, Term term, TimePoint now);

/**
 * Appends a command and sends it to the other members.
 * @param[out] index Index of the command, unless a later leader replaces it before it commits.
 * @return Effects, or Errc::NotLeader unless the member is a leader with a valid lease.
 */
Result<ReplicaEffects> propose(LogReplica &replica, std::string payload, LogIndex &index,
                               TimePoint now);

/**
 * Starts a membership change; a change of voters goes through a joint membership.
 * @return Effects, or
 *         Errc::NotLeader unless the member is the active leader,
 *         Errc::MembershipBusy while an earlier change is unfinished,
 *         Errc::QuorumAtRisk if @p next has no voters, if an added voter has not caught up, or if
 *         no quorum of @p next has answered a request of the last 2 * ELECTION_TIMEOUT_MIN.
 */
Result<ReplicaEffects> changeMembership(LogReplica &replica, Membership next, TimePoint now);

/**
 * Replaces the log up to @p index by a snapshot.
 * @param index Last entry to drop; must be applied.
 * @param state Encoded state machine as of @p index.
 */
ReplicaEffects compact(LogReplica &replica, LogIndex index, std::string state);

/** Asks the most up-to-date other voter, if there is one, to take over leadership. */
ReplicaEffects transferLeadership(LogReplica &replica);

/**
 * @return End of this leader's lease, until when no other member can become leader;
 *         TimePoint::min() on members without a lease.
 */
TimePoint leaseEnd(const LogReplica &replica);

/**
 * @return Whether the member may act as leader: its lease is valid and the noop of its term is
 *         applied.
 */
bool isActiveLeader(const LogReplica &replica, TimePoint now);

/** @return Index of the last entry, synced or not. */
LogIndex lastIndex(const LogReplica &replica);

/** @return Whether compact() is due, by the number or the size of the applied entries. */
bool isCompactionDue(const LogReplica &replica);

/** @return Bytes of the log entries after the latest snapshot. */
std::size_t logBytes(const LogReplica &replica);

/**
 * @return Whether @p predicate holds for a majority of the voters and, if the membership is joint,
 *         also for a majority of the outgoing voters.
 */
bool hasQuorum(const Membership &membership,
               const std::function<bool(const MemberId &)> &predicate);

} // namespace bilberry
