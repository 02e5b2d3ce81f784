/** @file reconcile.cpp Compares recorded replicas with the inventories that targets announce. */
#include "placement/planner_internal.h"
#include "placement/store_pace_func.h"

#include "state/view_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** Requests that would wait longer for the request rate of a target speak for another replica. */
constexpr Duration MAX_RATE_WAIT = 2s;

constexpr Duration FAILED_VARIANT_BACKOFF = 1s; ///< No new load of a variant after a failed load.

/** @return Whether the announcement lists the replica's variant and, if recorded, its version. */
bool isLoadedAt(const TargetAnnouncement &announcement, const Replica &replica)
{
    return std::any_of(announcement.loaded.begin(), announcement.loaded.end(),
                       [&](const LoadedVariant &loaded) {
                           return loaded.variant == replica.variant
                               && (replica.version.value == 0 || loaded.version == replica.version);
                       });
}

/** Result of comparing a replica with the latest announcement of its target. */
enum class Finding {
    AsExpected,
    BecameReady,
    Gone,
};

/**
 * @return Whether the target has confirmed the unload: it accepted the order and, if it checks
 * fencing tokens, announced that order or a later one as carried out.
 */
bool isUnloadConfirmed(const Pass &pass, const ReplicaFacts &facts, const TargetFacts &target)
{
    const Replica &replica = facts.current();
    const auto order = pass.planner.orders.find(*facts.id);
    const bool answered = order != pass.planner.orders.end() && order->second.answered
        && order->second.order.fencing == replica.fencing;
    const bool carriedOut = target.announcement().lastOrder >= replica.fencing;
    return answered && (carriedOut || !target.fenced);
}

/** @return The state of a replica according to the latest announcement of its target. */
Finding compareWithInventory(const Pass &pass, const ReplicaFacts &facts, const TargetFacts &target)
{
    const Replica &replica = facts.current();
    const TargetAnnouncement &announcement = target.announcement();
    if (announcement.start > replica.start)
        return Finding::Gone;
    const auto &failed = announcement.failedOrders;
    const bool present = isLoadedAt(announcement, replica);
    switch (replica.state) {
    case ReplicaState::Loading:
        if (present)
            return Finding::BecameReady;
        // Only an announced failure frees the memory: the order may still be in flight.
        return std::count(failed.begin(), failed.end(), replica.fencing) > 0 ? Finding::Gone
                                                                             : Finding::AsExpected;
    case ReplicaState::Ready:
        return present ? Finding::AsExpected : Finding::Gone;
    case ReplicaState::Unloading:
        break;
    }
    return !present && isUnloadConfirmed(pass, facts, target) ? Finding::Gone : Finding::AsExpected;
}

/** Records that the target has carried out the order to unload the model of @p facts, if any. */
void recordConfirmedUnload(Pass &pass, const ReplicaFacts &facts)
{
    const Replica &replica = facts.current();
    const auto accepted = pass.planner.acceptedOrders.find(replica.target);
    const bool isModel = replica.variant.adapter.value.empty();
    if (isModel && replica.state == ReplicaState::Unloading
        && accepted != pass.planner.acceptedOrders.end())
        recordUnloaded(accepted->second, replica.variant);
}

/** Records that a replica became ready or is gone, and removes its outstanding order. */
void reconcileReplica(Pass &pass, ReplicaFacts &facts, const TargetFacts &target)
{
    switch (compareWithInventory(pass, facts, target)) {
    case Finding::AsExpected:
        return;
    case Finding::BecameReady:
        facts.changed = facts.current();
        facts.changed->state = ReplicaState::Ready;
        finishStoreLoad(pass.planner.storePace, *facts.id,
                        pass.planner.tuning.maxConcurrentStoreLoads, pass.now);
        pass.planner.orders.erase(*facts.id);
        pass.planner.loadsFromCache.erase(*facts.id);
        pass.planner.variantBackoffUntil.erase(facts.current().variant);
        pass.decision.put.push_back(*facts.changed);
        return;
    case Finding::Gone:
        if (facts.current().state == ReplicaState::Loading)
            pass.planner.variantBackoffUntil[facts.current().variant]
                = pass.now + FAILED_VARIANT_BACKOFF;
        facts.gone = true;
        recordConfirmedUnload(pass, facts);
        pass.planner.orders.erase(*facts.id);
        pass.planner.loadsFromCache.erase(*facts.id);
        pass.decision.gone.push_back(*facts.id);
        return;
    }
}

/** Assigns a new fencing token to a replica in Planner::reissues, so that it is ordered again. */
void assignNewFencing(Pass &pass, ReplicaFacts &facts)
{
    if (pass.planner.reissues.erase(*facts.id) == 0 || facts.gone
        || facts.current().state == ReplicaState::Ready)
        return;
    facts.changed = facts.current();
    facts.changed->fencing = FencingToken(++pass.highestFencing.value);
    pass.planner.orders.erase(*facts.id);
    pass.decision.put.push_back(*facts.changed);
}

/**
 * Turns a load whose order has timed out into an unload. The memory stays reserved until the unload
 * is confirmed.
 */
