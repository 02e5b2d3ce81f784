/** @file host_base.h All decision state of one host. */
#pragma once

#include "account/held_pool_base.h"
#include "core/histogram_type.h"
#include "host/host_type.h"
#include "queue/fair_queue_base.h"
#include "routing/routing_type.h"
#include "state/view_base.h"

#include <deque>
#include <map>
#include <set>

namespace bilberry {

constexpr Duration GRANT_PATIENCE_LEAST = 200ms;
constexpr int FEW_HOSTS = 16; ///< Beyond, hosts report more seldom: one leader answers them all.

/** What a host is told once. */
struct HostSettings
{
    HolderId holder;
    ZoneId zone;
    bool entry = true; ///< Serves callers.
    std::optional<ControlCandidate> member; ///< Own control member, if the role is set.
    std::size_t maxWaiting = 10'000;
    double retryBurst = 50; ///< Retries of all hosts beyond their share of the requests.
    double retryShare = 0.2; ///< Retries of all hosts per request.
    Duration reportInterval = 250ms;
    Duration drain = 5s;
    Duration freshnessLease = FRESHNESS_LEASE; ///< Without contact, shared state counts this long.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostSettings, holder, zone, entry, member,
                                                maxWaiting, retryBurst, retryShare, reportInterval,
                                                drain, freshnessLease)

enum class RequestState {
    WaitingBudget,
    WaitingVerdict, ///< For the record of an unrepeatable call.
    Joined, ///< Waits for the outcome of a call that runs elsewhere.
    Queued,
    Running,
};
NLOHMANN_JSON_SERIALIZE_ENUM(RequestState,
                             {{RequestState::WaitingBudget, "waitingBudget"},
                              {RequestState::WaitingVerdict, "waitingVerdict"},
                              {RequestState::Joined, "joined"},
                              {RequestState::Queued, "queued"},
                              {RequestState::Running, "running"}})

/** A request that has no answer yet. */
struct Request
{
    CallerRequest asked;
    AccountId account; ///< Empty on open routes.
    WorkGroup group;
    WorkClass workClass = WorkClass::Interactive;
    bool repeatable = true;
    bool recorded = false; ///< Has an idempotency key on an unrepeatable route.
    bool recordOwned = false; ///< The call record says that this host dispatches it.
    RequestState state = RequestState::WaitingBudget;
    std::int64_t estimate = 0; ///< Tokens reserved.
    bool charged = false; ///< Budgets were taken.
    TimePoint arrived;
    TimePoint deadline;
    TimePoint waitUntil; ///< Later than this it is of no use to begin.
    TimePoint queuedAt;
    TimePoint dispatchedAt;
    AttemptId attempt; ///< Present one.
    AttemptId correlation; ///< Of the attempt whose stream the caller reads.
    TargetId target;
    StartNumber targetStart;
    int attempts = 0; ///< All that were started.
    int runs = 0; ///< Attempts that may have run at their target.
    int mostRuns = 3; ///< Most targets that may run it.
    bool resumable = false; ///< Another target may continue its stream.
    std::set<TargetId> tried;
    bool maySent = false; ///< A byte may have reached a target that has not said otherwise.
    bool callerGone = false;
    std::int64_t eventsRelayed = 0;
    bool suspected = false; ///< A target was lost while it ran.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Request, asked, account, group, workClass,
                                                repeatable, recorded, recordOwned, state, estimate,
                                                charged, arrived, deadline, waitUntil, queuedAt,
                                                dispatchedAt, attempt, correlation, target,
                                                targetStart, attempts, runs, mostRuns, resumable,
                                                tried, maySent, callerGone, eventsRelayed,
                                                suspected)

/** Budgets of one account at this host. */
struct HeldAccount
{
    HeldPool requests;
    HeldPool tokens;
    double requestDemand = 0; ///< Smoothed use in one report interval.
    double tokenDemand = 0;
    std::int64_t usedRequests = 0; ///< Since the last report.
    std::int64_t usedTokens = 0;
    std::deque<RequestId> waiting; ///< For budgets, in order.
    Duration requestWait{}; ///< Until the pool has a request, as the leader said last.
    Duration tokenWait{};
    std::optional<TimePoint> shortSince; ///< Since when the leader has not satisfied the reports.
    TimePoint lastUse;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeldAccount, requests, tokens, requestDemand,
                                                tokenDemand, usedRequests, usedTokens, waiting,
                                                requestWait, tokenWait, shortSince, lastUse)

/** One target as this host knows it. */
struct KnownTarget
{
    TargetAnnouncement announcement;
    HeldPool slots;
    std::set<RequestId> running;
    std::set<AttemptId> cancelling; ///< Given up, but not yet known to have ended.
    double peak = 0; ///< Decaying most of running requests.
    int limit = 0;
    int share = -1; ///< -1: no limit.
    std::int64_t succeeded = 0;
    std::int64_t overloaded = 0;
    std::int64_t failed = 0; ///< Errors, lost and spoiled answers.
    TargetHealth health;
    TimePoint lastUse;
    std::map<Variant, TimePoint> loadingUntil; ///< Loads under way.
    TimePoint coldUntil; ///< Until then only few requests may begin.
    TimePoint coldStartDue; ///< When this host may begin the next one while it is cold.
    std::map<WorkGroup, TimePoint> declinedUntil; ///< After it said that it lacks the variant.
    int declinedInRow = 0;

