/** @file placement_replay.cpp Simulates placement policies on a trace of requests. */
#include "bench/placement_replay_base.h"

#include "placement/planner_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

namespace bilberry {

namespace {

constexpr Duration TIME_STEP = 100ms;
constexpr int PARALLEL_STORE_LOADS
    = 4; ///< Parallel loads that the remote store serves at full speed.
constexpr int PARALLEL_ADAPTER_LOADS = 30; ///< Parallel adapter loads at full speed.
constexpr Duration REMOTE_LOAD_TIME = 6s;
constexpr Duration DISK_LOAD_TIME = 2500ms;
constexpr Duration MEMORY_LOAD_TIME = 1s;
constexpr Duration ADAPTER_LOAD_TIME = 20ms;
constexpr Duration UNLOAD_TIME = 200ms;
constexpr std::int64_t MODEL_MB = 16'000;
constexpr std::int64_t ADAPTER_MB = 200;
constexpr int SLOTS_PER_REPLICA = 8;

/** State of a replica in its engine. */
struct EngineReplica
{
    Variant variant;
    TargetId target;
    std::int64_t memoryMb = 0;
    TimePoint readyAt;
    bool ready = false;
    bool unloading = false;
    TimePoint goneAt;
    std::vector<TimePoint> runningUntil;
    TimePoint lastUse;
    double idleSeconds = 0;
    bool fromStore = false; ///< Loaded from the remote store.
    FencingToken fencing; ///< Fencing token of the last order.
};

/** A queued request. */
struct QueuedRequest
{
    TraceRequest request;
    TimePoint at; ///< Time of arrival.
    bool cold = false; ///< No replica was ready at arrival.
};

/** State of one replay. */
struct Replay
{
    const PlacementTrace &trace;
    PlacementPolicy policy;
    PlacementResult result;
    TimePoint now{1000s};
    std::map<std::string, EngineReplica> replicas;
    std::map<Variant, std::deque<QueuedRequest>> waiting;
    std::map<Variant, std::set<std::string>> byVariant;
    std::map<TargetId, const TargetAnnouncement *> engines;
    std::map<TargetId, std::int64_t> usedMb;
    std::map<std::pair<TargetId, ModelId>, CacheTier> caches;
    int modelLoads = 0;
    int adapterLoads = 0;
    Cluster cluster;
    TargetRegistry registry;
    Planner planner;
    std::map<Variant, int> arrived; ///< Arrivals since the last report to the planner.
    std::map<TargetId, FencingToken>
        completedUnloads; ///< Highest fencing token of a completed unload, by engine.
};

CacheTier tierAt(const Replay &replay, const TargetId &target, const ModelId &model)
{
    const auto it = replay.caches.find({target, model});
    return it == replay.caches.end() ? CacheTier::Remote : it->second;
}

Duration loadTime(const Replay &replay, const TargetId &target, const Variant &variant)
{
    if (!variant.adapter.value.empty())
        return ADAPTER_LOAD_TIME * std::max(1, replay.adapterLoads / PARALLEL_ADAPTER_LOADS);
    const int slowdown
        = std::max(1, (replay.modelLoads + PARALLEL_STORE_LOADS - 1) / PARALLEL_STORE_LOADS);
    switch (tierAt(replay, target, variant.model)) {
    case CacheTier::Memory:
        return MEMORY_LOAD_TIME;
    case CacheTier::Disk:
        return DISK_LOAD_TIME;
    case CacheTier::Remote:
        break;
    }
    return REMOTE_LOAD_TIME * slowdown;
}

void beginLoad(Replay &replay, const TargetId &target, const Variant &variant, FencingToken fencing)
{
    const bool isBase = variant.adapter.value.empty();
    EngineReplica replica;
    replica.fromStore = isBase && tierAt(replay, target, variant.model) == CacheTier::Remote;
    replay.modelLoads += replica.fromStore ? 1 : 0;
    replay.adapterLoads += isBase ? 0 : 1;
    replica.variant = variant;
    replica.target = target;
    replica.memoryMb = variant.adapter.value.empty() ? MODEL_MB : ADAPTER_MB;
    replica.readyAt = replay.now + loadTime(replay, target, variant);
    replica.lastUse = replica.readyAt;
    replica.fencing = fencing;
    const std::string id = replicaId(target, variant);
    replay.replicas[id] = replica;
    replay.byVariant[variant].insert(id);
    replay.usedMb[target] += replica.memoryMb;
    if (replay.usedMb[target] > replay.engines.at(target)->memoryMb)
        ++replay.result.overcommits;
    ++replay.result.loads;
}

void beginUnload(Replay &replay, const std::string &id, FencingToken fencing)
{
    EngineReplica &replica = replay.replicas.at(id);
    replica.unloading = true;
    replica.goneAt = replay.now + UNLOAD_TIME;
    for (const TimePoint end : replica.runningUntil)
        replica.goneAt = std::max(replica.goneAt, end);
    replica.fencing = fencing;
}

/** Completes the loads, unloads and requests that are due, and adds up idle time. */
void advanceEngines(Replay &replay)
{
    for (auto it = replay.replicas.begin(); it != replay.replicas.end();) {
        EngineReplica &replica = it->second;
        std::erase_if(replica.runningUntil, [&](TimePoint end) { return end <= replay.now; });
        if (!replica.ready && replica.readyAt <= replay.now) {
            replica.ready = true;
            replay.modelLoads -= replica.fromStore ? 1 : 0;
            replay.adapterLoads -= replica.variant.adapter.value.empty() ? 0 : 1;
            if (replica.variant.adapter.value.empty())
                replay.caches[{replica.target, replica.variant.model}] = CacheTier::Disk;
        }
        if (replica.ready && replica.runningUntil.empty())
            replica.idleSeconds += toSeconds(TIME_STEP);
        if (!replica.unloading || replica.goneAt > replay.now) {
            ++it;
            continue;
        }
        replay.usedMb[replica.target] -= replica.memoryMb;
        FencingToken &completedUnloads = replay.completedUnloads[replica.target];
        completedUnloads = std::max(completedUnloads, replica.fencing);
        replay.byVariant[replica.variant].erase(it->first);
        replay.result.idleHours += replica.idleSeconds / 3600
            * static_cast<double>(replica.memoryMb)
            / static_cast<double>(replay.engines.at(replica.target)->memoryMb);
        it = replay.replicas.erase(it);
    }
}

/**
 * Assigns queued requests to ready replicas with free slots, and refuses queued requests that could
 * no longer end within their time limit.
 */
void serveWaiting(Replay &replay)
{
    for (auto it = replay.waiting.begin(); it != replay.waiting.end();) {
        std::deque<QueuedRequest> &queue = it->second;
        for (const std::string &id : replay.byVariant[it->first]) {
            EngineReplica &replica = replay.replicas.at(id);
            while (!queue.empty() && replica.ready && !replica.unloading
                   && replica.runningUntil.size() < SLOTS_PER_REPLICA) {
                const QueuedRequest request = queue.front();
                queue.pop_front();
                replica.runningUntil.push_back(replay.now + request.request.service);
                replica.lastUse = replay.now + request.request.service;
                ++replay.result.served;
                if (request.cold)
                    replay.result.coldSeconds.push_back(toSeconds(replay.now - request.at));
            }
        }
        while (!queue.empty()
               && replay.now + queue.front().request.service
                   > queue.front().at + queue.front().request.limit) {
            queue.pop_front();
            ++replay.result.refused;
        }
        it = queue.empty() ? replay.waiting.erase(it) : std::next(it);
    }
}

bool hasReady(const Replay &replay, const Variant &variant)
{
    const auto ids = replay.byVariant.find(variant);
    return ids != replay.byVariant.end()
        && std::any_of(ids->second.begin(), ids->second.end(), [&](const std::string &id) {
               const EngineReplica &replica = replay.replicas.at(id);
               return replica.ready && !replica.unloading;
           });
}

/**
 * Baseline policy: loads a variant on the first engine with free memory.
 * @param mayUnload Whether the least recently used model is evicted if no engine has free memory.
 */
void loadByBaseline(Replay &replay, const Variant &variant, bool mayUnload)
{
    const auto present = replay.byVariant.find(variant);
    if (present != replay.byVariant.end() && !present->second.empty())
        return;
    const bool isBase = variant.adapter.value.empty();
    const Variant base{variant.model, {}};
    if (!isBase && !hasReady(replay, base)) {
        loadByBaseline(replay, base, mayUnload);
        return;
    }
    const std::int64_t needed = isBase ? MODEL_MB : ADAPTER_MB;
    for (const auto &[id, engine] : replay.engines) {
        const bool fits = replay.usedMb[id] + needed <= engine->memoryMb;
        const bool hasBase = isBase || replay.replicas.contains(replicaId(id, base));
        if (fits && hasBase) {
            beginLoad(replay, id, variant, {});
            return;
        }
    }
    if (!mayUnload)
        return;
    const EngineReplica *oldest = nullptr;
    std::string oldestId;
    for (const auto &[id, replica] : replay.replicas) {
        if (replica.unloading)
            return; // An unload in progress will free memory.
        const bool candidate = replica.ready && replica.runningUntil.empty()
            && replica.variant.adapter.value.empty();
        if (candidate && (oldest == nullptr || replica.lastUse < oldest->lastUse)) {
            oldest = &replica;
            oldestId = id;
        }
    }
    if (oldest == nullptr)
        return;
    const TargetId target = oldest->target;
    const ModelId model = oldest->variant.model;
    for (auto &[id, replica] : replay.replicas) {
        if (replica.target == target && replica.variant.model == model && !replica.unloading)
            beginUnload(replay, id, {});
    }
}

/** Updates the target registry with an announcement of each engine. */
void announceEngines(Replay &replay)
{
    std::map<TargetId, TargetAnnouncement> next;
    for (const TargetAnnouncement &engine : replay.trace.engines)
        next[engine.id] = engine;
    for (const auto &[id, replica] : replay.replicas) {
        if (replica.ready)
            next.at(replica.target)
                .loaded.push_back({replica.variant, Version(1), replica.memoryMb});
    }
    for (const auto &[key, tier] : replay.caches)
        next.at(key.first).cached.push_back({key.second, tier});
    for (auto &[id, announcement] : next) {
        const auto known = replay.registry.targets.find(id);
        FencingToken last = known == replay.registry.targets.end()
            ? FencingToken(0)
            : known->second.announcement.lastOrder;
        announcement.lastOrder = std::max(last, replay.completedUnloads[id]);
        announcement.start = Incarnation(1);
        applyAnnouncement(replay.registry, announcement, replay.now);
    }
}

void reportUses(Replay &replay)
{
    std::map<Variant, VariantUse> uses;
    for (const auto &[variant, queue] : replay.waiting) {
        VariantUse &use = uses[variant];
        use.waiting = static_cast<int>(queue.size());
        std::map<AccountId, int> accounts;
        for (const QueuedRequest &waiting : queue) {
            ++accounts[waiting.request.account];
            const Duration left = waiting.at + waiting.request.limit - replay.now;
            use.earliestDeadlineIn = std::min(use.earliestDeadlineIn.value_or(left), left);
        }
        for (const auto &[account, count] : accounts)
            use.accounts.push_back({account, count});
    }
    for (const auto &[id, replica] : replay.replicas) {
        if (!replica.runningUntil.empty())
            uses[replica.variant].running += static_cast<int>(replica.runningUntil.size());
    }
    for (const auto &[variant, count] : replay.arrived)
        uses[variant].arrived = count;
    replay.arrived.clear();
    std::vector<VariantUse> list;
    for (auto &[variant, use] : uses) {
        use.variant = variant;
        list.push_back(use);
    }
    recordVariantUses(replay.planner, HostId("all"), list, replay.now);
}

void runPlanner(Replay &replay)
{
    announceEngines(replay);
    reportUses(replay);
    const PlacementInput input{replay.cluster.view, replay.registry, replay.cluster.lastFencing};
    const auto begin = std::chrono::steady_clock::now();
    const PlacementDecision decision = decidePlacement(replay.planner, input, replay.now);
    const double ms
        = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
              .count();
    replay.result.worstPassMs = std::max(replay.result.worstPassMs, ms);
    replay.result.meanPassMs += ms;
    if (!decision.empty())
        apply(replay.cluster, {Duration::zero(), UpdateReplicas{decision.put, decision.gone}});
    const auto orders = issueDueOrders(
        replay.planner, {replay.cluster.view, replay.registry, replay.cluster.lastFencing},
        [](const Replica &) { return true; }, replay.now);
    for (const OutstandingOrder &order : orders.orders) {
        const std::string id = replicaId(order.target, order.order.variant);
        if (order.order.action == OrderAction::Load)
            beginLoad(replay, order.target, order.order.variant, order.order.fencing);
        else
            beginUnload(replay, id, order.order.fencing);
        handleOrderReply(replay.planner, id, order.order.fencing, OrderReply::Accepted, false,
                         replay.now);
    }
}

void queueArrivals(Replay &replay, std::size_t &next, TimePoint start)
{
    while (next < replay.trace.requests.size()
           && start + replay.trace.requests[next].at <= replay.now) {
        const TraceRequest &request = replay.trace.requests[next++];
        QueuedRequest waiting{request, start + request.at, !hasReady(replay, request.variant)};
        replay.waiting[request.variant].push_back(waiting);
        ++replay.arrived[request.variant];
    }
}

} // namespace

PlacementTrace makeTrace(const TraceShape &shape, unsigned seed)
{
    std::mt19937_64 random(seed);
    PlacementTrace trace;
    trace.length = shape.length;
    for (int i = 0; i < shape.engines; ++i) {
        TargetAnnouncement engine;
        engine.id = TargetId("e" + std::to_string(i));
        engine.zone = ZoneId("z" + std::to_string(i % 4));
        engine.memoryMb = shape.engineMemoryMb;
        engine.start = Incarnation(1);
        trace.engines.push_back(engine);
        trace.view.targets[engine.id] = {engine.id, true, false};
    }
    std::vector<Variant> variants;
    for (int i = 0; i < shape.models; ++i) {
        Model model;
        model.id = ModelId("m" + std::to_string(i));
        model.memoryMb = MODEL_MB;
        model.adapterMemoryMb = ADAPTER_MB;
        variants.push_back({model.id, {}});
        for (int a = i; a < shape.adapters; a += shape.models) {
            model.adapters.emplace_back("a" + std::to_string(a));
            variants.push_back({model.id, model.adapters.back()});
        }
        trace.view.models[model.id] = model;
    }
    std::shuffle(variants.begin(), variants.end(), random);
    std::vector<double> weights;
    for (std::size_t i = 0; i < variants.size(); ++i)
        weights.push_back(1.0 / std::pow(static_cast<double>(i + 1), 1.1));
    // Most variants are inactive except for rare requests; some become active or idle within an
    // hour.
    const double hours = toSeconds(shape.length) / 3600;
    std::vector<std::pair<double, double>> activePeriods;
    std::uniform_real_distribution<double> unit(0, 1);
    for (std::size_t i = 0; i < variants.size(); ++i) {
        const double draw = unit(random);
        const double begin = unit(random) * 0.8;
        if (draw < shape.intermittentShare * hours)
            activePeriods.emplace_back(begin, begin + 0.1 + 0.4 * unit(random));
        else
            activePeriods.emplace_back(0, draw > 1 - shape.alwaysActiveShare ? 1 : 0);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(shape.requestsPerSecond);
    const double length = toSeconds(shape.length);
    for (double at = gap(random); at < length; at += gap(random)) {
        const std::size_t i = pick(random);
        const bool isActive
            = at >= activePeriods[i].first * length && at <= activePeriods[i].second * length;
        if (!isActive && unit(random) > shape.inactiveRequestShare)
            continue;
        TraceRequest request;
        request.at = fromSeconds(at);
        request.variant = variants[i];
        request.account = AccountId("c" + std::to_string(i % 5));
        request.service = fromSeconds(0.3 + unit(random));
        request.limit = 60s;
        trace.requests.push_back(request);
    }
    return trace;
}

PlacementResult replayPlacement(const PlacementTrace &trace, PlacementPolicy policy)
{
    Replay replay{trace, policy, {}, TimePoint(1000s), {}, {}, {}, {}, {}, {}, 0, 0, {}, {},
                  {},    {},     {}};
    for (const TargetAnnouncement &engine : trace.engines)
        replay.engines[engine.id] = &engine;
    replay.cluster.view = trace.view;
    const TimePoint start = replay.now;
    replay.planner.since = start - 10min;
    replay.planner.storeLoadTokensAt = start;
    if (policy == PlacementPolicy::KeepAll) {
        for (const auto &[id, model] : trace.view.models)
            loadByBaseline(replay, {id, {}}, false);
    }
    std::size_t next = 0;
    std::size_t passes = 0;
    for (; replay.now < start + trace.length + 60s; replay.now += TIME_STEP) {
        queueArrivals(replay, next, start);
        advanceEngines(replay);
        serveWaiting(replay);
        ++passes;
        if (policy == PlacementPolicy::Planner) {
            runPlanner(replay);
            continue;
        }
        std::vector<Variant> wanted;
        for (const auto &[variant, queue] : replay.waiting)
            wanted.push_back(variant);
        for (const Variant &variant : wanted)
            loadByBaseline(replay, variant, policy == PlacementPolicy::LeastRecentlyUsed);
    }
    replay.result.meanPassMs /= static_cast<double>(passes);
    for (const auto &[id, replica] : replay.replicas)
        replay.result.idleHours += replica.idleSeconds / 3600
            * static_cast<double>(replica.memoryMb)
            / static_cast<double>(replay.engines.at(replica.target)->memoryMb);
    for (const auto &[variant, queue] : replay.waiting)
        replay.result.refused += queue.size();
    return replay.result;
}

} // namespace bilberry
