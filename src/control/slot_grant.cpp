/** @file slot_grant.cpp Hands out the slots of targets, and finds targets that fail often. */
#include "control/control_internal.h"

#include "account/leased_pool_func.h"
#include "target/share_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration SHARE_INTERVAL = 20ms; ///< Between two looks at the shares of a target.
constexpr Duration SHARE_TURN = 100ms; ///< Turn of the hosts that share the last slots.
constexpr int OWN_QUEUE_FACTOR = 3; ///< Requests of a target's own queue and slots per slot.
constexpr Duration OUTCOME_HALF_LIFE = 5s;
constexpr double FAILURES_LEAST = 3; ///< Of late, before a target counts as failing.
constexpr double FAILING_SHARE = 0.2; ///< Of its outcomes of late.

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

} // namespace

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

} // namespace bilberry
