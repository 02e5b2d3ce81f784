/** @file placement_cmd.cpp Commits placement decisions and sends the orders that follow. */
#include "control/control_internal.h"

#include "state/view_func.h"

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

void sendDueOrders(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    publishUnloads(control);
    const PlacementView input{control.cluster.view, leadership.registry,
                              control.cluster.lastFencing};
    const auto drained = [&](const Replica &replica) {
        return isDrained(leadership, replicaId(replica.target, replica.variant), now);
    };
    for (const OutstandingOrder &due : dueOrders(leadership.planner, input, drained, now)) {
        const TargetAnnouncement &target = leadership.registry.targets.at(due.target).announcement;
        effects.orders.push_back(
            {replicaId(due.target, due.order.variant), target.address, due.order});
    }
}

} // namespace

void runPlacement(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    if (leadership.placementPending)
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
