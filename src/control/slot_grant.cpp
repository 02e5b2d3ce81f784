/** @file slot_grant.cpp Grants slots of targets to hosts and detects targets that fail often. */
#include "control/control_internal.h"

#include "account/leased_pool_func.h"
#include "target/share_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration SHARE_UPDATE_INTERVAL
    = 20ms; ///< Time between two computations of a target's shares.
constexpr Duration SHARE_ROTATION_INTERVAL
    = 100ms; ///< Time after which leftover slots go to the next hosts.
constexpr Duration SHORTAGE_LOG_INTERVAL
    = 100ms; ///< Time between two lines on the same target's lack of slots.
constexpr int QUEUEING_TARGET_LIMIT_FACTOR
    = 3; ///< Limit per slot of a target that queues requests itself.
constexpr Duration OUTCOME_HALF_LIFE = 5s; ///< Half-life of the weight of an outcome.
constexpr double FAILING_MIN_FAILURES = 3; ///< Decayed count from which a target can be failing.
constexpr double FAILING_MIN_FRACTION
    = 0.2; ///< Fraction of failures in the decayed outcomes above which a target can be failing.

/**
 * @return Slots of the target's present incarnation, created if necessary.
 * @param ramps Whether the limit ramps up after a start of the target.
 * @param knownLimit Latest limit that the reporting host knows; 0 if none.
 */
TargetSlots &findOrCreateSlots(Leadership &leadership, const TargetAnnouncement &target, bool ramps,
                               int knownLimit, TimePoint now)
{
    TargetSlots &slots = leadership.slots[target.id];
    if (slots.ramp.start == target.start)
        return slots;
    slots = {};
    // A new leader continues from the limit that the hosts already know.
    slots.ramp = makeRamp(target.start, target.maxConcurrent);
    // A target without slot ramping queues requests itself; its limit exceeds its slots, since few
    // slots spread over many hosts would stay idle.
    slots.ramp.limit = ramps ? std::clamp(knownLimit, slots.ramp.limit, target.maxConcurrent)
                             : target.maxConcurrent * QUEUEING_TARGET_LIMIT_FACTOR;
    const bool inherited = now < leadership.earlierGrantsUntil;
    slots.pool = inherited
        ? makePoolAfterFailover(0, slots.ramp.limit, leadership.earlierGrantsUntil, now)
        : makePool(0, slots.ramp.limit, now);
    return slots;
}

/** Demand for a target's slots, by account and by host. */
struct SlotClaims
{
    std::map<AccountId, Claim> accounts;
    std::map<HolderId, std::map<AccountId, double>> holders;
    double total = 0;
};

