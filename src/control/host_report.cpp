/** @file host_report.cpp Handles reports of hosts and answers with grants and deltas. */
#include "control/assumption_func.h"
#include "control/control_internal.h"

#include "account/leased_pool_func.h"
#include "account/wait_estimate_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bilberry {

namespace {

constexpr Duration SHARED_TABLE_MAX_AGE
    = 500ms; ///< Well below the time that a change takes to be in force.
constexpr std::size_t MAX_RECALLED_HOLDERS
    = 8; ///< Holders asked per recall; otherwise all hosts would answer at the same time.
constexpr Duration RECALL_INTERVAL = 100ms; ///< Time between two recalls for one account.
constexpr Duration HOST_COUNT_INTERVAL = 100ms; ///< Time after which hosts are counted anew.

/** Limits of an account for all hosts together. */
struct AccountLimits
{
    double requestsPerSecond = 0;
    double requestBurst = 0;
    double tokensPerSecond = 0;
    double tokenBurst = 0;
};

/** @return The limits with the tolerated excess, since an amount leased to one host is unavailable
 * to others. */
AccountLimits withLeeway(const Account &account, const RateLeeway &leeway)
{
    const auto rate = [&](bool limited, double value) {
        return limited ? value * (1 + leeway.fraction) : value;
    };
    const auto bound = [&](bool limited, double value) {
        return limited ? value * (1 + leeway.fraction) + leeway.burst : value;
    };
    return {rate(account.limitsRequests, account.requestsPerSecond),
            bound(account.limitsRequests, account.requestBurst),
            rate(account.limitsTokens, account.tokensPerSecond),
            bound(account.limitsTokens, account.tokenBurst)};
}

/** @return Whether the election was so recently that a short pool does not show yet that its
 * account is beyond its rate. */
bool isSettling(const Leadership &leadership, TimePoint now)
{
    return leadership.term > 1 && now < leadership.earlierGrantsUntil;
}

/** @return Whether the pool's limits, not its level, have kept back what a holder wants. */
bool isHeldBack(const LeasedPool &pool, std::int64_t shortage)
{
    return shortage > 0 && pool.level >= static_cast<double>(shortage);
}

void grantAccounts(Control &control, const HostReport &report, HostGrant &grant, TimePoint now)
{
    const bool sameTerm = report.term == control.leadership->term;
    const TimePoint expires = now + withDriftMargin(BUDGET_LEASE);
    for (const AccountUse &use : report.accounts) {
        const auto account = control.cluster.view.accounts.find(use.account);
        if (account == control.cluster.view.accounts.end())
            continue;
        AccountPools &pools = findOrCreatePools(control, account->second, now);
        AccountGrant out;
        out.account = use.account;
        BudgetShortage shortage;
        out.requests = reportAndGrant(pools.requests, report.holder, use.requests, sameTerm,
                                      expires, shortage.requests, now);
        out.tokens = reportAndGrant(pools.tokens, report.holder, use.tokens, sameTerm, expires,
                                    shortage.tokens, now);
        noteLending(control, use.account, report.holder, shortage);
        if (sameTerm) {
            expectRefused(pools.requestWaits, pools.requests, report.holder, use.requests.refused,
                          now);
            expectRefused(pools.tokenWaits, pools.tokens, report.holder, use.tokens.refused, now);
        }
        out.requestWait = claimAndEstimateWait(pools.requestWaits, pools.requests, report.holder,
                                               shortage.requests, now);
        out.tokenWait = claimAndEstimateWait(pools.tokenWaits, pools.tokens, report.holder,
                                             shortage.tokens, now);
        out.settling = isSettling(*control.leadership, now)
            || isHeldBack(pools.requests, shortage.requests)
            || isHeldBack(pools.tokens, shortage.tokens);
        grant.accounts.push_back(out);
    }
}

nlohmann::json describe(const TargetAnnouncement &announcement)
{
    std::vector<std::string> loaded;
    for (const LoadedVariant &item : announcement.loaded)
        loaded.push_back(replicaId(TargetId(), item.variant));
    return {{"target", announcement.id},         {"start", announcement.start},
            {"sequence", announcement.sequence}, {"leaving", announcement.leaving},
            {"loaded", std::move(loaded)},       {"cached", announcement.cached.size()}};
}

void updateTargets(Control &control, const HostReport &report, HostGrant &grant,
                   ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    for (const TargetAnnouncement &announcement : report.targets) {
        const AnnounceOutcome outcome = applyAnnouncement(
            leadership.registry, withAssumptions(leadership, announcement, now), now);
        if (outcome == AnnounceOutcome::Restarted) {
            leadership.slots.erase(announcement.id);
            leadership.rates.erase(announcement.id);
            prepareSlots(control, announcement, now);
        }
        const bool isChange
            = outcome == AnnounceOutcome::Restarted || outcome == AnnounceOutcome::Changed;
        if (isChange)
            effects.logEvents.push_back({"targetChanged", describe(announcement)});
        if (isChange)
            leadership.placementDue = std::min(leadership.placementDue, now);
    }
    for (const TargetId &target : report.targetsLeft) {
        markTargetLeaving(leadership.registry, target);
        effects.logEvents.push_back({"targetLeft", {{"target", target}}});
    }
    for (const auto &[id, start] : report.statedLeaving) {
        const auto entry = leadership.registry.targets.find(id);
        if (entry == leadership.registry.targets.end() || entry->second.announcement.start != start
            || entry->second.left)
            continue;
        markTargetLeaving(leadership.registry, id);
        notifySlotHolders(leadership, id, report.holder, effects);
        leadership.placementDue = std::min(leadership.placementDue, now);
        effects.logEvents.push_back(
            {"targetStatedLeaving",
             {{"target", id}, {"start", start}, {"by", report.holder.host}}});
    }
    for (const auto &[id, start] : report.alive) {
        const auto entry = leadership.registry.targets.find(id);
        if (entry != leadership.registry.targets.end() && entry->second.announcement.start == start)
            entry->second.heard = now;
        else
            grant.unknownTargets.push_back(id);
    }
}

/**
 * @return Whether every live target has been reported to this leader. Until then a full registry
 * delta would make hosts remove live targets.
 */
bool registryIsComplete(const Leadership &leadership, TimePoint now)
{
    return now >= leadership.electedAt + TARGET_HEARTBEAT_TIMEOUT || leadership.term == 1;
}

/** Ends the claims of an ended host run and forgets its totals, as its reports are refused. */
void forgetRun(Leadership &leadership, const HolderId &ended)
{
    for (auto &[target, slots] : leadership.slots) {
        slots.demands.erase(ended);
        slots.totals.erase(ended);
    }
}

void renewHost(Control &control, const HostReport &report, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    HostEntry &host = leadership.hosts[report.holder.host];
    if (host.run != 0 && host.run < report.holder.run) {
        (void)proposeCommand(control, EndHostRun{report.holder.host, host.run}, {}, effects, now);
        forgetRun(leadership, {report.holder.host, host.run});
        host = {};
    }
    if (now >= host.leaseEnds || host.servesCallers != report.entry)
        leadership.hostRanks = {}; // More or fewer hosts share the limits from now on.
    host.run = report.holder.run;
    host.zone = report.zone;
    host.leaseEnds = now + withDriftMargin(FRESHNESS_LEASE);
    host.table = report.table;
    host.registryEpoch = report.registryEpoch;
    host.registry = report.registry;
    host.leaving = report.leaving;
    host.lossProposed = false;
    host.servesCallers = report.entry;
    host.member = report.member;
    host.lastReportAt = now;
}

/**
 * @return Changes of the table since @p known, which is not 0. A large change of the configuration
 * reaches all hosts at the same time; these get the same copy, even if some already know a part of
 * it. Later changes follow with the answers to their next reports.
 */
std::shared_ptr<const TableDelta> changesSince(Control &control, Version known, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const bool covers = leadership.sharedChanges && leadership.sharedChangesSince <= known
        && known < leadership.sharedChanges->version;
    if (covers && now < leadership.sharedChangesAt + SHARED_TABLE_MAX_AGE)
        return leadership.sharedChanges;
    auto changes = std::make_shared<const TableDelta>(tableDeltaSince(control.cluster, known));
    if (!changes->full && changes->records.size() >= MIN_SHARED_RECORDS) {
        leadership.sharedChanges = changes;
        leadership.sharedChangesSince = known;
        leadership.sharedChangesAt = now;
    }
    return changes;
}

/**
 * @return Changes of the table since @p known. Hosts that start together all need the full table,
 * while decisions change its version many times a second. These hosts all get the same cached copy;
 * later changes follow with the answers to their next reports.
 */
std::shared_ptr<const TableDelta> tableFor(Control &control, Version known, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    if (known.value != 0)
        return changesSince(control, known, now);
    if (!leadership.cachedFullTable || now >= leadership.cachedFullTableAt + SHARED_TABLE_MAX_AGE) {
        leadership.cachedFullTable
            = std::make_shared<const TableDelta>(tableDeltaSince(control.cluster, known));
        leadership.cachedFullTableAt = now;
    }
    return leadership.cachedFullTable;
}

void addDeltas(Control &control, const HostReport &report, HostGrant &grant, TimePoint now)
{
    const Leadership &leadership = *control.leadership;
    if (report.table != control.cluster.version || control.cluster.version.value == 0)
        grant.table = tableFor(control, report.table, now);
    const bool behind = report.registryEpoch != leadership.registry.epoch
        || report.registry != leadership.registry.version;
    // An incomplete registry removes no target from a host that has no registry or an earlier
    // version of this registry.
    const bool deltaIsSafe
        = report.registryEpoch == 0 || report.registryEpoch == leadership.registry.epoch;
    if (behind && (deltaIsSafe || registryIsComplete(leadership, now)))
        grant.registry = describeChanges(control, report.registryEpoch, report.registry, now);
    addSuspects(leadership, report, grant);
    grant.membershipIndex = control.replica.membershipIndex;
    if (report.membershipIndex != control.replica.membershipIndex) {
        for (const auto &[member, address] : control.replica.membership.addresses)
            grant.controlHosts.push_back(address);
    }
}

/** Counts and ranks the hosts with valid leases that serve callers. */
HostRanks rankHosts(const Leadership &leadership, TimePoint now)
{
    HostRanks ranks;
    ranks.countedAt = now;
    for (const auto &[id, host] : leadership.hosts) {
        ranks.ranks[id] = ranks.count;
        ranks.count += host.servesCallers && now < host.leaseEnds ? 1 : 0;
    }
    return ranks;
}

/**
 * Adds the number of live hosts that serve callers and the receiver's rank among them, so that each
 * host can take its part of evenly divided limits. A new host counts at once.
 */
void addHostCount(Leadership &leadership, const HostId &receiver, HostGrant &grant, TimePoint now)
{
    HostRanks &known = leadership.hostRanks;
    auto own = known.ranks.find(receiver);
    if (own == known.ranks.end() || now >= known.countedAt + HOST_COUNT_INTERVAL) {
        known = rankHosts(leadership, now);
        own = known.ranks.find(receiver);
    }
    grant.hostRank = own->second;
    grant.hostCount = std::max(known.count, 1);
}

/**
 * @return The MAX_RECALLED_HOLDERS holders with the largest outstanding amounts, without @p asking.
 */
std::vector<HolderId> largestHolders(const LeasedPool &pool, const HolderId &asking)
{
    std::vector<std::pair<std::int64_t, HolderId>> holders;
    for (const auto &[holder, holding] : pool.holdings) {
        if (holder != asking && holding.outstanding() > 0)
            holders.emplace_back(-holding.outstanding(), holder);
    }
    const std::size_t count = std::min(holders.size(), MAX_RECALLED_HOLDERS);
    std::partial_sort(holders.begin(), holders.begin() + static_cast<std::ptrdiff_t>(count),
                      holders.end());
    std::vector<HolderId> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(holders[i].second);
    return out;
}

/** Asks other hosts to return unspent budgets that the reporting host wants and the pools lack. */
void recallBudgets(Control &control, const HostReport &report, ControlEffects &effects,
                   TimePoint now)
{
    Leadership &leadership = *control.leadership;
    std::map<HolderId, BudgetRecall> recalls;
    for (const AccountUse &use : report.accounts) {
        const auto pools = leadership.accounts.find(use.account);
        if (pools == leadership.accounts.end() || now < pools->second.recallDue)
            continue;
        const auto recall = [&](const LeasedPool &pool, std::int64_t want) {
            if (want <= 0 || pool.level >= 1)
                return;
            pools->second.recallDue = now + RECALL_INTERVAL;
            for (const HolderId &holder : largestHolders(pool, report.holder)) {
                std::vector<AccountId> &accounts = recalls[holder].accounts;
                if (accounts.empty() || accounts.back() != use.account)
                    accounts.push_back(use.account);
            }
        };
        recall(pools->second.requests, use.requests.want);
        recall(pools->second.tokens, use.tokens.want);
    }
    for (auto &[holder, recall] : recalls)
        effects.toHosts.push_back({holder, std::move(recall)});
}

} // namespace

