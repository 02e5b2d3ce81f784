/** @file planner.cpp Tracks the demand for variants and runs placement passes. */
#include "placement/planner_internal.h"

#include "state/view_func.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bilberry {

namespace {

/** WaitingDemand::left is rounded down by up to this. */
constexpr Duration TIME_LEFT_STEP = 1s;
constexpr double WAIT_WEIGHT = 2; ///< A second of waiting adds the urgency of this many requests.
/** Urgency, in requests, of a take-up whose software version lacks the model: its caller has waited
 * for one stream already, and no other target can serve it. */
constexpr double TAKE_UP_URGENCY = 20;
/** Factor per pass on the load charge of each account; recent loads lower an account's priority. */
constexpr double LOAD_CHARGE_DECAY = 0.97;

/** Adds one host's use of a variant to the totals (@p sign 1) or subtracts it (@p sign -1). */
void applyUse(Planner &planner, const HostId &host, const VariantUse &use, int sign, TimePoint now)
{
    VariantHistory &history = planner.history[use.variant];
    history.waiting += sign * use.waiting;
    history.running += sign * use.running;
    history.returning += sign * use.returning;
    for (const AccountDemand &account : use.accounts) {
        int &waiting = history.accounts[account.account];
        waiting += sign * account.demand;
        if (waiting <= 0)
            history.accounts.erase(account.account);
    }
    for (const PinnedDemand &pinned : use.pinned) {
        int &waiting = history.pinned[pinned.softwareVersion];
        waiting += sign * pinned.waiting;
        if (waiting <= 0)
            history.pinned.erase(pinned.softwareVersion);
    }
    history.timeLeft.erase(host);
    if (sign > 0 && !use.timeLeft.empty()) {
        std::vector<WaitingUntil> &timeLeft = history.timeLeft[host];
        for (const WaitingDemand &demand : use.timeLeft)
            timeLeft.push_back({now + demand.left, demand.waiting, demand.weight});
    }
    history.deadlines.erase(host);
    if (sign > 0 && use.earliestDeadlineIn)
        history.deadlines[host] = now + *use.earliestDeadlineIn;
    if (history.waiting + history.running + history.returning > 0)
        planner.activeVariants.insert(use.variant);
    else
        planner.activeVariants.erase(use.variant);
}

/** Records the time since the variant's last use, if new requests end an idle time of over 1 s. */
void recordIdleGap(VariantHistory &history, const VariantUse &use, TimePoint now)
{
    const Duration gap = now - history.lastUse;
    const bool wasIdle = history.lastUse != TimePoint{} && gap > 1s;
    if (use.arrived > 0 && wasIdle) {
        history.idleGaps.push_back(gap);
        if (history.idleGaps.size() > MAX_IDLE_GAPS)
            history.idleGaps.erase(history.idleGaps.begin());
    }
    history.lastUse = now;
}

/** @return Waiting, running and returning requests for exactly this variant. */
int requestsFor(const Planner &planner, const Variant &variant)
{
    const auto it = planner.history.find(variant);
    return it == planner.history.end()
        ? 0
        : it->second.waiting + it->second.running + it->second.returning;
}

/**
 * @return Waiting, running and returning requests for replicas of the variant; a base model
 * includes the requests for its adapters.
 */
int requestsWithAdapters(const Planner &planner, const Variant &variant)
{
    int requests = requestsFor(planner, variant);
    if (!variant.adapter.value.empty())
        return requests;
    for (auto it = planner.activeVariants.upper_bound(variant);
         it != planner.activeVariants.end() && it->model == variant.model; ++it)
        requests += requestsFor(planner, *it);
    return requests;
}

/** Callers that speak for a load of a variant. */
struct Callers
{
    int count = 0;
    double weight = 0; ///< Sum of their weights; 1 for each that is not waiting.
};

/**
 * Adds the callers of exactly @p variant, without the waiting requests that a load which begins now
 * would not serve in time. A host that does not report the time left counts with all its requests.
 */
void addCallers(const Pass &pass, const Variant &variant, Duration loadTime, Callers &callers)
{
    const auto it = pass.planner.history.find(variant);
    if (it == pass.planner.history.end())
        return;
    const VariantHistory &history = it->second;
    int others = history.waiting + history.running + history.returning;
    for (const auto &[host, timeLeft] : history.timeLeft) {
        for (const WaitingUntil &group : timeLeft) {
            others -= group.waiting;
            if (pass.now + loadTime > group.until + TIME_LEFT_STEP)
                continue;
            callers.count += group.waiting;
            callers.weight += group.weight;
        }
    }
    callers.count += others;
    callers.weight += others;
}

/** @return Callers that speak for a replica of the variant; a base model includes the callers of
 * its adapters. */
Callers callersWithAdapters(const Pass &pass, const Variant &variant)
{
    Callers callers;
    const bool isModel = variant.adapter.value.empty();
    const bool cached = pass.cachedTargets.contains(variant.model);
    const Duration configured
        = isModel ? configuredLoadTime(pass.input.view, variant.model, cached) : Duration::zero();
    const double slowness = cached ? 1 : pass.planner.storePace.slowness;
    const Duration loadTime = fromSeconds(toSeconds(configured) * slowness);
    addCallers(pass, variant, loadTime, callers);
    if (!isModel)
        return callers;
    for (auto it = pass.planner.activeVariants.upper_bound(variant);
         it != pass.planner.activeVariants.end() && it->model == variant.model; ++it)
        addCallers(pass, *it, loadTime, callers);
    return callers;
}

/** @return Number of replicas that the variant should have under the reported demand. */
int desiredReplicas(const Pass &pass, const Model &model, const Variant &variant)
{
    const int perReplica = pass.planner.tuning.requestsPerReplica;
    const int least = variant.adapter.value.empty() ? model.minReplicas : 0;
    // Until a first replica serves, a burst of requests does not show how many replicas are needed.
    const auto counts = pass.counts.find(variant);
    if (counts == pass.counts.end() || counts->second.ready == 0) {
        const int callers = pass.planner.tuning.forecastsLoads
            ? callersWithAdapters(pass, variant).count
            : requestsWithAdapters(pass.planner, variant);
        return std::max(std::min(callers, 1), least);
    }
    const int requests = requestsWithAdapters(pass.planner, variant);
    return std::clamp((requests + perReplica - 1) / perReplica, least, model.maxReplicas);
}

/** Adds the deadlines, accounts and load charges of the requests that wait for @p variant. */
void addWaiters(const Pass &pass, const Variant &variant, Need &need)
{
    const auto history = pass.planner.history.find(variant);
    if (history == pass.planner.history.end())
        return;
    for (const auto &[host, deadline] : history->second.deadlines)
        need.deadline = std::min(need.deadline, deadline);
    for (const auto &[account, waiting] : history->second.accounts) {
        need.accounts.insert(account);
        const auto known = pass.planner.loadChargeByAccount.find(account);
        const double charge = known == pass.planner.loadChargeByAccount.end() ? 0 : known->second;
        need.charge = need.accounts.size() == 1 ? charge : std::min(need.charge, charge);
    }
}

/** @return Seconds since the variant first lacked a replica, times WAIT_WEIGHT. */
double weightedWait(const Pass &pass, const Variant &variant)
{
    const auto [since, added] = pass.planner.unmetSince.try_emplace(variant, pass.now);
    return WAIT_WEIGHT * toSeconds(pass.now - since->second);
}

/** @return Software versions to which waiting requests for replicas of the variant are pinned; a
 * base model includes the requests for its adapters. */
std::set<std::string> pinnedVersions(const Planner &planner, const Variant &variant)
{
    std::set<std::string> versions;
    const auto add = [&](const Variant &requested) {
        const auto history = planner.history.find(requested);
        if (history == planner.history.end())
            return;
        for (const auto &[version, waiting] : history->second.pinned)
            versions.insert(version);
    };
    add(variant);
    if (!variant.adapter.value.empty())
        return versions;
    for (auto it = planner.activeVariants.upper_bound(variant);
         it != planner.activeVariants.end() && it->model == variant.model; ++it)
        add(*it);
    return versions;
}

/** @return Whether a serving target of the software version holds or loads the variant. */
bool isPresentAt(const Pass &pass, const Variant &variant, const std::string &softwareVersion)
{
    return std::any_of(pass.targets.begin(), pass.targets.end(), [&](const TargetFacts &target) {
        return target.serving && target.announcement().softwareVersion == softwareVersion
            && std::any_of(target.replicas.begin(), target.replicas.end(), [&](std::size_t i) {
                   const Replica &replica = pass.replicas[i].current();
                   return replica.variant == variant && replica.state != ReplicaState::Unloading;
               });
    });
}

/** Adds a need for one replica if the variant has too few and is not in back-off. */
void addNeed(const Pass &pass, const Variant &variant, std::vector<Need> &needs)
{
    const auto model = pass.input.view.models.find(variant.model);
    const auto backoff = pass.planner.variantBackoffUntil.find(variant);
    const bool inBackoff
        = backoff != pass.planner.variantBackoffUntil.end() && pass.now < backoff->second;
    if (model == pass.input.view.models.end() || inBackoff)
        return;
    const auto counts = pass.counts.find(variant);
    const int present = counts == pass.counts.end() ? 0 : counts->second.present;
    std::optional<std::string> lacking;
    for (const std::string &version : pinnedVersions(pass.planner, variant)) {
        if (!isPresentAt(pass, variant, version))
            lacking = version;
    }
    if (!lacking && present >= desiredReplicas(pass, model->second, variant))
        return;
    Need need;
    need.softwareVersion = lacking;
    need.variant = variant;
    need.version = model->second.version;
    need.service = model->second.service;
    need.memoryMb = need.isModel() ? model->second.memoryMb : model->second.adapterMemoryMb;
    need.isFirstReplica = present == 0 || lacking;
    need.urgency = weightedWait(pass, variant)
        + (pass.planner.tuning.forecastsLoads ? callersWithAdapters(pass, variant).weight
                                              : requestsWithAdapters(pass.planner, variant));
    need.hasCopy = pass.planner.tuning.forecastsLoads && !targetsWithCopy(pass, need).empty();
    need.urgency += lacking ? TAKE_UP_URGENCY : 0;
    addWaiters(pass, variant, need);
    if (need.isModel()) {
        for (auto it = pass.planner.activeVariants.upper_bound(variant);
             it != pass.planner.activeVariants.end() && it->model == variant.model; ++it)
            addWaiters(pass, *it, need);
    }
    needs.push_back(std::move(need));
}

/**
 * @return Needs by priority. First replicas come before additional ones. Within each group, needs
 * are sorted by descending urgency, with forecastsLoads after those of which a target has a copy,
 * or, without prioritizesByDemand, by the lowest load charge of their accounts (in steps of 2),
 * then by the earliest deadline.
 */
std::vector<Need> collectNeeds(const Pass &pass)
{
    std::set<Variant> candidates;
    for (const Variant &variant : pass.planner.activeVariants) {
        candidates.insert(variant);
        candidates.insert({variant.model, {}});
    }
    for (const auto &[id, model] : pass.input.view.models) {
        if (model.minReplicas > 0)
            candidates.insert({id, {}});
    }
    std::vector<Need> needs;
    for (const Variant &variant : candidates)
        addNeed(pass, variant, needs);
    std::erase_if(pass.planner.unmetSince, [&](const auto &item) {
        return std::none_of(needs.begin(), needs.end(),
                            [&](const Need &need) { return need.variant == item.first; });
    });
    if (pass.planner.tuning.prioritizesByDemand) {
        std::stable_sort(needs.begin(), needs.end(), [](const Need &a, const Need &b) {
            return std::make_tuple(!a.isFirstReplica, !a.hasCopy, -a.urgency)
                < std::make_tuple(!b.isFirstReplica, !b.hasCopy, -b.urgency);
        });
        return needs;
    }
    std::sort(needs.begin(), needs.end(), [](const Need &a, const Need &b) {
        const auto rank = [](const Need &need) {
            return std::make_tuple(!need.isFirstReplica, std::floor(need.charge / 2),
                                   need.deadline);
        };
        return rank(a) < rank(b);
    });
    return needs;
}

/** Refills the token bucket that limits the rate of loads from the weight store. */
void refillStoreLoadTokens(Planner &planner, TimePoint now)
{
    const double elapsed = toSeconds(now - planner.storeLoadTokensAt);
    planner.storeLoadTokensAt = now;
    const double most = planner.tuning.maxConcurrentStoreLoads;
    planner.storeLoadTokens = std::min(
        planner.storeLoadTokens + std::max(elapsed, 0.0) * planner.tuning.storeLoadsPerSecond,
        most);
}

} // namespace

