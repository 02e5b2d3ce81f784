/** @file rank_cmd.cpp Ranks of requests, and refusals where the room is short. */
#include "host/host_internal.h"

#include "queue/ranked_queue_func.h"
#include "queue/urgency_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** With fewer queued requests, the time between dispatches says too little of their waits. */
constexpr std::size_t MIN_OVERFLOWING_QUEUE = 4;
constexpr double GAP_SMOOTHING = 0.2; ///< Weight of a new sample of the time between dispatches.
/** A sample counts as at most so many times the average. */
constexpr double MAX_GAP_GROWTH = 4;
/** The measured time between dispatches may be too high by this factor without a refusal of a
 * request that could have been served. */
constexpr double REFUSAL_CAUTION = 1.5;
constexpr Duration MIN_RETRY_AFTER = 1ms;

/** @return Time until the requests of the group that are queued now have been dispatched. */
Duration drainTime(const Host &host, const WorkGroup &group)
{
    const auto statistics = host.groups.find(group);
    if (statistics == host.groups.end())
        return Duration::zero();
    return fromSeconds(static_cast<double>(countQueued(host.queue, group))
                       * statistics->second.steadyGapSeconds);
}

/** @return Whether the request waits for nothing but a slot, so that the length of the queue says
 * when it is served, and no target has begun it. */
bool waitsForSlotOnly(const Host &host, const Request &request, TimePoint now)
{
    return request.attempts == 0 && !request.relayed.begun && !request.origin && isFresh(host, now)
        && hasEligibleTarget(host, request.group, now) && !rateWait(host, request.group, 0, now);
}

} // namespace

void assignRank(const Host &host, Request &request)
{
    const auto ranks = host.ranks.find(request.group.service);
    request.ranked = ranks != host.ranks.end();
    request.rank = 0;
    if (!request.ranked)
        return;
    const std::vector<Priority> &priorities = ranks->second;
    const auto own = std::lower_bound(priorities.begin(), priorities.end(), request.priority);
    request.rank = static_cast<int>(own - priorities.begin());
}

void setStartLimits(const Host &host, Request &request)
{
    if (!request.ranked)
        return;
    const auto statistics = host.groups.find(request.group);
    const Duration service = statistics == host.groups.end()
        ? Duration::zero()
        : fromSeconds(statistics->second.serviceSeconds);
    // The objective of a stream is its first event, that of another answer its end.
    const bool isStream = request.waitUntil != TimePoint{};
    const TimePoint lastStart
        = std::min<TimePoint>(latestDispatch(request), request.deadline - REFUSAL_MARGIN - service);
    request.limits
        = makeStartLimits(request.goalAt, lastStart, isStream ? Duration::zero() : service);
}

QueueEntry queueEntryOf(const Request &request)
{
    QueueEntry entry{request.asked.request, request.account, request.group, request.workClass};
    if (request.ranked)
        entry.rank = request.rank;
    entry.limits = request.limits;
    return entry;
}

std::optional<int> urgencyOf(const Host &host, const Request &request, TimePoint now)
{
    const auto ranks = host.ranks.find(request.group.service);
    if (!request.ranked || ranks == host.ranks.end())
        return std::nullopt;
    StartLimits limits = request.limits;
    // A stream that has begun waits with its caller at every event.
    if (request.relayed.begun)
        limits = {now, now};
    return engineUrgency(request.rank, ranks->second.size(), limits, now);
}

RankNote rankNoteOf(const Request &request, TimePoint now)
{
    RankNote note;
    if (!request.ranked)
        return note;
    note.rank = request.rank;
    if (request.goalAt != TimePoint{})
        note.toGoal = request.goalAt - now;
    return note;
}

void updateSteadyGap(GroupStatistics &statistics, bool othersWait, TimePoint now)
{
    if (!othersWait)
        return;
    const TimePoint from = std::max(statistics.lastDispatch, statistics.queuedSince);
    if (from == TimePoint{})
        return;
    double &gap = statistics.steadyGapSeconds;
    const double sample = toSeconds(now - from);
    gap = gap <= 0 ? sample : gap + GAP_SMOOTHING * (std::min(sample, MAX_GAP_GROWTH * gap) - gap);
}

void refuseTooLate(Host &host, HostEffects &effects, TimePoint now)
{
    std::vector<RequestId> late;
    for (auto &[service, ranked] : host.queue.ranked) {
        for (const RequestId id : findTooLate(ranked, now)) {
            if (waitsForSlotOnly(host, host.requests.at(id), now))
                late.push_back(id);
        }
    }
    for (const RequestId id : late) {
        const Duration wait = drainTime(host, host.requests.at(id).group);
        refuse(host, id, RefusalCode::Overloaded, effects, now,
               std::max<Duration>(wait, MIN_RETRY_AFTER));
    }
}

void refuseBeyondRoom(Host &host, const WorkGroup &group, HostEffects &effects, TimePoint now)
{
    const std::size_t queued = countQueued(host.queue, group);
    const auto ranked = host.queue.ranked.find(group.service);
    if (queued < MIN_OVERFLOWING_QUEUE || ranked == host.queue.ranked.end())
        return;
    const auto mayRefuse
        = [&](RequestId id) { return waitsForSlotOnly(host, host.requests.at(id), now); };
    for (std::size_t left = queued; left >= MIN_OVERFLOWING_QUEUE; --left) {
        const Duration wait = drainTime(host, group);
        const auto last = findLastInOrder(ranked->second, group, mayRefuse);
        // The rest of the queue keeps the targets busy until the latest useful time of this one.
        if (!last || now + fromSeconds(toSeconds(wait) / REFUSAL_CAUTION) <= last->second)
            return;
        refuse(host, last->first, RefusalCode::Overloaded, effects, now,
               std::max<Duration>(wait, MIN_RETRY_AFTER));
    }
}

} // namespace bilberry
