/** @file report_cmd.cpp Builds a host's reports to the leader: use, demand, wanted leases. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

/** After this time without an announcement, a target is no longer reported. */
constexpr Duration LOCAL_TARGET_TIMEOUT = 3s;
/** Bound of the periodic reports of all hosts together, since a single leader answers them; not
 * applied beyond MAX_REPORT_INTERVAL. */
constexpr int MAX_PERIODIC_REPORTS_PER_SECOND = 400;
/** A report that is lost can be repeated before the leases of the last one end. */
constexpr Duration MAX_REPORT_INTERVAL = BUDGET_LEASE / 2;
constexpr double MIN_INTERVAL_PART = 0.8; ///< Shortest interval, as a part of reportInterval().
constexpr Duration MIN_EARLY_REPORT_INTERVAL = 1ms; ///< First back-off between early reports.
constexpr Duration MAX_EARLY_REPORT_INTERVAL = 40ms; ///< Maximum back-off between early reports.
/** The back-off starts anew if no early report was due for this time after the last interval. */
constexpr Duration EARLY_REPORT_BACKOFF_RESET = 200ms;
/** Targets at which a waiting request wants a slot, if there are fewer slots than hosts. In a large
 * cluster one, as a slot that is not used lies idle for the long round trip to the leader. */
constexpr std::size_t SCARCE_SLOT_CANDIDATES = 2;
constexpr std::size_t SCARCE_SLOT_CANDIDATES_LARGE = 1;
constexpr Duration ACCOUNT_IDLE_TIMEOUT = 5s; ///< An account unused for this long is not reported.
constexpr double DEMAND_SMOOTHING = 0.3; ///< Weight of a new sample in the demand averages.
constexpr double PREFETCH_INTERVALS = 2; ///< Budget held ahead, in report intervals of demand.
/** In a large cluster, a host holds budget ahead only for accounts of which it expects at least so
 * many requests meanwhile: the other hosts would lack it, and less than a request's is of no use.
 */
constexpr double MIN_PREFETCHED_REQUESTS = 1;
/** After this time without a dispatch, a work group is not in use. */
constexpr Duration GROUP_IDLE_TIMEOUT = 10s;
/** A refused caller is expected to retry until this long after the time named in the refusal. */
constexpr Duration RETRY_GRACE = 500ms;
constexpr double PEAK_DECAY = 0.8; ///< Factor on KnownTarget::peak at each periodic report.

/** @return Whether the leader has so many hosts that their reports must be few. */
bool isLargeCluster(const Host &host)
{
    return host.hostCount > SMALL_CLUSTER_HOSTS;
}

/** Adds the use in the last report interval to the demand average, and resets the use. */
void updateDemand(double &demand, std::int64_t &used)
{
    demand += DEMAND_SMOOTHING * (static_cast<double>(used) - demand);
    used = 0;
}

/**
 * Gives the balance beyond twice the expected use back to the leader; requests a missing amount.
 * @param need Amount that waiting requests need.
 * @param demand Smoothed use per report interval.
 * @param keep Whether to hold budget ahead of the demand.
 */
PoolUse rebalancePool(HeldPool &pool, std::int64_t need, double demand, bool keep, TimePoint now)
{
    forfeitExpired(pool, now);
    const auto ahead = keep ? static_cast<std::int64_t>(std::ceil(demand * PREFETCH_INTERVALS)) : 0;
    const std::int64_t target = need + ahead;
    const std::int64_t surplus = pool.balance() - 2 * target;
    if (surplus > 0)
        pool.returned += surplus;
    return makePoolUse(pool, std::max<std::int64_t>(target - pool.balance(), 0));
}

/** @return Whether the host holds budget of the account ahead of the demand. */
bool holdsAhead(const Host &host, const AccountLease &held)
{
    if (host.leaving)
        return false;
    return !isLargeCluster(host)
        || held.requestDemand * PREFETCH_INTERVALS >= MIN_PREFETCHED_REQUESTS;
}

/** @return Whether the host holds and wants nothing of the account, and the leader knows the rest.
 */
