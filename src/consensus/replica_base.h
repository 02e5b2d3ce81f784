/** @file replica_base.h State of one member of the replicated log; clock, disk and network are
 * external. */
#pragma once

#include "consensus/progress_base.h"

#include <random>

namespace bilberry {

constexpr Duration ELECTION_TIMEOUT_MIN
    = 400ms; ///< A member grants no votes for this long after the last message from a leader.
constexpr Duration ELECTION_TIMEOUT_MAX = 500ms; ///< Upper bound of the random election timeout.
constexpr Duration LEADER_LEASE = ELECTION_TIMEOUT_MIN
    - ELECTION_TIMEOUT_MIN * 2 * CLOCK_DRIFT_PERCENT
        / 100; ///< Counted from the send time of requests that a quorum has answered. Shorter than
               ///< ELECTION_TIMEOUT_MIN by the drift of two clocks, so that the lease ends before
               ///< the members vote for another leader.
constexpr Duration HEARTBEAT_INTERVAL = 60ms;
constexpr std::size_t MAX_ENTRIES_PER_APPEND = 256;
/** Bound of the entries in one request; a larger entry is sent alone. */
constexpr std::size_t MAX_BYTES_PER_APPEND = 256 << 10;
constexpr std::size_t COMPACT_AFTER_ENTRIES
    = 1'000; ///< Applied log entries after which a new snapshot is due.
/** Size of the applied log in multiples of the snapshot after which a new one is due, so that a
 * restart reads and applies little more than the state. */
constexpr std::size_t COMPACT_AFTER_SNAPSHOT_SIZES = 2;
constexpr std::size_t MIN_COMPACT_BYTES = 1 << 20; ///< A smaller log is not compacted by size.
constexpr std::size_t MAX_ENTRIES_PER_BATCH = 16; ///< Bound of ReplicaEffects::committed.
/** Bound of the bytes in ReplicaEffects::committed; a larger entry is returned alone. */
constexpr std::size_t MAX_BYTES_PER_BATCH = 256 << 10;

/** State of one member. Only the functions of replica_func.h change it. */
struct LogReplica
{
    MemberId self; ///< Own id.
    HardState hardState; ///< Current term and vote.
    Snapshot latestSnapshot; ///< Covers all entries before the log; kept in memory to send to
                             ///< members that lag.
    std::deque<LogEntry> log; ///< Entries after the snapshot.
    Membership membership; ///< Latest membership in the log, committed or not.
    LogIndex membershipIndex = 0; ///< Index of the entry that holds the membership.
    LogIndex durableIndex = 0; ///< Last index synced to this member's disk.
    LogIndex commit = 0; ///< Last index known to be committed.
    LogIndex applied = 0; ///< Last index returned in ReplicaEffects::committed.

    ReplicaRole role = ReplicaRole::Follower;
    std::optional<MemberId> leader; ///< Leader of the current term, if known.
    std::map<MemberId, ReplicationProgress> progress; ///< Of the other members; on the leader only.
    std::set<MemberId> votes; ///< Votes or pre-votes received in the current election.
    TimePoint lastLeaderContact; ///< Receipt time of the last message from a valid leader.
    TimePoint latestLeaderSendTime; ///< Latest send time in messages from the current leader, by
                                    ///< its clock.
    TimePoint
        electionDue; ///< Time to start a pre-vote unless a message from a leader arrives first.
    TimePoint heartbeatDue; ///< Leader only: time of the next heartbeat.
    TimePoint leaderSince; ///< Leader only: time of the election.
    bool transferring = false; ///< Leader only: has sent a TransferRequest, so its lease is void.
    LogIndex termStartIndex = 0; ///< Leader only: index of the noop that began its term.
    std::mt19937_64 random; ///< Source of the election timeouts.
};

} // namespace bilberry
