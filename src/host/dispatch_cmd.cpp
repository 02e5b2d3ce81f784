/** @file dispatch_cmd.cpp Chooses targets for queued requests and starts attempts. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "routing/routing_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace bilberry {

namespace {

/** Assumed time from the first request for an adapter until the adapter is loaded. */
constexpr Duration ADAPTER_LOAD_TIME = 250ms;
/** Assumed time of a load beyond the transfer itself: decision, eviction of other models and
 * notification of the hosts. */
constexpr Duration LOAD_OVERHEAD = 700ms;
constexpr std::size_t MAX_WARMUP_HOSTS = 4; ///< Hosts that dispatch to one target in warm-up.
constexpr double MAX_BULK_SHARE = 0.75; ///< Fraction of the granted slots open to bulk requests.
/** Maximum first-byte timeout of models; in force until the model's service time is known. */
constexpr Duration MAX_FIRST_BYTE_TIMEOUT = 20s;
constexpr Duration SERVICE_FIRST_BYTE_TIMEOUT = 5s; ///< First-byte timeout of plain services.
constexpr Duration INTER_BYTE_TIMEOUT = 5s;
/** First-byte timeout of models, as a multiple of the average service time. */
constexpr int FIRST_BYTE_TIMEOUT_FACTOR = 8;
constexpr Duration MIN_FIRST_BYTE_TIMEOUT = 1s; ///< Minimum first-byte timeout of models.
/** Maximum time from the decision to the sending of an attempt. A target must not get
 * requests later than 2 s after it announced its shutdown. */
constexpr Duration MAX_SEND_DELAY = 1500ms;

constexpr Duration OVERLOADED_RETRY_AFTER = 1s;
constexpr Duration STOPPING_RETRY_AFTER = 50ms; ///< Other hosts can serve at once.

/** @return Whether the target has the configured version of the group's model, or may serve another
 * version during the rollout of the configured one. */
bool servesCurrentVersion(const Host &host, const KnownTarget &target, const WorkGroup &group)
{
    if (group.variant.model.value.empty())
        return true;
    const auto model = host.view.models.find(group.variant.model);
    if (model == host.view.models.end())
        return false;
    if (model->second.version.value == 0)
        return true;
    const auto &loaded = target.announcement.loaded;
    const bool current = std::any_of(loaded.begin(), loaded.end(), [&](const LoadedVariant &item) {
        return item.variant == group.variant && item.version == model->second.version;
    });
    if (current)
        return true;
    // During the rollout of a new version, targets with the old version keep serving until one
    // target has loaded the new version.
    const auto serving = host.targetsByGroup.find(group);
    return std::none_of(serving->second.begin(), serving->second.end(), [&](const TargetId &id) {
        const auto &others = host.targets.at(id).announcement.loaded;
        return std::any_of(others.begin(), others.end(), [&](const LoadedVariant &item) {
            return item.variant == group.variant && item.version == model->second.version;
        });
    });
}

/** @return Whether the target may get new requests of the group, if it has free slots. */
bool isEligible(const Host &host, const KnownTarget &target, const WorkGroup &group, TimePoint now)
{
    const auto declined = target.declinedUntil.find(group);
    if (declined != target.declinedUntil.end() && now < declined->second)
        return false;
    return !target.announcement.leaving && !target.statedLeaving && now >= target.quietUntil
        && now >= target.health.ejectedUntil && acceptsWork(host.view, target.announcement)
        && servesCurrentVersion(host, target, group);
}

/** @return Number of bulk requests of this host that run at the target. */
int bulkRunning(const Host &host, const KnownTarget &target)
{
    return static_cast<int>(
        std::count_if(target.running.begin(), target.running.end(), [&](RequestId id) {
            return host.requests.at(id).workClass == WorkClass::Bulk;
        }));
}

/**
 * Limits the rate of new requests at a target in warm-up: only MAX_WARMUP_HOSTS hosts dispatch to
 * it, selected by a hash of the target id so that different targets get different hosts.
 * @return Whether this host may dispatch to the target now.
 */