bool isKnownToLeader(const AccountLease &held, const AccountUse &use)
{
    return held.waiting.empty() && held.requests.balance() == 0 && held.tokens.balance() == 0
        && use.requests.want == 0 && use.tokens.want == 0 && held.confirmed == use;
}

/**
 * Reports the use of and the demand for all accounts' budgets.
 * @param periodic Whether this is a periodic report; these update the demand averages.
 */
void reportAccounts(Host &host, HostReport &report, bool periodic, TimePoint now)
{
    for (auto &[id, held] : host.accounts) {
        if (periodic) {
            updateDemand(held.requestDemand, held.usedRequests);
            updateDemand(held.tokenDemand, held.usedTokens);
        }
        const bool idle = now - held.lastUse > ACCOUNT_IDLE_TIMEOUT && held.waiting.empty()
            && held.requests.balance() == 0 && held.tokens.balance() == 0;
        if (idle) {
            held.shortSince.reset(); // No further grant will say whether the budgets are short.
            held.reported.reset();
            continue;
        }
        const auto [requests, tokens] = waitingDemand(host, held);
        AccountUse use;
        use.account = id;
        const bool keep = holdsAhead(host, held);
        use.requests = rebalancePool(held.requests, requests, held.requestDemand, keep, now);
        use.tokens = rebalancePool(held.tokens, tokens, held.tokenDemand, keep, now);
        if (isKnownToLeader(held, use)) {
            held.shortSince.reset();
            held.reported.reset();
            continue;
        }
        held.reported = use;
        report.accounts.push_back(use);
    }
}

/** Account and rank of requests. */
using Claimant = std::pair<AccountId, int>;

/** Requests that wait for a slot, or for a budget and then a slot, by group, account and rank. */
using WaitingCounts = std::map<WorkGroup, std::map<Claimant, std::size_t>>;

/** Adds the queued requests of a service with ranks. */
void countRanked(const RankedQueue &queue, WaitingCounts &counts)
{
    for (const auto &[rank, rankClass] : queue.ranks) {
        if (rankClass.count == 0)
            continue;
        for (const auto &[account, flow] : rankClass.flows) {
            for (const auto &[group, waiting] : flow.waiting)
                counts[group][{account, rank}] += waiting.inTime.size() + waiting.late.size();
        }
    }
}

/**
 * @return Counts of the waiting requests. Those that still wait for a budget are included, so that
 * the leader grants budget and slot in one round trip, unless the leader's last grant left the
 * budget short: a slot would lie idle meanwhile.
 */
WaitingCounts countWaiting(const Host &host)
{
    WaitingCounts counts;
    for (const FlowClass *flows : {&host.queue.interactive, &host.queue.bulk}) {
        for (const auto &[account, flow] : flows->flows) {
            for (const auto &[group, waiting] : flow.waiting)
                counts[group][{account, 0}] += waiting.size();
        }
    }
    for (const auto &[service, ranked] : host.queue.ranked)
        countRanked(ranked, counts);
    for (const auto &[account, held] : host.accounts) {
        if (held.shortSince)
            continue;
        for (const RequestId id : held.waiting) {
            const Request &request = host.requests.at(id);
            ++counts[request.group][{account, request.rank}];
        }
    }
    return counts;
}

/** @return Whether the target has fewer slots than there are hosts, so that no host should hold a
 * slot that it does not use. */
bool hasScarceSlots(const Host &host, const KnownTarget &target)
{
    return target.limit > 0 && target.limit < host.hostCount;
}

/** @return Whether the target is one of a plain service with fewer slots than the many hosts. */
bool isScarceService(const Host &host, const KnownTarget &target)
{
    return isLargeCluster(host) && target.announcement.kind == TargetKind::Service
        && hasScarceSlots(host, target);
}

/**
 * @return The targets of @p open at which this host wants slots for @p waiting requests: all, or a
 * few if slots are scarce. Hosts begin at different targets, and each report at another one.
 */
