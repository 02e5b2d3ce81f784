/** @file link_type.h Messages between a host and the leader of the control group. */
#pragma once

#include "account/leased_pool_base.h"
#include "call/call_type.h"
#include "duty/duty_type.h"
#include "quarantine/crash_type.h"
#include "state/cluster_base.h"
#include "target/registry_base.h"

#include <variant>

namespace bilberry {

/** Length of the lease on granted requests, tokens and slots; starts when the host sends its
 * report. */
constexpr Duration BUDGET_LEASE = 1s;
/** Length of the lease on a host's copy of keys, zones and targets; starts when the host sends its
 * report. */
constexpr Duration FRESHNESS_LEASE = 2s;

/** Totals of one holder in one leased pool, and its further demand. */
struct PoolUse
{
    std::int64_t spent = 0; ///< Amount used, or written off when the lease expired.
    std::int64_t returned = 0; ///< Amount handed back to the leader.
    std::int64_t want = 0; ///< Amount requested in addition to the current balance.
    std::int64_t carried = 0; ///< Balance left from an earlier term at the start of this term.
    /** Amount for requests that were refused since the pool lacked it; their callers come back. */
    std::int64_t refused = 0;

    friend bool operator==(const PoolUse &, const PoolUse &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PoolUse, spent, returned, want, carried, refused)

/** Use of one account's request and token budgets by a host. */
struct AccountUse
{
    AccountId account;
    PoolUse requests;
    PoolUse tokens;