bool mayDispatchInWarmup(const Host &host, const KnownTarget &target, TimePoint now)
{
    if (now >= target.coldUntil)
        return true;
    const std::size_t offset = std::hash<std::string>{}(target.announcement.id.value);
    const auto hosts = static_cast<std::size_t>(host.hostCount);
    const std::size_t rotatedRank = (static_cast<std::size_t>(host.hostRank) + offset) % hosts;
    return rotatedRank < MAX_WARMUP_HOSTS && now >= target.coldStartDue;
}

/** @return Minimum time between two dispatches of this host to a target in warm-up. */
Duration warmupDispatchInterval(const Host &host, const KnownTarget &target)
{
    const auto service = host.view.services.find(target.announcement.service);
    if (service == host.view.services.end() || service->second.coldStartsPerSecond <= 0)
        return Duration::zero();
    const double sharers = std::min<double>(MAX_WARMUP_HOSTS, host.hostCount);
    return fromSeconds(sharers / service->second.coldStartsPerSecond);
}

/** @return Whether this host has a free slot of the target for the request. Bulk requests may use
 * only MAX_BULK_SHARE of the slots. */
bool hasSlot(const Host &host, const KnownTarget &target, const Request &request)
{
    // Slots beyond this host's share are returned to the leader when they become free.
    const auto busy = static_cast<int>(target.running.size() + target.cancelling.size());
    if (target.freeSlots() < 1 || (target.share >= 0 && busy >= target.share))
        return false;
    if (request.workClass == WorkClass::Interactive)
        return true;
    const auto held = static_cast<double>(target.slots.balance());
    return bulkRunning(host, target)
        < std::max(1, static_cast<int>(std::floor(held * MAX_BULK_SHARE)));
}

/** @return False if the request and another request at the target are both suspects. Suspects run
 * at separate targets, so that a crash identifies the request that caused the crash. */
bool isolatesSuspects(const Host &host, const KnownTarget &target, const Request &request)
{
    if (!request.suspected)
        return true;
    return std::none_of(target.running.begin(), target.running.end(),
                        [&](RequestId id) { return host.requests.at(id).suspected; });
}

/** Counts a request once that waits for the request rate of a target. */
void noteHeldByRate(Host &host, Request &request)
{
    host.counters.heldByRate += request.heldByRate ? 0 : 1;
    request.heldByRate = true;
}

/** @return Targets that can take the request now. Free slots with an expired lease are returned. */
std::vector<RoutingCandidate> candidatesFor(Host &host, Request &request, TimePoint now)
{
    std::vector<RoutingCandidate> candidates;
    const auto serving = host.targetsByGroup.find(request.group);
    if (serving == host.targetsByGroup.end())
        return candidates;
    if (!mayDispatchSuspectedParts(host, request, now))
        return candidates;
    const auto hinted = host.prefixHints.find(request.asked.prefix);
    bool waitsForRate = false;
    for (const TargetId &id : serving->second) {
        KnownTarget &target = host.targets.at(id);
        if (now >= target.slots.expires && target.freeSlots() > 0)
            target.slots.returned += target.freeSlots(); // The leader has taken expired slots back.
        if (!isEligible(host, target, request.group, now) || !fitsOrigin(request, target))
            continue;
        if (!hasRequest(target, now)) {
            waitsForRate = true;
            continue;
        }
        if (!hasSlot(host, target, request) || !mayDispatchInWarmup(host, target, now)
            || !isolatesSuspects(host, target, request)
            || !isolatesTrials(host, target, request, now))
            continue;
        RoutingCandidate candidate;
        candidate.target = id;
        candidate.sameZone = target.announcement.zone == host.settings.zone;
        candidate.prefixCached = hinted != host.prefixHints.end() && hinted->second.contains(id);
        candidate.tried = request.tried.contains(id);
        candidate.failing = target.announcement.failing;
        candidate.running = static_cast<int>(target.running.size());
        candidate.freeSlots = static_cast<int>(target.freeSlots());
        candidates.push_back(candidate);
    }
    if (waitsForRate && candidates.empty())
        noteHeldByRate(host, request);
    return candidates;
}