std::vector<TargetId> targetsToAsk(const Host &host, const std::vector<TargetId> &open,
                                   std::size_t waiting)
{
    const bool scarce = std::all_of(open.begin(), open.end(), [&](const TargetId &id) {
        return hasScarceSlots(host, host.targets.at(id));
    });
    const std::size_t count
        = waiting * (isLargeCluster(host) ? SCARCE_SLOT_CANDIDATES_LARGE : SCARCE_SLOT_CANDIDATES);
    if (!scarce || count >= open.size())
        return open;
    std::vector<TargetId> asked;
    const std::size_t first = static_cast<std::size_t>(host.hostRank) + host.reportSequence;
    for (std::size_t i = 0; i < count; ++i)
        asked.push_back(open[(first + i) % open.size()]);
    return asked;
}

/** @return Waiting requests per target and claimant, spread evenly over the eligible targets. */
std::map<TargetId, std::map<Claimant, int>> distributeWaiting(const Host &host, TimePoint now)
{
    std::map<TargetId, std::map<Claimant, int>> spread;
    for (const auto &[group, claimants] : countWaiting(host)) {
        const std::vector<TargetId> open = eligibleTargets(host, group, now);
        if (open.empty())
            continue;
        for (const auto &[claimant, waiting] : claimants) {
            const std::vector<TargetId> asked = targetsToAsk(host, open, waiting);
            const auto each = static_cast<int>((waiting + asked.size() - 1) / asked.size());
            for (const TargetId &target : asked)
                spread[target][claimant] += each;
        }
    }
    return spread;
}

/** @return Time until the latest deadline of the requests that run at the target. */
Duration busyFor(const Host &host, const KnownTarget &target, TimePoint now)
{
    Duration longest{};
    for (const RequestId id : target.running)
        longest = std::max(longest, host.requests.at(id).deadline - now);
    return longest;
}

/** @return Whether a group that the target serves was dispatched recently. */
bool servesUsedGroup(const Host &host, const KnownTarget &target, TimePoint now)
{
    const auto used = [&](const WorkGroup &group) {
        const auto statistics = host.groups.find(group);
        return statistics != host.groups.end()
            && now - statistics->second.lastDispatch < GROUP_IDLE_TIMEOUT;
    };
    const TargetAnnouncement &announcement = target.announcement;
    if (announcement.kind == TargetKind::Service)
        return used({{}, announcement.service});
    return std::any_of(announcement.loaded.begin(), announcement.loaded.end(),
                       [&](const LoadedVariant &loaded) {
                           return used({loaded.variant, announcement.service});
                       });
}

/** @return Slots to hold regardless of waiting requests, by recent peak use. At a target in this
 * host's zone whose held slots are all in use, half as many slots more (at least one) are held. */
std::int64_t slotsToHold(const Host &host, const KnownTarget &target, TimePoint now)
{
    const auto running = static_cast<std::int64_t>(target.running.size());
    if (host.leaving || hasScarceSlots(host, target))
        return running;
    const bool sameZone = target.announcement.zone == host.settings.zone;
    const bool open = !target.announcement.leaving && !target.statedLeaving
        && now >= target.health.ejectedUntil && acceptsWork(host.view, target.announcement);
    if (!open || !servesUsedGroup(host, target, now))
        return static_cast<std::int64_t>(std::round(target.peak));
    const std::int64_t held = std::max<std::int64_t>(target.slots.balance(), 0);
    const std::int64_t growth
        = sameZone && running >= held ? std::max<std::int64_t>(held / 2, 1) : 0;
    return std::max(
        {static_cast<std::int64_t>(std::ceil(target.peak)), running + growth, std::int64_t{1}});
}

/**
 * Reports the use of a target's slots, returns unneeded slots and requests missing ones.
 * @param demand Queued requests for the target by account and rank.
 */
