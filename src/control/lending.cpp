/** @file lending.cpp Records within which limits the leader lends budgets and slots. */
#include "control/control_internal.h"

#include "account/leased_pool_func.h"
#include "account/lending_limits_func.h"

#include <algorithm>
#include <utility>

namespace bilberry {

namespace {

/** Time between two changes of limits; each one is a commit. */
constexpr Duration CHANGE_INTERVAL = 30ms;

AccountLending recordedLending(const Cluster &cluster, const AccountId &account)
{
    const auto known = cluster.accountLending.find(account);
    return known == cluster.accountLending.end() ? AccountLending{account, {}, {}} : known->second;
}

SlotLending recordedLending(const Cluster &cluster, const TargetId &target, Incarnation start)
{
    const auto known = cluster.slotLending.find(target);
    const bool isRecorded = known != cluster.slotLending.end() && known->second.start == start;
    return isRecorded ? known->second : SlotLending{target, start, {}};
}

/** @return The pool's next limits, or the recorded ones if they fit. */
LendingLimits chooseLimits(const LeasedPool &pool, const LendingLimits &recorded,
                           std::int64_t shortage)
{
    return nextLimits(pool, recorded, shortage).value_or(recorded);
}

/** Adds the limits of the accounts to check that are to change. */
void addAccountChanges(const Control &control, RecordLending &command)
{
    const Leadership &leadership = *control.leadership;
    for (const auto &[id, shortage] : leadership.lending.accounts) {
        const auto pools = leadership.accounts.find(id);
        if (pools == leadership.accounts.end())
            continue;
        const AccountLending recorded = recordedLending(control.cluster, id);
        AccountLending next{id, {}, {}};
        next.requests = chooseLimits(pools->second.requests, recorded.requests, shortage.requests);
        next.tokens = chooseLimits(pools->second.tokens, recorded.tokens, shortage.tokens);
        if (next != recorded)
            command.accounts.push_back(next);
    }
}

/** Adds the limits of the targets to check that are to change. */
void addSlotChanges(const Control &control, RecordLending &command)
{
    const Leadership &leadership = *control.leadership;
    for (const auto &[id, shortage] : leadership.lending.slots) {
        const auto slots = leadership.slots.find(id);
        if (slots == leadership.slots.end())
            continue;
        const SlotLending recorded = recordedLending(control.cluster, id, slots->second.ramp.start);
        SlotLending next = recorded;
        next.slots = chooseLimits(slots->second.pool, recorded.slots, shortage);
        if (next != recorded)
            command.slots.push_back(next);
    }
}

/** Lets the pools named in a change keep to what the next leader may find. */
void applyLimits(Control &control, const RecordLending &change)
{
    Leadership &leadership = *control.leadership;
    for (const AccountLending &item : change.accounts) {
        const auto pools = leadership.accounts.find(item.account);
        if (pools == leadership.accounts.end())
            continue;
        const AccountLending limits = lendingInForce(control, item.account);
        pools->second.requests.limits = limits.requests;
        pools->second.tokens.limits = limits.tokens;
    }
    for (const SlotLending &item : change.slots) {
        const auto slots = leadership.slots.find(item.target);
        if (slots == leadership.slots.end() || slots->second.ramp.start != item.start)
            continue;
        slots->second.pool.limits = lendingInForce(control, item.target, item.start).slots;
    }
}

/** Proposes a change of limits; there is one at a time. */
void proposeLimits(Control &control, RecordLending change, ControlEffects &effects, TimePoint now)
{
    LendingChecks &checks = control.leadership->lending;
    checks.pending = true;
    checks.proposed = change;
    checks.due = now + CHANGE_INTERVAL;
    checks.waiting = std::exchange(checks.holders, {});
    applyLimits(control, change);
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::Lending;
    if (proposeCommand(control, change, pending, effects, now) || !control.leadership)
        return;
    control.leadership->lending.pending = false;
    applyLimits(control, change);
}

} // namespace

LeasedPool makeLeaderPool(const Control &control, double rate, double bound, double highestBound,
                          const LendingLimits &recorded, TimePoint now)
{
    const Leadership &leadership = *control.leadership;
    LeasedPool pool = makePool(rate, bound, now);
    // A leader of an earlier release may have lent all.
    const bool isLimited = control.cluster.lendsWithinLimits;
    if (leadership.term > 1 && isLimited)
        pool = makeLimitedPoolAfterFailover(rate, bound, highestBound, recorded,
                                            leadership.earlierGrantsUntil, leadership.electedAt,
                                            now);
    else if (leadership.term > 1 && now < leadership.earlierGrantsUntil)
        pool = makePoolAfterFailover(rate, bound, leadership.earlierGrantsUntil, now);
    pool.limits = recorded;
    pool.highestBound = highestBound;
    return pool;
}

AccountLending lendingInForce(const Control &control, const AccountId &account)
{
    AccountLending limits = recordedLending(control.cluster, account);
    const LendingChecks &checks = control.leadership->lending;
    if (!checks.pending)
        return limits;
    for (const AccountLending &item : checks.proposed.accounts) {
        if (item.account != account)
            continue;
        limits.requests = stricter(limits.requests, item.requests);
        limits.tokens = stricter(limits.tokens, item.tokens);
    }
    return limits;
}

SlotLending lendingInForce(const Control &control, const TargetId &target, Incarnation start)
{
    SlotLending limits = recordedLending(control.cluster, target, start);
    const LendingChecks &checks = control.leadership->lending;
    if (!checks.pending)
        return limits;
    for (const SlotLending &item : checks.proposed.slots) {
        if (item.target == target)
            limits.slots = stricter(limits.slots, item.slots);
    }
    return limits;
}

void checkRecordedLending(Control &control, TimePoint now)
{
    for (const auto &[id, recorded] : control.cluster.accountLending) {
        const auto account = control.cluster.view.accounts.find(id);
        if (account == control.cluster.view.accounts.end())
            continue;
        findOrCreatePools(control, account->second, now);
        noteLending(control, id, {}, {});
    }
}

void noteLending(Control &control, const AccountId &account, const HolderId &holder,
                 const BudgetShortage &shortage)
{
    Leadership &leadership = *control.leadership;
    const AccountPools &pools = leadership.accounts.at(account);
    const AccountLending recorded = recordedLending(control.cluster, account);
    if (!nextLimits(pools.requests, recorded.requests, shortage.requests)
        && !nextLimits(pools.tokens, recorded.tokens, shortage.tokens))
        return;
    BudgetShortage &noted = leadership.lending.accounts[account];
    noted.requests = std::max(noted.requests, shortage.requests);
    noted.tokens = std::max(noted.tokens, shortage.tokens);
    if (shortage.requests > 0 || shortage.tokens > 0)
        leadership.lending.holders.insert(holder);
}

void noteLending(Control &control, const TargetId &target, const HolderId &holder,
                 std::int64_t shortage)
{
    Leadership &leadership = *control.leadership;
    const TargetSlots &slots = leadership.slots.at(target);
    const SlotLending recorded = recordedLending(control.cluster, target, slots.ramp.start);
    if (!nextLimits(slots.pool, recorded.slots, shortage))
        return;
    std::int64_t &noted = leadership.lending.slots[target];
    noted = std::max(noted, shortage);
    if (shortage > 0)
        leadership.lending.holders.insert(holder);
}

void recordLending(Control &control, ControlEffects &effects, TimePoint now)
{
    LendingChecks &checks = control.leadership->lending;
    if (checks.pending || now < checks.due)
        return;
    RecordLending change;
    addAccountChanges(control, change);
    addSlotChanges(control, change);
    checks.accounts.clear();
    checks.slots.clear();
    const bool changes = !change.accounts.empty() || !change.slots.empty();
    if (changes || !control.cluster.lendsWithinLimits)
        proposeLimits(control, std::move(change), effects, now);
    else
        askToReport(std::exchange(checks.holders, {}), effects);
}

void askToReport(const std::set<HolderId> &holders, ControlEffects &effects)
{
    for (const HolderId &holder : holders)
        effects.toHosts.push_back({holder, BudgetRecall{}});
}

void adoptLending(Control &control, const RecordLending &change, ControlEffects &effects)
{
    LendingChecks &checks = control.leadership->lending;
    checks.pending = false;
    applyLimits(control, change);
    askToReport(std::exchange(checks.waiting, {}), effects);
}

void removeObsoleteLending(Control &control, ControlEffects &effects, TimePoint now)
{
    const Leadership &leadership = *control.leadership;
    if (leadership.lending.pending || now < leadership.earlierGrantsUntil)
        return;
    RecordLending change;
    for (const auto &[id, item] : control.cluster.accountLending) {
        if (!control.cluster.view.accounts.contains(id) && !leadership.accounts.contains(id))
            change.accounts.push_back({id, {}, {}});
    }
    for (const auto &[id, item] : control.cluster.slotLending) {
        if (!leadership.slots.contains(id))
            change.slots.push_back({id, item.start, {}});
    }
    if (!change.accounts.empty() || !change.slots.empty())
        proposeLimits(control, std::move(change), effects, now);
}

} // namespace bilberry
