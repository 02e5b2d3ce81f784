/** @file host_internal.h Functions shared by the sources of src/host; not for other folders. */
#pragma once

#include "host/host_func.h"
#include "queue/fair_queue_func.h"

namespace bilberry {

/** Cost in the fair queue, in tokens, of a call without token estimate. */
constexpr std::int64_t DEFAULT_CALL_COST = 50;
/** Requests expire this long before their deadline, so that the refusal arrives in time. */
constexpr Duration REFUSAL_MARGIN = 10ms;

// Admission.
void onCallerRequest(Host &host, const CallerRequest &asked, HostEffects &effects, TimePoint now);
void onCallerDisconnected(Host &host, RequestId request, HostEffects &effects, TimePoint now);
/** Admits the account's waiting requests, oldest first, while the account's budgets at this host
 * suffice. Refuses requests that have waited too long for a budget. */
void admitWaiting(Host &host, const AccountId &account, HostEffects &effects, TimePoint now);
/** Queues an admitted request; a request of a recorded call first waits for the leader's
 * verdict. Refuses the request if its expected wait is too long. */
void enqueueAdmitted(Host &host, Request &request, HostEffects &effects, TimePoint now);

// Ends of requests.
/** @return What the request has waited for until now. */
RequestWaits waitsOf(const Request &request, TimePoint now);
/** Ends a request with a refusal. @param retryAfter Delay before the caller should retry. */
void refuse(Host &host, RequestId id, RefusalCode code, HostEffects &effects, TimePoint now,
            std::optional<Duration> retryAfter = {});
/**
 * Removes a request and settles its budget reservation.
 * @param tokensUsed Tokens generated for the request.
 * @param ran Whether a target ran the request.
 */
void finish(Host &host, RequestId id, std::int64_t tokensUsed, bool ran, TimePoint now);
/** Refuses a request whose variant is not loaded; tells the caller to retry after @p wait. */
void refuseUntilLoaded(Host &host, RequestId id, Duration wait, HostEffects &effects,
                       TimePoint now);
/** @return Latest useful time of the request's first dispatch. */
TimePoint latestDispatch(const Request &request);
/** Refuses a request that no eligible target serves, if it is known that none will in time.
 * @return Whether the request was refused. */
bool refuseUnlessServedInTime(Host &host, const Request &request, HostEffects &effects,
                              TimePoint now);
/** Refuses the queued requests whose model, by the leader's forecasts, is not loaded in time. */
void refuseLateLoads(Host &host, HostEffects &effects, TimePoint now);
/** Expects a refused caller of the group to come back at time @p at. */
void expectReturn(Host &host, const WorkGroup &group, TimePoint at);
/** @return Time by which every request must have ended, as the process will be killed; nothing if
 * it will not. */
std::optional<TimePoint> lastEnd(const Host &host);
/** Moves the deadlines of all requests to lastEnd(), at the latest. */
void limitDeadlines(Host &host);
/** Refuses requests that have reached their deadline or waitUntil, and waiting requests after the
 * drain time of a shutdown. */
void refuseExpired(Host &host, HostEffects &effects, TimePoint now);

// Operators' requests.
/** Sends the request to the leader, or first asks it what the change is to be based on. */
void onOperatorRequest(Host &host, const OperatorRequest &request, HostEffects &effects,
                       TimePoint now);
void onOperatorAnswer(Host &host, const OperatorAnswer &answer, HostEffects &effects,
                      TimePoint now);
/** Sends the change to the leader if the operator still waits for the answer; otherwise drops it.
 */
void onOperatorPresence(Host &host, const OperatorPresence &presence, HostEffects &effects,
                        TimePoint now);
/** Drops the requests that have reached their deadline. */
void expireOperatorRequests(Host &host, HostEffects &effects, TimePoint now);
/** Sends again what the leader has not answered. */
void resendOperatorRequests(const Host &host, HostEffects &effects, TimePoint now);

// Dispatch.
/** Dispatches queued requests to targets as long as slots are free. */
void dispatchAll(Host &host, HostEffects &effects, TimePoint now);
/** @return Whether any target is eligible for the group, with or without free slots. */
bool hasEligibleTarget(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Targets that serve the group and may get new requests, with or without free slots. */
std::vector<TargetId> eligibleTargets(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Time until the first target that serves the group ends its quiet period; nullopt if none
 * is in one. */
std::optional<Duration> quietLeft(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Whether the host has forecasts of loads that still hold. */
bool holdForecasts(const Host &host, TimePoint now);
/** @return Whether the leader forecasts the load of the group's model. */
bool hasForecast(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Estimated time until a target has loaded the group's variant, by the leader's forecast
 * if there is one; nullopt if unknown. */
std::optional<Duration> estimatedLoadTime(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Estimated time until the request, queued now, would end; nullopt if unknown or nothing
 * is queued ahead. */
std::optional<Duration> estimatedCompletionTime(const Host &host, const Request &request);

// Ranks.
/** Sets the rank of the request from its priority, if ranks are in use for its service. */
void assignRank(const Host &host, Request &request);
/** Sets the latest useful times to dispatch a ranked request. */
void setStartLimits(const Host &host, Request &request);
/** @return Entry of the request in the host's queue. */
QueueEntry queueEntryOf(const Request &request);
/** @return Urgency that the target is told; nothing if ranks are not in use. */
std::optional<int> urgencyOf(const Host &host, const Request &request, TimePoint now);
RankNote rankNoteOf(const Request &request, TimePoint now);
/** Updates the smoothed time between dispatches of ranked requests, before a dispatch. */
void updateSteadyGap(GroupStatistics &statistics, bool othersWait, TimePoint now);
/** Refuses queued ranked requests that can no longer meet their deadline. */
void refuseTooLate(Host &host, HostEffects &effects, TimePoint now);
/** Refuses ranked requests of the group, the lowest rank with the most time left first, while more
 * are queued than can be dispatched by the deadline of the last one. */
void refuseBeyondRoom(Host &host, const WorkGroup &group, HostEffects &effects, TimePoint now);

// Attempts.
void onAttemptEnded(Host &host, const AttemptEnded &ended, HostEffects &effects, TimePoint now);

// Statements of targets in their answers.
void onTargetStated(Host &host, const TargetStated &stated, HostEffects &effects, TimePoint now);
/** Sets the request rate of a target. If a limit begins, attempts that are not sent yet are called
 * back: they have no part in the rate. */
void setRequestRate(KnownTarget &target, std::optional<double> rate, HostEffects &effects,
                    TimePoint now);
/** @return Whether the target's request rate allows this host a request now. */
bool hasRequest(const KnownTarget &target, TimePoint now);
/** @return Time from now within which a request to the target must leave; it is short if the target
 * limits its request rate. */
Duration maxSendDelay(const KnownTarget &target);
/** Reports the use of a target's request rate. @param waiting Requests that wait for the target. */
void reportRate(Host &host, KnownTarget &target, std::int64_t waiting, HostReport &report,
                TimePoint now);
/** Notes which observations the leader has got, as it has answered the latest report. */
void confirmRates(Host &host);
/** Makes the host report all its observations to a new leader. */
void reportRatesAgain(Host &host);
/** Takes over the leader's totals; extends their leases. */
void applyRateGrants(Host &host, const HostGrant &grant, TimePoint expires, TimePoint now);
/**
 * @param position Number of queued requests of the group before the request.
 * @return Time until the request can be sent, if all eligible targets limit their request rate.
 */
std::optional<Duration> rateWait(const Host &host, const WorkGroup &group, std::size_t position,
                                 TimePoint now);
/** Refuses a request whose turn at the targets with a limited rate comes too late. */
void refuseForRate(Host &host, RequestId id, Duration wait, HostEffects &effects, TimePoint now);
/** Refuses the queued requests whose turn comes too late. */
void refuseLateTurns(Host &host, HostEffects &effects, TimePoint now);

// Parts of prompts that may crash targets.
/** Notes when the response of a running attempt began. */
void onResponseBegan(Host &host, AttemptId attempt, TimePoint now);
/** Clears the parts of a request that a target has answered. */
void recordResponse(Host &host, Request &request, TimePoint now);
/** Keeps the parts of a request that was lost with its target as evidence, unless the target had
 * begun the response. */
void recordLostRequest(Host &host, Request &request, TimePoint now);
/** Adds the evidence that the leader lacks and the wanted trials to a report. */
void reportCrashEvidence(Host &host, HostReport &report, TimePoint now);
/**
 * Applies the answer to the latest report.
 * @param changed Whether the grant contains a new list of suspected parts.
 */
void applySuspicions(Host &host, const HostGrant &grant, bool changed);
/** @return Whether the request has a restricted part. */
bool needsTrial(const Host &host, const Request &request);
/** @return Whether the request has no restricted part, or this host has a trial for each. */
bool mayDispatchSuspectedParts(const Host &host, const Request &request, TimePoint now);
/**
 * @return False if the request needs a trial and the target has not begun to answer another trial
 * of this host. Trials run apart from each other, so that a loss tells which one caused it.
 */
bool isolatesTrials(const Host &host, const KnownTarget &target, const Request &request,
                    TimePoint now);
/** Prepares the request for a new attempt; uses up the trials of its restricted parts. */
void beginTrial(Host &host, Request &request, TimePoint now);
/** @return Time until the end of the quarantine of a part of the request; nullopt if none is
 * quarantined. */
std::optional<Duration> partQuarantineLeft(const Host &host, const CallerRequest &asked,
                                           TimePoint now);
/** Refuses waiting requests with a quarantined part. */
void refuseQuarantinedParts(Host &host, HostEffects &effects, TimePoint now);

// Usage windows; without HostSettings::usageWindow, nothing is counted.
/** @return Whether the beginning of the response matters, if it is a stream. */
bool reportsBegin(const Host &host, const Request &request);
/** Counts a streamed request whose first event has been relayed. */
void countBegun(Host &host, Request &request, TimePoint now);
/** Counts the request of an ended attempt if a target has begun to run it. */
void countEnded(Host &host, Request &request, const AttemptEnded &ended, TimePoint now);
/** Counts a request of a plain service at its end, if a target has begun to work on it. */
void countFinished(Host &host, Request &request);
/** Notes the host's time of day. */
void noteTimeOfDay(Host &host, const TickEvent &tick, TimePoint now);
/** Adds the time of day, and the counts that are not recorded yet, to a report. */
void addUsage(Host &host, HostReport &report, TimePoint now);
/** Takes over the true time, and what is recorded and fixed. */
void applyUsageGrant(Host &host, const HostGrant &grant, TimePoint now);
/** @return Whether a shutdown has to wait for the answer to a report with the last counts. */
bool keepsUsage(const Host &host, TimePoint now);

// Recorded calls: not repeatable, with an idempotency key.
void onCallAnswer(Host &host, const CallAnswer &answer, HostEffects &effects, TimePoint now);
/**
 * Reports the end of a call to the leader; the report is repeated until acknowledged.
 * @param request Request whose call record this host owns, or has asked to own.
 * @param answer Response to store, if the target answered.
 */
void endCallRecord(Host &host, Request &request, CallEnd end, std::optional<StoredAnswer> answer,
                   HostEffects &effects);
/** Asks the leader to record the call, or for the outcome of a call that is recorded already. */
void requestCallVerdict(Host &host, const Request &request, HostEffects &effects);

// Streams that callers may take up again.
/** Asks the leader to record the proposed origin of the request's stream, or for the recorded one.
 */
void requestOrigin(Host &host, const Request &request, HostEffects &effects);
/** Asks for the origin of the stream that the request takes up. @return Whether the request waits
 * for it or was refused. */
bool awaitOriginOfTakeUp(Host &host, Request &request, HostEffects &effects, TimePoint now);
/**
 * Has the origin of a stream recorded before its first dispatch.
 * @param target Target that was chosen.
 * @return Whether the request waits for the record.
 */
bool awaitOriginOfDispatch(Host &host, Request &request, const KnownTarget &target,
                           HostEffects &effects);
void onStreamAnswer(Host &host, const StreamAnswer &answer, HostEffects &effects, TimePoint now);
/** @return Whether the target may write the request's stream. */
bool fitsOrigin(const Request &request, const KnownTarget &target);
/** Refuses a request whose stream no target may write any more; a stream without any event may
 * begin at another version instead. @return Whether the request was refused. */
bool refuseIfVersionGone(Host &host, Request &request, HostEffects &effects, TimePoint now);
/** @return Software version to which the request is pinned although no target of it holds the
 * request's variant; nothing otherwise. */
std::optional<std::string> lackedVersion(const Host &host, const Request &request);
/** Applies refuseIfVersionGone() to the queued requests, after the targets have changed. */
void refuseGoneVersions(Host &host, HostEffects &effects, TimePoint now);
/** @return Whether the request's route leads to the service. */
bool routeLeadsTo(const ClusterView &view, const CallerRequest &asked, const std::string &service);

// Control link.
void onControlMessage(Host &host, const ControlMessage &message, HostEffects &effects,
                      TimePoint now);
void onControlLink(Host &host, bool connected, HostEffects &effects, TimePoint now);
/** @return Requests and tokens needed by the requests that wait for the account's budgets. */
std::pair<std::int64_t, std::int64_t> waitingDemand(const Host &host, const AccountLease &held);
/** @return Whether an early report was requested and the pause since the last one is over. The
 * pause is short if a group or an account waits that the last report does not include. */
bool isEarlyReportDue(const Host &host, TimePoint now);
/** Requests an early report if the host holds idle slots of a target that other hosts may lack. */
void returnIdleSlots(Host &host, const KnownTarget &target);
/** @return Time between two periodic reports; longer the more hosts there are. */
Duration reportInterval(const Host &host);
/** Doubles the interval of early reports while they follow each other closely, since more reports
 * do not end a lasting shortage. */
void updateEarlyReportBackoff(Host &host, TimePoint now);
/** Sends a report to the leader, whether or not one is due. */
void sendReport(Host &host, HostEffects &effects, TimePoint now);
/** Sends a report if a periodic or an early one is due. Switches to another control host if the
 * present one has been silent for too long. */
void reportIfDue(Host &host, HostEffects &effects, TimePoint now);
/** @return Whether keys, zones and targets are recent enough to dispatch requests. */
bool isFresh(const Host &host, TimePoint now);

/** @return Time before which an attempt decided now must be sent. */
TimePoint latestSendTime(const Host &host, const Request &request, const KnownTarget &target,
                         TimePoint now);

/** @return Weight of the account in the fair queue; 1 if the account is unknown. */
double weightOf(const Host &host, const AccountId &account);

} // namespace bilberry
