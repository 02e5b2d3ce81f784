/** @file fair_queue.cpp Weighted fair queueing of requests by virtual time. */
#include "queue/fair_queue_func.h"

#include "queue/ranked_queue_func.h"

#include <algorithm>
#include <vector>

namespace bilberry {

namespace {

FlowClass &flowClassOf(FairQueue &queue, WorkClass workClass)
{
    return workClass == WorkClass::Interactive ? queue.interactive : queue.bulk;
}

void countGroupRemoval(FairQueue &queue, const WorkGroup &group)
{
    const auto count = queue.groupCounts.find(group);
    if (--count->second == 0)
        queue.groupCounts.erase(count);
}

/** Updates the counters after a request of @p group was removed from @p flow. */
void countRemoval(FairQueue &queue, Flow &flow, const WorkGroup &group)
{
    --flow.count;
    if (flow.waiting.at(group).empty())
        flow.waiting.erase(group);
    countGroupRemoval(queue, group);
}

/** Removes the next dispatchable request of the services with ranks. Services do not share targets,
 * so their order does not matter. */
std::optional<QueueEntry>
dequeueFromRanked(FairQueue &queue,
                  const std::function<bool(const WorkGroup &, WorkClass, RequestId)> &ready,
                  TimePoint now)
{
    for (auto &[service, ranked] : queue.ranked) {
        std::optional<QueueEntry> entry = dequeueRanked(ranked, ready, now);
        if (!entry)
            continue;
        countGroupRemoval(queue, entry->group);
        return entry;
    }
    return std::nullopt;
}

/**
 * Removes the next dispatchable request of one class. Flows are tried in order of increasing
 * virtual time.
 */
std::optional<QueueEntry>
dequeueFromClass(FairQueue &queue, WorkClass workClass,
                 const std::function<bool(const WorkGroup &, WorkClass, RequestId)> &ready)
{
    FlowClass &flows = flowClassOf(queue, workClass);
    std::vector<std::pair<double, AccountId>> order;
    for (const auto &[account, flow] : flows.flows) {
        if (flow.count > 0)
            order.emplace_back(flow.virtualTime, account);
    }
    std::sort(order.begin(), order.end());
    for (const auto &[time, account] : order) {
        Flow &flow = flows.flows.at(account);
        for (auto &[group, waiting] : flow.waiting) {
            if (!ready(group, workClass, waiting.front()))
                continue;
            const QueueEntry entry{waiting.front(), account, group, workClass};
            waiting.pop_front();
            countRemoval(queue, flow, entry.group);
            flows.virtualTime = std::max(flows.virtualTime, time);
            return entry;
        }
    }
    return std::nullopt;
}

} // namespace

void enqueue(FairQueue &queue, const QueueEntry &entry, bool front)
{
    if (entry.rank) {
        enqueueRanked(queue.ranked[entry.group.service], entry, front);
        ++queue.groupCounts[entry.group];
        return;
    }
    FlowClass &flows = flowClassOf(queue, entry.workClass);
    Flow &flow = flows.flows[entry.account];
    if (flow.count == 0)
        flow.virtualTime = std::max(flow.virtualTime, flows.virtualTime);
    std::deque<RequestId> &waiting = flow.waiting[entry.group];
    if (front)
        waiting.push_front(entry.request);
    else
        waiting.push_back(entry.request);
    ++flow.count;
    ++queue.groupCounts[entry.group];
}

bool removeQueued(FairQueue &queue, const QueueEntry &entry)
{
    if (entry.rank) {
        const auto ranked = queue.ranked.find(entry.group.service);
        const bool removed = ranked != queue.ranked.end() && removeRanked(ranked->second, entry);
        if (removed)
            countGroupRemoval(queue, entry.group);
        return removed;
    }
    FlowClass &flows = flowClassOf(queue, entry.workClass);
    const auto flow = flows.flows.find(entry.account);
    if (flow == flows.flows.end())
        return false;
    const auto waiting = flow->second.waiting.find(entry.group);
    if (waiting == flow->second.waiting.end())
        return false;
    const auto it = std::find(waiting->second.begin(), waiting->second.end(), entry.request);
    if (it == waiting->second.end())
        return false;
    waiting->second.erase(it);
    countRemoval(queue, flow->second, entry.group);
    return true;
}

std::optional<QueueEntry>
dequeueNext(FairQueue &queue,
            const std::function<bool(const WorkGroup &, WorkClass, RequestId)> &ready,
            TimePoint now)
{
    if (std::optional<QueueEntry> ranked = dequeueFromRanked(queue, ready, now))
        return ranked;
    const bool bulkFirst = queue.picks >= INTERACTIVE_PICKS_BEFORE_BULK;
    const WorkClass first = bulkFirst ? WorkClass::Bulk : WorkClass::Interactive;
    const WorkClass second = bulkFirst ? WorkClass::Interactive : WorkClass::Bulk;
    std::optional<QueueEntry> entry = dequeueFromClass(queue, first, ready);
    if (!entry)
        entry = dequeueFromClass(queue, second, ready);
    if (entry)
        queue.picks = entry->workClass == WorkClass::Bulk ? 0 : queue.picks + 1;
    return entry;
}

void chargeFlow(FairQueue &queue, const QueueEntry &entry, double work, double weight)
{
    const double time = work / std::max(weight, 0.01);
    if (entry.rank)
        queue.ranked[entry.group.service].ranks[*entry.rank].flows[entry.account].virtualTime
            += time;
    else
        flowClassOf(queue, entry.workClass).flows[entry.account].virtualTime += time;
}

double countQueuedAhead(const FairQueue &queue, const QueueEntry &entry,
                        const std::function<double(const AccountId &)> &weightOf)
{
    if (entry.rank) {
        const auto ranked = queue.ranked.find(entry.group.service);
        return ranked == queue.ranked.end() ? 0 : countRankedAhead(ranked->second, entry, weightOf);
    }
    const bool isBulk = entry.workClass == WorkClass::Bulk;
    const auto queuedOf = [&](const Flow &flow) {
        const auto waiting = flow.waiting.find(entry.group);
        return waiting == flow.waiting.end() ? 0.0 : static_cast<double>(waiting->second.size());
    };
    const FlowClass &flows = isBulk ? queue.bulk : queue.interactive;
    const auto own = flows.flows.find(entry.account);
    const double ownQueued = own == flows.flows.end() ? 0 : queuedOf(own->second);
    const double turns = (ownQueued + 1) / weightOf(entry.account);
    double ahead = ownQueued;
    for (const auto &[account, flow] : flows.flows) {
        if (account != entry.account)
            ahead += std::min(queuedOf(flow), turns * weightOf(account));
    }
    if (isBulk) {
        for (const auto &[account, flow] : queue.interactive.flows)
            ahead += queuedOf(flow);
    }
    return ahead;
}

bool isFirstOfRank(const FairQueue &queue, const QueueEntry &entry)
{
    const auto ranked = queue.ranked.find(entry.group.service);
    if (!entry.rank || ranked == queue.ranked.end())
        return entry.rank.has_value();
    const auto &ranks = ranked->second.ranks;
    return std::none_of(ranks.begin(), ranks.upper_bound(*entry.rank),
                        [](const auto &item) { return item.second.count > 0; });
}

std::size_t countQueued(const FairQueue &queue, const WorkGroup &group)
{
    const auto it = queue.groupCounts.find(group);
    return it == queue.groupCounts.end() ? 0 : it->second;
}

} // namespace bilberry
