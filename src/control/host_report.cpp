/** @file host_report.cpp Answers reports of hosts with grants and deltas. */
#include "control/control_internal.h"

#include "account/leased_pool_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"
#include "target/share_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration SHARE_INTERVAL = 20ms; ///< Between two looks at the shares of a target.
constexpr Duration SHARE_TURN = 100ms; ///< Turn of the hosts that share the last slots.
constexpr std::size_t LOSSES_TO_QUARANTINE = 2; ///< Targets lost with no other suspect on them.
constexpr Duration JUDGEMENT_DELAY
    = 300ms; ///< Reports of other hosts about the same loss come later.
constexpr Duration CRASH_MEMORY = 10min;
constexpr Duration QUARANTINE_LENGTH = 10min;
constexpr int OWN_QUEUE_FACTOR = 3; ///< Requests of a target's own queue and slots per slot.
constexpr Duration OUTCOME_HALF_LIFE = 5s;
constexpr double FAILURES_LEAST = 3; ///< Of late, before a target counts as failing.
constexpr double FAILING_SHARE = 0.2; ///< Of its outcomes of late.
constexpr std::size_t MAX_CRASH_RECORDS = 10'000;

/** Adds what the operator tolerates, since leases keep parts of a budget apart for a while. */
void widen(Account &account, const RateLeeway &leeway)
{
    const auto rate = [&](double &value) { value *= 1 + leeway.share; };
    const auto bound = [&](double &value) { value = value * (1 + leeway.share) + leeway.amount; };
    if (account.limitsRequests) {
        rate(account.requestsPerSecond);
        bound(account.requestBurst);
    }
    if (account.limitsTokens) {
        rate(account.tokensPerSecond);
        bound(account.tokenBurst);
    }
}

/** Pools follow the present configuration of their account. */
AccountPools &poolsOf(Leadership &leadership, const RateLeeway &leeway, Account account,
                      TimePoint now)
{
    widen(account, leeway);
    const auto [it, added] = leadership.accounts.try_emplace(account.id);
    AccountPools &pools = it->second;
    if (added) {
        const TimePoint until = leadership.unknownUntil;
        const bool inherited = now < until;
        const auto make = [&](double rate, double bound) {
            return inherited ? makeInheritedPool(rate, bound, until, now)
                             : makePool(rate, bound, now);
        };
        pools.requests = make(account.requestsPerSecond, account.requestBurst);
        pools.tokens = make(account.tokensPerSecond, account.tokenBurst);
    }
    const auto follow = [&](LeasedPool &pool, double rate, double bound) {
        if (pool.rate != rate || pool.bound != bound)
            resize(pool, rate, bound, now);
    };
    follow(pools.requests, account.requestsPerSecond, account.requestBurst);
    follow(pools.tokens, account.tokensPerSecond, account.tokenBurst);
    return pools;
}

std::int64_t exchange(LeasedPool &pool, const HolderId &holder, const PoolUse &use, bool sameTerm,
                      TimePoint expires, TimePoint now)
{
    if (sameTerm)
        acceptCarried(pool, holder, use.carried, expires, now);
    if (sameTerm)
        report(pool, holder, use.spent, use.returned, expires, now);
    grant(pool, holder, use.want, expires, now);
    const auto holding = pool.holdings.find(holder);
    return holding == pool.holdings.end() ? 0 : holding->second.granted;
}

void grantAccounts(Control &control, const HostReport &report, HostGrant &grant, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const bool sameTerm = report.term == leadership.term;
    const TimePoint expires = now + withDriftMargin(BUDGET_LEASE);
    for (const AccountUse &use : report.accounts) {
        const auto account = control.cluster.view.accounts.find(use.account);
        if (account == control.cluster.view.accounts.end())
            continue;
        AccountPools &pools = poolsOf(leadership, control.leeway, account->second, now);
        AccountGrant out;
        out.account = use.account;
        out.requests
            = exchange(pools.requests, report.holder, use.requests, sameTerm, expires, now);
        out.tokens = exchange(pools.tokens, report.holder, use.tokens, sameTerm, expires, now);
        out.requestWait = timeUntil(pools.requests, 1);
        out.tokenWait = timeUntil(pools.tokens,
                                  static_cast<double>(std::max<std::int64_t>(use.tokens.want, 1)));
        out.settling = pools.requests.unknown > 0 || pools.tokens.unknown > 0;
        grant.accounts.push_back(out);
    }
}