/** @return Timeout for the first byte of the response to an attempt. */
Duration firstByteLimit(const Host &host, const Request &request)
{
    // A request that is not repeatable cannot be retried, so a timeout before its deadline
    // has no use.
    if (request.asked.byRoute && !request.repeatable)
        return request.deadline - request.arrived;
    if (request.group.variant.model.value.empty())
        return SERVICE_FIRST_BYTE_TIMEOUT;
    const auto statistics = host.groups.find(request.group);
    const bool known = statistics != host.groups.end() && statistics->second.serviceSeconds > 0;
    if (!known)
        return MAX_FIRST_BYTE_TIMEOUT;
    return std::clamp<Duration>(FIRST_BYTE_TIMEOUT_FACTOR
                                    * fromSeconds(statistics->second.serviceSeconds),
                                MIN_FIRST_BYTE_TIMEOUT, MAX_FIRST_BYTE_TIMEOUT);
}

/** Updates the average time between dispatches of the group.
 * @param othersWait Whether more requests of the group are queued; only then the gap is counted. */
void updateDispatchGap(GroupStatistics &statistics, bool othersWait, TimePoint now)
{
    if (othersWait && statistics.lastDispatch != TimePoint{}) {
        const double gap = toSeconds(now - statistics.lastDispatch);
        statistics.gapSeconds
            = statistics.gapSeconds == 0 ? gap : 0.8 * statistics.gapSeconds + 0.2 * gap;
    }
    statistics.lastDispatch = now;
}

/** Checks key, quarantines and deadline again before a dispatch. @return False if the request was
 * refused. */
bool revalidate(Host &host, const Request &request, HostEffects &effects, TimePoint now)
{
    const RequestId id = request.asked.request;
    if (!request.account.value.empty()) {
        const auto &key = request.asked.key;
        const Account *account = key ? authenticateKey(host.view, key->id, key->secret) : nullptr;
        if (account == nullptr || account->id != request.account) {
            refuse(host, id, RefusalCode::KeyUnknown, effects, now);
            return false;
        }
    }
    if (const std::optional<Duration> left = partQuarantineLeft(host, request.asked, now)) {
        refuse(host, id, RefusalCode::PartQuarantined, effects, now, *left);
        return false;
    }
    // A request that cannot end in time would take a slot from requests that can.
    const GroupStatistics &statistics = host.groups[request.group];
    if (now + fromSeconds(statistics.serviceSeconds) > request.deadline - REFUSAL_MARGIN) {
        const bool stops = lastEnd(host) && request.deadline >= *lastEnd(host);
        refuse(host, id, stops ? RefusalCode::ShuttingDown : RefusalCode::Overloaded, effects, now,
               stops ? STOPPING_RETRY_AFTER : OVERLOADED_RETRY_AFTER);
        return false;
    }
    return true;
}

/** @return Index of the candidate with the fewest running requests of this host, so that a trial
 * that crashes its target breaks few others. */
std::size_t leastBusyCandidate(const std::vector<RoutingCandidate> &candidates)
{
    const auto least = std::min_element(
        candidates.begin(), candidates.end(),
        [](const RoutingCandidate &a, const RoutingCandidate &b) { return a.running < b.running; });
    return static_cast<std::size_t>(least - candidates.begin());
}