AccountPools &findOrCreatePools(Control &control, const Account &configured, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const AccountLimits account = withLeeway(configured, control.leeway);
    const auto [it, added] = leadership.accounts.try_emplace(configured.id);
    AccountPools &pools = it->second;
    if (added) {
        const AccountLending limits = lendingInForce(control, configured.id);
        pools.requests = makeLeaderPool(control, account.requestsPerSecond, account.requestBurst,
                                        account.requestBurst, limits.requests, now);
        pools.tokens = makeLeaderPool(control, account.tokensPerSecond, account.tokenBurst,
                                      account.tokenBurst, limits.tokens, now);
    }
    const auto resizeIfChanged = [&](LeasedPool &pool, double rate, double bound) {
        if (pool.rate != rate || pool.bound != bound)
            resize(pool, rate, bound, now);
    };
    resizeIfChanged(pools.requests, account.requestsPerSecond, account.requestBurst);
    resizeIfChanged(pools.tokens, account.tokensPerSecond, account.tokenBurst);
    return pools;
}

void onHostReport(Control &control, const HostReport &report, ControlEffects &effects,
                  TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const auto known = leadership.hosts.find(report.holder.host);
    if (known != leadership.hosts.end() && known->second.run > report.holder.run)
        return; // The report is a delayed message of an earlier run of the host.
    renewHost(control, report, effects, now);
    HostGrant grant;
    grant.sequence = report.sequence;
    grant.sentAt = report.sentAt;
    grant.term = leadership.term;
    grant.clock = clusterTime(control, now);
    updateTargets(control, report, grant, effects, now);
    recordVariantUses(leadership.planner, report.holder.host, report.variants, now);
    recordSuspicions(leadership, report, effects, now);
    grantAccounts(control, report, grant, now);
    recallBudgets(control, report, effects, now);
    grantSlots(control, report, grant, effects, now);
    grantRates(control, report, grant, effects, now);
    addDeltas(control, report, grant, now);
    grantForecasts(leadership, report, grant, now);
    grantTrials(leadership, report, grant, effects, now);
    addHostCount(leadership, report.holder.host, grant, now);
    noteUsage(control, report, grant, now);
    effects.toHosts.push_back({report.holder, std::move(grant)});
}

} // namespace bilberry
