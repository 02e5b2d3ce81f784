/** @file report_cmd.cpp What a host reports to the leader, and what it asks for. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration LOCAL_TARGET_SILENCE = 3s;
constexpr Duration URGENT_PAUSE_LEAST = 1ms; ///< Between reports that something is short.
constexpr Duration URGENT_PAUSE_MOST = 40ms; ///< While it stays short.
constexpr Duration URGENT_MEMORY = 200ms;
constexpr Duration ACCOUNT_MEMORY = 60s; ///< An account unused for so long is no longer reported.
constexpr double DEMAND_SMOOTHING = 0.3;
constexpr double PREFETCH_INTERVALS = 2; ///< Budgets kept ahead, in report intervals of demand.
constexpr Duration GROUP_MEMORY = 10s; ///< A group dispatched within this is in use.
constexpr Duration RETURN_SLACK = 500ms; ///< Callers come back a little late.
constexpr double PEAK_DECAY = 0.8; ///< Per report.

void noteDemand(double &demand, std::int64_t &used)
{
    demand += DEMAND_SMOOTHING * (static_cast<double>(used) - demand);
    used = 0;
}

/** Hands back what is not needed soon, and asks for what is short. */
PoolUse planPool(HeldPool &pool, std::int64_t need, double demand, bool keep, TimePoint now)
{
    lapse(pool, now);
    const auto ahead = keep ? static_cast<std::int64_t>(std::ceil(demand * PREFETCH_INTERVALS)) : 0;
    const std::int64_t target = need + ahead;
    const std::int64_t surplus = pool.balance() - 2 * target;
    if (surplus > 0)
        pool.returned += surplus;
    return useOf(pool, std::max<std::int64_t>(target - pool.balance(), 0));
}

void reportAccounts(Host &host, HostReport &report, bool periodic, TimePoint now)
{
    for (auto &[id, held] : host.accounts) {
        if (periodic) {
            noteDemand(held.requestDemand, held.usedRequests);
            noteDemand(held.tokenDemand, held.usedTokens);
        }
        const bool idle = now - held.lastUse > ACCOUNT_MEMORY && held.waiting.empty()
            && held.requests.balance() == 0 && held.tokens.balance() == 0;
        if (idle)
            continue;
        const auto [requests, tokens] = waitingNeed(host, held);
        AccountUse use;
        use.account = id;
        use.requests = planPool(held.requests, requests, held.requestDemand, !host.leaving, now);
        use.tokens = planPool(held.tokens, tokens, held.tokenDemand, !host.leaving, now);
        report.accounts.push_back(use);
    }
}

/** Waiting requests spread over the targets that could serve them. */
std::map<TargetId, std::map<AccountId, int>> spreadWaiting(const Host &host, TimePoint now)
{
    std::map<TargetId, std::map<AccountId, int>> spread;
    const auto addFlows = [&](const FlowClass &flows) {
        for (const auto &[account, flow] : flows.flows) {
            for (const auto &[group, waiting] : flow.waiting) {
                const std::vector<TargetId> open = openTargets(host, group, now);
                if (open.empty())
                    continue;
                const auto each
                    = static_cast<int>((waiting.size() + open.size() - 1) / open.size());
                for (const TargetId &target : open)
                    spread[target][account] += each;
            }
        }
    };
    addFlows(host.queue.interactive);
    addFlows(host.queue.bulk);
    return spread;
}

Duration busyFor(const Host &host, const KnownTarget &target, TimePoint now)
{
    Duration longest{};
    for (const RequestId id : target.running)
        longest = std::max(longest, host.requests.at(id).deadline - now);
    return longest;
}

/** @return Whether a group that the target serves was in use lately. */
bool servesUsedGroup(const Host &host, const KnownTarget &target, TimePoint now)
{
    const auto used = [&](const WorkGroup &group) {
        const auto statistics = host.groups.find(group);
        return statistics != host.groups.end()
            && now - statistics->second.lastDispatch < GROUP_MEMORY;
    };
    const TargetAnnouncement &announcement = target.announcement;
    if (announcement.kind == TargetKind::Service)
        return used({{}, announcement.service});
    return std::any_of(announcement.loaded.begin(), announcement.loaded.end(),
                       [&](const LoadedVariant &loaded) {
                           return used({loaded.variant, announcement.service});
                       });
}

/** Slots to hold without a request that waits: by recent use, and more where all are taken. */
std::int64_t slotsAhead(const Host &host, const KnownTarget &target, TimePoint now)
{
    const auto running = static_cast<std::int64_t>(target.running.size());
    if (host.leaving)
        return running;
    const bool near = target.announcement.zone == host.settings.zone;
    const bool open = !target.announcement.leaving && now >= target.health.ejectedUntil
        && acceptsWork(host.view, target.announcement.id, target.announcement.zone);
    if (!open || !servesUsedGroup(host, target, now))
        return static_cast<std::int64_t>(std::round(target.peak));
    const std::int64_t held = std::max<std::int64_t>(target.slots.balance(), 0);
    const std::int64_t growth = near && running >= held ? std::max<std::int64_t>(held / 2, 1) : 0;
    return std::max(
        {static_cast<std::int64_t>(std::ceil(target.peak)), running + growth, std::int64_t{1}});
}

