/** @file link_cmd.cpp A host's side of the control link: reports, grants, deltas. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration GRANT_PATIENCE = 200ms; ///< A report without answer is sent anew after this.
constexpr Duration LOCAL_TARGET_SILENCE = 3s;
constexpr Duration URGENT_PAUSE_LEAST = 1ms; ///< Between reports that something is short.
constexpr Duration URGENT_PAUSE_MOST = 40ms; ///< While it stays short.
constexpr Duration URGENT_MEMORY = 200ms;
constexpr Duration LINK_SILENCE = 600ms; ///< Without any message, another control host is tried.
constexpr Duration RESEND_INTERVAL = 500ms;
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

/** What the waiting requests of an account need. */
std::pair<std::int64_t, std::int64_t> waitingNeed(const Host &host, const HeldAccount &held)
{
    std::int64_t tokens = 0;
    for (const RequestId id : held.waiting)
        tokens += host.requests.at(id).estimate;
    return {static_cast<std::int64_t>(held.waiting.size()), tokens};
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

/** What stays short is asked for less and less often: asking does not make the leader have more. */
void noteUrgency(Host &host, TimePoint now)
{
    if (now >= host.reportDue || !host.reportWanted)
        return;
    const bool again = now < host.urgentAt + URGENT_MEMORY;
    host.urgentPause
        = again ? std::min<Duration>(2 * host.urgentPause, URGENT_PAUSE_MOST) : URGENT_PAUSE_LEAST;
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

void changeTerm(Host &host, std::uint64_t term)
{
    if (host.term == term)
        return;
    host.term = term;
    for (auto &[id, held] : host.accounts) {
        beginTerm(held.requests);
        beginTerm(held.tokens);
    }
    for (auto &[id, target] : host.targets) {
        beginTerm(target.slots);
        target.succeeded = target.overloaded = target.failed = 0;
    }
    for (auto &[id, local] : host.local)
        local.changed = true;
    host.reportWanted = true;
}

void unindex(Host &host, const TargetId &id)
{
    for (auto it = host.serving.begin(); it != host.serving.end();) {
        it->second.erase(id);
        it = it->second.empty() ? host.serving.erase(it) : std::next(it);
    }
}

void index(Host &host, const TargetAnnouncement &announcement)
{
    unindex(host, announcement.id);
    if (announcement.kind == TargetKind::Service)
        host.serving[{{}, announcement.service}].insert(announcement.id);
    for (const LoadedVariant &loaded : announcement.loaded)
        host.serving[{loaded.variant, announcement.service}].insert(announcement.id);
}

void dropTarget(Host &host, const TargetId &id)
{
    unindex(host, id);
    host.targets.erase(id);
}

void applyRegistry(Host &host, const RegistryDelta &delta, TimePoint now)
{
    if (delta.full) {
        std::set<TargetId> named;
        for (const TargetAnnouncement &announcement : delta.changed)
            named.insert(announcement.id);
        std::vector<TargetId> gone;
        for (const auto &[id, target] : host.targets) {
            if (!named.contains(id))
                gone.push_back(id);
        }
        for (const TargetId &id : gone)
            dropTarget(host, id);
    }
    for (const TargetId &id : delta.removed)
        dropTarget(host, id);
    for (const TargetAnnouncement &announcement : delta.changed) {
        KnownTarget &target = host.targets[announcement.id];
        // Another start is another target: slots, health and counts begin anew.
        if (target.announcement.start != announcement.start)
            target = {};
        target.announcement = announcement;
        target.declinedUntil.clear();
        target.loadingUntil.clear();
        for (const LoadingVariant &loading : announcement.loading)
            target.loadingUntil[loading.variant] = now + loading.left;
        if (announcement.coldFor > Duration::zero())
            target.coldUntil = now + announcement.coldFor;
        index(host, announcement);
    }
    host.registryEpoch = delta.epoch;
    host.registry = delta.version;
}

void takeGrants(Host &host, const HostGrant &grant, TimePoint now)
{
    const TimePoint expires = grant.sentAt + BUDGET_LEASE;
    for (const AccountGrant &item : grant.accounts) {
        HeldAccount &held = host.accounts[item.account];
        renew(held.requests, item.requests, expires);
        renew(held.tokens, item.tokens, expires);
        held.requestWait = item.requestWait;
        held.tokenWait = item.tokenWait;
        const auto [requests, tokens] = waitingNeed(host, held);
        const bool isShort = held.requests.balance() < requests || held.tokens.balance() < tokens;
        if (!isShort || item.settling)
            held.shortSince.reset();
        else if (!held.shortSince)
            held.shortSince = now;
    }
    for (const SlotGrant &item : grant.slots) {
        const auto target = host.targets.find(item.target);
        if (target == host.targets.end() || target->second.announcement.start != item.start)
            continue;
        renew(target->second.slots, item.slots, expires);
        target->second.limit = item.limit;
        target->second.share = item.share;
    }
    (void)now;
}

void onGrant(Host &host, const HostGrant &grant, HostEffects &effects, TimePoint now)
{
    if (grant.sequence != host.reportSequence)
        return; // An answer to an older report: its totals may be behind what was reported since.
    host.grantAwaited = false;
    const bool sameTerm = host.term == grant.term;
    changeTerm(host, grant.term);
    if (grant.table) {
        const bool applied = static_cast<bool>(applyDelta(host.view, *grant.table));
        host.table = applied ? grant.table->version : Version(0);
        if (!applied)
            return;
    }
    if (grant.registry)
        applyRegistry(host, *grant.registry, now);
    for (auto &[id, local] : host.local)
        local.changed = local.changed && local.heard > host.reportSentAt;
    for (const TargetId &id : grant.unknownTargets) {
        const auto local = host.local.find(id);
        if (local != host.local.end())
            local->second.changed = true;
    }
    if (!sameTerm || host.suspectsVersion != grant.suspectsVersion)
        host.suspects = {grant.suspects.begin(), grant.suspects.end()};
    host.suspectsVersion = grant.suspectsVersion;
    host.clock = grant.clock;
    host.clockAt = now;
    host.hostCount = std::max(grant.hostCount, 1);
    host.hostRank = grant.hostRank;
    host.freshUntil = std::max(host.freshUntil, grant.sentAt + host.settings.freshnessLease);
    if (grant.membershipIndex != host.membershipIndex && !grant.controlHosts.empty()) {
        host.membershipIndex = grant.membershipIndex;
        effects.push_back(SwitchControl{"", grant.controlHosts});
    }
    // Totals of a first grant of a term do not yet count what the host carries over.
    if (sameTerm)
        takeGrants(host, grant, now);
    if (grant.table || grant.registry)
        host.reportWanted = true; // Tells the leader at once what is in force here.
    std::vector<AccountId> accounts;
    for (const auto &[id, held] : host.accounts) {
        if (!held.waiting.empty())
            accounts.push_back(id);
    }
    for (const AccountId &id : accounts)
        drainBudgets(host, id, effects, now);
}

void onOperatorAnswer(Host &host, const OperatorAnswer &answer, HostEffects &effects)
{
    if (host.operatorCalls.erase(answer.id) > 0)
        effects.push_back(AnswerOperator{answer});
}

/** Sends again what the last control host may not have taken in. */
void resendOpen(Host &host, HostEffects &effects, TimePoint now)
{
    host.resendDue = now + RESEND_INTERVAL;
    for (const auto &[id, report] : host.callReports)
        effects.push_back(SendControl{report});
    for (const auto &[id, call] : host.operatorCalls)
        effects.push_back(SendControl{call});
    for (const auto &[id, request] : host.requests) {
        const bool open = request.state == RequestState::WaitingVerdict
            || request.state == RequestState::Joined;
        if (open)
            askVerdict(host, request, effects);
    }
}

/** Follows the hint; without one the silence limit decides, so that an election can end. */
void onNotLeader(const NotLeader &message, HostEffects &effects)
{
    if (!message.leaderAddress.empty())
        effects.push_back(SwitchControl{message.leaderAddress, {}});
}

void onRecall(Host &host, const Recall &recall)
{
    for (const AccountId &id : recall.accounts) {
        const auto held = host.accounts.find(id);
        if (held == host.accounts.end() || !held->second.waiting.empty())
            continue;
        // The demand estimate shrinks, so that the next report hands the rest back.
        held->second.requestDemand = 0;
        held->second.tokenDemand = 0;
    }
    host.reportWanted = true;
}

} // namespace

bool isFresh(const Host &host, TimePoint now)
{
    return now < host.freshUntil;
}

void onControlMessage(Host &host, const ControlMessage &message, HostEffects &effects,
                      TimePoint now)
{
    if (!std::holds_alternative<NotLeader>(message))
        host.linkProven = now;
    if (const auto *grant = std::get_if<HostGrant>(&message))
        onGrant(host, *grant, effects, now);
    else if (const auto *answer = std::get_if<CallAnswer>(&message))
        onCallAnswer(host, *answer, effects, now);
    else if (const auto *ack = std::get_if<CallReportAck>(&message))
        host.callReports.erase(ack->request);
    else if (const auto *operatorAnswer = std::get_if<OperatorAnswer>(&message))
        onOperatorAnswer(host, *operatorAnswer, effects);
    else if (const auto *recall = std::get_if<Recall>(&message))
        onRecall(host, *recall);
    else
        onNotLeader(std::get<NotLeader>(message), effects);
}

void onControlLink(Host &host, bool connected, HostEffects &effects, TimePoint now)
{
    host.connected = connected;
    host.grantAwaited = false;
    if (!connected)
        return;
    sendReport(host, effects, now);
    resendOpen(host, effects, now);
}

void reportIfDue(Host &host, HostEffects &effects, TimePoint now)
{
    if (now >= host.linkProven + LINK_SILENCE) {
        host.linkProven = now;
        effects.push_back(SwitchControl{"", {}});
        return;
    }
    if (!host.connected)
        return;
    const bool waits = host.grantAwaited && now < host.reportSentAt + GRANT_PATIENCE;
    const bool urgent = host.reportWanted && now >= host.reportSentAt + host.urgentPause;
    if (!waits && (urgent || now >= host.reportDue)) {
        noteUrgency(host, now);
        sendReport(host, effects, now);
    }
    if (now >= host.resendDue)
        resendOpen(host, effects, now);
}

} // namespace bilberry
