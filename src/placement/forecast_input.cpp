/** @file forecast_input.cpp Gathers what the planner knows of loads, and forecasts their ends. */
#include "placement/load_forecast_func.h"
#include "placement/planner_internal.h"
#include "placement/store_pace_func.h"

#include <algorithm>
#include <set>

namespace bilberry {

namespace {

constexpr Duration FORECAST_INTERVAL = 200ms; ///< A forecast costs more than the rest of a pass.

/** @return Whether the replica is a model that is being loaded from the weight store. */
bool isStoreLoad(const Pass &pass, const ReplicaFacts &facts)
{
    const Replica &replica = facts.current();
    return !facts.gone && replica.state == ReplicaState::Loading
        && replica.variant.adapter.value.empty()
        && !pass.planner.loadsFromCache.contains(*facts.id);
}

/** Notes a load that its target has accepted, or that an earlier leader may have ordered. */
void noteStoreLoad(Pass &pass, const ReplicaFacts &facts)
{
    const auto order = pass.planner.orders.find(*facts.id);
    if (order == pass.planner.orders.end())
        return;
    const Replica &replica = facts.current();
    const bool isInherited = replica.fencing <= pass.planner.inheritedFencing;
    if (!order->second.answered && !isInherited)
        return;
    const Duration expected = configuredLoadTime(pass.input.view, replica.variant.model, false);
    const TimePoint startedAt
        = order->second.answered ? order->second.acceptedAt : order->second.sentAt;
    beginStoreLoad(pass.planner.storePace, *facts.id, expected, startedAt, !isInherited, pass.now);
}

/** @return Whether no target holds the variant. */
bool isAwaited(const Pass &pass, const Variant &variant)
{
    const auto counts = pass.counts.find(variant);
    return counts == pass.counts.end() || counts->second.ready == 0;
}

/** @return The forecast's view of a load that is decided or under way. */
ForecastLoad describeLoad(const Pass &pass, const ReplicaFacts &facts, std::size_t target)
{
    const Replica &replica = facts.current();
    const StorePace &pace = pass.planner.storePace;
    ForecastLoad load;
    load.variant = replica.variant;
    load.target = target;
    load.fromStore = isStoreLoad(pass, facts);
    load.isFirst = pass.targets[target].serving && isAwaited(pass, replica.variant);
    load.work = configuredLoadTime(pass.input.view, replica.variant.model, !load.fromStore);
    const auto known = pace.loads.find(*facts.id);
    if (known != pace.loads.end()) {
        load.work
            = workLeft(pace, known->second, pass.planner.tuning.maxConcurrentStoreLoads, pass.now);
        if (load.work == Duration::zero())
            load.overdue = ageOf(pace, known->second, pass.now) - known->second.expected;
        return load;
    }
    const auto order = pass.planner.orders.find(*facts.id);
    if (order == pass.planner.orders.end() || load.fromStore)
        return load;
    const Duration left = order->second.sentAt + load.work - pass.now;
    load.work = std::max(left, Duration::zero());
    load.overdue = std::max(-left, Duration::zero());
    return load;
}

void addLoads(const Pass &pass, ForecastInput &input)
{
    for (std::size_t i = 0; i < pass.targets.size(); ++i) {
        for (const std::size_t index : pass.targets[i].replicas) {
            const ReplicaFacts &facts = pass.replicas[index];
            const Replica &replica = facts.current();
            // Adapters load within a fraction of a second; hosts assume a fixed time.
            if (!facts.gone && replica.state == ReplicaState::Loading
                && replica.variant.adapter.value.empty()
                && configuredLoadTime(pass.input.view, replica.variant.model, false)
                    > Duration::zero())
                input.loads.push_back(describeLoad(pass, facts, i));
        }
    }
}

/** Adds the needs that no load meets yet. A model without a configured load time has no forecast.
 */
void addNeeds(const Pass &pass, const std::vector<Need> &needs, ForecastInput &input)
{
    for (const Need &need : needs) {
        const auto counts = pass.counts.find(need.variant);
        const bool isPresent = counts != pass.counts.end() && counts->second.present > 0;
        const Duration fromStore = configuredLoadTime(pass.input.view, need.variant.model, false);
        if (!need.isModel() || !need.isFirstReplica || isPresent || fromStore <= Duration::zero())
            continue;
        ForecastNeed item;
        item.variant = need.variant;
        item.service = need.service;
        item.softwareVersion = need.softwareVersion;
        item.memoryMb = need.memoryMb;
        item.cachedAt = targetsWithCopy(pass, need);
        item.work = item.cachedAt.empty()
            ? fromStore
            : configuredLoadTime(pass.input.view, need.variant.model, true);
        input.needs.push_back(std::move(item));
    }
}

/** Adds the targets; their room is needed only if anything waits for it. */
void addTargets(Pass &pass, ForecastInput &input)
{
    for (TargetFacts &facts : pass.targets) {
        ForecastTarget target;
        target.roomMb = -1;
        target.service = facts.announcement().service;
        target.softwareVersion = facts.announcement().softwareVersion;
        const bool mayLoad = facts.serving && !facts.entry->requestRate;
        if (mayLoad && !input.needs.empty())
            target.roomMb = obtainableMb(pass, facts);
        const auto backoff = pass.planner.targetBackoffUntil.find(facts.announcement().id);
        if (backoff != pass.planner.targetBackoffUntil.end())
            target.busyFor = std::max<Duration>(backoff->second - pass.now, Duration::zero());
        input.targets.push_back(std::move(target));
    }
}

/** Keeps the numbers of the latest forecast for the log. */
void noteForecast(LoadForecasts &forecasts, const ForecastInput &input,
                  const ForecastResult &result)
{
    forecasts.loads = input.loads.size();
    forecasts.needs = input.needs.size();
    forecasts.unplaced = 0;
    forecasts.last = {};
    for (const ExpectedLoad &load : result.loads) {
        forecasts.unplaced += load.placed ? 0 : 1;
        if (load.placed)
            forecasts.last = std::max(forecasts.last, load.left);
    }
}

} // namespace

Duration configuredLoadTime(const ClusterView &view, const ModelId &model, bool cached)
{
    const auto configured = view.models.find(model);
    if (configured == view.models.end())
        return Duration::zero();
    return fromSeconds(cached ? configured->second.cachedLoadSeconds
                              : configured->second.loadSeconds);
}

void trackStoreLoads(Pass &pass)
{
    StorePace &pace = pass.planner.storePace;
    decayStorePace(pace, pass.planner.tuning.maxConcurrentStoreLoads, pass.now);
    std::set<std::string> underWay;
    for (const TargetFacts &target : pass.targets) {
        for (const std::size_t index : target.replicas) {
            const ReplicaFacts &facts = pass.replicas[index];
            if (!isStoreLoad(pass, facts))
                continue;
            underWay.insert(*facts.id);
            noteStoreLoad(pass, facts);
        }
    }
    // Loads that failed, were undone or whose target is gone.
    std::vector<std::string> ended;
    for (const auto &[id, load] : pace.loads) {
        if (!underWay.contains(id))
            ended.push_back(id);
    }
    for (const std::string &id : ended)
        dropStoreLoad(pace, id, pass.now);
}

void forecastNeeds(Pass &pass, const std::vector<Need> &needs)
{
    Planner &planner = pass.planner;
    if (pass.now < planner.forecasts.due)
        return;
    planner.forecasts.due = pass.now + FORECAST_INTERVAL;
    ForecastInput input;
    addNeeds(pass, needs, input);
    addTargets(pass, input);
    addLoads(pass, input);
    input.parallelism = storeParallelism(planner.storePace, planner.tuning.maxConcurrentStoreLoads);
    input.slowness = planner.storePace.slowness;
    input.loadsPerSecond = planner.tuning.storeLoadsPerSecond;
    input.loadTokens = planner.storeLoadTokens;
    input.ordersIn = std::max<Duration>(planner.ordersAllowedFrom - pass.now, Duration::zero());
    const ForecastResult result = forecastLoads(input);
    noteForecast(planner.forecasts, input, result);
    publishForecast(planner.forecasts, result, pass.now);
}

Duration loadTimeLeft(const Planner &planner, const std::string &replica, Duration configured,
                      TimePoint sentAt, TimePoint now)
{
    const StorePace &pace = planner.storePace;
    const auto load = pace.loads.find(replica);
    if (!planner.tuning.forecastsLoads || load == pace.loads.end())
        return std::max<Duration>(configured - (now - sentAt), Duration::zero());
    const int most = planner.tuning.maxConcurrentStoreLoads;
    const double sharers = static_cast<double>(pace.loads.size()) / storeParallelism(pace, most);
    return fromSeconds(toSeconds(workLeft(pace, load->second, most, now)) * pace.slowness
                       * std::max(sharers, 1.0));
}

} // namespace bilberry
