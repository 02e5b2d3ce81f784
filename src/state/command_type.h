/** @file command_type.h Commands of the replicated state machine and their outcomes. */
#pragma once

#include "account/lending_limits_type.h"
#include "call/call_type.h"
#include "config/config_type.h"
#include "duty/duty_grant_type.h"
#include "duty/usage_type.h"
#include "stream/stream_type.h"

#include <variant>

namespace bilberry {

/** Replaces the configuration, except keys, if the change is based on the current version. */
struct ApplyConfig
{
    std::string changeId; ///< Idempotency key chosen by the operator's tool; resends repeat it.
    Version base; ///< Configuration version that the change is based on.
    FolderConfig config;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ApplyConfig, changeId, base, config)

/**
 * Replaces the whole configuration, keys included, if its number is higher than the current number.
 */
struct ReplaceConfig
{
    Version number; ///< Chosen by the operator; the highest number wins.
    std::string document; ///< Text as the operator sent it; returned unchanged to readers.
    FolderConfig config;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReplaceConfig, number, document, config)

/** Adds a key to an account. */
struct GrantKey
{
    std::string changeId;
    Key key;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GrantKey, changeId, key)

/** Removes a key. */
struct WithdrawKey
{
    std::string changeId;
    KeyId key;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WithdrawKey, changeId, key)

/** Sets the policy of an availability zone. */
struct SetZone
{
    std::string changeId;
    ZonePolicy zone;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetZone, changeId, zone)

/** Starts or ends draining of a target; a leaving target gets no new work. */
struct SetTargetLeaving
{
    std::string changeId;
    TargetId target;
    bool leaving = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetTargetLeaving, changeId, target, leaving)

/** Records a call before its dispatch. */
struct BeginCall
{
    CallId id;
    Digest body; ///< Digest of the request body.
    CallOwner owner; ///< Request that asks to dispatch the call.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BeginCall, id, body, owner)

/** Records the end of a call. */
struct EndCall
{
    CallId id;
    CallOwner owner;
    CallEnd end = CallEnd::Lost;
    StoredAnswer answer; ///< Answer of the target; used only if @c end is Answered.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndCall, id, owner, end, answer)

/** Marks the running calls of a host run that has ended as undetermined. */
struct EndHostRun
{
    HostId host;
    std::uint64_t run = 0; ///< Run (process incarnation) of the host.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndHostRun, host, run)

/** Sets or removes replica records. */
struct UpdateReplicas
{
    std::vector<Replica> put; ///< Records to set.
    std::vector<std::string>
        gone; ///< Ids of the records to remove, of replicas that are no longer on their targets.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UpdateReplicas, put, gone)

/** Quarantines a request digest. */
struct SetQuarantine
{
    Quarantine quarantine;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetQuarantine, quarantine)

/** Removes call records past their retention and expired quarantines. */
struct RemoveExpired
{
};
inline void to_json(nlohmann::json &j, const RemoveExpired &)
{
    j = nlohmann::json::object();
}
inline void from_json(const nlohmann::json &, RemoveExpired &) { }

/** Records which software is to write a stream, see recordStream(). */
struct RecordStream
{
    StreamId id;
    StreamOrigin origin;
    StreamOwner owner;
    std::uint64_t revision = 0; ///< See StreamRecord::revision.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordStream, id, origin, owner, revision)

/** Records that a target has announced its shutdown: the incarnation gets no new requests. */
struct RecordTargetShutdown
{
    TargetId target;
    Incarnation start; ///< The incarnation that shuts down; earlier ones have ended.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordTargetShutdown, target, start)

/** Records within which limits the leader lends budgets and slots; the next leader starts from
 * them. */
struct RecordLending
{
    std::vector<AccountLending> accounts;
    std::vector<SlotLending> slots;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordLending, accounts, slots)

/** Any command. Keep the order of the alternatives: they are encoded by position. */
using CommandBody = std::variant<ApplyConfig, GrantKey, WithdrawKey, SetZone, SetTargetLeaving,
                                 BeginCall, EndCall, EndHostRun, UpdateReplicas, SetQuarantine,
                                 RemoveExpired, ReplaceConfig, RecordStream, RecordTargetShutdown,
                                 RecordLending, GrantDuty, RecordUsage, FixUsage, UsageSent>;

/** A command with the leader's estimate of cluster time. */
struct Command
{
    Duration clock{}; ///< Cluster time.
    CommandBody body;
    /** Version of the record that the change is based on, see changeVersion(). If the record has
     * another version, the command fails with Errc::VersionConflict. Empty: not checked. */
    std::optional<Version> base{};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Command, clock, body, base)

/** Outcome of a command, the same on every member. */
struct CommandOutcome
{
    Errc error = Errc::Ok;
    Version version; ///< Table version after the command; for VersionConflict the present version
                     ///< of what the command is based on.
    CallVerdict verdict
        = CallVerdict::Dispatch; ///< Decision on a BeginCall; unused for other commands.
    StoredAnswer answer; ///< Stored answer; set only for the verdict Replay.
    std::vector<CallId> ended; ///< Calls that the command ended or marked as undetermined.
    StreamOrigin origin; ///< Origin that holds after a RecordStream; unused for other commands.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CommandOutcome, error, version, verdict, answer,
                                                ended, origin)

} // namespace bilberry
