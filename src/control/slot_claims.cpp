/** @file slot_claims.cpp Divides the slots of a target among the hosts that claim them. */
#include "control/control_internal.h"

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
    = 100ms; ///< Time between two lines on a target's lack of slots.

/** Demand for a target's slots, by account and by host. */
struct SlotClaims
{
    std::map<AccountId, Claim> accounts;
    std::map<HolderId, std::map<AccountId, double>> holders;
    double total = 0;
};

/** Sums up the demand that hosts have reported within BUDGET_LEASE, and removes older demand. */
SlotClaims collectClaims(const Control &control, TargetSlots &slots, TimePoint now)
{
    SlotClaims claims;
    std::erase_if(slots.demands,
                  [&](const auto &item) { return now - item.second.reportedAt > BUDGET_LEASE; });
    for (const auto &[holder, demand] : slots.demands) {
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

} // namespace

int shareLimit(const Control &control, TargetSlots &slots, const HolderId &holder, TimePoint now)
{
    if (now >= slots.sharesComputedAt + SHARE_UPDATE_INTERVAL) {
        slots.sharesComputedAt = now;
        const SlotClaims claims = collectClaims(control, slots, now);
        slots.shares.clear();
        if (claims.total > slots.pool.bound)
            roundShares(slots, claims, now);
    }
    const auto share = slots.shares.find(holder);
    if (share != slots.shares.end())
        return share->second;
    // A new claim gets a free slot before the next division: the host's next report may come long
    // after.
    if (!slots.shares.empty())
        return slots.demands.contains(holder) && slots.pool.level >= 1 ? 1 : 0;
    if (slots.pool.level >= 1)
        return -1;
    // No slot is free: each host keeps only as many slots as its demand and returns idle ones.
    int ownDemand = 0;
    const auto own = slots.demands.find(holder);
    if (own == slots.demands.end())
        return ownDemand;
    for (const AccountDemand &item : own->second.demand)
        ownDemand += item.demand;
    return ownDemand;
}

void logShortage(Leadership &leadership, const TargetSlots &slots, const HostReport &report,
                 const SlotGrant &grant, ControlEffects &effects, TimePoint now)
{
    if (now < leadership.shortageLoggedAt + SHORTAGE_LOG_INTERVAL)
        return;
    leadership.shortageLoggedAt = now;
    int holders = 0;
    TimePoint oldestReport = now;
    for (const auto &[holder, holding] : slots.pool.holdings) {
        if (holding.outstanding() <= 0)
            continue;
        ++holders;
        const auto totals = slots.totals.find(holder);
        if (totals != slots.totals.end())
            oldestReport = std::min(oldestReport, totals->second.reportedAt);
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
        slots->second.demands.erase(report.holder);
    }
    claimed = std::move(named);
}

} // namespace bilberry
