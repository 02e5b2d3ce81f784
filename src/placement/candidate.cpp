/** @file candidate.cpp Where replicas are loaded, and what makes room for them. */
#include "placement/planner_internal.h"

#include "state/view_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr std::size_t ROOM_SEARCHES_PER_PASS = 8; ///< Bounds a pass; the rest follows in the next.
constexpr Duration ROOM_RESERVATION = 2s; ///< Longer than an unload usually takes.
constexpr int FENCED_ORDERS_AT_ONCE = 4;

bool takesOrder(const Pass &pass, const TargetFacts &target)
{
    if (!target.serving || target.orders >= (target.fenced ? FENCED_ORDERS_AT_ONCE : 1))
        return false;
    const auto refused = pass.planner.refusedUntil.find(target.announcement().id);
    if (refused != pass.planner.refusedUntil.end() && pass.now < refused->second)
        return false;
    return target.fenced || pass.now >= pass.planner.ordersFrom;
}

/** @return Whether room on the target was made for another variant. */
bool isReserved(const Pass &pass, const TargetFacts &target, const Variant &variant)
{
    const auto room = pass.planner.rooms.find(target.announcement().id);
    return room != pass.planner.rooms.end() && pass.now < room->second.until
        && room->second.variant != variant;
}

bool hasVariant(const Pass &pass, const TargetFacts &target, const Variant &variant)
{
    return std::any_of(target.replicas.begin(), target.replicas.end(),
                       [&](std::size_t i) { return pass.replicas[i].now().variant == variant; });
}

/** @return Mean time between uses of a variant, as far as it is known. */
Duration meanGap(const VariantHistory &history)
{
    if (history.gaps.empty())
        return std::chrono::hours(1);
    Duration sum{};
    for (const Duration gap : history.gaps)
        sum += gap;
    return sum / static_cast<std::int64_t>(history.gaps.size());
}

bool hasAdapterOf(const Pass &pass, const TargetFacts &target, const ModelId &model)
{
    return std::any_of(target.replicas.begin(), target.replicas.end(), [&](std::size_t i) {
        const Variant &variant = pass.replicas[i].now().variant;
        return variant.model == model && !variant.adapter.value.empty();
    });
}

/** @return How long the replica's work can be expected to stay away, or nothing if it must stay. */
std::optional<Duration> expectedAbsence(const Pass &pass, const TargetFacts &target,
                                        const Replica &replica)
{
    if (replica.state != ReplicaState::Ready)
        return std::nullopt;
    const auto history = pass.planner.history.find(replica.variant);
    const bool known = history != pass.planner.history.end();
    if (known && history->second.waiting + history->second.running + history->second.returning > 0)
        return std::nullopt;
    const TimePoint lastUse
        = known ? std::max(history->second.lastUse, pass.planner.since) : pass.planner.since;
    if (pass.now - lastUse < pass.planner.tuning.victimIdle)
        return std::nullopt;
    const bool isModel = replica.variant.adapter.value.empty();
    const auto model = pass.input.view.models.find(replica.variant.model);
    const VariantCounts &counts = pass.counts.at(replica.variant);
    const bool pinned = model != pass.input.view.models.end() && isModel
        && counts.present <= model->second.minReplicas;
    if (pinned || (isModel && hasAdapterOf(pass, target, replica.variant.model)))
        return std::nullopt;
    // Another replica can take over: this one is hardly missed.
    if (counts.ready > 1 || !known)
        return std::chrono::hours(3);
    return std::max(meanGap(history->second), pass.now - lastUse);
}

/** @return Idle replicas on the target that may go, the one least missed first. */
const std::vector<std::size_t> &victims(const Pass &pass, TargetFacts &target)
{
    if (target.idle)
        return *target.idle;
    std::vector<std::pair<Duration, std::size_t>> idle;
    for (const std::size_t i : target.replicas) {
        if (const auto absence = expectedAbsence(pass, target, pass.replicas[i].now()))
            idle.emplace_back(-*absence, i);
    }
    std::sort(idle.begin(), idle.end());
    target.idle.emplace();
    for (const auto &[absence, i] : idle)
        target.idle->push_back(i);
    return *target.idle;
}

