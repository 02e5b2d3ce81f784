/** @file placement_cmd.cpp Commits placement decisions and sends the orders that follow. */
#include "control/assumption_func.h"
#include "control/control_internal.h"

#include "state/view_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr Duration PLACEMENT_INTERVAL = 100ms;

/** @return Whether no host can still send new work for a replica that is being unloaded. */
bool isDrained(const Leadership &leadership, const std::string &id, TimePoint now)
{
    const auto since = leadership.unloadSeen.find(id);
    if (since == leadership.unloadSeen.end() || now < leadership.unknownUntil)
        return false;
    for (const auto &[host, entry] : leadership.hosts) {
        const bool knows
            = entry.registryEpoch == leadership.registry.epoch && entry.registry >= since->second;
        if (now < entry.leaseEnds && !knows)
            return false;
    }
    return true;
}

/** Makes hosts learn of unloads: the target's registry entry counts as changed. */
void publishUnloads(Control &control)
{
    Leadership &leadership = *control.leadership;
    const auto &replicas = control.cluster.view.replicas;
    std::erase_if(leadership.unloadSeen, [&](const auto &item) {
        const auto replica = replicas.find(item.first);
        const bool over
            = replica == replicas.end() || replica->second.state != ReplicaState::Unloading;
        if (over && replica != replicas.end()) {
            const auto entry = leadership.registry.targets.find(replica->second.target);
            if (entry != leadership.registry.targets.end())
                entry->second.modified = Version(++leadership.registry.version.value);
        }
        return over;
    });
    for (const auto &[id, replica] : replicas) {
        if (replica.state != ReplicaState::Unloading || leadership.unloadSeen.contains(id))
            continue;
        const auto entry = leadership.registry.targets.find(replica.target);
        if (entry == leadership.registry.targets.end())
            continue;
        entry->second.modified = Version(++leadership.registry.version.value);
        leadership.unloadSeen[id] = leadership.registry.version;
    }
}

/** Makes hosts learn of loads under way, so that they can tell callers when to come back. */
void publishLoads(Control &control)
{
    Leadership &leadership = *control.leadership;
    const auto &replicas = control.cluster.view.replicas;
    std::erase_if(leadership.loadSeen, [&](const std::string &id) {
        const auto replica = replicas.find(id);
        return replica == replicas.end() || replica->second.state != ReplicaState::Loading;
    });
    for (const auto &[id, replica] : replicas) {
        const bool news
            = replica.state == ReplicaState::Loading && replica.variant.adapter.value.empty();
        const auto entry = leadership.registry.targets.find(replica.target);
        if (!news || entry == leadership.registry.targets.end()
            || !leadership.loadSeen.insert(id).second)
            continue;
        entry->second.modified = Version(++leadership.registry.version.value);
    }
}

void sendDueOrders(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    publishUnloads(control);
    publishLoads(control);
    applyAssumptions(leadership, now);
    const PlacementView input{control.cluster.view, leadership.registry,
                              control.cluster.lastFencing};
    const auto drained = [&](const Replica &replica) {
        return isDrained(leadership, replicaId(replica.target, replica.variant), now);
    };
    const DueOrders due = dueOrders(leadership.planner, input, drained, now);
    // The lease of a lone voter has no end, but others may vote before its order leaves.
    const TimePoint sendBy = std::min(leaseEnd(control.replica), now + LEADER_LEASE);
    for (const OutstandingOrder &order : due.orders) {
        const TargetAnnouncement &target
            = leadership.registry.targets.at(order.target).announcement;
        effects.orders.push_back({replicaId(order.target, order.order.variant), target.address,
                                  order.order, leadership.term, now, sendBy});
    }
    for (const TargetId &id : due.inspections) {
        const TargetAnnouncement &target = leadership.registry.targets.at(id).announcement;
        effects.inspections.push_back({id, target.start, target.address});
    }
}

} // namespace

void runPlacement(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    if (leadership.placementPending || !leadership.active)
        return;
    sendDueOrders(control, effects, now);
    // Inventories come first: a new leader decides only once living targets were heard.
    if (now < leadership.placementDue || (now < leadership.since + 1s && leadership.term > 1))
        return;
    leadership.placementDue = now + PLACEMENT_INTERVAL;
    const PlacementView input{control.cluster.view, leadership.registry,
                              control.cluster.lastFencing};
    PlacementDecision decision = decide(leadership.planner, input, now);
    if (decision.empty())
        return;
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::Placement;
    leadership.placementPending = true;
    (void)proposeCommand(control, DecideReplicas{std::move(decision.put), std::move(decision.gone)},
                         pending, effects, now);
}

} // namespace bilberry
