/** @file replica_base.h One member of the replicated log, without clock, disk or network. */
#pragma once

#include "consensus/replica_type.h"

#include <deque>
#include <random>

namespace bilberry {

constexpr Duration ELECTION_TIMEOUT_MIN
    = 400ms; ///< No vote for another within this of hearing a leader.
constexpr Duration ELECTION_TIMEOUT_MAX = 500ms;
constexpr Duration LEADER_LEASE = ELECTION_TIMEOUT_MIN
    - ELECTION_TIMEOUT_MIN * 2 * CLOCK_DRIFT_PERCENT / 100; ///< From sending to a quorum.
constexpr Duration HEARTBEAT_INTERVAL = 60ms;
constexpr Duration SNAPSHOT_RESEND = 2s;
constexpr std::size_t MAX_ENTRIES_PER_APPEND = 256;

/** State of one member; changed only by the functions of replica_func.h. */
struct LogReplica
{
    MemberId self;
    HardState hard;
    Snapshot base; ///< Latest snapshot; its state bytes are kept for members that lag.
    std::deque<LogEntry> log; ///< Entries after the snapshot.
    Membership membership; ///< Latest in the log, committed or not.
    LogIndex membershipIndex = 0; ///< Entry that the membership stems from.
    LogIndex durable = 0; ///< Last index synced to the own disk.
    LogIndex commit = 0;
    LogIndex applied = 0; ///< Last index handed out as committed.

    ReplicaRole role = ReplicaRole::Follower;
    std::optional<MemberId> leader;
    std::map<MemberId, Progress> progress; ///< Leader only.
    std::set<MemberId> votes;
    TimePoint heardLeader; ///< Last valid message of a leader.
    TimePoint leaderSentAt; ///< Newest send time seen of the present leader, by its clock.
    TimePoint electionDue;
    TimePoint heartbeatDue;
    TimePoint leaderSince;
    bool transferring = false; ///< Leader only: has asked another to stand, so its lease is void.
    LogIndex termStart = 0; ///< Index of the noop of the own leadership.
    std::mt19937_64 random;
};

} // namespace bilberry