void recordVariantUses(Planner &planner, const HostId &host, const std::vector<VariantUse> &uses,
                       TimePoint now)
{
    removeHostUses(planner, host);
    for (const VariantUse &use : uses) {
        recordIdleGap(planner.history[use.variant], use, now);
        applyUse(planner, host, use, 1, now);
    }
    planner.usesByHost[host] = uses;
}

void removeHostUses(Planner &planner, const HostId &host)
{
    const auto known = planner.usesByHost.find(host);
    if (known == planner.usesByHost.end())
        return;
    for (const VariantUse &use : known->second)
        applyUse(planner, host, use, -1, {});
    planner.usesByHost.erase(known);
}

Duration keepWarmWindow(const Planner &planner, const Variant &variant)
{
    const PlannerTuning &tuning = planner.tuning;
    const auto it = planner.history.find(variant);
    if (it == planner.history.end() || it->second.idleGaps.empty())
        return 2 * tuning.keepWarmMin;
    // The window covers keepWarmQuantile of the idle gaps that are no longer than keepWarmMax, plus
    // a quarter.
    std::vector<Duration> gaps;
    for (const Duration gap : it->second.idleGaps) {
        if (gap <= tuning.keepWarmMax)
            gaps.push_back(gap);
    }
    if (2 * gaps.size() < it->second.idleGaps.size())
        return tuning.keepWarmMin; // The next use rarely comes within keepWarmMax.
    std::sort(gaps.begin(), gaps.end());
    const auto rank
        = static_cast<std::size_t>(tuning.keepWarmQuantile * static_cast<double>(gaps.size() - 1));
    return std::clamp(gaps[rank] + gaps[rank] / 4, tuning.keepWarmMin, tuning.keepWarmMax);
}