void undoTimedOutLoad(Pass &pass, ReplicaFacts &facts)
{
    const auto order = pass.planner.orders.find(*facts.id);
    if (facts.current().state != ReplicaState::Loading || order == pass.planner.orders.end())
        return;
    const PlannerTuning &tuning = pass.planner.tuning;
    const Duration limit = order->second.answered ? tuning.loadTimeout : tuning.orderTimeout;
    if (pass.now - order->second.sentAt < limit)
        return;
    facts.changed = facts.current();
    facts.changed->state = ReplicaState::Unloading;
    facts.changed->fencing = FencingToken(++pass.highestFencing.value);
    pass.planner.orders.erase(order);
    pass.decision.put.push_back(*facts.changed);
}

/** Adds records for unrecorded replicas in a target's inventory, so that their memory counts. */
void adoptUnknownReplicas(Pass &pass, std::size_t targetIndex)
{
    const TargetAnnouncement &announcement = pass.targets[targetIndex].announcement();
    for (const LoadedVariant &loaded : announcement.loaded) {
        const auto &present = pass.targets[targetIndex].replicas;
        const bool known = std::any_of(present.begin(), present.end(), [&](std::size_t i) {
            return pass.replicas[i].current().variant == loaded.variant;
        });
        if (known)
            continue;
        Replica replica;
        replica.variant = loaded.variant;
        replica.target = announcement.id;
        replica.start = announcement.start;
        replica.fencing = announcement.lastOrder;
        replica.state = ReplicaState::Ready;
        const auto model = pass.input.view.models.find(loaded.variant.model);
        const bool anyVersion
            = model != pass.input.view.models.end() && model->second.version.value == 0;
        replica.version = anyVersion ? Version(0) : loaded.version;
        replica.memoryMb = loaded.memoryMb;
        pass.newIds.push_back(replicaId(announcement.id, loaded.variant));
        pass.targets[targetIndex].replicas.push_back(pass.replicas.size());
        pass.replicas.push_back({&pass.newIds.back(), nullptr, replica, false});
        pass.decision.put.push_back(replica);
    }
}

/** @return Whether more requests wait for the variant than a target with a limited request rate
 * takes soon, so that its replica does not count as one. */
bool lacksRate(const Pass &pass, const TargetFacts &target, const Variant &variant)
{
    const auto history = pass.planner.history.find(variant);
    if (!target.entry->requestRate || history == pass.planner.history.end())
        return false;
    const double takesSoon = std::max(*target.entry->requestRate * toSeconds(MAX_RATE_WAIT), 1.0);
    return history->second.waiting + history->second.returning > takesSoon;
}

/** Adds a replica to the resource use of its target and to the counts of its variant. */
void accountReplica(Pass &pass, const ReplicaFacts &facts, std::size_t targetIndex)
{
    TargetFacts &target = pass.targets[targetIndex];
    const Replica &replica = facts.current();
    const bool isModel = replica.variant.adapter.value.empty();
    target.freeMb -= memoryOf(pass.input.view, replica);
    target.freeAdapters -= isModel ? 0 : 1;
    target.orders += replica.state == ReplicaState::Ready ? 0 : 1;
    if (replica.state == ReplicaState::Loading) {
        pass.adapterLoads += isModel ? 0 : 1;
        pass.storeLoads += isModel && !pass.planner.loadsFromCache.contains(*facts.id) ? 1 : 0;
    }
    if (replica.state == ReplicaState::Unloading || !target.serving
        || lacksRate(pass, target, replica.variant))
        return;
    VariantCounts &counts = pass.counts[replica.variant];
    ++counts.present;
    if (replica.state != ReplicaState::Ready)
        return;
    ++counts.ready;
    if (isModel)
        pass.readyTargets[replica.variant.model].push_back(targetIndex);
}

} // namespace

std::int64_t memoryOf(const ClusterView &view, const Replica &replica)
{
    if (replica.memoryMb > 0)
        return replica.memoryMb;
    const bool isModel = replica.variant.adapter.value.empty();
    const auto model = view.models.find(replica.variant.model);
    if (model != view.models.end())
        return isModel ? model->second.memoryMb : model->second.adapterMemoryMb;
    std::int64_t largest = 0;
    for (const auto &[id, declared] : view.models)
        largest = std::max(largest, isModel ? declared.memoryMb : declared.adapterMemoryMb);
    return largest;
}

void reconcile(Pass &pass)
{
    const TargetRegistry &registry = pass.input.registry;
    const bool newEpoch = pass.planner.reconciledEpoch != registry.epoch;
    for (std::size_t i = 0; i < pass.targets.size(); ++i) {
        TargetFacts &target = pass.targets[i];
        if (target.announcement().kind != TargetKind::Engine)
            continue;
        // Ready replicas need a new comparison only after their target's inventory has changed.
        const bool changed = newEpoch || target.entry->modified > pass.planner.reconciledVersion;
        for (const std::size_t replica : target.replicas) {
            ReplicaFacts &facts = pass.replicas[replica];
            if (changed || facts.current().state != ReplicaState::Ready)
                reconcileReplica(pass, facts, target);
            if (!facts.gone)
                undoTimedOutLoad(pass, facts);
            assignNewFencing(pass, facts);
        }
        if (changed)
            adoptUnknownReplicas(pass, i);
        std::erase_if(target.replicas,
                      [&](std::size_t replica) { return pass.replicas[replica].gone; });
        for (const std::size_t replica : target.replicas)
            accountReplica(pass, pass.replicas[replica], i);
    }
    pass.planner.reconciledVersion = registry.version;
    pass.planner.reconciledEpoch = registry.epoch;
}

} // namespace bilberry
