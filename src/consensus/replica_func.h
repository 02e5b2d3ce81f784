/** @file replica_func.h Rules of the replicated log: terms, pre-vote, check-quorum, commit. */
#pragma once

#include "consensus/replica_base.h"

namespace bilberry {

/** What a member finds on its disk when it starts. */
struct DurableState
{
    HardState hard;
    Snapshot base;
    std::vector<LogEntry> log;
};

/**
 * @param self Identity of the data folder.
 * @param durable Content of the data folder.
 * @param seed Seed of the election timeouts.
 * @param now Present time; votes for others start ELECTION_TIMEOUT_MIN later.
 */
LogReplica makeReplica(const MemberId &self, DurableState durable, std::uint64_t seed,
                       TimePoint now);

/** Handles one message of another member. */
ReplicaEffects receive(LogReplica &replica, const MemberId &from, const ReplicaMessage &message,
                       TimePoint now);

/** Starts elections and sends heartbeats when due; a leader without a quorum steps down. */
ReplicaEffects tick(LogReplica &replica, TimePoint now);

/** Notes that all entries up to @p index with term @p term are on the own disk. */
ReplicaEffects synced(LogReplica &replica, LogIndex index, Term term, TimePoint now);

/**
 * Appends a command.
 * @param[out] index Index that the command will have if it commits in this term.
 * @return Errc::NotLeader on any member but a leader with a valid lease.
 */
Result<ReplicaEffects> propose(LogReplica &replica, std::string payload, LogIndex &index,
                               TimePoint now);

/**
 * Starts one change of membership; voters change jointly.
 * @return Errc::NotLeader, Errc::MembershipBusy while another is not finished, Errc::QuorumAtRisk
 *         if a new voter has not caught up or no quorum of the new voters was heard lately.
 */
Result<ReplicaEffects> changeMembership(LogReplica &replica, Membership next, TimePoint now);

/** Replaces the log up to @p index, which must be applied, by @p state. */
ReplicaEffects compact(LogReplica &replica, LogIndex index, std::string state);

/** Hands leadership to the voter that has the most of the log, if there is one. */
ReplicaEffects transferLeadership(LogReplica &replica);

/** @return Until when nobody else can be leader; in the past on any other member. */
TimePoint leaseEnd(const LogReplica &replica);

/** @return Whether the member may decide as the leader: lease valid and own noop applied. */
bool isActiveLeader(const LogReplica &replica, TimePoint now);

LogIndex lastIndex(const LogReplica &replica);

/** @return Whether the members for which @p has holds are a majority, in both halves if joint. */
bool hasQuorum(const Membership &membership, const std::function<bool(const MemberId &)> &has);

} // namespace bilberry