    /** @return Slots that may be taken now. */
    std::int64_t freeSlots() const
    {
        return this->slots.balance()
            - static_cast<std::int64_t>(this->running.size() + this->cancelling.size());
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(KnownTarget, announcement, slots, running,
                                                cancelling, peak, limit, share, succeeded,
                                                overloaded, failed, health, lastUse, loadingUntil,
                                                coldUntil, coldStartDue, declinedUntil,
                                                declinedInRow)

/** A target that announces itself at this host. */
struct LocalTarget
{
    TargetAnnouncement announcement;
    TimePoint heard;
    TimePoint reported; ///< When it was last heard at the time of a report.
    bool changed = true; ///< Since the last report that was answered.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LocalTarget, announcement, heard, reported, changed)

/** Learnt service times and sizes of a work group. */
struct GroupStatistics
{
    double serviceSeconds = 0; ///< Smoothed time from dispatch to end; 0: unknown.
    double tokens = 0; ///< Smoothed tokens generated; 0: unknown.
    double gapSeconds = 0; ///< Smoothed time between dispatches while requests wait.
    TimePoint lastDispatch;
    int arrived = 0; ///< Since the last report.
    std::deque<TimePoint> returns; ///< When callers who were turned away come back.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GroupStatistics, serviceSeconds, tokens, gapSeconds,
                                                lastDispatch, arrived, returns)

/** Counters of one host, also served to scrapers. */
struct HostCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0;
    std::uint64_t reports = 0;
    std::uint64_t callsReplayed = 0;
    std::uint64_t callsJoined = 0;
    std::uint64_t callerGone = 0;
    std::map<std::string, std::uint64_t> refusals; ///< By type.
    std::map<std::string, std::uint64_t> attempts; ///< By result.
    std::map<std::string, std::uint64_t> bounds; ///< Passed by answers, by name.
    LatencyHistogram waits; ///< From the arrival of a request to its first attempt.
    LatencyHistogram answers; ///< From the arrival to the end of an answer.
    LatencyHistogram refusalTimes; ///< From the arrival to a refusal.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostCounters, requests, answered, retries, resumed,
                                                reports, callsReplayed, callsJoined, callerGone,
                                                refusals, attempts, bounds, waits, answers,
                                                refusalTimes)

/** Everything that one host decides from. */
struct Host
{
    HostSettings settings;
    View view;
    Version table;
    std::uint64_t registryEpoch = 0;
    Version registry;
    std::map<TargetId, KnownTarget> targets;
    std::map<WorkGroup, std::set<TargetId>> serving; ///< Index over @c targets.
    std::uint64_t term = 0;
    std::uint64_t membershipIndex = 0;
    TimePoint freshUntil; ///< Until then keys, zones and targets are known well enough.
    Duration clock{}; ///< Cluster time at @c clockAt.
    TimePoint clockAt;

    std::map<RequestId, Request> requests;
    std::set<std::pair<TimePoint, RequestId>> deadlines;
    std::set<std::pair<TimePoint, RequestId>> waits; ///< Ends of patience of waiting requests.
    std::map<AttemptId, RequestId> attempts;
    std::map<AttemptId, TargetId> cancelling; ///< Attempts given up, until they end.
    std::uint64_t lastAttempt = 0;
    FairQueue queue;
    std::map<AccountId, HeldAccount> accounts;
    std::map<WorkGroup, GroupStatistics> groups;
    std::map<std::string, RetryBudget> retries; ///< By service.
    int hostCount = 1; ///< Live hosts that serve callers.
    int hostRank = 0; ///< Own place among them.
    std::map<std::uint64_t, std::set<TargetId>> prefixes; ///< Cache hints, bounded.
    std::deque<std::uint64_t> prefixOrder;
    std::set<Digest> suspects; ///< Requests that ran on targets that were lost, at any host.
    std::uint64_t suspectsVersion = 0; ///< Of the leader's list.

    std::map<TargetId, LocalTarget> local;
    std::map<RequestId, CallReport> callReports; ///< Until acknowledged.
    std::map<std::uint64_t, OperatorCall> operatorCalls; ///< Until answered.
    std::vector<TargetId> targetsLeft; ///< Until reported.
    std::vector<CrashSuspicion> suspicions; ///< Until reported.
    std::vector<Digest> cleared; ///< Until reported.

    bool connected = false;
    std::uint64_t reportSequence = 0;
    bool grantAwaited = false;
    TimePoint reportSentAt;
    TimePoint reportDue;
    bool reportWanted = false; ///< Something is short: report as soon as the last one is answered.
    TimePoint urgentAt; ///< When the last report before its time was sent.
    Duration grantPatience = GRANT_PATIENCE_LEAST; ///< Until a report without answer is sent anew.
    Duration urgentPause{}; ///< Least time from one report to one before its time.
    TimePoint resendDue;
    TimePoint linkProven; ///< Last message of a control host, or last switch.
    bool leaving = false;
    TimePoint leavingSince;
    HostCounters counters;
};

} // namespace bilberry
