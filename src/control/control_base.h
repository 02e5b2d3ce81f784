/**
 * @file control_base.h State of a control group member: replicated state and, on the leader, soft
 * state.
 */
#pragma once

#include "account/leased_pool_base.h"
#include "account/wait_estimate_base.h"
#include "consensus/replica_base.h"
#include "control/config_intake_base.h"
#include "control/control_type.h"
#include "duty/call_pacer_base.h"
#include "duty/target_count_base.h"
#include "quarantine/part_evidence_base.h"
#include "state/cluster_base.h"
#include "target/registry_base.h"
#include "target/slot_ramp_type.h"
#include "target/statement_type.h"

#include <map>
#include <optional>
#include <set>

namespace bilberry {

/** Request and token budgets of an account, leased to hosts. */
struct AccountPools
{
    LeasedPool requests;
    LeasedPool tokens;
    TimePoint recallDue; ///< Earliest time of the next recall of unspent amounts from hosts.
    WaitEstimate requestWaits; ///< Who waits for @c requests.
    WaitEstimate tokenWaits; ///< Who waits for @c tokens.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountPools, requests, tokens, recallDue,
                                                requestWaits, tokenWaits)

/** Requests that run or wait at one target, by the latest report of a host. */
struct HostSlotDemand
{
    std::vector<AccountDemand> demand; ///< Never empty.
    TimePoint reportedAt;
};

/** Outcomes at one target, by the latest report of a host; totals of the host run. They are kept
 * while the host may report them again, so that no outcome counts twice. */
struct OutcomeTotals
{
    std::int64_t succeeded = 0;
    std::int64_t overloaded = 0;
    std::int64_t failed = 0;
    TimePoint reportedAt;
};

/** Exponentially decayed counts of request outcomes at one target. */
struct RecentOutcomes
{
    double successes = 0;
    double failures = 0;
    TimePoint updatedAt; ///< Time to which the counts are decayed.
};

/** Concurrency slots of one incarnation of a target, leased to hosts. */
struct TargetSlots
{
    SlotRamp ramp;
    LeasedPool pool;
    RecentOutcomes outcomes;
    std::map<HolderId, HostSlotDemand> demands; ///< Only of hosts with requests there.
    std::map<HolderId, OutcomeTotals> totals; ///< Only looked up, never looked through.
    std::map<HolderId, int>
        shares; ///< Slots of each host while demand exceeds the limit; else empty.
    TimePoint sharesComputedAt; ///< Time of the last computation of the shares.
};

/** Latest report of a host on the requests that wait there for a target's request rate. */
struct RateDemand
{
    std::int64_t wanted = 0; ///< Always positive.
    TimePoint since; ///< Last time at which the host got a request granted or began to wait.
    TimePoint reportedAt;
};

/** Request rate of one incarnation of a target, leased to hosts in single requests. */
struct TargetRate
{
    Incarnation start;
    RateObservation latest; ///< By the leader's clock.
    LeasedPool pool; ///< Bound 0 until the target has stated a limit.
    std::map<HolderId, RateDemand> demands; ///< Hosts with waiting requests.
};

/** Description of a target for hosts, as of one version of its registry entry. */
struct TargetDescription
{
    Version modified; ///< TargetEntry::modified of the described entry.
    TimePoint madeAt;
    std::shared_ptr<const TargetAnnouncement> full; ///< Null until it is made.
    /** For hosts that know TargetAnnouncement::cached; null until such a host needs it. */
    std::shared_ptr<const TargetAnnouncement> withoutCached;
};

/** A host run that has reported to this leader. */
struct HostEntry
{
    std::uint64_t run = 0;
    ZoneId zone;
    TimePoint leaseEnds; ///< End of the freshness lease, including the clock drift margin.
    Version table; ///< Table version in force on the host.
    std::uint64_t registryEpoch = 0; ///< Epoch of @c registry.
    Version registry; ///< Registry version in force on the host.
    bool leaving = false; ///< The host is shutting down.
    bool lossProposed = false; ///< EndHostRun was proposed for this run after its lease expired.
    bool servesCallers = true;
    std::optional<ControlCandidate> member; ///< Control member of the same daemon.
    TimePoint lastReportAt;
    /** Targets at which the last report had running or waiting requests. */
    std::set<TargetId> claimedTargets;
    /** The host's time of day since 1970 minus the leader's time, by the last report. */
    std::optional<Duration> clockOffset;
    /** Latest report whose usage is in the log, see HostGrant::usageRecordedIn. */
    std::uint64_t usageRecordedIn = 0;
};

/** Live hosts that serve callers, as counted at one time. */
struct HostRanks
{
    std::map<HostId, int> ranks; ///< Number of those hosts before each known host, by id.
    int count = 0;
    TimePoint countedAt;
};

/**
 * Recipient of the answer to a proposed command; the answer is sent once the command is applied.
 */
struct PendingCommand
{
    enum class Kind {
        Internal, ///< No answer is sent.
        Placement, ///< No answer is sent; the next placement pass waits until the command is
                   ///< applied.
        CallBegin,
        CallEnd,
        Operator,
        Stream,
        Lending, ///< No answer is sent; the limits of the pools follow the record.
        Duty, ///< No answer is sent; the leader's duties follow the record.
    };
    Kind kind = Kind::Internal;
    HolderId holder;
    RequestId request; ///< Only for CallBegin, CallEnd and Stream.
    std::uint64_t operatorCallId = 0; ///< OperatorCall::id; only for Operator.
    std::optional<Version> base{}; ///< OperatorCall::base; only for Operator.
};

/** Targets that were lost while they ran requests with one digest. */
struct CrashRecord
{
    std::map<std::pair<TargetId, Incarnation>, bool>
        targets; ///< Lost targets; true if no other suspect request ran there.
    TimePoint lastReportedAt; ///< Time of the latest report on this digest.
};

/**
 * A variant that a target is known to hold or not to hold, from an accepted adapter order or from
 * an inspection. Announcements that arrive later may be older.
 */
struct VariantAssumption
{
    TimePoint effectiveAt; ///< Time from which the assumption holds.
    TargetId target;
    Incarnation start;
    Variant variant;
    Version version;
    bool loaded = false; ///< Whether the variant is loaded afterwards.
    bool applied = false; ///< Whether the effect was applied to the registry.
};

/** Amounts of an account's budgets that holders did not get at their last reports. */
struct BudgetShortage
{
    std::int64_t requests = 0;
    std::int64_t tokens = 0;
};

/** Pools whose recorded limits are to be checked, with the amounts that holders did not get. */
struct LendingChecks
{
    bool pending = false; ///< A change of limits is proposed and not yet applied.
    RecordLending proposed; ///< That change.
    TimePoint due; ///< Earliest time of the next change.
    std::set<HolderId> waiting; ///< Holders to be asked to report once that change is applied.
    std::map<AccountId, BudgetShortage> accounts;
    std::map<TargetId, std::int64_t> slots;
    std::set<HolderId> holders; ///< Holders that did not get what they wanted.
};

/** Usage that a host run has reported and that is not proposed to the log yet. */
struct UnrecordedUsage
{
    std::uint64_t sequence = 0; ///< Latest report of these totals.
    std::map<WindowId, AccountCounts> windows; ///< Totals that the log does not have.
};

/** The leader's calls of duties, and its pace. */
struct DutyCalls
{
    std::set<DutyKey> proposed; ///< Grants that are proposed and not yet applied.
    std::map<std::uint64_t, DutyKey> outstanding; ///< Calls without a reply, by DutyCall::id.
    std::optional<CallPacer> pacer; ///< Empty before the first call.
};

/** The leader's work on usage windows. */
struct UsageDuty
{
    std::map<HolderId, UnrecordedUsage> unrecorded;
    /** True time since 1970 minus the leader's time; empty until enough hosts have reported. */
    std::optional<Duration> clockOffset;
    TimePoint clockDue; ///< Time of the next estimate of @c clockOffset.
    TimePoint recordDue; ///< Time of the next RecordUsage.
    TimePoint fixDue; ///< Time of the next check for windows to be fixed.
    bool fixPending = false; ///< FixUsage is proposed and not yet applied.
    bool sentPending = false; ///< UsageSent is proposed and not yet applied.
    bool lengthLogged = false; ///< A wrong length of the windows has been logged.
    std::optional<std::uint64_t> call; ///< Outstanding call.
    WindowId callWindow = 0; ///< Window of that call.
    TimePoint callTimesOut; ///< Time at which the call counts as unanswered.
};
/** Orders for the number of targets of one service in one availability zone. */
struct TargetCountDuty
{
    TargetCountState state;
    std::optional<int> wanted; ///< Number to order; empty: no order is due.
    std::optional<std::uint64_t> call; ///< DutyCall::id of the order on its way.
    TimePoint calledAt; ///< Time of the latest call.
    /** An order for @c wanted may have been accepted without a reply. It is repeated unchanged. */
    bool uncertain = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetCountDuty, state, wanted, call, calledAt,
                                                uncertain)

/** Soft state of the leader for one term; a new leader rebuilds it from reports. */
struct Leadership
{
    Term term = 0;
    TimePoint electedAt;
    TimePoint earlierGrantsUntil; ///< Until then, grants of earlier leaders may still be in use.
    Duration clockAtElection{}; ///< Cluster time at @c electedAt.
    TargetRegistry registry;
    std::map<TargetId, TargetDescription> descriptions; ///< Of targets in @c registry.
    std::shared_ptr<const TableDelta>
        cachedFullTable; ///< Latest full delta, shared by hosts that have no table yet.
    TimePoint cachedFullTableAt; ///< Time at which @c cachedFullTable was made.
    std::shared_ptr<const TableDelta>
        sharedChanges; ///< Latest large partial delta, shared by hosts with a similar version.
    Version sharedChangesSince; ///< Version that @c sharedChanges begins at.
    TimePoint sharedChangesAt; ///< Time at which @c sharedChanges was made.
    std::map<AccountId, AccountPools> accounts;
    std::map<TargetId, TargetSlots> slots;
    LendingChecks lending;
    /** Holders that wanted slots of targets which have not been reported to this leader yet. */
    std::map<TargetId, std::set<HolderId>> awaitingTargets;
    std::map<TargetId, TargetRate> rates; ///< Targets that have stated a request rate.
    std::map<HostId, HostEntry> hosts;
    HostRanks hostRanks;
    std::map<LogIndex, PendingCommand> pending; ///< By index of the proposed entry.
    ConfigIntake configs;
    std::map<CallId, std::vector<std::pair<HolderId, RequestId>>>
        joined; ///< Requests that wait for the outcome of a running call.
    std::map<Digest, CrashRecord> crashRecords;
    /** Grows when a key of @c crashRecords is added, and some time after keys were removed. */
    std::uint64_t suspectsVersion = 1;
    bool suspectsRemoved = false; ///< Keys were removed that hosts still have as suspects.
    TimePoint suspectsRemovalDue; ///< Earliest time at which hosts learn of that.
    PartEvidence partEvidence;
    Planner planner;
    std::map<DutyKey, TargetCountDuty> targetCounts;
    TimePoint targetCountsDue; ///< Time of the next look at the number of targets.
    bool active = false; ///< Whether all entries of earlier leaders are applied.
    bool placementPending = false; ///< A placement decision is proposed and not yet applied.
    TimePoint placementDue;
    TimePoint expireDue;
    TimePoint lostHostsCheckDue;
    std::map<std::string, Version>
        publishedUnloads; ///< Registry version that announces the unload, by replicaId().
    std::set<std::string>
        publishedLoads; ///< Loads in progress that the registry announces, by replicaId().
    std::vector<VariantAssumption> assumptions;
    TimePoint unmetLoggedAt; ///< Time of the last log line on unmet needs.
    TimePoint forecastLoggedAt; ///< Time of the last log line on load forecasts.
    std::uint64_t loggedForecast = 0; ///< Version of the forecasts in that line.
    int loggedParallelism = 0; ///< Parallelism of the store in the last log line on its pace.
    double loggedSlowness = 1; ///< Slowness of the store in that line.
    TimePoint shortageLoggedAt; ///< Time of the last log line on a lack of slots.
    std::optional<ChangeMember>
        memberChange; ///< Operator's change in progress: its learner is catching up.
    DutyCalls dutyCalls;
    UsageDuty usage;
};

/** Tolerated excess over an account's budgets, for all hosts together. */
struct RateLeeway
{
    double fraction = 0; ///< Added to rate and burst, as a fraction of them.
    double burst = 0; ///< Added to the burst, in requests or tokens.
};

/** State of a control member. */
struct Control
{
    LogReplica replica;
    Cluster cluster;
    std::optional<Leadership> leadership;
    PlannerTuning tuning; ///< Copied to the planner at the start of each leadership.
    RateLeeway leeway;
    DutySettings duties;
    HostId host; ///< Host of this member, named in the grants of duties.
    std::uint64_t lastDutyCall = 0; ///< DutyCall::id of the last call of this process.
    int desiredVoterCount
        = 0; ///< Desired number of voters; 0: only operators change the membership.
    TimePoint now; ///< Time of the last event.
};

} // namespace bilberry
