/** @file placement_cmd.cpp Proposes placement decisions and sends the orders of committed ones. */
#include "control/assumption_func.h"
#include "control/control_internal.h"

#include "placement/load_forecast_func.h"
#include "placement/store_pace_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration PLACEMENT_INTERVAL = 100ms;
/** A new leader places replicas when live targets have had time to announce their inventories. */
constexpr Duration PLACEMENT_SETTLE_TIME = 1s;
/** Hosts that are connected have reported to a new leader after this time. Its first forecasts miss
 * only targets and demand of hosts that are not. */
constexpr Duration FORECAST_SETTLE_TIME = 500ms;
constexpr Duration FORECAST_LOG_INTERVAL = 1s;
constexpr double MIN_LOGGED_SLOWNESS_CHANGE = 0.2;

/**
 * @return Whether no host can still send new requests to a replica that is being unloaded: each
 * host with a valid lease has the registry version that announces the unload.
 */
bool isDrained(const Leadership &leadership, const std::string &id, TimePoint now)
{
    const auto published = leadership.publishedUnloads.find(id);
    if (published == leadership.publishedUnloads.end() || now < leadership.earlierGrantsUntil)
        return false;
    for (const auto &[host, entry] : leadership.hosts) {
        const bool knows = entry.registryEpoch == leadership.registry.epoch
            && entry.registry >= published->second;
        if (now < entry.leaseEnds && !knows)
            return false;
    }
    return true;
}

/**
 * Marks the registry entries of targets with new or finished unloads as modified, so that hosts get
 * them with the next delta.
 */
void publishUnloads(Control &control)
{
    Leadership &leadership = *control.leadership;
    const auto &replicas = control.cluster.view.replicas;
    std::erase_if(leadership.publishedUnloads, [&](const auto &item) {
        const auto replica = replicas.find(item.first);
        const bool finished
            = replica == replicas.end() || replica->second.state != ReplicaState::Unloading;
        if (finished && replica != replicas.end()) {
            const auto entry = leadership.registry.targets.find(replica->second.target);
            if (entry != leadership.registry.targets.end())
                markModified(leadership.registry, entry->second);
        }
        return finished;
    });
    for (const auto &[id, replica] : replicas) {
        if (replica.state != ReplicaState::Unloading || leadership.publishedUnloads.contains(id))
            continue;
        const auto entry = leadership.registry.targets.find(replica.target);
        if (entry == leadership.registry.targets.end())
            continue;
        markModified(leadership.registry, entry->second);
        leadership.publishedUnloads[id] = leadership.registry.version;
    }
}

/**
 * Marks the registry entries of targets with new model loads as modified, so that hosts can tell
 * callers when to retry.
 */
void publishLoads(Control &control)
{
    Leadership &leadership = *control.leadership;
    const auto &replicas = control.cluster.view.replicas;
    std::erase_if(leadership.publishedLoads, [&](const std::string &id) {
        const auto replica = replicas.find(id);
        return replica == replicas.end() || replica->second.state != ReplicaState::Loading;
    });
    for (const auto &[id, replica] : replicas) {
        const bool isModelLoad
            = replica.state == ReplicaState::Loading && replica.variant.adapter.value.empty();
        if (!isModelLoad) // Most replicas are ready; each tick looks at all of them.
            continue;
        const auto entry = leadership.registry.targets.find(replica.target);
        if (entry == leadership.registry.targets.end()
            || !leadership.publishedLoads.insert(id).second)
            continue;
        markModified(leadership.registry, entry->second);
    }
}

/** Proposes changes of replicas; no other pass runs until they are applied. */
void proposePlacement(Control &control, UpdateReplicas update, ControlEffects &effects,
                      TimePoint now)
{
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::Placement;
    control.leadership->placementPending = true;
    (void)proposeCommand(control, std::move(update), pending, effects, now);
}