TargetSlots &slotsOf(Leadership &leadership, const TargetAnnouncement &target, bool ramps,
                     int knownLimit, TimePoint now)
{
    TargetSlots &slots = leadership.slots[target.id];
    if (slots.ramp.start == target.start)
        return slots;
    slots = {};
    // A target that has served for long is taken to bear what the hosts already send it.
    slots.ramp = makeRamp(target.start, target.maxConcurrent);
    // A target that is not ramped has a queue of its own; few slots over many hosts would idle.
    slots.ramp.limit = ramps ? std::clamp(knownLimit, slots.ramp.limit, target.maxConcurrent)
                             : target.maxConcurrent * OWN_QUEUE_FACTOR;
    const bool inherited = now < leadership.unknownUntil;
    slots.pool = inherited ? makeInheritedPool(0, slots.ramp.limit, leadership.unknownUntil, now)
                           : makePool(0, slots.ramp.limit, now);
    return slots;
}

/** Hosts whose demand counts, and the claims of their accounts. */
struct SlotClaims
{
    std::map<AccountId, Claim> accounts;
    std::map<HolderId, std::map<AccountId, double>> holders;
    double total = 0;
};

SlotClaims collectClaims(const Control &control, const TargetSlots &slots, TimePoint now)
{
    SlotClaims claims;
    for (const auto &[holder, demand] : slots.demands) {
        if (now - demand.at > BUDGET_LEASE)
            continue;
        for (const AccountDemand &item : demand.demand) {
            Claim &claim = claims.accounts[item.account];
            const auto account = control.cluster.view.accounts.find(item.account);
            claim.weight
                = account == control.cluster.view.accounts.end() ? 1 : account->second.weight;
            claim.demand += item.demand;
            claims.holders[holder][item.account] += item.demand;
            claims.total += item.demand;
        }
    }
    return claims;
}

/** @return Each host's part of the accounts' max-min shares, in fractions of slots. */
std::vector<std::pair<HolderId, double>> fractionalShares(const SlotClaims &claims, double bound)
{
    std::vector<Claim> list;
    list.reserve(claims.accounts.size());
    for (const auto &[account, claim] : claims.accounts)
        list.push_back(claim);
    const std::vector<double> shares = maxMinShares(list, bound);
    std::map<AccountId, double> perDemand;
    std::size_t i = 0;
    for (const auto &[account, claim] : claims.accounts) {
        perDemand[account] = claim.demand > 0 ? shares[i] / claim.demand : 0;
        ++i;
    }
    std::vector<std::pair<HolderId, double>> out;
    for (const auto &[holder, own] : claims.holders) {
        double share = 0;
        for (const auto &[account, demand] : own)
            share += demand * perDemand.at(account);
        out.emplace_back(holder, share);
    }
    return out;
}

/**
 * Rounds shares so that they add up to the limit. Whole slots come first; the rest goes round, so
 * that a host with less than one slot gets its turn.
 */
void shareOut(TargetSlots &slots, const SlotClaims &claims, TimePoint now)
{
    std::vector<std::pair<HolderId, double>> parts = fractionalShares(claims, slots.pool.bound);
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / SHARE_TURN);
    if (!parts.empty())
        std::rotate(parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(turn % parts.size()),
                    parts.end());
    slots.shares.clear();
    double given = 0;
    double carry = 0;
    for (const auto &[holder, part] : parts) {
        carry += part;
        const double upTo = std::floor(carry + 1e-9);
        slots.shares[holder] = static_cast<int>(upTo - given);
        given = upTo;
    }
}

/** @return Most slots that @p holder should have at the target; -1 if there is enough for all. */
int shareOf(const Control &control, TargetSlots &slots, const HolderId &holder, TimePoint now)
{
    if (now >= slots.sharedAt + SHARE_INTERVAL) {
        slots.sharedAt = now;
        const SlotClaims claims = collectClaims(control, slots, now);
        slots.shares.clear();
        if (claims.total > slots.pool.bound)
            shareOut(slots, claims, now);
    }
    const auto share = slots.shares.find(holder);
    if (share != slots.shares.end())
        return share->second;
    if (!slots.shares.empty())
        return 0;
    // Slots kept idle go back as soon as they are all that is left.
    if (slots.pool.level >= 1)
        return -1;
    int own = 0;
    for (const AccountDemand &item : slots.demands[holder].demand)
        own += item.demand;
    return own;
}

