/** @file host_base.h State of one host's decision logic. */
#pragma once

#include "account/held_pool_base.h"
#include "core/histogram_type.h"
#include "duty/usage_counter_base.h"
#include "host/host_type.h"
#include "host/pending_operator_request_base.h"
#include "queue/fair_queue_base.h"
#include "routing/routing_type.h"
#include "state/view_base.h"

#include <deque>
#include <map>
#include <set>

namespace bilberry {

constexpr Duration MIN_GRANT_TIMEOUT = 200ms; ///< Minimum of Host::grantTimeout.
/** With more hosts than this, each host sends early reports less often, since a single leader
 * answers the reports of all hosts. */
constexpr int SMALL_CLUSTER_HOSTS = 16;

/** Settings of a host, fixed for the lifetime of its process except @c member. */
struct HostSettings
{
    HolderId holder; ///< Host id and run number, under which leases are held.
    ZoneId zone;
    bool entry = true; ///< Whether this host serves callers.
    std::optional<ControlCandidate> member; ///< Control member in this daemon, if it has that role.
    std::size_t maxWaiting = 10'000; ///< Maximum number of unfinished requests.
    double retryBurst = 50; ///< Capacity of a service's retry budget, over all hosts together.
    double retryShare = 0.2; ///< Retries that one request adds to its service's retry budget.
    Duration reportInterval = 250ms; ///< Time between two periodic reports to the leader.
    Duration drain = 5s; ///< Minimum time from the shutdown request until the host has drained.
    /** Time after the shutdown request at which the process is killed; 0: it is not. */
    Duration grace{};
    /** Time for which keys, zones and targets stay valid, counted from the sending of the latest
     * report that the leader has answered. */
    Duration freshnessLease = FRESHNESS_LEASE;
    Duration usageWindow{}; ///< Length of a usage window; 0: usage is not counted.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostSettings, holder, zone, entry, member,
                                                maxWaiting, retryBurst, retryShare, reportInterval,
                                                drain, freshnessLease, grace, usageWindow)

enum class RequestState {
    WaitingForBudget, ///< Waits for the account's request or token budget.
    WaitingForVerdict, ///< Waits for the leader's verdict on the call record.
    WaitingForOrigin, ///< Waits until the origin of its stream is recorded or found.
    Joined, ///< Waits for the outcome of the same call, dispatched for another request.
    Queued, ///< Waits for a slot of a target.
    Running, ///< An attempt is under way.
};
NLOHMANN_JSON_SERIALIZE_ENUM(RequestState,
                             {{RequestState::WaitingForBudget, "waitingBudget"},
                              {RequestState::WaitingForVerdict, "waitingVerdict"},
                              {RequestState::WaitingForOrigin, "waitingOrigin"},
                              {RequestState::Joined, "joined"},
                              {RequestState::Queued, "queued"},
                              {RequestState::Running, "running"}})

/** A request that has not been answered yet. */
struct Request
{
    CallerRequest asked;
    AccountId account; ///< Empty on open routes.
    WorkGroup group;
    WorkClass workClass = WorkClass::Interactive;
    bool repeatable = true;
    /** Whether the leader records the call: the caller sent an idempotency key, and the route is
     * not repeatable. */
    bool recorded = false;
    bool recordOwned = false; ///< Whether the call record allows only this request to dispatch.
    RequestState state = RequestState::WaitingForBudget;
    std::int64_t estimate = 0; ///< Tokens reserved from the account's budget.
    bool charged = false; ///< Whether the budgets were charged.
    TimePoint arrived;
    TimePoint admittedAt; ///< Time at which its budgets were charged; epoch: not yet.
    TimePoint deadline;
    TimePoint waitUntil; ///< Latest useful time of the first dispatch; epoch: no limit.
    TimePoint queuedAt;
    TimePoint firstDispatchAt; ///< Time of the first attempt; epoch: none yet.
    TimePoint dispatchedAt; ///< Time of the latest attempt; epoch: none yet.
    AttemptId attempt; ///< Latest attempt.
    AttemptId correlation; ///< Correlation id of the stream that is relayed to the caller.
    TargetId target; ///< Target of the latest attempt.
    Incarnation targetStart; ///< Incarnation of @c target at the dispatch.
    int attempts = 0; ///< Number of attempts started.
    int runs = 0; ///< Number of attempts that may have run at their target.
    int mostRuns = 3; ///< Maximum of @c runs.
    bool resumable = false; ///< Whether another target may continue a broken stream.
    std::set<TargetId> tried; ///< Targets of all attempts so far.
    bool maySent = false; ///< Whether a target may have run the request.
    bool callerGone = false;
    StreamProgress relayed; ///< What the caller has of a streamed response.
    bool suspected = false; ///< A target was lost while running a request with the same digest.
    TimePoint begunAt; ///< Time at which the response of the latest attempt began; epoch: not yet.
    /** Whether Host::answeredParts includes the response of the latest attempt. */
    bool beginCounted = false;
    /** Until then the request may be dispatched with restricted parts; epoch: it has no trial. */
    TimePoint trialUntil;
    /** Software that may write the request's stream, once it is recorded; only if @c resumable. */
    std::optional<StreamOrigin> origin;
    /** Origin that the leader is to record; only in WaitingForOrigin, empty for a take-up. */
    std::optional<StreamOrigin> proposedOrigin;
    std::uint64_t originRevision = 0; ///< StreamQuery::revision of the latest query.
    /** Epoch and version of the leader's registry when it named @c origin. */
    std::uint64_t originEpoch = 0;
    Version originRegistry;
    bool heldByRate = false; ///< The request has waited for a target's request rate.
    int rank = 0; ///< Rank of the request, 0 first; 0 unless ranks are in use.
    bool ranked = false; ///< Whether ranks were in use for its service at its admission.
    Priority priority;
    StartLimits limits; ///< Set when the request is queued, if it is ranked.
    TimePoint goalAt; ///< Time by which the answer should begin; unset if the route has no goal.
    bool countedInUsage = false; ///< The request has been counted in a usage window.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    Request, asked, account, group, workClass, repeatable, recorded, recordOwned, state, estimate,
    charged, arrived, admittedAt, deadline, waitUntil, queuedAt, firstDispatchAt, dispatchedAt,
    attempt, correlation, target, targetStart, attempts, runs, mostRuns, resumable, tried, maySent,
    callerGone, relayed, suspected, begunAt, beginCounted, trialUntil, heldByRate, origin,
    proposedOrigin, originRevision, originEpoch, originRegistry, rank, goalAt, countedInUsage,
    ranked, priority, limits)

/** A lost request that the leader's present suspicions may rest on. */
struct HeldLoss
{
    LostRequest lost;
    TimePoint lostAt;
    std::uint64_t reportedIn = 0; ///< Sequence number of the latest report with the loss.
    std::uint64_t knownToTerm = 0; ///< Term of the latest leader that has the loss.
};

/** Budgets of one account that the leader has granted to this host. */
struct AccountLease
{
    HeldPool requests;
    HeldPool tokens;
    double requestDemand = 0; ///< Smoothed number of requests per report interval.
    double tokenDemand = 0; ///< Smoothed number of tokens per report interval.
    std::int64_t usedRequests = 0; ///< Requests charged since the last periodic report.
    std::int64_t usedTokens = 0; ///< Tokens charged since the last periodic report.
    std::deque<RequestId> waiting; ///< Requests that wait for budgets, oldest first.
    Duration requestWait{}; ///< AccountGrant::requestWait of the last grant.
    Duration tokenWait{}; ///< AccountGrant::tokenWait of the last grant.
    /** Time of the first grant that did not cover the waiting requests; unset while they fit. */
    std::optional<TimePoint> shortSince;
    TimePoint lastUse; ///< Time of the account's last request.
    std::optional<AccountUse> reported; ///< In the last report; empty if it left the account out.
    std::optional<AccountUse> confirmed; ///< Latest report that the leader of this term answered.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountLease, requests, tokens, requestDemand,
                                                tokenDemand, usedRequests, usedTokens, waiting,
                                                requestWait, tokenWait, shortSince, lastUse,
                                                reported, confirmed)

/** State of one target of the registry, as seen by this host. */
struct KnownTarget
{
    TargetAnnouncement announcement;
    HeldPool slots; ///< Concurrency slots granted to this host.
    std::set<RequestId> running; ///< Requests of this host that run at the target.
    std::set<AttemptId> cancelling; ///< Cancelled attempts that have not ended yet.
    double peak = 0; ///< Decaying maximum of the number of running requests.
    int limit = 0; ///< Concurrency limit of the target for all hosts, by the leader's last grant.
    int share = -1; ///< Maximum slots for this host; -1: no limit.
    std::int64_t succeeded = 0; ///< Answered attempts in this term, server errors included.
    std::int64_t overloaded = 0; ///< Refused, stalled and lost attempts in this term.
    /** Attempts in this term that stalled, were lost, or ended with a server error or an invalid or
     * mismatched response. */
    std::int64_t failed = 0;
    TargetHealth health;
    TimePoint lastUse; ///< Time of the last dispatch to the target.
    std::map<Variant, TimePoint> loadingUntil; ///< Expected ends of the loads under way.
    TimePoint coldUntil; ///< End of the warm-up, in which the rate of new requests is limited.
    TimePoint coldStartDue; ///< Earliest next dispatch by this host during the warm-up.
    std::map<WorkGroup, TimePoint> declinedUntil; ///< End of the back-off after a refusal.
    int declinedInRow = 0; ///< Consecutive refusals by the target.
    /** The target has stated that it leaves. Its heartbeats do not take that back: they may have
     * been sent before. */
    bool statedLeaving = false;
    TimePoint quietUntil; ///< Until then, the target wants no request of this host.
    /** Requests per second that the target takes from all hosts together; empty: no limit. */
    std::optional<double> requestRate;
    TimePoint rateKnownAt; ///< Time at which @c requestRate became known.
    HeldPool requests; ///< Requests granted to this host while @c requestRate is set.
    TimePoint turnAt; ///< Expected time of this host's next turn.
    Duration turnInterval{}; ///< Expected time between two turns of this host.
    std::optional<RateObservation> observedRate; ///< Latest observation of this host.

