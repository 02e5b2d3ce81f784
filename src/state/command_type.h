/** @file command_type.h Commands of the replicated state machine and their outcomes. */
#pragma once

#include "call/call_type.h"
#include "config/config_type.h"

#include <variant>

namespace bilberry {

/** Replaces the whole folder configuration. */
struct ApplyConfig
{
    std::string changeId; ///< Chosen by the operator's tool; a resend carries the same.
    Version base; ///< Configuration version that the change was made from.
    FolderConfig config;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ApplyConfig, changeId, base, config)

/** Replaces the whole configuration, keys included, if the number is higher than the one held. */
struct ReplaceConfig
{
    Version number; ///< Chosen by the operator; the highest one is in force.
    std::string document; ///< The operator's own text, given back to readers as it came.
    FolderConfig config;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReplaceConfig, number, document, config)

struct GrantKey
{
    std::string changeId;
    Key key;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GrantKey, changeId, key)

struct WithdrawKey
{
    std::string changeId;
    KeyId key;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WithdrawKey, changeId, key)

struct SetZone
{
    std::string changeId;
    ZonePolicy zone;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetZone, changeId, zone)

struct SetTargetLeaving
{
    std::string changeId;
    TargetId target;
    bool leaving = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetTargetLeaving, changeId, target, leaving)

struct BeginCall
{
    CallId id;
    Digest body;
    CallOwner owner;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BeginCall, id, body, owner)

struct EndCall
{
    CallId id;
    CallOwner owner;
    CallEnd end = CallEnd::Lost;
    StoredAnswer answer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndCall, id, owner, end, answer)

/** A host run has ended; its running calls are undetermined. */
struct LoseHost
{
    HostId host;
    std::uint64_t run = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoseHost, host, run)

/** Decides replicas: puts them, or with @c gone removes them. */
struct DecideReplicas
{
    std::vector<Replica> put;
    std::vector<std::string> gone; ///< Ids of replicas known to be gone.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DecideReplicas, put, gone)

struct SetQuarantine
{
    Quarantine quarantine;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SetQuarantine, quarantine)

/** Drops old call records and ended quarantines. */
struct Expire
{
};
inline void to_json(nlohmann::json &j, const Expire &)
{
    j = nlohmann::json::object();
}
inline void from_json(const nlohmann::json &, Expire &) { }

using CommandBody
    = std::variant<ApplyConfig, GrantKey, WithdrawKey, SetZone, SetTargetLeaving, BeginCall,
                   EndCall, LoseHost, DecideReplicas, SetQuarantine, Expire, ReplaceConfig>;

/** A command with the leader's estimate of cluster time. */
struct Command
{
    Duration clock{};
    CommandBody body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Command, clock, body)

/** Answer to a command, the same on every member. */
struct CommandOutcome
{
    Errc error = Errc::Ok;
    Version
        version; ///< Table version after the command; for a conflict the present config version.
    CallVerdict verdict = CallVerdict::Dispatch; ///< Of BeginCall.
    StoredAnswer answer; ///< Of BeginCall with Replay.
    std::vector<CallId> ended; ///< Calls that now have an outcome or are undetermined.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CommandOutcome, error, version, verdict, answer,
                                                ended)

} // namespace bilberry