/** Adds what a host has seen since its last report. */
void noteOutcomes(RecentOutcomes &outcomes, std::int64_t good, std::int64_t bad, TimePoint now)
{
    const double decay = std::exp2(-toSeconds(now - outcomes.at) / toSeconds(OUTCOME_HALF_LIFE));
    outcomes.good = outcomes.good * decay + static_cast<double>(good);
    outcomes.bad = outcomes.bad * decay + static_cast<double>(bad);
    outcomes.at = now;
}

/** @return Whether a target fails often; one that did so must get clearly better first. */
bool isFailing(const RecentOutcomes &outcomes, bool before)
{
    const double share = before ? FAILING_SHARE / 2 : FAILING_SHARE;
    return outcomes.bad >= (before ? 1.0 : FAILURES_LEAST)
        && outcomes.bad > share * (outcomes.good + outcomes.bad);
}

void noteSlotUse(TargetSlots &slots, const HostReport &report, const SlotUse &use, bool ramps,
                 TimePoint now)
{
    HostSlotDemand &demand = slots.demands[report.holder];
    const auto since = [](std::int64_t total, std::int64_t before) {
        return std::max<std::int64_t>(total - before, 0);
    };
    const std::int64_t succeeded = since(use.succeeded, demand.succeeded);
    const std::int64_t failed = since(use.failed, demand.failed);
    if (ramps)
        noteAnswers(slots.ramp, succeeded, since(use.overloaded, demand.overloaded));
    noteOutcomes(slots.outcomes, std::max<std::int64_t>(succeeded - failed, 0), failed, now);
    demand = {use.demand, use.succeeded, use.overloaded, use.failed, now};
    if (slots.ramp.limit != static_cast<int>(slots.pool.bound))
        resize(slots.pool, 0, slots.ramp.limit, now);
}

/** Lets hosts prefer other targets to one that fails often. */
void judgeTarget(Leadership &leadership, TargetEntry &entry, const TargetSlots &slots)
{
    const bool failing = isFailing(slots.outcomes, entry.failing);
    if (failing == entry.failing)
        return;
    entry.failing = failing;
    entry.modified = Version(++leadership.registry.version.value);
}

void grantSlots(Control &control, const HostReport &report, HostGrant &grant, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const bool sameTerm = report.term == leadership.term;
    for (const SlotUse &use : report.slots) {
        const auto entry = leadership.registry.targets.find(use.target);
        if (entry == leadership.registry.targets.end()
            || entry->second.announcement.start != use.start)
            continue;
        const auto service = control.cluster.view.services.find(entry->second.announcement.service);
        const bool ramps = service == control.cluster.view.services.end() || service->second.ramps;
        TargetSlots &slots = slotsOf(leadership, entry->second.announcement, ramps, use.limit, now);
        noteSlotUse(slots, report, use, ramps, now);
        judgeTarget(leadership, entry->second, slots);
        const TimePoint expires
            = now + withDriftMargin(std::max<Duration>(BUDGET_LEASE, use.busyFor));
        SlotGrant out;
        out.target = use.target;
        out.start = use.start;
        out.limit = slots.ramp.limit;
        out.share = shareOf(control, slots, report.holder, now);
        PoolUse wanted = use.slots;
        const auto holding = slots.pool.holdings.find(report.holder);
        if (out.share >= 0 && sameTerm) {
            const std::int64_t held = holding == slots.pool.holdings.end()
                ? 0
                : holding->second.granted - use.slots.returned;
            wanted.want = std::clamp<std::int64_t>(out.share - held, 0, wanted.want);
        }
        out.slots = exchange(slots.pool, report.holder, wanted, sameTerm, expires, now);
        grant.slots.push_back(out);
    }
}

/** Notes which targets were lost with which requests; judgeSuspects() draws the conclusion. */
void noteSuspicions(Leadership &leadership, const HostReport &report, TimePoint now)
{
    for (const Digest &cleared : report.cleared)
        leadership.suspectsVersion += leadership.crashes.erase(cleared);
    for (const CrashSuspicion &suspicion : report.suspicions) {
        if (leadership.crashes.size() >= MAX_CRASH_RECORDS)
            return;
        const auto [it, added] = leadership.crashes.try_emplace(suspicion.request);
        leadership.suspectsVersion += added ? 1 : 0;
        CrashRecord &record = it->second;
        bool &alone = record.targets[{suspicion.target, suspicion.start}];
        alone = alone || suspicion.alone;
        record.last = now;
    }
}

