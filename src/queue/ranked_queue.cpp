/** @file ranked_queue.cpp Order of queued requests by rank, time left and fair share. */
#include "queue/ranked_queue_func.h"

#include "queue/urgency_func.h"

#include <algorithm>
#include <tuple>

namespace bilberry {

namespace {

constexpr double MAX_OWED_PICKS = 2; ///< A rank that could not be served is not owed more.

/** First request of an account for a group, in time or late. */
struct Candidate
{
    Standing standing = Standing::Pressing;
    double virtualTime = 0;
    Place place;
    const AccountId *account = nullptr;
    const WorkGroup *group = nullptr;
    const RankedRequest *request = nullptr;

    friend bool operator<(const Candidate &a, const Candidate &b)
    {
        return std::tie(a.standing, a.virtualTime, a.place)
            < std::tie(b.standing, b.virtualTime, b.place);
    }
};

/** Candidates of one rank in the order in which they are tried. */
struct RankCandidates
{
    int rank = 0;
    RankClass *rankClass = nullptr;
    std::vector<Candidate> list;
    std::size_t next = 0;
};

std::size_t countWaiting(const RankedWaiting &waiting)
{
    return waiting.inTime.size() + waiting.late.size();
}

std::size_t countOfGroup(const RankedFlow &flow, const WorkGroup &group)
{
    const auto waiting = flow.waiting.find(group);
    return waiting == flow.waiting.end() ? 0 : countWaiting(waiting->second);
}

/** Inserts a request behind those with the same or an earlier time. New requests mostly come last.
 */
void insertByTime(std::deque<RankedRequest> &list, const RankedRequest &request,
                  TimePoint StartLimits::*time)
{
    auto at = list.end();
    while (at != list.begin() && std::prev(at)->limits.*time > request.limits.*time)
        --at;
    list.insert(at, request);
}

/** Moves requests that can no longer meet their objective to the late ones. */
void moveLate(RankedWaiting &waiting, TimePoint now)
{
    while (!waiting.inTime.empty() && now > waiting.inTime.front().limits.goal) {
        insertByTime(waiting.late, waiting.inTime.front(), &StartLimits::last);
        waiting.inTime.pop_front();
    }
}

/** @return Whether the request was found and erased. */
bool eraseFrom(std::deque<RankedRequest> &list, RequestId id)
{
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&](const RankedRequest &item) { return item.request == id; });
    if (it == list.end())
        return false;
    list.erase(it);
    return true;
}

RankCandidates collectCandidates(int rank, RankClass &rankClass, TimePoint now)
{
    RankCandidates out;
    out.rank = rank;
    out.rankClass = &rankClass;
    for (auto &[account, flow] : rankClass.flows) {
        if (flow.count == 0)
            continue;
        for (auto &[group, waiting] : flow.waiting) {
            moveLate(waiting, now);
            for (const std::deque<RankedRequest> *list : {&waiting.inTime, &waiting.late}) {
                if (list->empty())
                    continue;
                const RankedRequest &first = list->front();
                out.list.push_back({standingOf(first.limits, now), flow.virtualTime,
                                    placeOf(rank, first.limits, now), &account, &group, &first});
            }
        }
    }
    std::sort(out.list.begin(), out.list.end());
    return out;
}

/** @return Whether @p a is served before @p b; both have a candidate left. */
bool comesBefore(const RankCandidates &a, const RankCandidates &b)
{
    const auto key = [](const RankCandidates &item) {
        return std::make_tuple(item.rankClass->owed < 1, item.list[item.next].place);
    };
    return key(a) < key(b);
}

/** Credits the ranks that wait with their least shares, and debits the rank that was picked. */
void accountPick(RankedQueue &queue, int picked)
{
    const auto all = static_cast<double>(queue.count);
    double lowest = 0;
    for (const auto &[rank, rankClass] : queue.ranks)
        lowest = rankClass.count > 0 ? static_cast<double>(rankClass.count) : lowest;
    const double least = leastPart(lowest, all);
    bool first = true;
    for (auto &[rank, rankClass] : queue.ranks) {
        if (rankClass.count == 0)
            continue;
        if (!first)
            rankClass.owed += least * static_cast<double>(rankClass.count) / all;
        rankClass.owed = std::min(rankClass.owed, MAX_OWED_PICKS);
        first = false;
    }
    RankClass &served = queue.ranks.at(picked);
    served.owed = std::max(served.owed - 1, 0.0);
}

/** Removes @p id from a flow and updates the counters. @return False if it is not queued. */
bool removeFromFlow(RankedQueue &queue, RankClass &rankClass, RankedFlow &flow,
                    const WorkGroup &group, RequestId id)
{
    const auto waiting = flow.waiting.find(group);
    if (waiting == flow.waiting.end())
        return false;
    if (!eraseFrom(waiting->second.inTime, id) && !eraseFrom(waiting->second.late, id))
        return false;
    if (countWaiting(waiting->second) == 0)
        flow.waiting.erase(waiting);
    --flow.count;
    --rankClass.count;
    --queue.count;
    return true;
}