/** Dispatches a request to a target. */
void startAttempt(Host &host, Request &request, const TargetId &targetId, HostEffects &effects,
                  TimePoint now)
{
    KnownTarget &target = host.targets.at(targetId);
    const RequestId id = request.asked.request;
    request.state = RequestState::Running;
    request.dispatchedAt = now;
    if (request.attempts == 0) {
        recordDuration(host.counters.waits, now - request.arrived);
        recordDuration(host.counters.slotWaits, now - request.admittedAt);
        request.firstDispatchAt = now;
    }
    chargeFlow(host.queue, queueEntryOf(request),
               static_cast<double>(request.estimate > 0 ? request.estimate : DEFAULT_CALL_COST),
               weightOf(host, request.account));
    request.attempt = AttemptId(++host.lastAttempt);
    request.target = targetId;
    request.targetStart = target.announcement.start;
    ++request.attempts;
    request.tried.insert(targetId);
    request.correlation = request.attempt;
    host.attempts[request.attempt] = id;
    target.running.insert(id);
    target.peak = std::max(target.peak, static_cast<double>(target.running.size()));
    target.lastUse = now;
    target.requests.spent += target.requestRate ? 1 : 0;
    if (now < target.coldUntil)
        target.coldStartDue = now + warmupDispatchInterval(host, target);
    request.suspected = request.suspected || host.suspects.contains(request.asked.body);
    beginTrial(host, request, now);
    host.waitDeadlines.erase({request.waitUntil, id});
    const bool othersWait = countQueued(host.queue, request.group) > 0;
    if (request.ranked)
        updateSteadyGap(host.groups[request.group], othersWait, now);
    updateDispatchGap(host.groups[request.group], othersWait, now);
    StartAttempt start;
    start.attempt = request.attempt;
    start.request = id;
    start.target = targetId;
    start.targetStart = request.targetStart;
    start.address = target.announcement.address;
    start.remaining = request.deadline - now;
    start.deadline = request.deadline;
    start.sendBy = latestSendTime(host, request, target, now);
    start.reportStatement = target.requestRate.has_value();
    start.firstByteLimit = firstByteLimit(host, request);
    start.interByteLimit
        = request.asked.byRoute ? request.deadline - request.arrived : INTER_BYTE_TIMEOUT;
    start.freshConnection = !request.repeatable || request.attempts > 1;
    start.keepAnswer = request.recordOwned;
    start.correlation = request.correlation;
    start.relayed = request.relayed;
    start.account = request.account;
    start.waits = waitsOf(request, now);
    start.reportBegin = reportsBegin(host, request);
    start.urgency = urgencyOf(host, request, now);
    start.ranking = rankNoteOf(request, now);
    start.holdFailures
        = request.repeatable && request.runs + 1 < request.mostRuns && request.asked.byRoute;
    effects.push_back(start);
}

} // namespace

TimePoint latestSendTime(const Host &host, const Request &request, const KnownTarget &target,
                         TimePoint now)
{
    return std::min(
        {host.freshUntil, request.deadline, now + std::min(MAX_SEND_DELAY, maxSendDelay(target))});
}

std::vector<TargetId> eligibleTargets(const Host &host, const WorkGroup &group, TimePoint now)
{
    std::vector<TargetId> open;
    const auto serving = host.targetsByGroup.find(group);
    if (serving == host.targetsByGroup.end())
        return open;
    for (const TargetId &id : serving->second) {
        if (isEligible(host, host.targets.at(id), group, now))
            open.push_back(id);
    }
    return open;
}

bool hasEligibleTarget(const Host &host, const WorkGroup &group, TimePoint now)
{
    return !eligibleTargets(host, group, now).empty();
}

std::optional<Duration> quietLeft(const Host &host, const WorkGroup &group, TimePoint now)
{
    const auto serving = host.targetsByGroup.find(group);
    if (serving == host.targetsByGroup.end())
        return std::nullopt;
    std::optional<Duration> shortest;
    for (const TargetId &id : serving->second) {
        const KnownTarget &target = host.targets.at(id);
        if (now < target.quietUntil && isEligible(host, target, group, target.quietUntil))
            shortest
                = std::min(shortest.value_or(Duration::max()), Duration(target.quietUntil - now));
    }
    return shortest;
}

namespace {

/** Without a word of a leader that makes forecasts, the latest ones hold for so long. It covers an
 * election, after which the next leader's first forecasts come within a second. */
constexpr Duration FORECAST_RETENTION = 4s;

/** @return Time until the weight store begins a load that the forecasts do not list. */
Duration waitForStore(const Host &host, TimePoint now)
{
    if (!holdForecasts(host, now) || !host.forecasts.unlistedFrom)
        return Duration::zero();
    return std::max<Duration>(*host.forecasts.unlistedFrom - now, Duration::zero());
}

} // namespace

bool holdForecasts(const Host &host, TimePoint now)
{
    return host.forecasts.confirmedAt != TimePoint{}
    && now < host.forecasts.confirmedAt + FORECAST_RETENTION;
}

bool hasForecast(const Host &host, const WorkGroup &group, TimePoint now)
{
    return holdForecasts(host, now) && host.forecasts.loadedAt.contains({group.variant.model, {}});
}

