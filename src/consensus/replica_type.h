/** @file replica_type.h Data types of the replicated log (Raft): entries, membership, messages and
 * effects.
 */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bilberry {

using MemberId = StrongType<struct MemberIdTag,
                            std::string>; ///< Generated when a member's data folder is created.
using Term = std::uint64_t; ///< Election term; each term has at most one leader.
using LogIndex
    = std::uint64_t; ///< Position in the log; the first entry has index 1, 0 means no entry.

/** Content of a log entry. */
enum class EntryKind {
    Noop, ///< Empty; each new leader appends one, as it can only commit entries of its own term.
    Command, ///< Command for the state machine.
    Membership, ///< New membership; takes effect as soon as it is in the log.
};

/** Entry of the replicated log. */
struct LogEntry
{
    LogIndex index = 0;
    Term term = 0; ///< Term of the leader that appended the entry.
    EntryKind kind = EntryKind::Noop;
    std::string payload; ///< Encoded Command or Membership; empty for a noop.

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogEntry, index, term, kind, payload)

/**
 * Voters and learners of the group. While the voters change, the membership is joint: it has
 * outgoingVoters, and a quorum is a majority of the old and a majority of the new voters.
 */
struct Membership
{
    std::set<MemberId> voters;
    std::set<MemberId> outgoingVoters; ///< Voters before the change; empty unless joint.
    std::set<MemberId> learners; ///< Receive the log but do not vote.
    std::map<MemberId, std::string> addresses; ///< "ip:port" of each member.

    friend bool operator==(const Membership &, const Membership &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Membership, voters, outgoingVoters, learners,
                                                addresses)

/** State that a member must sync to disk, besides its log, before it answers a request. */
struct HardState
{
    Term term = 0; ///< Highest term seen.
    std::optional<MemberId> votedFor; ///< Candidate voted for in that term.

    friend bool operator==(const HardState &, const HardState &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HardState, term, votedFor)

/** State machine content that replaces the log up to and including an index. */
struct Snapshot
{
    LogIndex index = 0; ///< Last entry that the snapshot includes.
    Term term = 0; ///< Term of that entry.
    Membership membership; ///< Membership as of that entry.
    std::string state; ///< Encoded state machine.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Snapshot, index, term, membership, state)

/** Asks a voter for its vote, or before an election whether it would vote (pre-vote). */
struct VoteRequest
{
    Term term = 0; ///< Term of the election.
    LogIndex lastIndex = 0; ///< Last entry in the candidate's log.
    Term lastTerm = 0; ///< Term of that entry.
    bool preVote = false; ///< Pre-vote: changes neither term nor vote of the receiver.
    bool transfer
        = false; ///< The leader requested this election, so its lease does not prevent votes.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VoteRequest, term, lastIndex, lastTerm, preVote,
                                                transfer)

/** Answer to a VoteRequest. */
struct VoteReply
{
    Term term = 0; ///< Term of the election if granted, else the sender's own term.
    bool granted = false;
    bool preVote = false; ///< Whether the request was a pre-vote.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VoteReply, term, granted, preVote)

/** Entries from the leader; a request without entries is a heartbeat. */
struct AppendRequest
{
    Term term = 0; ///< Term of the leader.
    LogIndex previousIndex = 0; ///< Index of the entry before the first one sent.
    Term previousTerm = 0; ///< Term at previousIndex; the receiver's log must match it.
    std::vector<LogEntry> entries;
    LogIndex commit = 0; ///< Leader's commit index.
    TimePoint sentAt; ///< Send time by the leader's clock; returned in the reply.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AppendRequest, term, previousIndex, previousTerm,
                                                entries, commit, sentAt)

/** Answer to an AppendRequest or a SnapshotRequest. */
struct AppendReply
{
    Term term = 0; ///< Term of the sender.
    bool success = false; ///< Whether the follower's log now matches the request.
    LogIndex match = 0; ///< Success: last index known to match the leader's log. Otherwise: index
                        ///< at which the leader should check for a match next.
    TimePoint sentAt; ///< Copied from the request.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AppendReply, term, success, match, sentAt)

/** Snapshot from the leader, for a follower that needs entries already compacted away. */
struct SnapshotRequest
{
    Term term = 0; ///< Term of the leader.
    Snapshot snapshot;
    TimePoint sentAt; ///< Send time by the leader's clock; returned in the reply.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SnapshotRequest, term, snapshot, sentAt)

/** Leader's request that the receiver start an election at once (leadership transfer). */
struct TransferRequest
{
    Term term = 0; ///< Term of the leader.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TransferRequest, term)

using ReplicaMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                                    SnapshotRequest, TransferRequest>;

/** Message to another member. */
struct OutgoingMessage
{
    MemberId to;
    ReplicaMessage message;
};

/**
 * Work that the replica leaves to its caller. The records of successive effects have to be written
 * to disk in order.
 */
struct ReplicaEffects
{
    std::vector<OutgoingMessage>
        sendNow; ///< Messages that do not depend on the writes; sent at once.
    std::optional<HardState> hardState; ///< Hard state to write.
    std::vector<LogEntry>
        append; ///< Entries to write; the first one replaces the stored log from its index on.
    std::optional<Snapshot>
        snapshot; ///< Snapshot to write; hardState and append then hold all state after it.
    std::optional<Snapshot>
        restored; ///< Snapshot from the leader, to be loaded into the state machine.
    std::vector<OutgoingMessage>
        sendAfterSync; ///< Messages to send once the records above are synced.
    std::vector<LogEntry>
        committed; ///< Next entries to apply to the state machine, in order; bounded in number.
    bool roleChanged = false;
};

/** Raft role of a member. */
enum class ReplicaRole {
    Follower,
    PreCandidate, ///< Collects pre-votes before it raises the term.
    Candidate,
    Leader,
};
NLOHMANN_JSON_SERIALIZE_ENUM(ReplicaRole,
                             {{ReplicaRole::Follower, "follower"},
                              {ReplicaRole::PreCandidate, "preCandidate"},
                              {ReplicaRole::Candidate, "candidate"},
                              {ReplicaRole::Leader, "leader"}})

} // namespace bilberry