    /** @return Number of granted slots that are not in use; negative if too many are. */
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
                                                declinedInRow, statedLeaving, quietUntil,
                                                requestRate, rateKnownAt, requests, turnAt,
                                                turnInterval, observedRate)

/** A target that sends its announcements to this host. */
struct LocalTarget
{
    TargetAnnouncement announcement;
    TimePoint heard; ///< Time of the last announcement.
    TimePoint reported; ///< Value of @c heard at the time of the last report.
    bool changed = true; ///< Whether the announcement changed since the last answered report.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LocalTarget, announcement, heard, reported, changed)

/** Measured service times, token counts and demand of a work group. */
struct GroupStatistics
{
    double serviceSeconds = 0; ///< Smoothed time from dispatch to end of response; 0: unknown.
    double tokens = 0; ///< Smoothed generated tokens per request; 0: unknown.
    double gapSeconds = 0; ///< Smoothed time between dispatches with requests waiting; 0: unknown.
    TimePoint lastDispatch;
    int arrived = 0; ///< Requests that passed the admission checks since the last report.
    std::deque<TimePoint> returns; ///< Times at which refused callers were told to retry.
    TimePoint queuedSince; ///< Time at which the latest period with queued requests began.
    /** Smoothed time between dispatches while requests wait, without the time in which none did;
     * long pauses, such as at an election, count little. 0: unknown. */
    double steadyGapSeconds = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(GroupStatistics, serviceSeconds, tokens, gapSeconds,
                                                lastDispatch, arrived, returns, queuedSince,
                                                steadyGapSeconds)

/** Counters of one host since its start, exported as metrics. */
struct HostCounters
{
    std::uint64_t requests = 0; ///< Requests received.
    std::uint64_t answered = 0; ///< Requests answered by a target.
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0; ///< Streams resumed at the same target.
    std::uint64_t streamsRecorded = 0; ///< Streams whose origin was recorded.
    std::uint64_t streamsTakenUp = 0; ///< Requests that took up a stream with a known origin.
    std::uint64_t reports = 0; ///< Reports sent to the leader.
    std::uint64_t callsReplayed = 0; ///< Recorded calls for which a stored response was found.
    std::uint64_t callsJoined = 0; ///< Requests that waited for the outcome of another one.
    std::uint64_t callerGone = 0; ///< Requests whose caller disconnected.
    std::uint64_t lostUnanswered = 0; ///< Requests lost with a target that had not begun to answer.
    std::uint64_t trials = 0; ///< Requests dispatched as trials of restricted parts.
    std::uint64_t leavingStated = 0; ///< Answers whose target stated that it leaves.
    std::uint64_t quietStated = 0; ///< Answers whose target asked for a quiet period.
    std::uint64_t rateStated = 0; ///< Answers whose target stated a request rate limit.
    std::uint64_t heldByRate = 0; ///< Requests that have waited for a target's request rate.
    std::uint64_t calledBack = 0; ///< Attempts that were ended before they were sent.
    std::uint64_t operatorRequestsExpired
        = 0; ///< Operators' requests not answered by their deadline.
    std::uint64_t operatorRequestsAbandoned
        = 0; ///< Operators' requests whose operator did not wait.
    std::uint64_t changesOvertaken = 0; ///< Changes refused for a newer one, and tried again.
    std::uint64_t forecastLists = 0; ///< Lists of load forecasts received from leaders.
    std::uint64_t refusedByForecast = 0; ///< Requests refused at once for a forecast.
    std::map<std::string, std::uint64_t> refusals; ///< Refused requests by refusal type.
    std::map<std::string, std::uint64_t> attempts; ///< Ended attempts by result.
    std::map<int, std::uint64_t> answeredByRank; ///< Answered requests with a rank.
    std::map<int, std::uint64_t> refusedByRank; ///< Refused requests with a rank, once admitted.
    std::map<std::string, std::uint64_t> bounds; ///< Exceeded response limits by name.
    LatencyHistogram waits; ///< Time from the arrival of a request to its first attempt.
    LatencyHistogram answers; ///< Time from the arrival of a request to the end of its response.
    LatencyHistogram refusalTimes; ///< Time from the arrival of a request to its refusal.
    LatencyHistogram budgetWaits; ///< Time from the arrival of a request until its budgets.
    LatencyHistogram slotWaits; ///< Time from the budgets of a request to its first attempt.
    LatencyHistogram grantDelays; ///< Time from a report to its grant.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    HostCounters, requests, answered, retries, resumed, streamsRecorded, streamsTakenUp, reports,
    callsReplayed, callsJoined, callerGone, lostUnanswered, trials, leavingStated, quietStated,
    rateStated, heldByRate, calledBack, refusals, attempts, bounds, waits, answers, refusalTimes,
    budgetWaits, slotWaits, grantDelays, operatorRequestsExpired, operatorRequestsAbandoned,
    changesOvertaken, forecastLists, refusedByForecast, answeredByRank, refusedByRank)

/** The leader's latest list of load forecasts, by the host's clock. */
struct KnownForecasts
{
    /** HostGrant::forecastsVersion of the list; 0: it is not one of this term, or there is none. */
    std::uint64_t version = 0;
    TimePoint confirmedAt; ///< Latest grant of a leader that makes forecasts; epoch: none yet.
    std::map<Variant, TimePoint> loadedAt; ///< Expected end of the first load.
    /** Time at which the weight store begins a load that is not listed; empty: at once. */
    std::optional<TimePoint> unlistedFrom;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(KnownForecasts, version, confirmedAt, loadedAt,
                                                unlistedFrom)

/** Complete state of one host's decision logic. */
struct Host
{
    HostSettings settings;
    ClusterView view; ///< Replicated configuration.
    Version table; ///< Version of @c view.
    RankTable ranks; ///< Of @c view.
    std::uint64_t registryEpoch = 0;
    Version registry; ///< Version of the target registry within @c registryEpoch.
    std::map<TargetId, KnownTarget> targets;
    std::map<WorkGroup, std::set<TargetId>> targetsByGroup; ///< Index of @c targets by work group.
    std::uint64_t term = 0; ///< Term of the leader that granted the held budgets and slots.
    std::uint64_t membershipIndex = 0; ///< Version of the known list of control hosts.
    TimePoint freshUntil; ///< Keys, zones and targets are trusted until this time.
    Duration clock{}; ///< Cluster time at @c clockAt.
    TimePoint clockAt; ///< Time of the grant that carried @c clock.