void beginLoad(Pass &pass, const Need &need, std::size_t targetIndex)
{
    TargetFacts &target = pass.targets[targetIndex];
    Replica replica;
    replica.variant = need.variant;
    replica.target = target.announcement().id;
    replica.start = target.announcement().start;
    replica.fencing = FencingNumber(++pass.nextFencing.value);
    replica.version = need.version;
    replica.memoryMb = need.memoryMb;
    pass.newIds.push_back(replicaId(replica.target, need.variant));
    const auto room = pass.planner.rooms.find(replica.target);
    if (room != pass.planner.rooms.end() && room->second.variant == need.variant)
        pass.planner.rooms.erase(room);
    target.replicas.push_back(pass.replicas.size());
    target.idle.reset();
    target.freeMb -= need.memoryMb;
    target.freeAdapters -= need.isModel() ? 0 : 1;
    ++target.orders;
    pass.replicas.push_back({&pass.newIds.back(), nullptr, replica, false});
    ++pass.counts[need.variant].present;
    pass.decision.put.push_back(replica);
    if (!need.isModel()) {
        ++pass.adapterLoads;
    } else if (tierOf(target.announcement(), need.variant.model) == CacheTier::Remote) {
        ++pass.storeLoads;
        pass.planner.storeCredit -= 1;
    } else {
        pass.planner.cachedLoads.insert(pass.newIds.back());
    }
    for (const AccountId &account : need.accounts)
        pass.planner.loadsByAccount[account] += 1;
}

bool storeHasRoom(const Pass &pass)
{
    return pass.storeLoads < pass.planner.tuning.storeLoadsAtOnce && pass.planner.storeCredit >= 1;
}

/** @return Targets on which a load of @p need could begin now, as far as loads are limited. */
const std::vector<std::size_t> &candidatesFor(const Pass &pass, const Need &need,
                                              const std::vector<std::size_t> &all)
{
    static const std::vector<std::size_t> none;
    const auto &index = need.isModel() ? pass.cachedAt : pass.readyAt;
    if (!need.isModel() && pass.adapterLoads >= pass.planner.tuning.adapterLoadsAtOnce)
        return none;
    // Waiting for a target that has the checkpoint is shorter than a load from the store.
    const bool swaps = pass.planner.tuning.ranksByDemand && index.contains(need.variant.model);
    if (need.isModel() && storeHasRoom(pass) && !swaps)
        return all;
    const auto found = index.find(need.variant.model);
    return found == index.end() ? none : found->second;
}

int replicasInZone(const Pass &pass, const ZoneId &zone, const Variant &variant)
{
    int count = 0;
    if (!pass.counts.contains(variant))
        return 0;
    for (const TargetFacts &target : pass.targets)
        count += target.serving && target.announcement().zone == zone
                && hasVariant(pass, target, variant)
            ? 1
            : 0;
    return count;
}