void sendDueOrders(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    publishUnloads(control);
    publishLoads(control);
    applyAssumptions(leadership, now);
    const PlacementInput input{
        control.cluster.view, leadership.registry, control.cluster.lastFencing,
        [&](const TargetId &target) { return tryTakeForOrder(leadership, target, now); }};
    const auto drained = [&](const Replica &replica) {
        return isDrained(leadership, replicaId(replica.target, replica.variant), now);
    };
    const DueOrders due = issueDueOrders(leadership.planner, input, drained, now);
    // A single voter's lease never ends, but new voters may elect another leader before the order
    // is sent.
    const TimePoint sendBy = std::min(leaseEnd(control.replica), now + LEADER_LEASE);
    for (const OutstandingOrder &order : due.orders) {
        const TargetAnnouncement &target
            = leadership.registry.targets.at(order.target).announcement;
        effects.orders.push_back({replicaId(order.target, order.order.variant), target.address,
                                  order.order, leadership.term, now, sendBy});
    }
    if (!due.withoutRoom.empty()) {
        effects.logEvents.push_back({"loadsWithoutRoom", {{"replicas", due.withoutRoom}}});
        proposePlacement(control, UpdateReplicas{{}, due.withoutRoom}, effects, now);
    }
    for (const TargetId &id : due.inspections) {
        const TargetAnnouncement &target = leadership.registry.targets.at(id).announcement;
        effects.inspections.push_back({id, target.start, target.address});
    }
}

/** Logs a changed pace of the weight store, and changed forecasts at most once a second. */
void logForecasts(Leadership &leadership, ControlEffects &effects, TimePoint now)
{
    const Planner &planner = leadership.planner;
    if (!planner.tuning.forecastsLoads)
        return;
    const int most = planner.tuning.maxConcurrentStoreLoads;
    const StorePace &pace = planner.storePace;
    const int parallelism = storeParallelism(pace, most);
    const int before = leadership.loggedParallelism == 0 ? most : leadership.loggedParallelism;
    const double moved = std::abs(pace.slowness - leadership.loggedSlowness);
    if (parallelism != before || moved >= MIN_LOGGED_SLOWNESS_CHANGE) {
        leadership.loggedParallelism = parallelism;
        leadership.loggedSlowness = pace.slowness;
        effects.logEvents.push_back({"storePaceChanged",
                                     {{"from", before},
                                      {"to", parallelism},
                                      {"slowness", pace.slowness},
                                      {"samples", pace.samples},
                                      {"slowSamples", pace.slowSamples}}});
    }
    const LoadForecasts &forecasts = planner.forecasts;
    if (forecasts.version == leadership.loggedForecast
        || now < leadership.forecastLoggedAt + FORECAST_LOG_INTERVAL)
        return;
    leadership.loggedForecast = forecasts.version;
    leadership.forecastLoggedAt = now;
    effects.logEvents.push_back({"loadForecast",
                                 {{"version", forecasts.version},
                                  {"loads", forecasts.loads},
                                  {"needs", forecasts.needs},
                                  {"withoutRoom", forecasts.unplaced},
                                  {"lastMs", toMilliseconds(forecasts.last)},
                                  {"parallelism", parallelism}}});
}

/** Lets a new leader forecast loads before it places replicas: a pass on a copy of the planner,
 * whose decisions are dropped. */
void forecastEarly(Leadership &leadership, const PlacementInput &input, TimePoint now)
{
    const bool isDue = leadership.planner.tuning.forecastsLoads
        && now >= leadership.electedAt + FORECAST_SETTLE_TIME && now >= leadership.placementDue;
    if (!isDue)
        return;
    leadership.placementDue = now + PLACEMENT_INTERVAL;
    Planner copy = leadership.planner;
    (void)decidePlacement(copy, input, now);
    leadership.planner.forecasts = std::move(copy.forecasts);
}

} // namespace

void grantForecasts(const Leadership &leadership, const HostReport &report, HostGrant &grant,
                    TimePoint now)
{
    const LoadForecasts &forecasts = leadership.planner.forecasts;
    grant.forecastsVersion = forecasts.version;
    const bool isKnown
        = report.term == leadership.term && report.forecastsVersion == forecasts.version;
    if (forecasts.version != 0 && !isKnown)
        grant.forecasts = listForecasts(forecasts, now);
}

void runPlacement(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    if (leadership.placementPending || !leadership.active)
        return;
    sendDueOrders(control, effects, now);
    if (leadership.placementPending)
        return;
    const PlacementInput input{control.cluster.view, leadership.registry,
                               control.cluster.lastFencing};
    if (now < leadership.electedAt + PLACEMENT_SETTLE_TIME && leadership.term > 1) {
        forecastEarly(leadership, input, now);
        logForecasts(leadership, effects, now);
        return;
    }
    if (now < leadership.placementDue)
        return;
    leadership.placementDue = now + PLACEMENT_INTERVAL;
    PlacementDecision decision = decidePlacement(leadership.planner, input, now);
    logForecasts(leadership, effects, now);
    logUnmetNeeds(leadership, effects, now);
    if (decision.empty())
        return;
    proposePlacement(control, UpdateReplicas{std::move(decision.put), std::move(decision.gone)},
                     effects, now);
}

} // namespace bilberry
