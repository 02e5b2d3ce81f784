/** @file planner.cpp One placement pass: demand, needs, decisions. */
#include "placement/planner_internal.h"

#include "state/view_func.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bilberry {

namespace {

constexpr double WAIT_WEIGHT = 2; ///< A second of waiting counts like so many requests.
constexpr double LOAD_CHARGE_DECAY = 0.97; ///< Per pass; spreads loads over accounts.

/** Adds or takes off what one host reported of a variant. */
void countUse(Planner &planner, const HostId &host, const VariantUse &use, int sign, TimePoint now)
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
    history.deadlines.erase(host);
    if (sign > 0 && use.earliestDeadlineIn)
        history.deadlines[host] = now + *use.earliestDeadlineIn;
    if (history.waiting + history.running + history.returning > 0)
        planner.active.insert(use.variant);
    else
        planner.active.erase(use.variant);
}

void noteGap(VariantHistory &history, const VariantUse &use, TimePoint now)
{
    const Duration gap = now - history.lastUse;
    const bool wasIdle = history.lastUse != TimePoint{} && gap > 1s;
    if (use.arrived > 0 && wasIdle) {
        history.gaps.push_back(gap);
        if (history.gaps.size() > MAX_GAPS_KEPT)
            history.gaps.erase(history.gaps.begin());
    }
    history.lastUse = now;
}

int busyRequests(const Planner &planner, const Variant &variant)
{
    const auto it = planner.history.find(variant);
    return it == planner.history.end()
        ? 0
        : it->second.waiting + it->second.running + it->second.returning;
}

/** Requests that run on replicas of the variant; those for adapters count for their base too. */
int busyOn(const Planner &planner, const Variant &variant)
{
    int busy = busyRequests(planner, variant);
    if (!variant.adapter.value.empty())
        return busy;
    for (auto it = planner.active.upper_bound(variant);
         it != planner.active.end() && it->model == variant.model; ++it)
        busy += busyRequests(planner, *it);
    return busy;
}

int wantedReplicas(const Pass &pass, const Model &model, const Variant &variant)
{
    const int busy = busyOn(pass.planner, variant);
    const int perReplica = pass.planner.tuning.requestsPerReplica;
    const int least = variant.adapter.value.empty() ? model.minReplicas : 0;
    // A burst of first requests says nothing yet about how many replicas it takes.
    const auto counts = pass.counts.find(variant);
    if (counts == pass.counts.end() || counts->second.ready == 0)
        return std::max(std::min(busy, 1), least);
    return std::clamp((busy + perReplica - 1) / perReplica, least, model.maxReplicas);
}

/** Adds who waits for @p variant, and until when. */
void noteWaiting(const Pass &pass, const Variant &variant, Need &need)
{
    const auto history = pass.planner.history.find(variant);
    if (history == pass.planner.history.end())
        return;
    for (const auto &[host, deadline] : history->second.deadlines)
        need.deadline = std::min(need.deadline, deadline);
    for (const auto &[account, waiting] : history->second.accounts) {
        need.accounts.insert(account);
        const auto known = pass.planner.loadsByAccount.find(account);
        const double charge = known == pass.planner.loadsByAccount.end() ? 0 : known->second;
        need.charge = need.accounts.size() == 1 ? charge : std::min(need.charge, charge);
    }
}

/** @return How long the variant has been wanted, in seconds times their weight. */
double waitedSeconds(const Pass &pass, const Variant &variant)
{
    const auto [since, added] = pass.planner.wantedSince.try_emplace(variant, pass.now);
    return WAIT_WEIGHT * toSeconds(pass.now - since->second);
}

void addNeed(const Pass &pass, const Variant &variant, std::vector<Need> &needs)
{
    const auto model = pass.input.view.models.find(variant.model);
    const auto paused = pass.planner.failedUntil.find(variant);
    const bool pauses = paused != pass.planner.failedUntil.end() && pass.now < paused->second;
    if (model == pass.input.view.models.end() || pauses)
        return;
    const auto counts = pass.counts.find(variant);
    const int present = counts == pass.counts.end() ? 0 : counts->second.present;
    if (present >= wantedReplicas(pass, model->second, variant))
        return;
    Need need;
    need.variant = variant;
    need.version = model->second.version;
    need.service = model->second.service;
    need.memoryMb = need.isModel() ? model->second.memoryMb : model->second.adapterMemoryMb;
    need.first = present == 0;
    need.urgency = busyOn(pass.planner, variant) + waitedSeconds(pass, variant);
    noteWaiting(pass, variant, need);
    if (need.isModel()) {
        for (auto it = pass.planner.active.upper_bound(variant);
             it != pass.planner.active.end() && it->model == variant.model; ++it)
            noteWaiting(pass, *it, need);
    }
    needs.push_back(std::move(need));
}