/** @return The target to load @p need on now, if there is one with free memory. */
std::optional<std::size_t> chooseTarget(const Pass &pass, const Need &need,
                                        const std::vector<std::size_t> &candidates)
{
    std::optional<std::size_t> best;
    std::tuple<int, int, std::int64_t> bestRank;
    std::map<ZoneId, int> zones; // Counted only for further replicas.
    for (const std::size_t i : candidates) {
        const TargetFacts &target = pass.targets[i];
        if (target.freeMb < need.memoryMb || !takesOrder(pass, target)
            || target.announcement().service != need.service
            || (!need.isModel() && target.freeAdapters < 1)
            || (need.isModel() && isReserved(pass, target, need.variant))
            || hasVariant(pass, target, need.variant))
            continue;
        int inZone = 0;
        if (!need.first) {
            const auto [zone, added] = zones.try_emplace(target.announcement().zone, 0);
            if (added)
                zone->second = replicasInZone(pass, zone->first, need.variant);
            inZone = zone->second;
        }
        const std::tuple<int, int, std::int64_t> rank{
            static_cast<int>(tierOf(target.announcement(), need.variant.model)), inZone,
            -target.freeMb};
        if (!best || rank < bestRank) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

/** A target takes no order for an adapter while it loads a model. */
bool servesAdapters(const Pass &pass, const TargetFacts &target)
{
    return std::any_of(target.replicas.begin(), target.replicas.end(), [&](std::size_t i) {
        const Variant &variant = pass.replicas[i].now().variant;
        const auto active = pass.planner.active.upper_bound({variant.model, {}});
        return variant.adapter.value.empty() && active != pass.planner.active.end()
            && active->model == variant.model;
    });
}

/** Replicas whose unloading makes room on one target, or nothing if that is not possible. */
std::optional<std::vector<std::size_t>> roomOn(Pass &pass, TargetFacts &target, const Need &need)
{
    std::int64_t room = target.freeMb;
    int places = need.isModel() ? 1 : target.freeAdapters;
    // Room that is on its way already is not made a second time.
    for (const std::size_t i : target.replicas) {
        const Replica &replica = pass.replicas[i].now();
        if (replica.state != ReplicaState::Unloading)
            continue;
        room += memoryOf(pass.input.view, replica);
        places += replica.variant.adapter.value.empty() ? 0 : 1;
    }
    std::vector<std::size_t> chosen;
    for (const std::size_t victim : victims(pass, target)) {
        if (room >= need.memoryMb && places >= 1)
            break;
        const Replica &replica = pass.replicas[victim].now();
        const bool isAdapter = !replica.variant.adapter.value.empty();
        if (replica.variant.model == need.variant.model && (need.isModel() || !isAdapter))
            continue;
        room += memoryOf(pass.input.view, replica);
        places += isAdapter ? 1 : 0;
        chosen.push_back(victim);
    }
    if (room < need.memoryMb || places < 1)
        return std::nullopt;
    return chosen;
}

/**
 * Starts unloading idle replicas where that makes room for @p need soonest.
 * @param onlyCached Only targets that have the checkpoint cached are considered.
 * @return Whether room is on its way.
 */
bool makeRoom(Pass &pass, const Need &need, const std::vector<std::size_t> &candidates,
              bool onlyCached)
{
    std::optional<std::vector<std::size_t>> best;
    const TargetFacts *bestTarget = nullptr;
    std::tuple<bool, int, std::size_t> bestRank;
    for (const std::size_t i : candidates) {
        TargetFacts &target = pass.targets[i];
        const CacheTier tier = tierOf(target.announcement(), need.variant.model);
        if (!takesOrder(pass, target) || hasVariant(pass, target, need.variant)
            || target.announcement().service != need.service
            || (need.isModel() && isReserved(pass, target, need.variant))
            || (onlyCached && tier == CacheTier::Remote))
            continue;
        std::optional<std::vector<std::size_t>> chosen = roomOn(pass, target, need);
        if (!chosen)
            continue;
        if (chosen->empty())
            return true;
        const std::tuple<bool, int, std::size_t> rank{
            need.isModel() && servesAdapters(pass, target), static_cast<int>(tier), chosen->size()};
        if (!best || rank < bestRank) {
            best = std::move(chosen);
            bestTarget = &target;
            bestRank = rank;
        }
    }
    if (!best)
        return false;
    if (need.isModel())
        pass.planner.rooms[bestTarget->announcement().id]
            = {need.variant, pass.now + ROOM_RESERVATION};
    for (const std::size_t victim : *best)
        beginUnload(pass, victim);
    return true;
}

} // namespace

CacheTier tierOf(const TargetAnnouncement &target, const ModelId &model)
{
    CacheTier best = CacheTier::Remote;
    for (const CachedModel &cached : target.cached) {
        if (cached.model == model)
            best = std::min(best, cached.tier);
    }
    return best;
}

void beginUnload(Pass &pass, std::size_t replica)
{
    ReplicaFacts &facts = pass.replicas[replica];
    facts.changed = facts.now();
    facts.changed->state = ReplicaState::Unloading;
    facts.changed->fencing = FencingNumber(++pass.nextFencing.value);
    TargetFacts &target = pass.targets[pass.targetIndex.at(facts.changed->target)];
    ++target.orders;
    target.idle.reset();
    VariantCounts &counts = pass.counts.at(facts.changed->variant);
    --counts.present;
    --counts.ready;
    pass.decision.put.push_back(*facts.changed);
}

void placeNeeds(Pass &pass, const std::vector<Need> &needs)
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < pass.targets.size(); ++i) {
        if (takesOrder(pass, pass.targets[i]))
            all.push_back(i);
    }
    std::size_t searches = 0;
    for (const Need &need : needs) {
        const std::vector<std::size_t> &candidates = candidatesFor(pass, need, all);
        if (candidates.empty())
            continue;
        const std::optional<std::size_t> target = chooseTarget(pass, need, candidates);
        const bool uncached = target
            && tierOf(pass.targets[*target].announcement(), need.variant.model)
                == CacheTier::Remote;
        // Where the checkpoint is cached, making room first is faster than a load from the store.
        const bool presses = need.first || pass.planner.tuning.ranksByDemand;
        const bool wantsRoom = presses && (!target || (uncached && need.isModel()));
        if (wantsRoom && searches < ROOM_SEARCHES_PER_PASS) {
            ++searches;
            if (makeRoom(pass, need, candidates, target.has_value()))
                continue;
        }
        if (target)
            beginLoad(pass, need, *target);
    }
}