void reportTarget(Host &host, KnownTarget &target, std::map<Claimant, int> demand,
                  HostReport &report, bool periodic, TimePoint now)
{
    int waiting = 0;
    for (const auto &[claimant, count] : demand)
        waiting += count;
    reportRate(host, target, waiting, report, now);
    if (target.statedLeaving && !target.announcement.leaving)
        report.statedLeaving.emplace_back(target.announcement.id, target.announcement.start);
    for (const RequestId id : target.running) {
        const Request &request = host.requests.at(id);
        ++demand[{request.account, request.rank}];
    }
    const auto running
        = static_cast<std::int64_t>(target.running.size() + target.cancelling.size());
    if (periodic)
        target.peak = std::max(static_cast<double>(running), target.peak * PEAK_DECAY);
    const std::int64_t held = target.slots.balance();
    const bool unused = running == 0 && waiting == 0 && held <= 0;
    if (unused && slotsToHold(host, target, now) == 0)
        return;
    std::int64_t wanted = std::max(running + waiting, slotsToHold(host, target, now));
    if (target.share >= 0)
        wanted = std::min<std::int64_t>(wanted, target.share);
    const std::int64_t surplus = std::min(held - std::max(wanted, running), target.freeSlots());
    if (surplus > 0)
        target.slots.returned += surplus;
    SlotUse use;
    use.target = target.announcement.id;
    use.start = target.announcement.start;
    use.slots = makePoolUse(target.slots,
                            std::max<std::int64_t>(std::max(wanted, running + waiting) - held, 0));
    use.succeeded = target.succeeded;
    use.overloaded = target.overloaded;
    use.failed = target.failed;
    use.limit = target.limit;
    use.busyFor = busyFor(host, target, now);
    for (const auto &[claimant, count] : demand)
        use.demand.push_back({claimant.first, count, claimant.second});
    report.slots.push_back(std::move(use));
}

/** @return Weight of a waiting request in the order in which the leader loads models. */
double demandWeight(const Request &)
{
    return 1;
}

/** Reports running, waiting and expected requests by model and adapter. */
void reportVariants(Host &host, HostReport &report, TimePoint now)
{
    std::map<Variant, VariantUse> uses;
    std::map<Variant, std::map<AccountId, int>> accounts;
    std::map<Variant, std::map<std::string, int>> pinned;
    std::map<Variant, std::map<Duration, WaitingDemand>> timeLeft;
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
        if (const std::optional<std::string> version = lackedVersion(host, request))
            ++pinned[variant][*version];
        ++accounts[variant][request.account];
        if (holdForecasts(host, now)) {
            const Duration usable = std::max<Duration>(latestDispatch(request) - now, 0s);
            WaitingDemand &group
                = timeLeft[variant][std::chrono::floor<std::chrono::seconds>(usable)];
            ++group.waiting;
            group.weight += demandWeight(request);
        }
        const Duration left = request.deadline - now;
        if (!use.earliestDeadlineIn || left < *use.earliestDeadlineIn)
            use.earliestDeadlineIn = left;
    }
    for (auto &[group, statistics] : host.groups) {
        if (statistics.arrived > 0 && !group.variant.model.value.empty())
            uses[group.variant].arrived = statistics.arrived;
        statistics.arrived = 0;
        std::erase_if(statistics.returns, [&](TimePoint at) { return now - at > RETRY_GRACE; });
        if (!statistics.returns.empty() && !group.variant.model.value.empty())
            uses[group.variant].returning = static_cast<int>(statistics.returns.size());
    }
    for (auto &[variant, use] : uses) {
        use.variant = variant;
        for (const auto &[account, count] : accounts[variant])
            use.accounts.push_back({account, count});
        for (const auto &[version, count] : pinned[variant])
            use.pinned.push_back({version, count});
        for (const auto &[left, group] : timeLeft[variant])
            use.timeLeft.push_back({left, group.waiting, group.weight});
        report.variants.push_back(std::move(use));
    }
}

/** Reports the targets that send announcements to this host; removes those whose
 * announcements have stopped. */
void reportLocalTargets(Host &host, HostReport &report, TimePoint now)
{
    std::erase_if(host.localTargets,
                  [&](const auto &item) { return now - item.second.heard > LOCAL_TARGET_TIMEOUT; });
    for (auto &[id, local] : host.localTargets) {
        if (local.changed) {
            report.targets.push_back(local.announcement);
        } else if (local.heard > local.reported) {
            report.alive.emplace_back(id, local.announcement.start);
        }
        local.reported = local.heard;
    }
}

/** @return Factor of the intervals of early reports: the number of hosts in multiples of
 * SMALL_CLUSTER_HOSTS. */
int clusterScale(const Host &host)
{
    return std::max(host.hostCount / SMALL_CLUSTER_HOSTS, 1);
}

Duration minEarlyReportInterval(const Host &host)
{
    return MIN_EARLY_REPORT_INTERVAL * clusterScale(host);
}

