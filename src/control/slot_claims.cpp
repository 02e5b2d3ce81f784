/** @file slot_claims.cpp Divides the slots of a target among the hosts that claim them. */
#include "control/control_internal.h"

#include "target/share_func.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bilberry {

namespace {

constexpr Duration SHARE_UPDATE_INTERVAL
    = 20ms; ///< Time between two computations of a target's shares.
constexpr Duration SHARE_ROTATION_INTERVAL
    = 100ms; ///< Time after which leftover slots go to the next hosts.
constexpr Duration SHORTAGE_LOG_INTERVAL
    = 100ms; ///< Time between two lines on a target's lack of slots.

/** Rank and account of requests; in the order of ranks. */
using Claimant = std::pair<int, AccountId>;

/** A host that has reported within this time is not asked to report for a kept slot. */
constexpr Duration ASK_INTERVAL = 40ms;

/** Demand for a target's slots, by rank and account, and by host. */
struct SlotClaims
{
    std::map<Claimant, Claim> claimants;
    std::map<HolderId, std::map<Claimant, double>> holders;
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
            const Claimant claimant{item.rank, item.account};
            Claim &claim = claims.claimants[claimant];
            const auto account = control.cluster.view.accounts.find(item.account);
            claim.weight
                = account == control.cluster.view.accounts.end() ? 1 : account->second.weight;
            claim.demand += item.demand;
            claims.holders[holder][claimant] += item.demand;
            claims.total += item.demand;
        }
    }
    return claims;
}

/** @return Demands of the ranks in their order. */
std::vector<double> demandsOfRanks(const SlotClaims &claims)
{
    std::vector<double> demands;
    std::optional<int> latest;
    for (const auto &[claimant, claim] : claims.claimants) {
        if (latest != claimant.first)
            demands.push_back(0);
        latest = claimant.first;
        demands.back() += claim.demand;
    }
    return demands;
}

/** @return Slots for each unit of demand of each claimant: the slots are divided by rank, and those
 * of a rank by max-min fair shares of the accounts. */
std::map<Claimant, double> slotsPerDemand(const SlotClaims &claims, double bound)
{
    const std::vector<double> ofRanks = sharesByRank(demandsOfRanks(claims), bound);
    std::map<Claimant, double> perDemand;
    auto ofRank = ofRanks.begin();
    for (auto begin = claims.claimants.begin(); begin != claims.claimants.end(); ++ofRank) {
        std::vector<Claim> list;
        auto end = begin;
        for (; end != claims.claimants.end() && end->first.first == begin->first.first; ++end)
            list.push_back(end->second);
        const std::vector<double> shares = maxMinShares(list, *ofRank);
        for (auto share = shares.begin(); begin != end; ++begin, ++share)
            perDemand[begin->first] = begin->second.demand > 0 ? *share / begin->second.demand : 0;
    }
    return perDemand;
}

/**
 * @return Slots of each host, not rounded: the share of each account in each rank is divided among
 * the hosts in proportion to their demand.
 */
std::vector<std::pair<HolderId, double>> fractionalShares(const SlotClaims &claims, double bound)
{
    const std::map<Claimant, double> perDemand = slotsPerDemand(claims, bound);
    std::vector<std::pair<HolderId, double>> out;
    for (const auto &[holder, own] : claims.holders) {
        double share = 0;
        for (const auto &[claimant, demand] : own)
            share += demand * perDemand.at(claimant);
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

/** @return Lowest number of a rank in the demand. */
int highestRank(const HostSlotDemand &demand)
{
    int rank = std::numeric_limits<int>::max();
    for (const AccountDemand &item : demand.demand)
        rank = std::min(rank, item.rank);
    return rank;
}

bool holdsLessThanShare(const TargetSlots &slots, const HolderId &holder)
{
    const auto share = slots.shares.find(holder);
    const auto holding = slots.pool.holdings.find(holder);
    const std::int64_t held
        = holding == slots.pool.holdings.end() ? 0 : holding->second.outstanding();
    return share != slots.shares.end() && held < share->second;
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

std::vector<HolderId> claimantsOfHigherRanks(const TargetSlots &slots, const HolderId &reporter)
{
    std::vector<HolderId> claimants;
    const auto own = slots.demands.find(reporter);
    if (slots.shares.empty() || own == slots.demands.end())
        return claimants;
    const int rank = highestRank(own->second);
    if (rank == 0)
        return claimants;
    // Begins behind the reporter, so that hosts are asked in turn.
    auto item = std::next(own);
    for (std::size_t left = slots.demands.size() - 1; left > 0; --left, ++item) {
        if (item == slots.demands.end())
            item = slots.demands.begin();
        if (highestRank(item->second) < rank && holdsLessThanShare(slots, item->first))
            claimants.push_back(item->first);
    }
    return claimants;
}

void askClaimant(const Leadership &leadership, const std::vector<HolderId> &claimants,
                 ControlEffects &effects, TimePoint now)
{
    for (const HolderId &holder : claimants) {
        const auto host = leadership.hosts.find(holder.host);
        if (host == leadership.hosts.end() || now < host->second.lastReportAt + ASK_INTERVAL)
            continue;
        effects.toHosts.push_back({holder, BudgetRecall{}});
        return;
    }
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