void unloadIdle(Pass &pass)
{
    constexpr std::size_t TARGETS_PER_PASS = 64; // A large fleet is looked through in turns.
    const std::size_t count = std::min(pass.targets.size(), TARGETS_PER_PASS);
    for (std::size_t n = 0; n < count; ++n) {
        TargetFacts &target = pass.targets[++pass.planner.idleTurn % pass.targets.size()];
        if (!takesOrder(pass, target))
            continue;
        const std::vector<std::size_t> idle = victims(pass, target);
        for (const std::size_t i : idle) {
            const Replica &replica = pass.replicas[i].now();
            const bool withdrawn = !pass.input.view.models.contains(replica.variant.model);
            const auto history = pass.planner.history.find(replica.variant);
            const TimePoint lastUse = history == pass.planner.history.end()
                ? pass.planner.since
                : std::max(history->second.lastUse, pass.planner.since);
            const bool over = pass.now - lastUse >= keepWarmWindow(pass.planner, replica.variant);
            if ((withdrawn || over) && takesOrder(pass, target))
                beginUnload(pass, i);
        }
    }
}

namespace {

/** @return The model asked for last that no target holds or has cached, if there is one. */
const Model *missingModel(const Pass &pass)
{
    const Model *best = nullptr;
    TimePoint bestUse;
    for (const auto &[id, model] : pass.input.view.models) {
        const auto counts = pass.counts.find({id, {}});
        const bool held = counts != pass.counts.end() && counts->second.present > 0;
        if (held || pass.cachedAt.contains(id) || pass.planner.failedUntil.contains({id, {}}))
            continue;
        const auto history = pass.planner.history.find({id, {}});
        const TimePoint lastUse
            = history == pass.planner.history.end() ? TimePoint{} : history->second.lastUse;
        if (best == nullptr || lastUse > bestUse) {
            best = &model;
            bestUse = lastUse;
        }
    }
    return best;
}

/** @return An idle model of the target that has no other replica and stays in its cache. */
std::optional<std::size_t> cachedVictim(Pass &pass, TargetFacts &target)
{
    for (const std::size_t i : victims(pass, target)) {
        const Replica &replica = pass.replicas[i].now();
        const bool lone = pass.counts.at(replica.variant).present == 1;
        const bool cached
            = tierOf(target.announcement(), replica.variant.model) != CacheTier::Remote;
        if (replica.variant.adapter.value.empty() && lone && cached)
            return i;
    }
    return std::nullopt;
}

} // namespace

void prefetch(Pass &pass)
{
    // Before anything was asked for, nothing tells which models are idle.
    if (!storeHasRoom(pass) || pass.planner.history.empty())
        return;
    const Model *model = missingModel(pass);
    if (model == nullptr)
        return;
    Need need;
    need.variant = {model->id, {}};
    need.version = model->version;
    need.service = model->service;
    need.memoryMb = model->memoryMb;
    need.first = true;
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < pass.targets.size(); ++i) {
        if (takesOrder(pass, pass.targets[i])
            && pass.targets[i].announcement().service == need.service)
            all.push_back(i);
    }
    if (const std::optional<std::size_t> target = chooseTarget(pass, need, all)) {
        beginLoad(pass, need, *target);
        return;
    }
    // One room at a time is enough to keep the store busy.
    for (const std::size_t i : all) {
        if (const std::optional<std::size_t> victim = cachedVictim(pass, pass.targets[i])) {
            beginUnload(pass, *victim);
            return;
        }
    }
}

} // namespace bilberry