/** @return Interval until the next periodic report. It varies, so that hosts that have started
 * together do not report together; alone in a small cluster, whose leader can answer all at once,
 * it does not. */
Duration variedReportInterval(const Host &host)
{
    const Duration interval = reportInterval(host);
    if (!isLargeCluster(host))
        return interval;
    std::uint64_t hash = std::hash<std::string>{}(host.settings.holder.host.value)
        + host.reportSequence * 0x9E3779B97F4A7C15ULL;
    hash ^= hash >> 29;
    const double part = static_cast<double>(hash % 1'000) / 1'000;
    return fromSeconds(toSeconds(interval) * (MIN_INTERVAL_PART + (1 - MIN_INTERVAL_PART) * part));
}

} // namespace

std::pair<std::int64_t, std::int64_t> waitingDemand(const Host &host, const AccountLease &held)
{
    std::int64_t tokens = 0;
    for (const RequestId id : held.waiting)
        tokens += host.requests.at(id).estimate;
    return {static_cast<std::int64_t>(held.waiting.size()), tokens};
}

void returnIdleSlots(Host &host, const KnownTarget &target)
{
    if (isScarceService(host, target) && target.freeSlots() > 0)
        host.earlyReportRequested = true;
}

bool isEarlyReportDue(const Host &host, TimePoint now)
{
    if (!host.earlyReportRequested)
        return false;
    if (host.promptReportRequested) {
        const Duration pause = std::min(host.earlyReportInterval, minEarlyReportInterval(host));
        return now >= host.lastEarlyReportAt + pause;
    }
    // Beyond that, the periodic report comes early enough.
    if (2 * host.earlyReportInterval > reportInterval(host))
        return false;
    return now >= host.lastEarlyReportAt + host.earlyReportInterval;
}

Duration reportInterval(const Host &host)
{
    const Duration shared = Duration(1s) * host.hostCount / MAX_PERIODIC_REPORTS_PER_SECOND;
    return std::max(host.settings.reportInterval, std::min(shared, MAX_REPORT_INTERVAL));
}

void updateEarlyReportBackoff(Host &host, TimePoint now)
{
    if (!host.earlyReportRequested)
        return;
    if (now >= host.reportDue) {
        // A periodic report says the same as an early one, which a large cluster saves.
        if (isLargeCluster(host))
            host.lastEarlyReportAt = now;
        return;
    }
    const bool again
        = now < host.lastEarlyReportAt + host.earlyReportInterval + EARLY_REPORT_BACKOFF_RESET;
    const Duration maxInterval = MAX_EARLY_REPORT_INTERVAL * clusterScale(host);
    host.earlyReportInterval = again ? std::min<Duration>(2 * host.earlyReportInterval, maxInterval)
                                     : minEarlyReportInterval(host);
    host.lastEarlyReportAt = now;
}

void sendReport(Host &host, HostEffects &effects, TimePoint now)
{
    const bool periodic = now >= host.reportDue;
    if (periodic)
        host.reportDue = now + variedReportInterval(host);
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
    report.forecastsVersion = host.forecasts.version;
    report.leaving = host.leaving;
    report.entry = host.settings.entry;
    report.member = host.settings.member;
    reportAccounts(host, report, periodic, now);
    auto spread = distributeWaiting(host, now);
    for (auto &[id, target] : host.targets)
        reportTarget(host, target, std::move(spread[id]), report, periodic, now);
    reportVariants(host, report, now);
    reportLocalTargets(host, report, now);
    report.suspicions = std::move(host.suspicions);
    report.cleared = std::move(host.cleared);
    reportCrashEvidence(host, report, now);
    report.targetsLeft = std::move(host.targetsLeft);
    addUsage(host, report, now);
    host.targetsLeft.clear();
    host.suspicions.clear();
    host.cleared.clear();
    if (!host.awaitingGrant)
        host.silentSince = std::max(host.silentSince, now);
    host.awaitingGrant = true;
    host.earlyReportRequested = false;
    host.promptReportRequested = false;
    host.reportSentAt = now;
    ++host.counters.reports;
    effects.push_back(SendControl{std::move(report)});
}

} // namespace bilberry