QueueEntry takeCandidate(RankedQueue &queue, const RankCandidates &chosen)
{
    const Candidate &candidate = chosen.list[chosen.next];
    QueueEntry entry{candidate.request->request,   *candidate.account, *candidate.group,
                     candidate.request->workClass, chosen.rank,        candidate.request->limits};
    RankClass &rankClass = *chosen.rankClass;
    rankClass.virtualTime = std::max(rankClass.virtualTime, candidate.virtualTime);
    accountPick(queue, chosen.rank);
    removeFromFlow(queue, rankClass, rankClass.flows.at(entry.account), entry.group, entry.request);
    return entry;
}

} // namespace

void enqueueRanked(RankedQueue &queue, const QueueEntry &entry, bool front)
{
    RankClass &rankClass = queue.ranks[*entry.rank];
    RankedFlow &flow = rankClass.flows[entry.account];
    if (flow.count == 0)
        flow.virtualTime = std::max(flow.virtualTime, rankClass.virtualTime);
    RankedWaiting &waiting = flow.waiting[entry.group];
    const RankedRequest request{entry.request, entry.workClass, entry.limits};
    if (front)
        waiting.inTime.push_front(request);
    else
        insertByTime(waiting.inTime, request, &StartLimits::goal);
    ++flow.count;
    ++rankClass.count;
    ++queue.count;
}

bool removeRanked(RankedQueue &queue, const QueueEntry &entry)
{
    const auto rankClass = queue.ranks.find(*entry.rank);
    if (rankClass == queue.ranks.end())
        return false;
    const auto flow = rankClass->second.flows.find(entry.account);
    return flow != rankClass->second.flows.end()
        && removeFromFlow(queue, rankClass->second, flow->second, entry.group, entry.request);
}

std::optional<QueueEntry>
dequeueRanked(RankedQueue &queue,
              const std::function<bool(const WorkGroup &, WorkClass, RequestId)> &ready,
              TimePoint now)
{
    std::vector<RankCandidates> ranks;
    for (auto &[rank, rankClass] : queue.ranks) {
        if (rankClass.count > 0)
            ranks.push_back(collectCandidates(rank, rankClass, now));
    }
    while (!ranks.empty()) {
        const auto best = std::min_element(ranks.begin(), ranks.end(), comesBefore);
        const Candidate &candidate = best->list[best->next];
        if (ready(*candidate.group, candidate.request->workClass, candidate.request->request))
            return takeCandidate(queue, *best);
        if (++best->next == best->list.size())
            ranks.erase(best);
    }
    return std::nullopt;
}

double countRankedAhead(const RankedQueue &queue, const QueueEntry &entry,
                        const std::function<double(const AccountId &)> &weightOf)
{
    double ahead = 0;
    for (const auto &[rank, rankClass] : queue.ranks) {
        if (rank > *entry.rank)
            break;
        const auto own = rankClass.flows.find(entry.account);
        const double ownQueued = rank < *entry.rank || own == rankClass.flows.end()
            ? 0
            : static_cast<double>(countOfGroup(own->second, entry.group));
        const double turns = (ownQueued + 1) / weightOf(entry.account);
        for (const auto &[account, flow] : rankClass.flows) {
            const auto queued = static_cast<double>(countOfGroup(flow, entry.group));
            const bool allFirst = rank < *entry.rank || account == entry.account;
            ahead += allFirst ? queued : std::min(queued, turns * weightOf(account));
        }
    }
    return ahead;
}

std::vector<RequestId> findTooLate(RankedQueue &queue, TimePoint now)
{
    std::vector<RequestId> out;
    for (auto &[rank, rankClass] : queue.ranks) {
        if (rankClass.count == 0)
            continue;
        for (auto &[account, flow] : rankClass.flows) {
            for (auto &[group, waiting] : flow.waiting) {
                moveLate(waiting, now);
                for (const RankedRequest &item : waiting.late) {
                    if (now < item.limits.last)
                        break;
                    out.push_back(item.request);
                }
            }
        }
    }
    return out;
}

std::optional<std::pair<RequestId, TimePoint>>
findLastInOrder(const RankedQueue &queue, const WorkGroup &group,
                const std::function<bool(RequestId)> &mayRefuse)
{
    for (auto rank = queue.ranks.rbegin(); rank != queue.ranks.rend(); ++rank) {
        std::optional<std::pair<RequestId, TimePoint>> found;
        for (const auto &[account, flow] : rank->second.flows) {
            const auto waiting = flow.waiting.find(group);
            if (waiting == flow.waiting.end())
                continue;
            for (const auto *list : {&waiting->second.inTime, &waiting->second.late}) {
                if (list->empty())
                    continue;
                const RankedRequest &item = list->back();
                if ((!found || item.limits.last > found->second) && mayRefuse(item.request))
                    found = std::pair(item.request, item.limits.last);
            }
        }
        if (found)
            return found;
    }
    return std::nullopt;
}

} // namespace bilberry