    std::map<RequestId, Request> requests;
    std::set<std::pair<TimePoint, RequestId>> deadlines; ///< Request::deadline of all requests.
    /** Request::waitUntil of the requests that have one and were not dispatched yet. */
    std::set<std::pair<TimePoint, RequestId>> waitDeadlines;
    std::map<AttemptId, RequestId> attempts; ///< Running attempts.
    std::map<AttemptId, TargetId> cancelling; ///< Cancelled attempts that have not ended yet.
    std::uint64_t lastAttempt = 0; ///< Id of the latest attempt.
    FairQueue queue; ///< Requests in state Queued.
    std::map<AccountId, AccountLease> accounts;
    std::map<WorkGroup, GroupStatistics> groups;
    std::map<std::string, RetryBudget> retries; ///< Retry budgets by service.
    int hostCount = 1; ///< Number of live hosts that serve callers.
    int hostRank = 0; ///< Index of this host among the live hosts that serve callers.
    /** Targets that hinted at a cached prompt prefix, by prefix hash; bounded in size. */
    std::map<std::uint64_t, std::set<TargetId>> prefixHints;
    std::deque<std::uint64_t> prefixHintOrder; ///< Keys of @c prefixHints, oldest first.
    std::set<Digest> suspects; ///< Digests of requests that ran on lost targets, at any host.
    std::uint64_t suspectsVersion = 0; ///< Version of the leader's list of suspects.
    KnownForecasts forecasts;