/** @return How many lost targets the digest alone explains: no other suspect ran there. */
std::size_t lossesAlone(const Leadership &leadership, const CrashRecord &record)
{
    const auto count
        = std::count_if(record.targets.begin(), record.targets.end(), [&](const auto &item) {
              const auto suspects = std::count_if(
                  leadership.crashes.begin(), leadership.crashes.end(), [&](const auto &other) {
                      const auto same = other.second.targets.find(item.first);
                      return same != other.second.targets.end() && same->second;
                  });
              return item.second && suspects == 1;
          });
    return static_cast<std::size_t>(count);
}

Duration loadTime(const Control &control, const Replica &replica)
{
    const auto model = control.cluster.view.models.find(replica.variant.model);
    if (model == control.cluster.view.models.end())
        return Duration::zero();
    const bool cached = control.leadership->planner.cachedLoads.contains(
        replicaId(replica.target, replica.variant));
    return fromSeconds(cached ? model->second.cachedLoadSeconds : model->second.loadSeconds);
}

/** Adds loads under way with the time that they are expected to take still. */
void addLoads(const Control &control, TargetAnnouncement &announcement, TimePoint now)
{
    for (const auto &[id, order] : control.leadership->planner.orders) {
        const auto replica = control.cluster.view.replicas.find(id);
        if (order.target != announcement.id || order.order.action != OrderAction::Load
            || replica == control.cluster.view.replicas.end())
            continue;
        const Duration passed = now - order.sentAt;
        announcement.loading.push_back(
            {order.order.variant,
             std::max<Duration>(loadTime(control, replica->second) - passed, Duration::zero())});
    }
}

