/** @file dispatch_cmd.cpp Sends waiting requests to targets. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "routing/routing_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration ADAPTER_LOAD = 250ms; ///< From the wish for an adapter until it serves.
constexpr Duration LOAD_OVERHEAD = 700ms; ///< Of deciding, making room and telling the hosts.
constexpr std::size_t COLD_HOSTS = 4; ///< Hosts that send to one cold target.
constexpr double BULK_SHARE = 0.75; ///< Of a target's held slots that bulk work may take.
constexpr Duration FIRST_BYTE_LIMIT = 20s; ///< Of a model whose service time is not known yet.
constexpr Duration SERVICE_FIRST_BYTE_LIMIT = 5s;
constexpr Duration INTER_BYTE_LIMIT = 5s;
constexpr int SILENCE_FACTOR
    = 8; ///< Of the learnt service time, before an answer counts as stalled.
constexpr Duration FIRST_BYTE_LIMIT_LEAST = 1s;
/** Longest from a decision until the attempt leaves; targets that leave get nothing after 2 s. */
constexpr Duration DEPARTURE_LIMIT = 1500ms;

bool servesPresentVersion(const Host &host, const KnownTarget &target, const WorkGroup &group)
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
    // While a new version is rolled out, the old one serves on until some target has the new one.
    const auto serving = host.serving.find(group);
    return std::none_of(serving->second.begin(), serving->second.end(), [&](const TargetId &id) {
        const auto &others = host.targets.at(id).announcement.loaded;
        return std::any_of(others.begin(), others.end(), [&](const LoadedVariant &item) {
            return item.variant == group.variant && item.version == model->second.version;
        });
    });
}

bool isOpen(const Host &host, const KnownTarget &target, const WorkGroup &group, TimePoint now)
{
    const auto declined = target.declinedUntil.find(group);
    if (declined != target.declinedUntil.end() && now < declined->second)
        return false;
    return !target.announcement.leaving && now >= target.health.ejectedUntil
        && acceptsWork(host.view, target.announcement.id, target.announcement.zone)
        && servesPresentVersion(host, target, group);
}

int bulkRunning(const Host &host, const KnownTarget &target)
{
    return static_cast<int>(
        std::count_if(target.running.begin(), target.running.end(), [&](RequestId id) {
            return host.requests.at(id).workClass == WorkClass::Bulk;
        }));
}

/** A cold target bears few requests a second; few hosts share them, in turns among the targets. */
bool mayBeginCold(const Host &host, const KnownTarget &target, TimePoint now)
{
    if (now >= target.coldUntil)
        return true;
    const std::size_t offset = std::hash<std::string>{}(target.announcement.id.value);
    const auto hosts = static_cast<std::size_t>(host.hostCount);
    const std::size_t place = (static_cast<std::size_t>(host.hostRank) + offset) % hosts;
    return place < COLD_HOSTS && now >= target.coldStartDue;
}

/** @return Time between two requests that this host begins at a cold target. */
Duration coldStartPause(const Host &host, const KnownTarget &target)
{
    const auto service = host.view.services.find(target.announcement.service);
    if (service == host.view.services.end() || service->second.coldStartsPerSecond <= 0)
        return Duration::zero();
    const double sharers = std::min<double>(COLD_HOSTS, host.hostCount);
    return fromSeconds(sharers / service->second.coldStartsPerSecond);
}

bool hasSlot(const Host &host, const KnownTarget &target, const Request &request)
{
    // Slots above the share go back as they come free instead of being used on.
    const auto busy = static_cast<int>(target.running.size() + target.cancelling.size());
    if (target.freeSlots() < 1 || (target.share >= 0 && busy >= target.share))
        return false;
    if (request.workClass == WorkClass::Interactive)
        return true;
    const auto held = static_cast<double>(target.slots.balance());
    return bulkRunning(host, target) < std::max(1, static_cast<int>(std::floor(held * BULK_SHARE)));
}

/** A suspected request runs where no other suspected one does, so that a loss tells which it was.
 */
bool suspectsApart(const Host &host, const KnownTarget &target, const Request &request)
{
    if (!request.suspected)
        return true;
    return std::none_of(target.running.begin(), target.running.end(),
                        [&](RequestId id) { return host.requests.at(id).suspected; });
}

