/** @file host_internal.h Parts of a host's decisions; only for src/host. */
#pragma once

#include "host/host_func.h"

namespace bilberry {

constexpr std::int64_t SERVICE_CALL_WORK = 50; ///< Work of a plain call, in tokens.
constexpr Duration ANSWER_MARGIN = 10ms; ///< A refusal leaves this long before the deadline.

// Admission.
void onCallerRequest(Host &host, const CallerRequest &asked, HostEffects &effects, TimePoint now);
void onCallerGone(Host &host, RequestId request, HostEffects &effects, TimePoint now);
/** Takes budgets for waiting requests in order, as far as they go. */
void drainBudgets(Host &host, const AccountId &account, HostEffects &effects, TimePoint now);
/** Puts an admitted request into the queue, or asks for its call record first. */
void proceed(Host &host, Request &request, HostEffects &effects, TimePoint now);

// Ends of requests.
void refuse(Host &host, RequestId id, RefusalCode code, HostEffects &effects, TimePoint now,
            std::optional<Duration> retryAfter = {});
/** Forgets a request whose caller was answered; gives back what was not used. */
void finish(Host &host, RequestId id, std::int64_t tokensUsed, bool ran, TimePoint now);
/** Tells a caller to come back when the variant is expected to be loaded. */
void turnAway(Host &host, RequestId id, Duration wait, HostEffects &effects, TimePoint now);
/** Refuses whatever has reached its deadline, or whose caller is about to leave. */
void sweepDeadlines(Host &host, HostEffects &effects, TimePoint now);

// Dispatch.
/** Sends waiting requests to targets as far as slots go. */
void dispatchAll(Host &host, HostEffects &effects, TimePoint now);
/** @return Whether some target serves the group at all, with or without free slots. */
bool isServed(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Targets that may get new work of the group. */
std::vector<TargetId> openTargets(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Time until a target may have loaded the group's variant, if that can be told. */
std::optional<Duration> expectedLoad(const Host &host, const WorkGroup &group, TimePoint now);
/** @return Time that the request would have to wait, if that can be told. */
std::optional<Duration> estimatedWait(const Host &host, const Request &request);

// Attempts.
void onAttemptEnded(Host &host, const AttemptEnded &ended, HostEffects &effects, TimePoint now);

// Calls that may not be repeated.
void onCallAnswer(Host &host, const CallAnswer &answer, HostEffects &effects, TimePoint now);
/** Records how a call ended that this host owns or has asked to own, and reports it until
 * acknowledged. */
void endCallRecord(Host &host, Request &request, CallEnd end, std::optional<StoredAnswer> answer,
                   HostEffects &effects);
void askVerdict(Host &host, const Request &request, HostEffects &effects);

// Control link.
void onControlMessage(Host &host, const ControlMessage &message, HostEffects &effects,
                      TimePoint now);
void onControlLink(Host &host, bool connected, HostEffects &effects, TimePoint now);
/** @return Requests and tokens that the waiting requests of an account need. */
std::pair<std::int64_t, std::int64_t> waitingNeed(const Host &host, const HeldAccount &held);
/** Makes reports before their time rarer while nothing comes of them. */
void noteUrgency(Host &host, TimePoint now);
void sendReport(Host &host, HostEffects &effects, TimePoint now);
/** Sends a report if one is due or wanted. */
void reportIfDue(Host &host, HostEffects &effects, TimePoint now);
bool isFresh(const Host &host, TimePoint now);

/** @return Until when an attempt that is decided now may leave. */
TimePoint latestDeparture(const Host &host, const Request &request, TimePoint now);

double weightOf(const Host &host, const AccountId &account);

} // namespace bilberry