/** Sums up the demand that hosts have reported within BUDGET_LEASE. */
SlotClaims collectClaims(const Control &control, const TargetSlots &slots, TimePoint now)
{
    SlotClaims claims;
    for (const auto &[holder, demand] : slots.demands) {
        if (now - demand.reportedAt > BUDGET_LEASE)
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

/**
 * @return Slots of each host, not rounded: each account's max-min fair share is divided among the
 * hosts in proportion to their demand.
 */
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
 * Rounds the shares to whole slots with the same total. Fractions are carried over to the next
 * host, and the first host rotates, so that a host with less than one slot gets a slot in turn.
 */
void roundShares(TargetSlots &slots, const SlotClaims &claims, TimePoint now)
{
    std::vector<std::pair<HolderId, double>> parts = fractionalShares(claims, slots.pool.bound);
    const auto rotation
        = static_cast<std::size_t>(now.time_since_epoch() / SHARE_ROTATION_INTERVAL);
    if (!parts.empty())
        std::rotate(parts.begin(),
                    parts.begin() + static_cast<std::ptrdiff_t>(rotation % parts.size()),
                    parts.end());
    slots.shares.clear();
    double allocated = 0;
    double carry = 0;
    for (const auto &[holder, part] : parts) {
        carry += part;
        const double cumulative = std::floor(carry + 1e-9);
        slots.shares[holder] = static_cast<int>(cumulative - allocated);
        allocated = cumulative;
    }
}

/** @return Most slots that @p holder should hold; -1: no limit, as there are free slots. */
int shareLimit(const Control &control, TargetSlots &slots, const HolderId &holder, TimePoint now)
{
    const std::vector<AccountDemand> &own = slots.demands[holder].demand;
    // A new claim does not wait for the next computation: the host's next report may come long
    // after.
    const bool isNew = !own.empty() && !slots.shares.empty() && !slots.shares.contains(holder);
    if (isNew || now >= slots.sharesComputedAt + SHARE_UPDATE_INTERVAL) {
        slots.sharesComputedAt = now;
        const SlotClaims claims = collectClaims(control, slots, now);
        slots.shares.clear();
        if (claims.total > slots.pool.bound)
            roundShares(slots, claims, now);
    }
    const auto share = slots.shares.find(holder);
    if (share != slots.shares.end())
        return share->second;
    if (!slots.shares.empty())
        return 0;
    if (slots.pool.level >= 1)
        return -1;
    // No slot is free: each host keeps only as many slots as its demand and returns idle ones.
    int ownDemand = 0;
    for (const AccountDemand &item : own)
        ownDemand += item.demand;
    return ownDemand;
}

/** Decays the counts and adds the outcomes that a host has seen since its last report. */
void recordOutcomes(RecentOutcomes &outcomes, std::int64_t successes, std::int64_t failures,
                    TimePoint now)
{
    const double decay
        = std::exp2(-toSeconds(now - outcomes.updatedAt) / toSeconds(OUTCOME_HALF_LIFE));
    outcomes.successes = outcomes.successes * decay + static_cast<double>(successes);
    outcomes.failures = outcomes.failures * decay + static_cast<double>(failures);
    outcomes.updatedAt = now;
}

/** @return Whether a target fails often; the thresholds are lower for one that was failing. */
bool isFailing(const RecentOutcomes &outcomes, bool wasFailing)
{
    const double share = wasFailing ? FAILING_MIN_FRACTION / 2 : FAILING_MIN_FRACTION;
    return outcomes.failures >= (wasFailing ? 1.0 : FAILING_MIN_FAILURES)
        && outcomes.failures > share * (outcomes.successes + outcomes.failures);
}

/** @return Requests that hosts have reported to run or wait at a target, and how many hosts. */
std::pair<int, int> countClaims(const TargetSlots &slots, TimePoint now)
{
    int requests = 0;
    int hosts = 0;
    for (const auto &[holder, demand] : slots.demands) {
        int own = 0;
        for (const AccountDemand &item : demand.demand)
            own += now - demand.reportedAt <= BUDGET_LEASE ? item.demand : 0;
        requests += own;
        hosts += own > 0 ? 1 : 0;
    }
    return {requests, hosts};
}

/** Logs who has the slots of a target at which a host gets none that it wants. */
void logShortage(TargetSlots &slots, const HostReport &report, const SlotGrant &grant,
                 ControlEffects &effects, TimePoint now)
{
    if (now < slots.shortageLoggedAt + SHORTAGE_LOG_INTERVAL)
        return;
    slots.shortageLoggedAt = now;
    int holders = 0;
    TimePoint oldestReport = now;
    for (const auto &[holder, holding] : slots.pool.holdings) {
        if (holding.outstanding() <= 0)
            continue;
        ++holders;
        const auto demand = slots.demands.find(holder);
        if (demand != slots.demands.end())
            oldestReport = std::min(oldestReport, demand->second.reportedAt);
    }
    const auto [claims, claimants] = countClaims(slots, now);
    effects.logEvents.push_back({"slotsShort",
                                 {{"target", grant.target},
                                  {"host", report.holder.host},
                                  {"share", grant.share},
                                  {"bound", slots.pool.bound},
                                  {"free", slots.pool.level},
                                  {"unknown", slots.pool.unknown},
                                  {"lent", slots.pool.out},
                                  {"holders", holders},
                                  {"oldestReportMs", toMilliseconds(now - oldestReport)},
                                  {"claims", claims},
                                  {"claimants", claimants}}});
}

void recordSlotUse(TargetSlots &slots, const HostReport &report, const SlotUse &use, bool ramps,
                   TimePoint now)
{
    HostSlotDemand &demand = slots.demands[report.holder];
    const auto increase = [](std::int64_t total, std::int64_t previous) {
        return std::max<std::int64_t>(total - previous, 0);
    };
    const std::int64_t succeeded = increase(use.succeeded, demand.succeeded);
    const std::int64_t failed = increase(use.failed, demand.failed);
    if (ramps)
        updateRamp(slots.ramp, succeeded, increase(use.overloaded, demand.overloaded));
    recordOutcomes(slots.outcomes, std::max<std::int64_t>(succeeded - failed, 0), failed, now);
    demand = {use.demand, use.succeeded, use.overloaded, use.failed, now};
    if (slots.ramp.limit != static_cast<int>(slots.pool.bound))
        resize(slots.pool, 0, slots.ramp.limit, now);
}

/** Updates whether the target is failing; hosts prefer other targets to a failing one. */
void updateFailing(Leadership &leadership, TargetEntry &entry, const TargetSlots &slots)
{
    const bool failing = isFailing(slots.outcomes, entry.failing);
    if (failing == entry.failing)
        return;
    entry.failing = failing;
    entry.modified = Version(++leadership.registry.version.value);
}

/** Ends the claims of a host at targets that its report does not name: nothing runs or waits there
 * any more. */
void endUnnamedClaims(Leadership &leadership, const HostReport &report)
{
    std::set<TargetId> &claimed = leadership.hosts[report.holder.host].claimedTargets;
    std::set<TargetId> named;
    for (const SlotUse &use : report.slots) {
        if (!use.demand.empty())
            named.insert(use.target);
    }
    for (const TargetId &target : claimed) {
        const auto slots = leadership.slots.find(target);
        if (named.contains(target) || slots == leadership.slots.end())
            continue;
        const auto demand = slots->second.demands.find(report.holder);
        if (demand != slots->second.demands.end())
            demand->second.demand.clear();
    }
    claimed = std::move(named);
}

} // namespace

std::int64_t reportAndGrant(LeasedPool &pool, const HolderId &holder, const PoolUse &use,
                            bool sameTerm, TimePoint expires, TimePoint now)
{
    if (sameTerm)
        acceptCarried(pool, holder, use.carried, expires, now);
    if (sameTerm)
        report(pool, holder, use.spent, use.returned, expires, now);
    grant(pool, holder, use.want, expires, now);
    const auto holding = pool.holdings.find(holder);
    return holding == pool.holdings.end() ? 0 : holding->second.granted;
}

void grantSlots(Control &control, const HostReport &report, HostGrant &grant,
                ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const bool sameTerm = report.term == leadership.term;
    endUnnamedClaims(leadership, report);
    for (const SlotUse &use : report.slots) {
        const auto entry = leadership.registry.targets.find(use.target);
        if (entry == leadership.registry.targets.end()
            || entry->second.announcement.start != use.start)
            continue;
        const auto service = control.cluster.view.services.find(entry->second.announcement.service);
        const bool ramps = service == control.cluster.view.services.end() || service->second.ramps;
        TargetSlots &slots
            = findOrCreateSlots(leadership, entry->second.announcement, ramps, use.limit, now);
        recordSlotUse(slots, report, use, ramps, now);
        updateFailing(leadership, entry->second, slots);
        const TimePoint expires
            = now + withDriftMargin(std::max<Duration>(BUDGET_LEASE, use.busyFor));
        SlotGrant out;
        out.target = use.target;
        out.start = use.start;
        out.limit = slots.ramp.limit;
        out.share = shareLimit(control, slots, report.holder, now);
        PoolUse wanted = use.slots;
        const auto holding = slots.pool.holdings.find(report.holder);
        if (out.share >= 0 && sameTerm) {
            const std::int64_t held = holding == slots.pool.holdings.end()
                ? 0
                : holding->second.granted - use.slots.returned;
            wanted.want = std::clamp<std::int64_t>(out.share - held, 0, wanted.want);
        }
        const std::int64_t before
            = holding == slots.pool.holdings.end() ? 0 : holding->second.granted;
        out.slots = reportAndGrant(slots.pool, report.holder, wanted, sameTerm, expires, now);
        if (use.slots.want > 0 && out.slots <= before)
            logShortage(slots, report, out, effects, now);
        grant.slots.push_back(out);
    }
}

} // namespace bilberry
