/** @file slot_grant.cpp Grants slots of targets to hosts and detects targets that fail often. */
#include "control/control_internal.h"

#include "account/leased_pool_func.h"
#include "target/registry_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

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
TargetSlots &findOrCreateSlots(Control &control, const TargetAnnouncement &target, bool ramps,
                               int knownLimit, TimePoint now)
{
    Leadership &leadership = *control.leadership;
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
    const SlotLending limits = lendingInForce(control, target.id, target.start);
    const double highest = ramps ? target.maxConcurrent : slots.ramp.limit;
    slots.pool = makeLeaderPool(control, 0, slots.ramp.limit, highest, limits.slots, now);
    return slots;
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

void recordSlotUse(TargetSlots &slots, const HostReport &report, const SlotUse &use, bool ramps,
                   TimePoint now)
{
    OutcomeTotals &known = slots.totals[report.holder];
    const auto increase = [](std::int64_t total, std::int64_t previous) {
        return std::max<std::int64_t>(total - previous, 0);
    };
    const std::int64_t succeeded = increase(use.succeeded, known.succeeded);
    const std::int64_t failed = increase(use.failed, known.failed);
    if (ramps)
        updateRamp(slots.ramp, succeeded, increase(use.overloaded, known.overloaded));
    recordOutcomes(slots.outcomes, std::max<std::int64_t>(succeeded - failed, 0), failed, now);
    known = {use.succeeded, use.overloaded, use.failed, now};
    if (use.demand.empty())
        slots.demands.erase(report.holder);
    else
        slots.demands[report.holder] = {use.demand, now};
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
    markModified(leadership.registry, entry);
}

} // namespace

void prepareSlots(Control &control, const TargetAnnouncement &target, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    const auto awaiting = leadership.awaitingTargets.find(target.id);
    if (awaiting != leadership.awaitingTargets.end()) {
        leadership.lending.holders.merge(awaiting->second);
        leadership.awaitingTargets.erase(awaiting);
    }
    const auto service = control.cluster.view.services.find(target.service);
    const bool ramps = service == control.cluster.view.services.end() || service->second.ramps;
    // The limit of a target that ramps up is known from the hosts' reports only.
    if (ramps || leadership.term == 1 || now >= leadership.earlierGrantsUntil)
        return;
    findOrCreateSlots(control, target, ramps, 0, now);
    noteLending(control, target.id, {}, 0);
}

std::int64_t reportAndGrant(LeasedPool &pool, const HolderId &holder, const PoolUse &use,
                            bool sameTerm, TimePoint expires, std::int64_t &shortage, TimePoint now)
{
    if (sameTerm)
        acceptCarried(pool, holder, use.carried, expires, now);
    if (sameTerm)
        report(pool, holder, use.spent, use.returned, expires, now);
    shortage = use.want - grant(pool, holder, use.want, expires, now);
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
        if (entry == leadership.registry.targets.end() && use.slots.want > 0
            && now < leadership.electedAt + TARGET_HEARTBEAT_TIMEOUT)
            leadership.awaitingTargets[use.target].insert(report.holder);
        if (entry == leadership.registry.targets.end()
            || entry->second.announcement.start != use.start)
            continue;
        const auto service = control.cluster.view.services.find(entry->second.announcement.service);
        const bool ramps = service == control.cluster.view.services.end() || service->second.ramps;
        TargetSlots &slots
            = findOrCreateSlots(control, entry->second.announcement, ramps, use.limit, now);
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
        const std::vector<HolderId> higher = claimantsOfHigherRanks(slots, report.holder);
        if (!higher.empty()) {
            const auto kept = static_cast<std::int64_t>(higher.size());
            const auto free = static_cast<std::int64_t>(slots.pool.level);
            wanted.want = std::clamp<std::int64_t>(free - kept, 0, wanted.want);
            if (free >= 1)
                askClaimant(leadership, higher, effects, now);
        }
        const std::int64_t before
            = holding == slots.pool.holdings.end() ? 0 : holding->second.granted;
        std::int64_t shortage = 0;
        out.slots
            = reportAndGrant(slots.pool, report.holder, wanted, sameTerm, expires, shortage, now);
        noteLending(control, use.target, report.holder, shortage);
        if (use.slots.want > 0 && out.slots <= before)
            logShortage(leadership, slots, report, out, effects, now);
        grant.slots.push_back(out);
    }
}

} // namespace bilberry
