/** @file replica_type.h Plain data of the replicated log: entries, membership, messages, effects.
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

using MemberId = StrongType<struct MemberIdTag, std::string>; ///< Made together with a data folder.
using Term = std::uint64_t;
using LogIndex = std::uint64_t; ///< 1 for the first entry, 0 for none.

enum class EntryKind {
    Noop, ///< Appended by each new leader, so that it can commit.
    Command,
    Membership,
};

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Noop;
    std::string payload; ///< Encoded command or membership.

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogEntry, index, term, kind, payload)

/** Who votes and who only follows; joint while outgoingVoters is not empty. */
struct Membership
{
    std::set<MemberId> voters;
    std::set<MemberId> outgoingVoters; ///< Former voters, whose majority is also needed.
    std::set<MemberId> learners;
    std::map<MemberId, std::string> addresses; ///< "ip:port" of each member.

    friend bool operator==(const Membership &, const Membership &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Membership, voters, outgoingVoters, learners,
                                                addresses)

/** What a member must never forget besides its log. */
struct HardState
{
    Term term = 0;
    std::optional<MemberId> votedFor;

    friend bool operator==(const HardState &, const HardState &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HardState, term, votedFor)

/** State machine content up to an index, replacing the log up to there. */
struct Snapshot
{
    LogIndex index = 0;
    Term term = 0;
    Membership membership;
    std::string state; ///< Encoded state machine.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Snapshot, index, term, membership, state)

struct VoteRequest
{
    Term term = 0; ///< Term to be voted in.
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool preVote = false; ///< Only asks; nobody's state changes.
    bool transfer = false; ///< The leader itself asked for this election.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VoteRequest, term, lastIndex, lastTerm, preVote,
                                                transfer)

struct VoteReply
{
    Term term = 0;
    bool granted = false;
    bool preVote = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VoteReply, term, granted, preVote)

struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    std::vector<LogEntry> entries;
    LogIndex commit = 0;
    TimePoint sentAt; ///< Leader's clock; echoed in the reply.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AppendRequest, term, previousIndex, previousTerm,
                                                entries, commit, sentAt)

struct AppendReply
{
    Term term = 0;
    bool success = false;
    LogIndex match = 0; ///< Success: last index known equal. Otherwise: where to try next.
    TimePoint sentAt; ///< Echo of the request.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AppendReply, term, success, match, sentAt)

struct SnapshotRequest
{
    Term term = 0;
    Snapshot snapshot;
    TimePoint sentAt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SnapshotRequest, term, snapshot, sentAt)

/** Asks the receiver to stand for election at once. */
struct TransferRequest
{
    Term term = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TransferRequest, term)

using ReplicaMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                                    SnapshotRequest, TransferRequest>;

struct OutgoingMessage
{
    MemberId to;
    ReplicaMessage message;
};

/** What the caller of the replica has to do; records are to be written in order. */
struct ReplicaEffects
{
    std::vector<OutgoingMessage> sendNow; ///< Need no sync.
    std::optional<HardState> hardState; ///< To be written.
    std::vector<LogEntry>
        append; ///< To be written; the first one cuts off any tail from its index.
    std::optional<Snapshot>
        snapshot; ///< To be written; hardState and append then are all that follows it.
    std::optional<Snapshot> restored; ///< Received from the leader: replaces the state machine.
    std::vector<OutgoingMessage> sendSynced; ///< To be sent once all of the above is synced.
    std::vector<LogEntry> committed; ///< To be applied in order.
    bool roleChanged = false;
};

enum class ReplicaRole {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};
NLOHMANN_JSON_SERIALIZE_ENUM(ReplicaRole,
                             {{ReplicaRole::Follower, "follower"},
                              {ReplicaRole::PreCandidate, "preCandidate"},
                              {ReplicaRole::Candidate, "candidate"},
                              {ReplicaRole::Leader, "leader"}})

/** Leader's knowledge of one other member. */
struct Progress
{
    LogIndex match = 0; ///< Known to be on the member's disk.
    LogIndex next = 1; ///< Next index to send.
    TimePoint acknowledged; ///< Send time of the latest request that it answered.
    TimePoint snapshotSent; ///< When a snapshot was last sent.
};

} // namespace bilberry