std::vector<Candidate> candidatesFor(Host &host, const Request &request, TimePoint now)
{
    std::vector<Candidate> candidates;
    const auto serving = host.serving.find(request.group);
    if (serving == host.serving.end())
        return candidates;
    const auto hinted = host.prefixes.find(request.asked.prefix);
    for (const TargetId &id : serving->second) {
        KnownTarget &target = host.targets.at(id);
        if (now >= target.slots.expires && target.freeSlots() > 0)
            target.slots.returned += target.freeSlots(); // Lapsed: the leader counts it as gone.
        if (!isOpen(host, target, request.group, now) || !hasSlot(host, target, request)
            || !mayBeginCold(host, target, now) || !suspectsApart(host, target, request))
            continue;
        Candidate candidate;
        candidate.target = id;
        candidate.sameZone = target.announcement.zone == host.settings.zone;
        candidate.prefixCached = hinted != host.prefixes.end() && hinted->second.contains(id);
        candidate.tried = request.tried.contains(id);
        candidate.failing = target.announcement.failing;
        candidate.running = static_cast<int>(target.running.size());
        candidate.freeSlots = static_cast<int>(target.freeSlots());
        candidates.push_back(candidate);
    }
    return candidates;
}

Duration firstByteLimit(const Host &host, const Request &request)
{
    // Where a repeat is not allowed, giving up early would gain nothing.
    if (request.asked.byRoute && !request.repeatable)
        return request.deadline - request.arrived;
    if (request.group.variant.model.value.empty())
        return SERVICE_FIRST_BYTE_LIMIT;
    const auto statistics = host.groups.find(request.group);
    const bool known = statistics != host.groups.end() && statistics->second.serviceSeconds > 0;
    if (!known)
        return FIRST_BYTE_LIMIT;
    return std::clamp<Duration>(SILENCE_FACTOR * fromSeconds(statistics->second.serviceSeconds),
                                FIRST_BYTE_LIMIT_LEAST, FIRST_BYTE_LIMIT);
}

void noteDispatch(GroupStatistics &statistics, bool othersWait, TimePoint now)
{
    if (othersWait && statistics.lastDispatch != TimePoint{}) {
        const double gap = toSeconds(now - statistics.lastDispatch);
        statistics.gapSeconds
            = statistics.gapSeconds == 0 ? gap : 0.8 * statistics.gapSeconds + 0.2 * gap;
    }
    statistics.lastDispatch = now;
}

/** What was true at admission must still be true now. @return False if the request was refused. */
bool stillAdmitted(Host &host, const Request &request, HostEffects &effects, TimePoint now)
{
    const RequestId id = request.asked.request;
    if (!request.account.value.empty()) {
        const auto &key = request.asked.key;
        const Account *account = key ? accountOfKey(host.view, key->id, key->secret) : nullptr;
        if (account == nullptr || account->id != request.account) {
            refuse(host, id, RefusalCode::KeyUnknown, effects, now);
            return false;
        }
    }
    // What cannot end in time any more would only take a slot from what can.
    const GroupStatistics &statistics = host.groups[request.group];
    if (now + fromSeconds(statistics.serviceSeconds) > request.deadline - ANSWER_MARGIN) {
        refuse(host, id, RefusalCode::Overloaded, effects, now, 1s);
        return false;
    }
    return true;
}

void startAttempt(Host &host, Request &request, const TargetId &targetId, HostEffects &effects,
                  TimePoint now)
{
    KnownTarget &target = host.targets.at(targetId);
    const RequestId id = request.asked.request;
    request.state = RequestState::Running;
    request.dispatchedAt = now;
    if (request.attempts == 0)
        note(host.counters.waits, now - request.arrived);
    charge(host.queue, request.workClass, request.account,
           static_cast<double>(request.estimate > 0 ? request.estimate : SERVICE_CALL_WORK),
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
    if (now < target.coldUntil)
        target.coldStartDue = now + coldStartPause(host, target);
    request.suspected = request.suspected || host.suspects.contains(request.asked.body);
    host.waits.erase({request.waitUntil, id});
    noteDispatch(host.groups[request.group], waitingIn(host.queue, request.group) > 0, now);
    StartAttempt start;
    start.attempt = request.attempt;
    start.request = id;
    start.target = targetId;
    start.address = target.announcement.address;
    start.remaining = request.deadline - now;
    start.deadline = request.deadline;
    start.sendBy = latestDeparture(host, request, now);
    start.firstByteLimit = firstByteLimit(host, request);
    start.interByteLimit
        = request.asked.byRoute ? request.deadline - request.arrived : INTER_BYTE_LIMIT;
    start.freshConnection = !request.repeatable || request.attempts > 1;
    start.keepAnswer = request.recordOwned;
    start.correlation = request.correlation;
    start.resumeAfter = request.eventsRelayed;
    start.account = request.account;
    start.holdFailures
        = request.repeatable && request.runs + 1 < request.mostRuns && request.asked.byRoute;
    effects.push_back(start);
}

} // namespace