    std::map<PromptPart, bool> suspectedParts; ///< The leader's list; true: restricted.
    std::map<PromptPart, TimePoint> trials; ///< Trials granted to this host, and their expiry.
    std::deque<HeldLoss> heldLosses; ///< Oldest first; bounded in number and age.
    /** Time of the latest response on each part that began without losing its target; bounded. */
    std::map<PromptPart, TimePoint> answeredParts;

    /** Targets with a KnownTarget::observedRate that the leader has not confirmed; true: the last
     * report contains it. */
    std::map<TargetId, bool> unconfirmedRates;
    std::map<TargetId, LocalTarget> localTargets; ///< Targets that send announcements to this host.
    std::map<RequestId, CallReport> callReports; ///< Reports not acknowledged by the leader yet.
    /** Operators' requests that have not ended, by OperatorRequest::id. */
    std::map<std::uint64_t, PendingOperatorRequest> operatorRequests;
    std::uint64_t lastOperatorCall = 0; ///< Id of the last OperatorCall.
    std::vector<TargetId> targetsLeft; ///< Targets that shut down since the last report.
    std::vector<CrashSuspicion> suspicions; ///< Suspicions that have not been reported yet.
    std::vector<Digest> cleared; ///< Suspects that completed since the last report.

    bool connected = false; ///< Whether the connection to a control host is open.
    std::uint64_t reportSequence = 0; ///< Sequence number of the last report.
    TimePoint lastGrantAt; ///< Time of the leader's last answer to a report.
    bool awaitingGrant = false; ///< Whether the last report has not been answered yet.
    TimePoint reportSentAt; ///< Time of the last report.
    TimePoint reportDue; ///< Time of the next periodic report.
    bool earlyReportRequested = false; ///< Whether to send a report before @c reportDue.
    /** Groups with a first queued request, of all or of a rank, since the last report. */
    std::set<WorkGroup> newlyQueued;
    /** Whether to send a report without regard to earlyReportInterval: the last report does not
     * include a group or an account that waits now. */
    bool promptReportRequested = false;
    TimePoint lastEarlyReportAt; ///< Time of the last early report.
    Duration grantTimeout = MIN_GRANT_TIMEOUT; ///< Time until an unanswered report is sent again.
    Duration grantDelay{}; ///< Time from the last report that was answered to its grant.
    Duration earlyReportInterval{}; ///< Minimum time between two early reports.
    TimePoint resendDue; ///< Time of the next resend of unacknowledged messages.
    /** Latest of: a message from a control host other than NotLeader, the first report that it left
     * unanswered, a reconnect after LINK_TIMEOUT. */
    TimePoint silentSince;
    bool leaving = false; ///< Whether a graceful shutdown is under way.
    TimePoint leavingSince; ///< Time of the shutdown request.
    HostCounters counters;
    UsageCounter usage; ///< Only if HostSettings::usageWindow is set.
    std::int64_t unixMs = 0; ///< TickEvent::unixMs of the last tick; 0: unknown.
    TimePoint unixMsAt; ///< Time of that tick.
};

} // namespace bilberry