    friend bool operator==(const AccountUse &, const AccountUse &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountUse, account, requests, tokens)

/** Number of one account's requests; SlotUse and VariantUse state which requests count. */
struct AccountDemand
{
    AccountId account;
    int demand = 0; ///< Number of requests.
    int rank = 0; ///< Rank of the requests, 0 first; 0 unless ranks are in use.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountDemand, account, demand, rank)

/** Requests that began to run at a host in one usage window, in totals of the host run. */
struct WindowUse
{
    WindowId window = 0;
    std::vector<AccountDemand> accounts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WindowUse, window, accounts)

/** Use of one target's slots by a host; a slot allows one concurrent request. */
struct SlotUse
{
    TargetId target;
    Incarnation start;
    PoolUse slots;
    std::int64_t succeeded = 0; ///< Successful answers in this host run, in total.
    std::int64_t overloaded = 0; ///< Overload answers in this host run, in total.
    std::int64_t failed = 0; ///< Errors, lost and malformed answers in this host run, in total.
    int limit = 0; ///< Latest SlotGrant::limit; a new leader starts from it.
    Duration busyFor{}; ///< Time until the latest deadline of the running requests.
    /** Running requests by account, plus the queued ones divided among all suitable targets. */
    std::vector<AccountDemand> demand;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotUse, target, start, slots, succeeded,
                                                overloaded, failed, limit, busyFor, demand)

/** A target's request rate as a host knows it, and the host's use of the requests granted to it. */
struct RateUse
{
    TargetId target;
    Incarnation start;
    PoolUse requests;
    std::optional<double>
        rate; ///< In requests per second, for all hosts together; empty: no limit.
    /** Whether an answer to this host stated the rate; else the host knows it from a leader. */
    bool observed = false;
    Duration madeAfterAge{}; ///< Age of RateObservation::madeAfter when the report was sent.
    Duration madeBeforeAge{}; ///< Age of RateObservation::madeBefore when the report was sent.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RateUse, target, start, requests, rate, observed,
                                                madeAfterAge, madeBeforeAge)

/** Queued requests that only targets of one software version may serve, of which none holds the
 * variant. */
struct PinnedDemand
{
    std::string softwareVersion;
    int waiting = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PinnedDemand, softwareVersion, waiting)

/** Waiting requests of a variant whose latest useful dispatch is about the same time away. */
struct WaitingDemand
{
    Duration left{}; ///< Time until the latest useful dispatch, rounded down to whole seconds.
    int waiting = 0; ///< Number of the requests.
    double weight = 0; ///< Sum of the weights of the requests.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WaitingDemand, left, waiting, weight)

/** Use of a model or adapter at one host since its last report. */
struct VariantUse
{
    Variant variant;
    int waiting = 0; ///< Queued requests.
    int running = 0; ///< Dispatched requests.
    int arrived = 0; ///< Requests received since the last report.
    int returning = 0; ///< Refused requests whose advised retry time is about now.
    std::optional<Duration> earliestDeadlineIn; ///< Time until the first deadline in the queue.
    std::vector<AccountDemand> accounts; ///< Waiting requests by account.
    std::vector<PinnedDemand> pinned; ///< Included in @c waiting.
    /** The requests in @c waiting by the time left; empty unless the leader makes forecasts. */
    std::vector<WaitingDemand> timeLeft;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VariantUse, variant, waiting, running, arrived,
                                                returning, earliestDeadlineIn, accounts, pinned,
                                                timeLeft)

/** Digest of a request that was running on a target when the target was lost. */
struct CrashSuspicion
{
    Digest request;
    TargetId target;
    Incarnation start;
    bool alone = false; ///< No other suspected request ran on the target.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CrashSuspicion, request, target, start, alone)

/** A member of the control group that is eligible to vote, as reported by its daemon. */
struct ControlCandidate
{
    std::string member; ///< Member id.
    std::string address; ///< "ip:port" of the peer port.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlCandidate, member, address)

/** Periodic report of a host; also requests grants and missing table and registry changes. */
struct HostReport
{
    HolderId holder;
    ZoneId zone;
    std::uint64_t sequence = 0; ///< Increases with each report of a host run.
    TimePoint sentAt; ///< By the host's clock; echoed in the grant.
    std::uint64_t term = 0; ///< Term of the grants to which the totals refer.
    Version table; ///< Table version in force on the host.
    std::uint64_t registryEpoch = 0; ///< Registry epoch in force on the host.
    Version registry; ///< Registry version in force on the host.
    std::uint64_t membershipIndex = 0; ///< Log index of the membership known to the host.
    std::uint64_t suspectsVersion = 0; ///< Version of the suspected requests known to the host.
    bool leaving = false; ///< The host shuts down and returns all budgets.
    bool entry = true; ///< The host accepts requests of callers.
    std::optional<ControlCandidate> member; ///< Control member on this host, if it may vote.
    std::vector<AccountUse> accounts;
    std::vector<SlotUse> slots;
    std::vector<VariantUse> variants;
    std::vector<TargetAnnouncement> targets; ///< Changed announcements.
    /** Targets with a heartbeat since the last report and an unchanged announcement. */
    std::vector<std::pair<TargetId, Incarnation>> alive;
    std::vector<TargetId> targetsLeft; ///< Targets that announced their shutdown.
    std::vector<CrashSuspicion> suspicions;
    std::vector<Digest> cleared; ///< Suspected requests that completed.
    std::vector<LostRequest> lostRequests; ///< Losses that the leader has not acknowledged.
    std::vector<AnsweredPart> answeredParts; ///< Latest responses on suspected parts.
    std::vector<PromptPart> trialsWanted; ///< Restricted parts of queued requests.
    std::vector<RateUse> rates; ///< Targets with a limited request rate.
    /** Targets that have stated in an answer that they leave, unless the leader knows it. */
    std::vector<std::pair<TargetId, Incarnation>> statedLeaving;
    std::int64_t unixMs = 0; ///< Time of day of the host at @c sentAt; 0: not stated.
    std::vector<WindowUse> usage; ///< Totals that the leader has not confirmed as recorded.
    std::uint64_t forecastsVersion = 0; ///< HostGrant::forecastsVersion known to the host.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostReport, holder, zone, sequence, sentAt, term,
                                                table, registryEpoch, registry, membershipIndex,
                                                suspectsVersion, leaving, entry, member, accounts,
                                                slots, variants, targets, alive, targetsLeft,
                                                suspicions, cleared, lostRequests, answeredParts,
                                                trialsWanted, rates, statedLeaving, unixMs, usage,
                                                forecastsVersion)

/** Asks the leader to record a call before its dispatch, or for the outcome of a recorded call. */
struct CallQuery
{
    HolderId holder;
    RequestId request;
    CallId id;
    Digest body; ///< Digest of path and body of the request.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallQuery, holder, request, id, body)

/** Reports the end of a dispatched call; resent until acknowledged by CallReportAck. */
struct CallReport
{
    HolderId holder;
    RequestId request;
    CallId id;
    CallEnd end = CallEnd::Lost;
    StoredAnswer answer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallReport, holder, request, id, end, answer)

/** Asks the leader to record the origin of a stream before its dispatch, or for the recorded one.
 */
struct StreamQuery
{
    HolderId holder;
    RequestId request;
    StreamId id; ///< Stream to begin or to take up.
    std::optional<StreamOrigin> begin; ///< Origin to record; empty: the stream is taken up.
    std::uint64_t revision = 0; ///< Increases with each origin that the request names.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamQuery, holder, request, id, begin, revision)

/** Queries the state of the system; answered by the leader. */
struct StatusQuery
{
    bool full = false; ///< Return the complete state instead of a summary.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StatusQuery, full)

/** Adds a learner to the control group, promotes it in place of a voter, or removes a member. */
struct ChangeMember
{
    std::string add; ///< Member id of a learner or new voter; empty: none.
    std::string addAddress; ///< "ip:port" of the peer port of that member.
    std::string remove; ///< Member id to remove; empty: none.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeMember, add, addAddress, remove)

/** Linearizable read of the newest configuration that was accepted by ReplaceConfig. */
struct ConfigQuery
{
};
inline void to_json(nlohmann::json &j, const ConfigQuery &)
{
    j = nlohmann::json::object();
}
inline void from_json(const nlohmann::json &, ConfigQuery &) { }

using OperatorBody
    = std::variant<ApplyConfig, GrantKey, WithdrawKey, SetZone, SetTargetLeaving, StatusQuery,
                   ChangeMember, ReplaceConfig, ConfigQuery, RecordTargetShutdown>;

/** A request of an operator, or a target's shutdown, forwarded to the leader by any host. */
struct OperatorCall
{
    HolderId holder;
    std::uint64_t id = 0; ///< Unique within the host run; echoed in the answer.
    bool dryRun = false; ///< Validate only, change nothing.
    OperatorBody body;
    /** Asks for the ChangeBase of the change and changes nothing; dryRun is set, too, for leaders
     * that do not know this field. */
    bool asksForBase = false;
    /** Version that the change is based on; it is refused if that is not the present one. Empty:
     * not checked. */
    std::optional<Version> base{};
    /** Time, from the sending, after which the host has given the call up; a time of day would
     * depend on two clocks. Empty: not known, as from hosts that do not send it. */
    std::optional<std::int64_t> timeLeftMs{};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OperatorCall, holder, id, dryRun, body, asksForBase,
                                                base, timeLeftMs)

/** What the leader knows of the thing that a change is about; body of its OperatorAnswer. */
struct ChangeBase
{
    /** Version of its last accepted change, to be given as OperatorCall::base; empty: changes of
     * this kind need none. */
    std::optional<Version> base;
    Incarnation start; ///< Known incarnation of the target; only for RecordTargetShutdown.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeBase, base, start)

using HostMessage = std::variant<HostReport, CallQuery, CallReport, OperatorCall, StreamQuery>;

/** Amounts granted to a host from one account's pools. */
struct AccountGrant
{
    AccountId account;
    std::int64_t requests = 0; ///< Requests granted in this term, in total.
    std::int64_t tokens = 0; ///< Tokens granted in this term, in total.
    /** Time until the pool has the requests asked for, after those that wait or were told to return
     * earlier; 0 if it has them. */
    Duration requestWait{};
    Duration tokenWait{}; ///< The same for the tokens asked for.
    bool settling = false; ///< Grants of an earlier leader may still be outstanding.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountGrant, account, requests, tokens,
                                                requestWait, tokenWait, settling)

/** Slots of one target granted to a host. */
struct SlotGrant
{
    TargetId target;
    Incarnation start;
    std::int64_t slots = 0; ///< Slots granted in this term, in total.
    int limit = 0; ///< Limit of concurrent requests at the target for all hosts together.
    int share = 0; ///< Maximum slots for this host while other hosts wait; -1: no limit.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotGrant, target, start, slots, limit, share)

/** Requests to a target with a limited request rate that are granted to a host. */
struct RateGrant
{
    TargetId target;
    Incarnation start;
    std::int64_t requests = 0; ///< Requests granted in this term, in total.
    Duration wait{}; ///< Expected time until the host's next turn.
    Duration interval{}; ///< Expected time between two turns of the host.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RateGrant, target, start, requests, wait, interval)

/** Expected time until a variant that no target holds is loaded for the first time. */
struct LoadForecast
{
    /** Without a model: the time until the weight store begins a load that is not listed. */
    Variant variant;
    Duration left{}; ///< As of the grant that carries it.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadForecast, variant, left)

/** Answer of the leader to a report. */
struct HostGrant
{
    std::uint64_t sequence = 0; ///< HostReport::sequence of the report.
    TimePoint sentAt; ///< HostReport::sentAt of the report; the leases start at this time.
    std::uint64_t term = 0; ///< Term of the leader.
    /** Table changes, or null. Hosts that need the whole table share one object. */
    std::shared_ptr<const TableDelta> table;
    std::optional<RegistryDelta> registry; ///< Registry changes that the host lacks.
    std::vector<AccountGrant> accounts;
    std::vector<SlotGrant> slots;
    std::uint64_t membershipIndex = 0; ///< Log index of the current membership.
    std::vector<std::string> controlHosts; ///< Addresses, if those known to the host are outdated.
    Duration clock{}; ///< Cluster time.
    /** Current version of HostGrant::suspects and HostGrant::suspectedParts; these are set if the
     * version or the term differs from the host's. */
    std::uint64_t suspectsVersion = 0;
    std::vector<Digest> suspects; ///< Digests of requests that ran on lost targets.
    /** Targets reported in HostReport::alive whose full announcement the leader lacks. */
    std::vector<TargetId> unknownTargets;
    int hostCount = 1; ///< Number of live hosts that accept requests of callers.
    int hostRank = 0; ///< Rank of the receiver among those hosts, from 0.
    std::vector<SuspectedPart> suspectedParts; ///< Parts of prompts that may crash targets.
    std::vector<PromptPart> trials; ///< Parts with which the host may dispatch one request each.
    std::vector<RateGrant> rates; ///< For the targets in HostReport::rates.
    std::int64_t unixMs = 0; ///< True time of day at @c sentAt; 0: the leader does not know it.
    /** Sequence number of the latest report of the host whose usage is in the replicated log. */
    std::uint64_t usageRecordedIn = 0;
    WindowId usageFixedUpTo = 0; ///< Usage windows up to this one take no further counts.
    /** Current version of the leader's forecasts; 0: the leader has not made any. */
    std::uint64_t forecastsVersion = 0;
    /** All forecasts; set only if the host knows another version or reports of another term. */
    std::optional<std::vector<LoadForecast>> forecasts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostGrant, sequence, sentAt, term, table, registry,
                                                accounts, slots, membershipIndex, controlHosts,
                                                clock, suspectsVersion, suspects, unknownTargets,
                                                hostCount, hostRank, suspectedParts, trials, rates,
                                                unixMs, usageRecordedIn, usageFixedUpTo,
                                                forecastsVersion, forecasts)

/** Answer to CallQuery: verdict on a call, or the outcome of a call that the request joined. */
struct CallAnswer
{
    RequestId request;
    CallId id;
    CallVerdict verdict = CallVerdict::MayHaveRun;
    StoredAnswer answer; ///< Set if the verdict is Replay.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallAnswer, request, id, verdict, answer)

/** Answer to StreamQuery: the origin that holds for the stream. */
struct StreamAnswer
{
    RequestId request;
    std::optional<StreamOrigin> origin; ///< Empty: there is no record of the stream.
    std::uint64_t revision = 0; ///< StreamQuery::revision of the query.
    std::uint64_t registryEpoch = 0; ///< Epoch of @c registry.
    Version registry; ///< Version of the leader's target registry at the time of the answer.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamAnswer, request, origin, revision,
                                                registryEpoch, registry)

/** Acknowledges that a CallReport is committed. */
struct CallReportAck
{
    RequestId request;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallReportAck, request)

/** Answer to OperatorCall. */
struct OperatorAnswer
{
    std::uint64_t id = 0;
    Errc error = Errc::Ok;
    nlohmann::json body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OperatorAnswer, id, error, body)

/** Asks a host to report, and to return its unspent budgets of these accounts, immediately. */
struct BudgetRecall
{
    std::vector<AccountId> accounts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BudgetRecall, accounts)

/** Answer of a control member that is not the leader. */
struct NotLeader
{
    std::string leaderAddress; ///< Address of the leader; empty if unknown.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(NotLeader, leaderAddress)

using ControlMessage = std::variant<HostGrant, CallAnswer, CallReportAck, OperatorAnswer, NotLeader,
                                    BudgetRecall, StreamAnswer>;

} // namespace bilberry
