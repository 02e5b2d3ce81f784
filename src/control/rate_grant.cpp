/** @file rate_grant.cpp Leases the request rates that targets state to hosts. */
#include "control/control_internal.h"

#include "account/leased_pool_func.h"
#include "target/registry_func.h"
#include "target/statement_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

/** A pool holds the requests of so long a time, so that hosts may use them a little unevenly. */
constexpr Duration POOL_TIME = 1s;
/** Least capacity of a pool: one request that a host has not used yet must not stop the refill. */
constexpr double MIN_POOL_BOUND = 2;
/** A report on an observation takes at most this long. */
constexpr Duration MAX_REPORT_TRANSIT = 500ms;
/** A host that has not repeated its demand for so long does not keep others from their turn. */
constexpr Duration DEMAND_TIMEOUT = BUDGET_LEASE;

double poolBound(double rate)
{
    return std::max(rate * toSeconds(POOL_TIME), MIN_POOL_BOUND);
}

/** @return Observation by the leader's clock; it may have been made earlier, but not later. */
RateObservation toObservation(const RateUse &use, TimePoint now)
{
    return {use.rate, now - use.madeAfterAge - MAX_REPORT_TRANSIT, now - use.madeBeforeAge};
}

/** Records the reported rate. What a host knows from a leader counts only while nothing is known.
 */
TargetRate &recordObservation(Leadership &leadership, const RateUse &use, TimePoint now)
{
    const auto [it, added] = leadership.rates.try_emplace(use.target);
    TargetRate &known = it->second;
    if (added || known.start != use.start) {
        known = {};
        known.start = use.start;
        known.latest = toObservation(use, now);
    } else if (use.observed) {
        known.latest = mergeObservations(known.latest, toObservation(use, now));
    }
    return known;
}

/** Creates the pool or changes its rate. A limit begins with an empty pool, since requests that
 * were sent before may still be on their way. */
void updatePool(const Leadership &leadership, TargetRate &known, bool begins, TimePoint now)
{
    const double rate = *known.latest.rate;
    const double bound = poolBound(rate);
    const bool inherited = now < leadership.earlierGrantsUntil;
    if (known.pool.bound == 0)
        known.pool = inherited
            ? makePoolAfterFailover(rate, bound, leadership.earlierGrantsUntil, now)
            : makePool(rate, bound, now);
    else
        resize(known.pool, rate, bound, now);
    if (begins)
        known.pool.level = std::min(known.pool.level, 0.0);
}

/** Publishes a changed rate to all hosts. */
void publishRate(Leadership &leadership, TargetEntry &entry, TargetRate &known,
                 const HolderId &reporter, ControlEffects &effects, TimePoint now)
{
    if (known.latest.rate == entry.requestRate)
        return;
    const bool begins = !entry.requestRate;
    const TargetId &target = entry.announcement.id;
    effects.logEvents.push_back({"targetRateChanged",
                                 {{"target", target},
                                  {"start", known.start},
                                  {"from", entry.requestRate},
                                  {"to", known.latest.rate},
                                  {"by", reporter.host}}});
    entry.requestRate = known.latest.rate;
    markModified(leadership.registry, entry);
    if (!known.latest.rate)
        return;
    updatePool(leadership, known, begins, now);
    if (begins)
        notifySlotHolders(leadership, target, reporter, effects);
}

/** Hosts that wait for turns at a target, as seen by one of them. */
struct Turns
{
    double waiting = 0; ///< Number of waiting hosts, the asking one included.
    double ahead = 0; ///< Requests of hosts whose turn comes before that of the asking one.
    std::int64_t each = 1; ///< Most requests that a host gets in one turn.
};

/** Updates the demand of the host. @return Its place among the waiting hosts. */
Turns takePlace(TargetRate &known, const HolderId &holder, std::int64_t wanted, TimePoint now)
{
    std::erase_if(known.demands,
                  [&](const auto &item) { return now - item.second.reportedAt > DEMAND_TIMEOUT; });
    if (wanted == 0)
        known.demands.erase(holder);
    const TimePoint since = wanted == 0
        ? now
        : known.demands.try_emplace(holder, RateDemand{wanted, now, now}).first->second.since;
    if (wanted > 0)
        known.demands[holder] = {wanted, since, now};
    Turns turns;
    turns.waiting = std::max<double>(static_cast<double>(known.demands.size()), 1);
    turns.each
        = std::max<std::int64_t>(static_cast<std::int64_t>(known.pool.level / turns.waiting), 1);
    for (const auto &[other, demand] : known.demands) {
        if (other != holder && std::tie(demand.since, other) < std::tie(since, holder))
            turns.ahead += static_cast<double>(std::min(demand.wanted, turns.each));
    }
    return turns;
}

/** Grants the requests that are left by the hosts whose turn comes earlier. */
RateGrant grantTurn(TargetRate &known, const HostReport &report, const RateUse &use, bool sameTerm,
                    TimePoint now)
{
    const TimePoint expires = now + withDriftMargin(BUDGET_LEASE);
    PoolUse settled = use.requests;
    settled.want = 0;
    std::int64_t shortage = 0;
    std::int64_t granted
        = reportAndGrant(known.pool, report.holder, settled, sameTerm, expires, shortage, now);
    const Turns turns = takePlace(known, report.holder, use.requests.want, now);
    const double left = known.pool.level - turns.ahead;
    const auto most = std::min({use.requests.want, turns.each,
                                static_cast<std::int64_t>(std::floor(std::max(left, 0.0)))});
    const std::int64_t added = grant(known.pool, report.holder, most, expires, now);
    granted += added;
    if (added > 0 && added < use.requests.want)
        known.demands[report.holder] = {use.requests.want - added, now, now};
    else if (added > 0)
        known.demands.erase(report.holder);
    RateGrant out{use.target, use.start, granted, {}, {}};
    out.interval = fromSeconds(turns.waiting / known.pool.rate);
    out.wait = added > 0 ? out.interval : fromSeconds(std::max(1 - left, 0.0) / known.pool.rate);
    return out;
}

} // namespace

void notifySlotHolders(const Leadership &leadership, const TargetId &target,
                       const HolderId &reporter, ControlEffects &effects)
{
    const auto slots = leadership.slots.find(target);
    if (slots == leadership.slots.end())
        return;
    for (const auto &[holder, holding] : slots->second.pool.holdings) {
        if (holder != reporter && holding.outstanding() > 0)
            effects.toHosts.push_back({holder, BudgetRecall{}});
    }
}

void grantRates(Control &control, const HostReport &report, HostGrant &grant,
                ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const bool sameTerm = report.term == leadership.term;
    for (const RateUse &use : report.rates) {
        const auto entry = leadership.registry.targets.find(use.target);
        if (entry == leadership.registry.targets.end()
            || entry->second.announcement.start != use.start)
            continue;
        TargetRate &known = recordObservation(leadership, use, now);
        publishRate(leadership, entry->second, known, report.holder, effects, now);
        if (known.pool.bound > 0)
            grant.rates.push_back(grantTurn(known, report, use, sameTerm, now));
    }
}

bool tryTakeForOrder(Leadership &leadership, const TargetId &target, TimePoint now)
{
    const auto known = leadership.rates.find(target);
    if (known == leadership.rates.end() || !known->second.latest.rate)
        return true;
    LeasedPool &pool = known->second.pool;
    refillAndExpire(pool, now);
    // An order may overdraw the pool, since hosts that wait all the time leave nothing in it.
    if (pool.level < 0)
        return false;
    pool.level -= 1;
    return true;
}

} // namespace bilberry