/** First replicas before further ones, accounts with few loads lately first, then by deadline. */
std::vector<Need> collectNeeds(const Pass &pass)
{
    std::set<Variant> asked;
    for (const Variant &variant : pass.planner.active) {
        asked.insert(variant);
        asked.insert({variant.model, {}});
    }
    for (const auto &[id, model] : pass.input.view.models) {
        if (model.minReplicas > 0)
            asked.insert({id, {}});
    }
    std::vector<Need> needs;
    for (const Variant &variant : asked)
        addNeed(pass, variant, needs);
    std::erase_if(pass.planner.wantedSince, [&](const auto &item) {
        return std::none_of(needs.begin(), needs.end(),
                            [&](const Need &need) { return need.variant == item.first; });
    });
    if (pass.planner.tuning.ranksByDemand) {
        std::stable_sort(needs.begin(), needs.end(), [](const Need &a, const Need &b) {
            return std::make_pair(!a.first, -a.urgency) < std::make_pair(!b.first, -b.urgency);
        });
        return needs;
    }
    std::sort(needs.begin(), needs.end(), [](const Need &a, const Need &b) {
        const auto rank = [](const Need &need) {
            return std::make_tuple(!need.first, std::floor(need.charge / 2), need.deadline);
        };
        return rank(a) < rank(b);
    });
    return needs;
}

void refillStoreCredit(Planner &planner, TimePoint now)
{
    const double elapsed = toSeconds(now - planner.storeCreditAt);
    planner.storeCreditAt = now;
    const double most = planner.tuning.storeLoadsAtOnce;
    planner.storeCredit = std::min(
        planner.storeCredit + std::max(elapsed, 0.0) * planner.tuning.storeLoadsPerSecond, most);
}

} // namespace

void noteUses(Planner &planner, const HostId &host, const std::vector<VariantUse> &uses,
              TimePoint now)
{
    forgetHost(planner, host);
    for (const VariantUse &use : uses) {
        noteGap(planner.history[use.variant], use, now);
        countUse(planner, host, use, 1, now);
    }
    planner.hostUses[host] = uses;
}

void forgetHost(Planner &planner, const HostId &host)
{
    const auto known = planner.hostUses.find(host);
    if (known == planner.hostUses.end())
        return;
    for (const VariantUse &use : known->second)
        countUse(planner, host, use, -1, {});
    planner.hostUses.erase(known);
}

Duration keepWarmWindow(const Planner &planner, const Variant &variant)
{
    const PlannerTuning &tuning = planner.tuning;
    const auto it = planner.history.find(variant);
    if (it == planner.history.end() || it->second.gaps.empty())
        return 2 * tuning.keepWarmLeast;
    // The shortest window that covers the wanted share of the gaps that a window can cover at all.
    std::vector<Duration> gaps;
    for (const Duration gap : it->second.gaps) {
        if (gap <= tuning.keepWarmMost)
            gaps.push_back(gap);
    }
    if (2 * gaps.size() < it->second.gaps.size())
        return tuning.keepWarmLeast; // Mostly long gaps: waiting does not pay.
    std::sort(gaps.begin(), gaps.end());
    const auto rank
        = static_cast<std::size_t>(tuning.keepWarmQuantile * static_cast<double>(gaps.size() - 1));
    return std::clamp(gaps[rank] + gaps[rank] / 4, tuning.keepWarmLeast, tuning.keepWarmMost);
}

Pass beginPass(Planner &planner, const PlacementView &input, TimePoint now)
{
    Pass pass{.planner = planner, .input = input, .now = now, .nextFencing = input.lastFencing};
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
            && acceptsWork(input.view, id, announcement.zone);
        const std::size_t index = pass.targets.size();
        pass.targetIndex[id] = index;
        for (const CachedModel &cached : announcement.cached) {
            if (facts.serving && cached.tier != CacheTier::Remote)
                pass.cachedAt[cached.model].push_back(index);
        }
        pass.targets.push_back(std::move(facts));
    }
    pass.replicas.reserve(input.view.replicas.size() + 64);
    for (const auto &[id, replica] : input.view.replicas) {
        const auto target = pass.targetIndex.find(replica.target);
        if (target == pass.targetIndex.end())
            continue; // Silent: its memory stays reserved by the record.
        pass.targets[target->second].replicas.push_back(pass.replicas.size());
        pass.replicas.push_back({&id, &replica, {}, false});
    }
    return pass;
}

PlacementDecision decide(Planner &planner, const PlacementView &input, TimePoint now)
{
    refillStoreCredit(planner, now);
    for (auto &[account, charge] : planner.loadsByAccount)
        charge *= LOAD_CHARGE_DECAY;
    Pass pass = beginPass(planner, input, now);
    reconcile(pass);
    placeNeeds(pass, collectNeeds(pass));
    if (planner.tuning.prefetches)
        prefetch(pass);
    if (!pass.targets.empty())
        unloadIdle(pass);
    return std::move(pass.decision);
}

} // namespace bilberry