std::optional<Duration> estimatedLoadTime(const Host &host, const WorkGroup &group, TimePoint now)
{
    if (group.variant.model.value.empty())
        return std::nullopt;
    const auto model = host.view.models.find(group.variant.model);
    if (model == host.view.models.end() || model->second.loadSeconds <= 0)
        return std::nullopt;
    const bool isAdapter = !group.variant.adapter.value.empty();
    const WorkGroup base{{group.variant.model, {}}, group.service};
    if (isAdapter && !eligibleTargets(host, base, now).empty())
        return ADAPTER_LOAD_TIME;
    if (hasForecast(host, base, now)) {
        const Duration left = host.forecasts.loadedAt.at(base.variant) - now;
        return std::max<Duration>(left, ADAPTER_LOAD_TIME)
            + (isAdapter ? ADAPTER_LOAD_TIME : Duration::zero());
    }
    Duration shortest
        = fromSeconds(model->second.loadSeconds) + LOAD_OVERHEAD + waitForStore(host, now);
    for (const auto &[id, target] : host.targets) {
        if (target.announcement.leaving || target.statedLeaving
            || target.announcement.service != group.service)
            continue;
        const auto loading = target.loadingUntil.find(base.variant);
        if (loading != target.loadingUntil.end())
            shortest
                = std::min(shortest, std::max<Duration>(loading->second - now, ADAPTER_LOAD_TIME));
        for (const CachedModel &cached : target.announcement.cached) {
            if (cached.model == group.variant.model && cached.tier != CacheTier::Remote)
                shortest = std::min<Duration>(
                    shortest, fromSeconds(model->second.cachedLoadSeconds) + LOAD_OVERHEAD);
        }
    }
    return shortest + (isAdapter ? ADAPTER_LOAD_TIME : Duration::zero());
}

std::optional<Duration> estimatedCompletionTime(const Host &host, const Request &request)
{
    const auto statistics = host.groups.find(request.group);
    if (statistics == host.groups.end() || statistics->second.gapSeconds <= 0)
        return std::nullopt;
    const double ahead
        = countQueuedAhead(host.queue, queueEntryOf(request),
                           [&](const AccountId &account) { return weightOf(host, account); });
    if (ahead < 1)
        return std::nullopt;
    return fromSeconds(ahead * statistics->second.gapSeconds + statistics->second.serviceSeconds);
}

void dispatchAll(Host &host, HostEffects &effects, TimePoint now)
{
    if (!isFresh(host, now))
        return; // Keys, zones and targets may be out of date; requests wait up to their deadline.
    std::map<std::pair<WorkGroup, WorkClass>, bool> blocked;
    const auto ready = [&](const WorkGroup &group, WorkClass workClass, RequestId id) {
        const auto known = blocked.find({group, workClass});
        if (known != blocked.end() && known->second)
            return false;
        Request &request = host.requests.at(id);
        const bool free = !candidatesFor(host, request, now).empty();
        if (!free && !request.suspected && !needsTrial(host, request) && !request.origin)
            blocked[{group, workClass}] = true;
        return free;
    };
    while (const std::optional<QueueEntry> entry = dequeueNext(host.queue, ready, now)) {
        Request &request = host.requests.at(entry->request);
        if (!revalidate(host, request, effects, now))
            continue;
        const std::vector<RoutingCandidate> candidates = candidatesFor(host, request, now);
        assert(!candidates.empty());
        const std::size_t choice = needsTrial(host, request)
            ? leastBusyCandidate(candidates)
            : chooseCandidate(candidates, request.asked.prefix);
        const TargetId &chosen = candidates[choice].target;
        if (!awaitOriginOfDispatch(host, request, host.targets.at(chosen), effects))
            startAttempt(host, request, chosen, effects, now);
    }
    if (!host.queue.groupCounts.empty())
        host.earlyReportRequested = true;
    for (const WorkGroup &group : std::exchange(host.newlyQueued, {})) {
        if (countQueued(host.queue, group) > 0 && hasEligibleTarget(host, group, now))
            host.promptReportRequested = true;
    }
}

} // namespace bilberry