/** Removes from an announcement what hosts must not use: variants being unloaded. */
TargetAnnouncement withoutUnloading(const Control &control, TargetAnnouncement announcement)
{
    std::erase_if(announcement.loaded, [&](const LoadedVariant &loaded) {
        const auto replica
            = control.cluster.view.replicas.find(replicaId(announcement.id, loaded.variant));
        return replica != control.cluster.view.replicas.end()
            && replica->second.state == ReplicaState::Unloading;
    });
    return announcement;
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

void noteTargets(Control &control, const HostReport &report, HostGrant &grant,
                 ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    for (const TargetAnnouncement &announcement : report.targets) {
        const AnnounceOutcome outcome = announce(leadership.registry, announcement, now);
        if (outcome == AnnounceOutcome::Restarted)
            leadership.slots.erase(announcement.id);
        const bool news
            = outcome == AnnounceOutcome::Restarted || outcome == AnnounceOutcome::Changed;
        if (news)
            effects.notes.push_back({"targetChanged", describe(announcement)});
        if (news)
            leadership.placementDue = std::min(leadership.placementDue, now);
    }
    for (const TargetId &target : report.targetsLeft) {
        noteLeft(leadership.registry, target);
        effects.notes.push_back({"targetLeft", {{"target", target}}});
    }
    for (const auto &[id, start] : report.alive) {
        const auto entry = leadership.registry.targets.find(id);
        if (entry != leadership.registry.targets.end() && entry->second.announcement.start == start)
            entry->second.heard = now;
        else
            grant.unknownTargets.push_back(id);
    }
}

/** A new leader keeps its registry to itself until every living target was heard. */
bool registryIsComplete(const Leadership &leadership, TimePoint now)
{
    return now >= leadership.since + TARGET_SILENCE || leadership.term == 1;
}

void renewHost(Control &control, const HostReport &report, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    HostEntry &host = leadership.hosts[report.holder.host];
    if (host.run != 0 && host.run < report.holder.run) {
        (void)proposeCommand(control, LoseHost{report.holder.host, host.run}, {}, effects, now);
        host = {};
    }
    host.run = report.holder.run;
    host.zone = report.zone;
    host.leaseEnds = now + withDriftMargin(FRESHNESS_LEASE);
    host.table = report.table;
    host.registryEpoch = report.registryEpoch;
    host.registry = report.registry;
    host.leaving = report.leaving;
    host.lost = false;
    host.entry = report.entry;
    host.member = report.member;
    host.heard = now;
}

void addDeltas(const Control &control, const HostReport &report, HostGrant &grant, TimePoint now)
{
    const Leadership &leadership = *control.leadership;
    if (report.table != control.cluster.version || control.cluster.version.value == 0)
        grant.table = tableDeltaSince(control.cluster, report.table);
    const bool behind = report.registryEpoch != leadership.registry.epoch
        || report.registry != leadership.registry.version;
    // A host that knows no target, or follows this registry already, loses none by a part of it.
    const bool follows
        = report.registryEpoch == 0 || report.registryEpoch == leadership.registry.epoch;
    if (behind && (follows || registryIsComplete(leadership, now))) {
        grant.registry = deltaSince(leadership.registry, report.registryEpoch, report.registry);
        for (TargetAnnouncement &announcement : grant.registry->changed) {
            announcement = withoutUnloading(control, std::move(announcement));
            addLoads(control, announcement, now);
            announcement.failing = leadership.registry.targets.at(announcement.id).failing;
        }
    }
    grant.suspectsVersion = leadership.suspectsVersion;
    if (report.term != leadership.term || report.suspectsVersion != leadership.suspectsVersion) {
        for (const auto &[request, record] : leadership.crashes)
            grant.suspects.push_back(request);
    }
    grant.membershipIndex = control.replica.membershipIndex;
    if (report.membershipIndex != control.replica.membershipIndex) {
        for (const auto &[member, address] : control.replica.membership.addresses)
            grant.controlHosts.push_back(address);
    }
}

/** Tells a host how many there are, so that each takes its part of what is shared evenly. */
void countHosts(const Leadership &leadership, const HostId &receiver, HostGrant &grant,
                TimePoint now)
{
    grant.hostCount = 0;
    for (const auto &[id, host] : leadership.hosts) {
        if (!host.entry || now >= host.leaseEnds)
            continue;
        grant.hostRank += id < receiver ? 1 : 0;
        ++grant.hostCount;
    }
    grant.hostCount = std::max(grant.hostCount, 1);
}

/** Asks the other hosts for unspent budgets of accounts that ran short here. */
void recallBudgets(const Control &control, const HostReport &report, ControlEffects &effects)
{
    const Leadership &leadership = *control.leadership;
    std::map<HolderId, Recall> recalls;
    for (const AccountUse &use : report.accounts) {
        const auto pools = leadership.accounts.find(use.account);
        if (pools == leadership.accounts.end())
            continue;
        const auto recall = [&](const LeasedPool &pool, std::int64_t want) {
            if (want <= 0 || pool.level >= 1)
                return;
            for (const auto &[holder, holding] : pool.holdings) {
                if (holder == report.holder || holding.outstanding() <= 0)
                    continue;
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

void judgeSuspects(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    leadership.suspectsVersion += std::erase_if(leadership.crashes, [&](const auto &item) {
        return now - item.second.last > CRASH_MEMORY;
    });
    std::vector<Digest> convicted;
    for (const auto &[request, record] : leadership.crashes) {
        if (now - record.last < JUDGEMENT_DELAY)
            continue;
        if (lossesAlone(leadership, record) >= LOSSES_TO_QUARANTINE)
            convicted.push_back(request);
    }
    for (const Digest &request : convicted) {
        leadership.suspectsVersion += leadership.crashes.erase(request);
        const Quarantine quarantine{request, clusterTime(control, now) + QUARANTINE_LENGTH};
        (void)proposeCommand(control, SetQuarantine{quarantine}, {}, effects, now);
    }
}

void onHostReport(Control &control, const HostReport &report, ControlEffects &effects,
                  TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const auto known = leadership.hosts.find(report.holder.host);
    if (known != leadership.hosts.end() && known->second.run > report.holder.run)
        return; // A late message of an earlier run.
    renewHost(control, report, effects, now);
    HostGrant grant;
    grant.sequence = report.sequence;
    grant.sentAt = report.sentAt;
    grant.term = leadership.term;
    grant.clock = clusterTime(control, now);
    noteTargets(control, report, grant, effects, now);
    noteUses(leadership.planner, report.holder.host, report.variants, now);
    const bool waits = std::any_of(report.variants.begin(), report.variants.end(),
                                   [](const VariantUse &use) { return use.waiting > 0; });
    if (waits)
        runPlacement(control, effects, now);
    noteSuspicions(leadership, report, now);
    grantAccounts(control, report, grant, now);
    recallBudgets(control, report, effects);
    grantSlots(control, report, grant, now);
    addDeltas(control, report, grant, now);
    countHosts(leadership, report.holder.host, grant, now);
    effects.toHosts.push_back({report.holder, std::move(grant)});
}

} // namespace bilberry
