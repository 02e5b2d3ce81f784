/** @file control_base.h A member of the control group: replicated state and, as leader, soft state.
 */
#pragma once

#include "account/leased_pool_base.h"
#include "consensus/replica_base.h"
#include "control/control_type.h"
#include "state/cluster_base.h"
#include "target/registry_base.h"
#include "target/slot_ramp_type.h"

#include <map>
#include <optional>
#include <set>

namespace bilberry {

/** Both budgets of an account. */
struct AccountPools
{
    LeasedPool requests;
    LeasedPool tokens;
    TimePoint recallDue; ///< Next time that hosts may be asked for what they have unspent.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountPools, requests, tokens, recallDue)

/** What a host reported of one target. */
struct HostSlotDemand
{
    std::vector<AccountDemand> demand;
    std::int64_t succeeded = 0;
    std::int64_t overloaded = 0;
    std::int64_t failed = 0;
    TimePoint at;
};

/** Outcomes at one target, older ones counting less. */
struct RecentOutcomes
{
    double good = 0;
    double bad = 0;
    TimePoint at; ///< When they were last brought up to date.
};

/** Slots of one start of a target. */
struct TargetSlots
{
    SlotRamp ramp;
    LeasedPool pool;
    RecentOutcomes outcomes;
    std::map<HolderId, HostSlotDemand> demands;
    std::map<HolderId, int> shares; ///< While the demand exceeds the limit; empty otherwise.
    TimePoint sharedAt; ///< When the shares were worked out.
};

/** A connected host run. */
struct HostEntry
{
    std::uint64_t run = 0;
    ZoneId zone;
    TimePoint leaseEnds; ///< When whatever it knows and holds has surely run out.
    Version table; ///< In force on the host.
    std::uint64_t registryEpoch = 0;
    Version registry; ///< In force on the host.
    bool leaving = false;
    bool lost = false; ///< Its running calls were made undetermined.
    bool entry = true; ///< Serves callers.
    std::optional<ControlCandidate> member; ///< Its control member.
    TimePoint heard;
};

/** Who waits for a proposed command. */
struct PendingCommand
{
    enum class Kind {
        Internal,
        Placement,
        CallBegin,
        CallEnd,
        Operator,
    };
    Kind kind = Kind::Internal;
    HolderId holder;
    RequestId request; ///< Of CallBegin and CallEnd.
    std::uint64_t operatorId = 0;
};

/** Targets lost with a request digest. */
struct CrashRecord
{
    std::map<std::pair<TargetId, StartNumber>, bool> targets; ///< With whether it was alone.
    TimePoint last;
};

/** An accepted order about an adapter, whose effect the target does not announce by itself. */
struct AdapterAssumption
{
    TimePoint at; ///< When it is taken to be carried out.
    TargetId target;
    StartNumber start;
    Variant variant;
    Version version;
    bool loaded = false;
    bool applied = false; ///< Whether the registry shows it.
};

/** Soft state of one leadership. */
struct Leadership
{
    Term term = 0;
    TimePoint since;
    TimePoint unknownUntil; ///< Until then earlier leaders' grants may still be in use.
    Duration clockAtStart{}; ///< Cluster time at @c since.
    TargetRegistry registry;
    std::shared_ptr<const TableDelta> wholeTable; ///< Last one made for a host that knew nothing.
    TimePoint wholeTableAt;
    std::map<AccountId, AccountPools> accounts;
    std::map<TargetId, TargetSlots> slots;
    std::map<HostId, HostEntry> hosts;
    std::map<LogIndex, PendingCommand> pending;
    std::map<CallId, std::vector<std::pair<HolderId, RequestId>>> joined; ///< Waiting for outcomes.
    std::map<Digest, CrashRecord> crashes;
    std::uint64_t suspectsVersion = 1; ///< Of the keys of @c crashes.
    Planner planner;
    bool active = false; ///< All entries of earlier leaders are applied.
    bool placementPending = false;
    TimePoint placementDue;
    TimePoint expireDue;
    TimePoint lostHostsDue;
    std::map<std::string, Version>
        unloadSeen; ///< Registry version since which hosts know an unload.
    std::set<std::string> loadSeen; ///< Loads under way that hosts were told of.
    std::vector<AdapterAssumption> assumptions;
    std::optional<ChangeMember> memberChange; ///< Learner to be promoted once it has caught up.
};

/** Tolerated excess over an account's budgets, over all hosts together. */
struct RateLeeway
{
    double share = 0; ///< Of rate and burst.
    double amount = 0; ///< Added to the burst.
};

/** State of a control member. */
struct Control
{
    LogReplica replica;
    Cluster cluster;
    std::optional<Leadership> leadership;
    PlannerTuning tuning; ///< Of each leadership.
    RateLeeway leeway;
    int votersWanted = 0; ///< Members are replaced until so many vote; 0: only by operators.
    TimePoint now; ///< Time of the last event.
};

} // namespace bilberry