TimePoint latestDeparture(const Host &host, const Request &request, TimePoint now)
{
    return std::min({host.freshUntil, request.deadline, now + DEPARTURE_LIMIT});
}

std::vector<TargetId> openTargets(const Host &host, const WorkGroup &group, TimePoint now)
{
    std::vector<TargetId> open;
    const auto serving = host.serving.find(group);
    if (serving == host.serving.end())
        return open;
    for (const TargetId &id : serving->second) {
        if (isOpen(host, host.targets.at(id), group, now))
            open.push_back(id);
    }
    return open;
}

bool isServed(const Host &host, const WorkGroup &group, TimePoint now)
{
    return !openTargets(host, group, now).empty();
}

std::optional<Duration> expectedLoad(const Host &host, const WorkGroup &group, TimePoint now)
{
    if (group.variant.model.value.empty())
        return std::nullopt;
    const auto model = host.view.models.find(group.variant.model);
    if (model == host.view.models.end() || model->second.loadSeconds <= 0)
        return std::nullopt;
    const bool isAdapter = !group.variant.adapter.value.empty();
    const WorkGroup base{{group.variant.model, {}}, group.service};
    if (isAdapter && !openTargets(host, base, now).empty())
        return ADAPTER_LOAD;
    Duration least = fromSeconds(model->second.loadSeconds) + LOAD_OVERHEAD;
    for (const auto &[id, target] : host.targets) {
        if (target.announcement.leaving || target.announcement.service != group.service)
            continue;
        const auto loading = target.loadingUntil.find(base.variant);
        if (loading != target.loadingUntil.end())
            least = std::min(least, std::max<Duration>(loading->second - now, ADAPTER_LOAD));
        for (const CachedModel &cached : target.announcement.cached) {
            if (cached.model == group.variant.model && cached.tier != CacheTier::Remote)
                least = std::min<Duration>(
                    least, fromSeconds(model->second.cachedLoadSeconds) + LOAD_OVERHEAD);
        }
    }
    return least + (isAdapter ? ADAPTER_LOAD : Duration::zero());
}

std::optional<Duration> estimatedWait(const Host &host, const Request &request)
{
    const auto statistics = host.groups.find(request.group);
    if (statistics == host.groups.end() || statistics->second.gapSeconds <= 0)
        return std::nullopt;
    const double ahead = waitingAhead(
        host.queue, {request.asked.request, request.account, request.group, request.workClass},
        [&](const AccountId &account) { return weightOf(host, account); });
    if (ahead < 1)
        return std::nullopt;
    return fromSeconds(ahead * statistics->second.gapSeconds + statistics->second.serviceSeconds);
}

void dispatchAll(Host &host, HostEffects &effects, TimePoint now)
{
    if (!isFresh(host, now))
        return; // Zones, targets and keys are not known well enough; the deadline decides.
    std::map<std::pair<WorkGroup, WorkClass>, bool> blocked;
    const auto ready = [&](const WorkGroup &group, WorkClass workClass, RequestId id) {
        const auto known = blocked.find({group, workClass});
        if (known != blocked.end() && known->second)
            return false;
        const Request &request = host.requests.at(id);
        const bool free = !candidatesFor(host, request, now).empty();
        if (!free && !request.suspected)
            blocked[{group, workClass}] = true;
        return free;
    };
    while (const std::optional<QueueEntry> entry = pickNext(host.queue, ready)) {
        Request &request = host.requests.at(entry->request);
        if (!stillAdmitted(host, request, effects, now))
            continue;
        const std::vector<Candidate> candidates = candidatesFor(host, request, now);
        assert(!candidates.empty());
        const std::size_t choice = chooseCandidate(candidates, request.asked.prefix);
        startAttempt(host, request, candidates[choice].target, effects, now);
    }
    if (!host.queue.groupCounts.empty())
        host.reportWanted = true;
}

} // namespace bilberry