void reportTarget(Host &host, KnownTarget &target, std::map<AccountId, int> demand,
                  HostReport &report, bool periodic, TimePoint now)
{
    int waiting = 0;
    for (const auto &[account, count] : demand)
        waiting += count;
    for (const RequestId id : target.running)
        ++demand[host.requests.at(id).account];
    const auto running
        = static_cast<std::int64_t>(target.running.size() + target.cancelling.size());
    if (periodic)
        target.peak = std::max(static_cast<double>(running), target.peak * PEAK_DECAY);
    const std::int64_t held = target.slots.balance();
    const bool unused = running == 0 && waiting == 0 && held <= 0;
    if (unused && slotsAhead(host, target, now) == 0)
        return;
    std::int64_t wanted = std::max(running + waiting, slotsAhead(host, target, now));
    if (target.share >= 0)
        wanted = std::min<std::int64_t>(wanted, target.share);
    const std::int64_t surplus = std::min(held - std::max(wanted, running), target.freeSlots());
    if (surplus > 0)
        target.slots.returned += surplus;
    SlotUse use;
    use.target = target.announcement.id;
    use.start = target.announcement.start;
    use.slots = useOf(target.slots,
                      std::max<std::int64_t>(std::max(wanted, running + waiting) - held, 0));
    use.succeeded = target.succeeded;
    use.overloaded = target.overloaded;
    use.failed = target.failed;
    use.limit = target.limit;
    use.busyFor = busyFor(host, target, now);
    for (const auto &[account, count] : demand)
        use.demand.push_back({account, count});
    report.slots.push_back(std::move(use));
}

void reportVariants(Host &host, HostReport &report, TimePoint now)
{
    std::map<Variant, VariantUse> uses;
    std::map<Variant, std::map<AccountId, int>> accounts;
    for (const auto &[id, request] : host.requests) {
        const Variant &variant = request.group.variant;
        if (variant.model.value.empty())
            continue;
        VariantUse &use = uses[variant];
        if (request.state == RequestState::Running) {
            ++use.running;
            continue;
        }
        if (request.state != RequestState::Queued)
            continue;
        ++use.waiting;
        ++accounts[variant][request.account];
        const Duration left = request.deadline - now;
        if (!use.earliestDeadlineIn || left < *use.earliestDeadlineIn)
            use.earliestDeadlineIn = left;
    }
    for (auto &[group, statistics] : host.groups) {
        if (statistics.arrived > 0 && !group.variant.model.value.empty())
            uses[group.variant].arrived = statistics.arrived;
        statistics.arrived = 0;
        std::erase_if(statistics.returns, [&](TimePoint at) { return now - at > RETURN_SLACK; });
        if (!statistics.returns.empty() && !group.variant.model.value.empty())
            uses[group.variant].returning = static_cast<int>(statistics.returns.size());
    }
    for (auto &[variant, use] : uses) {
        use.variant = variant;
        for (const auto &[account, count] : accounts[variant])
            use.accounts.push_back({account, count});
        report.variants.push_back(std::move(use));
    }
}

void reportLocalTargets(Host &host, HostReport &report, TimePoint now)
{
    std::erase_if(host.local,
                  [&](const auto &item) { return now - item.second.heard > LOCAL_TARGET_SILENCE; });
    for (auto &[id, local] : host.local) {
        if (local.changed) {
            report.targets.push_back(local.announcement);
        } else if (local.heard > local.reported) {
            report.alive.emplace_back(id, local.announcement.start);
        }
        local.reported = local.heard;
    }
}

} // namespace

std::pair<std::int64_t, std::int64_t> waitingNeed(const Host &host, const HeldAccount &held)
{
    std::int64_t tokens = 0;
    for (const RequestId id : held.waiting)
        tokens += host.requests.at(id).estimate;
    return {static_cast<std::int64_t>(held.waiting.size()), tokens};
}

/** What stays short is asked for less and less often: asking does not make the leader have more. */
void noteUrgency(Host &host, TimePoint now)
{
    if (now >= host.reportDue || !host.reportWanted)
        return;
    const bool again = now < host.urgentAt + URGENT_MEMORY;
    const int crowd = std::max(host.hostCount / FEW_HOSTS, 1);
    const Duration most = URGENT_PAUSE_MOST * crowd;
    host.urgentPause = again ? std::min<Duration>(2 * host.urgentPause, most)
                             : URGENT_PAUSE_LEAST * crowd * crowd;
    host.urgentAt = now;
}

void sendReport(Host &host, HostEffects &effects, TimePoint now)
{
    const bool periodic = now >= host.reportDue;
    if (periodic)
        host.reportDue = now + host.settings.reportInterval;
    HostReport report;
    report.holder = host.settings.holder;
    report.zone = host.settings.zone;
    report.sequence = ++host.reportSequence;
    report.sentAt = now;
    report.term = host.term;
    report.table = host.table;
    report.registryEpoch = host.registryEpoch;
    report.registry = host.registry;
    report.membershipIndex = host.membershipIndex;
    report.suspectsVersion = host.suspectsVersion;
    report.leaving = host.leaving;
    report.entry = host.settings.entry;
    report.member = host.settings.member;
    reportAccounts(host, report, periodic, now);
    auto spread = spreadWaiting(host, now);
    for (auto &[id, target] : host.targets)
        reportTarget(host, target, std::move(spread[id]), report, periodic, now);
    reportVariants(host, report, now);
    reportLocalTargets(host, report, now);
    report.suspicions = std::move(host.suspicions);
    report.cleared = std::move(host.cleared);
    report.targetsLeft = std::move(host.targetsLeft);
    host.targetsLeft.clear();
    host.suspicions.clear();
    host.cleared.clear();
    host.grantAwaited = true;
    host.reportWanted = false;
    host.reportSentAt = now;
    ++host.counters.reports;
    effects.push_back(SendControl{std::move(report)});
}

} // namespace bilberry