Pass beginPass(Planner &planner, const PlacementInput &input, TimePoint now)
{
    Pass pass{.planner = planner, .input = input, .now = now, .highestFencing = input.lastFencing};
    pass.targets.reserve(input.registry.targets.size());
    for (const auto &[id, entry] : input.registry.targets) {
        const TargetAnnouncement &announcement = entry.announcement;
        const auto policy = input.view.targets.find(id);
        TargetFacts facts;
        facts.entry = &entry;
        facts.fenced = policy != input.view.targets.end() && policy->second.checksFencing;
        const auto service = input.view.services.find(announcement.service);
        const bool described = service != input.view.services.end();
        facts.freeMb = described && announcement.memoryMb == 0 ? service->second.memoryMb
                                                               : announcement.memoryMb;
        facts.freeAdapters = described && service->second.adapterSlots > 0
            ? service->second.adapterSlots
            : std::numeric_limits<int>::max();
        facts.serving = announcement.kind == TargetKind::Engine && !announcement.leaving
            && acceptsWork(input.view, announcement);
        const std::size_t index = pass.targets.size();
        pass.targetIndex[id] = index;
        for (const CachedModel &cached : announcement.cached) {
            if (facts.serving && cached.tier != CacheTier::Remote)
                pass.cachedTargets[cached.model].push_back(index);
        }
        pass.targets.push_back(std::move(facts));
    }
    pass.replicas.reserve(input.view.replicas.size() + 64);
    for (const auto &[id, replica] : input.view.replicas) {
        const auto target = pass.targetIndex.find(replica.target);
        if (target == pass.targetIndex.end())
            continue; // The target is unreachable; the record keeps its memory reserved.
        pass.targets[target->second].replicas.push_back(pass.replicas.size());
        pass.replicas.push_back({&id, &replica, {}, false});
    }
    return pass;
}

PlacementDecision decidePlacement(Planner &planner, const PlacementInput &input, TimePoint now)
{
    refillStoreLoadTokens(planner, now);
    for (auto &[account, charge] : planner.loadChargeByAccount)
        charge *= LOAD_CHARGE_DECAY;
    Pass pass = beginPass(planner, input, now);
    reconcile(pass);
    if (planner.tuning.forecastsLoads)
        trackStoreLoads(pass);
    const std::vector<Need> needs = collectNeeds(pass);
    placeNeeds(pass, needs);
    if (planner.tuning.forecastsLoads)
        forecastNeeds(pass, needs);
    if (planner.tuning.prefetches)
        prefetch(pass);
    if (!pass.targets.empty())
        unloadIdle(pass);
    return std::move(pass.decision);
}

} // namespace bilberry
