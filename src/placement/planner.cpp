/** @file planner.cpp Placement of replicas. */
#include "placement/planner_func.h"

#include "state/view_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration USE_REPORT_LIFETIME = 5s; ///< Reports of silent hosts count no longer.
constexpr Duration FAILED_TARGET_PAUSE = 5s;
constexpr Duration FAILED_VARIANT_PAUSE = 1s;
constexpr double LOAD_CHARGE_DECAY = 0.97; ///< Per pass; spreads loads over accounts.

/** Facts of one pass. */
struct Pass
{
    Planner &planner;
    const PlacementView &input;
    TimePoint now;
    std::map<std::string, Replica> replicas{}; ///< As they will be after the decision.
    std::map<TargetId, std::int64_t> reservedMb{};
    std::map<TargetId, std::set<std::string>> byTarget{}; ///< Replica ids.
    std::map<std::pair<ZoneId, Variant>, int> zoneCounts{};
    std::map<TargetId, std::vector<std::string>> idleByTarget{}; ///< Memo of victims().
    std::map<Variant, int> counts{}; ///< Loading and ready replicas on targets that serve.
    std::map<Variant, int> readyCounts{};
    std::map<TargetId, int> ordersAt{};
    int storeLoads = 0; ///< Models under way from the weight store.
    int adapterLoads = 0;
    FencingNumber nextFencing{};
    PlacementDecision decision{};
};

const TargetAnnouncement *serving(const Pass &pass, const TargetId &target)
{
    const auto it = pass.input.registry.targets.find(target);
    if (it == pass.input.registry.targets.end())
        return nullptr;
    const TargetAnnouncement &announcement = it->second.announcement;
    const bool open = announcement.kind == TargetKind::Engine && !announcement.leaving
        && acceptsWork(pass.input.view, target, announcement.zone);
    return open ? &announcement : nullptr;
}

bool holds(const TargetAnnouncement &announcement, const Replica &replica)
{
    return std::any_of(
        announcement.loaded.begin(), announcement.loaded.end(), [&](const LoadedVariant &loaded) {
            return loaded.variant == replica.variant && loaded.version == replica.version;
        });
}

bool checksFencing(const Pass &pass, const TargetId &target)
{
    const auto it = pass.input.view.targets.find(target);
    return it != pass.input.view.targets.end() && it->second.checksFencing;
}

/** What an announcement says about a replica. */
enum class Finding {
    AsExpected,
    BecameReady,
    Gone,
};

Finding compare(const Pass &pass, const Replica &replica, const TargetEntry &entry)
{
    const TargetAnnouncement &announcement = entry.announcement;
    if (announcement.start > replica.start)
        return Finding::Gone;
    const bool failed = std::count(announcement.failedOrders.begin(),
                                   announcement.failedOrders.end(), replica.fencing)
        > 0;
    const bool present = holds(announcement, replica);
    const bool carriedOut = announcement.lastOrder >= replica.fencing;
    switch (replica.state) {
    case ReplicaState::Loading:
        if (present)
            return Finding::BecameReady;
        // Only the target's own word frees the memory: an order may still be on its way.
        return failed ? Finding::Gone : Finding::AsExpected;
    case ReplicaState::Ready:
        return present ? Finding::AsExpected : Finding::Gone;
    case ReplicaState::Unloading:
        break;
    }
    const bool ordered = pass.planner.orders.contains(replicaId(replica.target, replica.variant));
    return !present
            && (carriedOut
                || (ordered && !checksFencing(pass, replica.target)
                    && pass.planner.orders.at(replicaId(replica.target, replica.variant)).answered))
        ? Finding::Gone
        : Finding::AsExpected;
}

void removeReplica(Pass &pass, const std::string &id)
{
    pass.decision.gone.push_back(id);
    pass.planner.orders.erase(id);
    pass.planner.cachedLoads.erase(id);
    pass.replicas.erase(id);
}

void reconcileReplica(Pass &pass, const std::string &id)
{
    Replica &replica = pass.replicas.at(id);
    const auto entry = pass.input.registry.targets.find(replica.target);
    if (entry == pass.input.registry.targets.end())
        return; // Silent: the memory stays reserved.
    switch (compare(pass, replica, entry->second)) {
    case Finding::AsExpected:
        return;
    case Finding::BecameReady:
        replica.state = ReplicaState::Ready;
        pass.planner.orders.erase(id);
        pass.planner.cachedLoads.erase(id);
        pass.planner.failedUntil.erase(replica.variant);
        pass.decision.put.push_back(replica);
        return;
    case Finding::Gone:
        if (replica.state == ReplicaState::Loading)
            pass.planner.failedUntil[replica.variant] = pass.now + FAILED_VARIANT_PAUSE;
        removeReplica(pass, id);
        return;
    }
}

/** Records what a target holds without a decision, so that its memory counts. */
void adoptStrays(Pass &pass, const TargetAnnouncement &announcement)
{
    for (const LoadedVariant &loaded : announcement.loaded) {
        const std::string id = replicaId(announcement.id, loaded.variant);
        if (pass.replicas.contains(id))
            continue;
        if (std::count(pass.decision.gone.begin(), pass.decision.gone.end(), id) > 0)
            continue;
        Replica replica;
        replica.variant = loaded.variant;
        replica.target = announcement.id;
        replica.start = announcement.start;
        replica.fencing = announcement.lastOrder;
        replica.state = ReplicaState::Ready;
        replica.version = loaded.version;
        replica.memoryMb = loaded.memoryMb;
        pass.decision.put.push_back(replica);
        pass.replicas.emplace(id, replica);
    }
}

/** An order that nobody knows the outcome of is undone; its memory stays reserved meanwhile. */
void undoLostOrder(Pass &pass, const std::string &id)
{
    Replica &replica = pass.replicas.at(id);
    const auto order = pass.planner.orders.find(id);
    if (replica.state != ReplicaState::Loading || order == pass.planner.orders.end())
        return;
    const PlannerTuning &tuning = pass.planner.tuning;
    const Duration limit = order->second.answered ? tuning.loadTimeout : tuning.orderTimeout;
    if (pass.now - order->second.sentAt < limit)
        return;
    replica.state = ReplicaState::Unloading;
    replica.fencing = FencingNumber(++pass.nextFencing.value);
    pass.planner.orders.erase(order);
    pass.decision.put.push_back(replica);
}

void countReplica(Pass &pass, const Replica &replica)
{
    pass.reservedMb[replica.target] += replica.memoryMb;
    const bool loading = replica.state == ReplicaState::Loading;
    pass.byTarget[replica.target].insert(replicaId(replica.target, replica.variant));
    if (loading && !replica.variant.adapter.value.empty())
        ++pass.adapterLoads;
    else if (loading && !pass.planner.cachedLoads.contains(replicaId(replica.target, replica.variant)))
        ++pass.storeLoads;
    if (replica.state != ReplicaState::Ready)
        ++pass.ordersAt[replica.target];
    const TargetAnnouncement *target = serving(pass, replica.target);
    if (replica.state == ReplicaState::Unloading || target == nullptr)
        return;
    ++pass.zoneCounts[{target->zone, replica.variant}];
    ++pass.counts[replica.variant];
    if (!loading)
        ++pass.readyCounts[replica.variant];
}

void refreshHistory(Planner &planner, TimePoint now)
{
    for (auto &[variant, history] : planner.history) {
        history.waiting = history.running = 0;
        history.earliestDeadline.reset();
        history.accounts.clear();
    }
    for (auto &[host, uses] : planner.hostUses) {
        std::erase_if(uses,
                      [&](const auto &item) { return now - item.second.at > USE_REPORT_LIFETIME; });
        for (const auto &[variant, reported] : uses) {
            VariantHistory &history = planner.history[variant];
            history.waiting += reported.use.waiting;
            history.running += reported.use.running;
            for (const AccountDemand &account : reported.use.accounts)
                history.accounts[account.account] += account.demand;
            if (reported.use.earliestDeadlineIn) {
                const TimePoint deadline = reported.at + *reported.use.earliestDeadlineIn;
                if (!history.earliestDeadline || deadline < *history.earliestDeadline)
                    history.earliestDeadline = deadline;
            }
            if (reported.use.waiting + reported.use.running > 0)
                history.lastUse = now;
        }
    }
}

int busyRequests(const Planner &planner, const Variant &variant)
{
    const auto it = planner.history.find(variant);
    return it == planner.history.end() ? 0 : it->second.waiting + it->second.running;
}

int wantedReplicas(const Pass &pass, const Model &model, const Variant &variant)
{
    const bool isBase = variant.adapter.value.empty();
    int busy = busyRequests(pass.planner, variant);
    // Requests for an adapter run on its base model's replicas as well.
    if (isBase) {
        for (const AdapterId &adapter : model.adapters)
            busy += busyRequests(pass.planner, {variant.model, adapter});
    }
    const int perReplica = pass.planner.tuning.requestsPerReplica;
    const int least = isBase ? model.minReplicas : 0;
    // A burst of first requests says nothing yet about how many replicas it takes.
    const auto ready = pass.readyCounts.find(variant);
    if (ready == pass.readyCounts.end() || ready->second == 0)
        return std::max(std::min(busy, 1), least);
    return std::clamp((busy + perReplica - 1) / perReplica, least, model.maxReplicas);
}

CacheTier tierOf(const TargetAnnouncement &target, const ModelId &model)
{
    CacheTier best = CacheTier::Remote;
    for (const CachedModel &cached : target.cached) {
        if (cached.model == model)
            best = std::min(best, cached.tier);
    }
    return best;
}

/** A replica that ought to be loaded. */
struct Need
{
    Variant variant;
    Version version;
    std::int64_t memoryMb = 0;
    TimePoint deadline;
    double charge = 0; ///< Least of the recent loads of the accounts that ask.
    std::set<AccountId> accounts; ///< Who asks.
    bool first = false; ///< There is no replica at all.
};

/** Adds who waits for @p variant, and until when. */
void noteWaiting(const Pass &pass, const Variant &variant, Need &need)
{
    const auto history = pass.planner.history.find(variant);
    if (history == pass.planner.history.end())
        return;
    need.deadline
        = std::min(need.deadline, history->second.earliestDeadline.value_or(TimePoint::max()));
    for (const auto &[account, waiting] : history->second.accounts) {
        need.accounts.insert(account);
        const auto known = pass.planner.loadsByAccount.find(account);
        const double charge = known == pass.planner.loadsByAccount.end() ? 0 : known->second;
        need.charge = need.accounts.size() == 1 ? charge : std::min(need.charge, charge);
    }
}

std::vector<Need> collectNeeds(const Pass &pass)
{
    std::vector<Need> needs;
    const auto add = [&](const Model &model, const Variant &variant) {
        const auto paused = pass.planner.failedUntil.find(variant);
        if (paused != pass.planner.failedUntil.end() && pass.now < paused->second)
            return;
        const auto count = pass.counts.find(variant);
        const int present = count == pass.counts.end() ? 0 : count->second;
        if (present >= wantedReplicas(pass, model, variant))
            return;
        Need need;
        need.variant = variant;
        need.version = model.version;
        need.memoryMb = variant.adapter.value.empty() ? model.memoryMb : model.adapterMemoryMb;
        need.first = present == 0;
        need.deadline = TimePoint::max();
        noteWaiting(pass, variant, need);
        if (variant.adapter.value.empty()) {
            for (const AdapterId &adapter : model.adapters)
                noteWaiting(pass, {variant.model, adapter}, need);
        }
        needs.push_back(need);
    };
    for (const auto &[id, model] : pass.input.view.models) {
        add(model, {id, {}});
        for (const AdapterId &adapter : model.adapters) {
            if (pass.planner.history.contains({id, adapter}))
                add(model, {id, adapter});
        }
    }
    // First replicas before further ones; accounts that had few loads lately first; then deadlines.
    std::sort(needs.begin(), needs.end(), [](const Need &a, const Need &b) {
        const auto rank = [](const Need &need) {
            return std::make_tuple(!need.first, std::floor(need.charge / 2), need.deadline);
        };
        return rank(a) < rank(b);
    });
    return needs;
}

std::int64_t freeMb(const Pass &pass, const TargetAnnouncement &target)
{
    const auto reserved = pass.reservedMb.find(target.id);
    return target.memoryMb - (reserved == pass.reservedMb.end() ? 0 : reserved->second);
}

bool takesOrder(const Pass &pass, const TargetAnnouncement &target)
{
    const auto refused = pass.planner.refusedUntil.find(target.id);
    if (refused != pass.planner.refusedUntil.end() && pass.now < refused->second)
        return false;
    const bool fenced = checksFencing(pass, target.id);
    if (!fenced && pass.now - pass.planner.since < pass.planner.tuning.inheritedOrderWait)
        return false;
    const auto orders = pass.ordersAt.find(target.id);
    const int most = fenced ? 4 : 1;
    return orders == pass.ordersAt.end() || orders->second < most;
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

bool hasAdapterOn(const Pass &pass, const TargetId &target, const ModelId &model)
{
    const auto ids = pass.byTarget.find(target);
    return ids != pass.byTarget.end()
        && std::any_of(ids->second.begin(), ids->second.end(), [&](const std::string &id) {
               const Variant &variant = pass.replicas.at(id).variant;
               return variant.model == model && !variant.adapter.value.empty();
           });
}

/** @return How long the replica's work can be expected to stay away, or nothing if it must stay. */
std::optional<Duration> expectedAbsence(const Pass &pass, const Replica &replica)
{
    if (replica.state != ReplicaState::Ready)
        return std::nullopt;
    const bool isBase = replica.variant.adapter.value.empty();
    const auto model = pass.input.view.models.find(replica.variant.model);
    const bool pinned = model != pass.input.view.models.end() && isBase
        && pass.counts.at(replica.variant) <= model->second.minReplicas;
    if (pinned || (isBase && hasAdapterOn(pass, replica.target, replica.variant.model)))
        return std::nullopt;
    const auto history = pass.planner.history.find(replica.variant);
    if (history == pass.planner.history.end())
        return std::chrono::hours(2);
    if (history->second.waiting + history->second.running > 0)
        return std::nullopt;
    const TimePoint lastUse = std::max(history->second.lastUse, pass.planner.since);
    if (pass.now - lastUse < pass.planner.tuning.victimIdle)
        return std::nullopt;
    // Another replica can take over: this one is hardly missed.
    const bool spare = pass.readyCounts.at(replica.variant) > 1;
    return spare ? Duration(std::chrono::hours(3))
                 : std::max(meanGap(history->second), pass.now - lastUse);
}

/** Idle replicas on @p target that may go, the one least missed first. */
const std::vector<std::string> &victims(Pass &pass, const TargetId &target)
{
    const auto [memo, added] = pass.idleByTarget.try_emplace(target);
    if (!added)
        return memo->second;
    std::vector<std::pair<Duration, std::string>> idle;
    for (const std::string &id : pass.byTarget[target]) {
        if (const std::optional<Duration> absence = expectedAbsence(pass, pass.replicas.at(id)))
            idle.emplace_back(-*absence, id);
    }
    std::sort(idle.begin(), idle.end());
    for (auto &[absence, id] : idle)
        memo->second.push_back(std::move(id));
    return memo->second;
}

void beginUnload(Pass &pass, const std::string &id)
{
    Replica &replica = pass.replicas.at(id);
    replica.state = ReplicaState::Unloading;
    replica.fencing = FencingNumber(++pass.nextFencing.value);
    ++pass.ordersAt[replica.target];
    --pass.counts[replica.variant];
    --pass.readyCounts[replica.variant];
    pass.idleByTarget.erase(replica.target);
    pass.decision.put.push_back(replica);
}

void beginLoad(Pass &pass, const Need &need, const TargetAnnouncement &target)
{
    Replica replica;
    replica.variant = need.variant;
    replica.target = target.id;
    replica.start = target.start;
    replica.fencing = FencingNumber(++pass.nextFencing.value);
    replica.version = need.version;
    replica.memoryMb = need.memoryMb;
    pass.decision.put.push_back(replica);
    const std::string id = replicaId(target.id, need.variant);
    pass.replicas[id] = replica;
    pass.byTarget[target.id].insert(id);
    pass.idleByTarget.erase(target.id);
    pass.reservedMb[target.id] += need.memoryMb;
    ++pass.counts[need.variant];
    ++pass.zoneCounts[{target.zone, need.variant}];
    ++pass.ordersAt[target.id];
    if (!need.variant.adapter.value.empty()) {
        ++pass.adapterLoads;
    } else if (tierOf(target, need.variant.model) == CacheTier::Remote) {
        ++pass.storeLoads;
        pass.planner.storeCredit -= 1;
    } else {
        pass.planner.cachedLoads.insert(id);
    }
    for (const AccountId &account : need.accounts)
        pass.planner.loadsByAccount[account] += 1;
}

bool hasReadyBase(const Pass &pass, const TargetId &target, const ModelId &model)
{
    const auto it = pass.replicas.find(replicaId(target, {model, {}}));
    return it != pass.replicas.end() && it->second.state == ReplicaState::Ready;
}

int replicasInZone(const Pass &pass, const ZoneId &zone, const Variant &variant)
{
    const auto count = pass.zoneCounts.find({zone, variant});
    return count == pass.zoneCounts.end() ? 0 : count->second;
}

/** @return The target to load @p need on now, or null. */
const TargetAnnouncement *chooseTarget(const Pass &pass, const Need &need)
{
    const TargetAnnouncement *best = nullptr;
    std::tuple<int, int, std::int64_t> bestRank;
    for (const auto &[id, entry] : pass.input.registry.targets) {
        const TargetAnnouncement *target = serving(pass, id);
        if (target == nullptr || !takesOrder(pass, *target) || freeMb(pass, *target) < need.memoryMb
            || pass.replicas.contains(replicaId(id, need.variant)))
            continue;
        if (!need.variant.adapter.value.empty() && !hasReadyBase(pass, id, need.variant.model))
            continue;
        const std::tuple<int, int, std::int64_t> rank{
            static_cast<int>(tierOf(*target, need.variant.model)),
            replicasInZone(pass, target->zone, need.variant), -freeMb(pass, *target)};
        if (best == nullptr || rank < bestRank) {
            best = target;
            bestRank = rank;
        }
    }
    return best;
}

/**
 * Starts unloading idle replicas where that makes room for @p need soonest.
 * @param onlyCached Only targets that have the checkpoint cached are considered.
 * @return Whether room is on its way.
 */
bool makeRoom(Pass &pass, const Need &need, bool onlyCached)
{
    std::vector<std::string> best;
    int bestTier = 0;
    for (const auto &[id, entry] : pass.input.registry.targets) {
        const TargetAnnouncement *target = serving(pass, id);
        if (target == nullptr || !takesOrder(pass, *target)
            || pass.replicas.contains(replicaId(id, need.variant)))
            continue;
        if (!need.variant.adapter.value.empty() && !hasReadyBase(pass, id, need.variant.model))
            continue;
        const int tier = static_cast<int>(tierOf(*target, need.variant.model));
        if (onlyCached && tier == static_cast<int>(CacheTier::Remote))
            continue;
        std::int64_t room = freeMb(pass, *target);
        // Room that is on its way already is not made a second time.
        for (const std::string &other : pass.byTarget[id]) {
            const Replica &replica = pass.replicas.at(other);
            room += replica.state == ReplicaState::Unloading ? replica.memoryMb : 0;
        }
        if (room >= need.memoryMb)
            return true;
        std::vector<std::string> chosen;
        for (const std::string &victim : victims(pass, id)) {
            if (room >= need.memoryMb)
                break;
            if (pass.replicas.at(victim).variant.model == need.variant.model)
                continue;
            room += pass.replicas.at(victim).memoryMb;
            chosen.push_back(victim);
        }
        if (room < need.memoryMb)
            continue;
        const int tier = static_cast<int>(tierOf(*target, need.variant.model));
        if (best.empty()
            || std::make_pair(chosen.size(), tier) < std::make_pair(best.size(), bestTier)) {
            best = chosen;
            bestTier = tier;
        }
    }
    for (const std::string &id : best)
        beginUnload(pass, id);
    return !best.empty();
}

/** @return Whether a load from @p tier may begin now. */
bool hasLoadSlot(const Pass &pass, const Need &need, CacheTier tier)
{
    const PlannerTuning &tuning = pass.planner.tuning;
    if (!need.variant.adapter.value.empty())
        return pass.adapterLoads < tuning.adapterLoadsAtOnce;
    if (tier != CacheTier::Remote)
        return true; // The weight store is not touched.
    return pass.storeLoads < tuning.storeLoadsAtOnce && pass.planner.storeCredit >= 1;
}

void refillStoreCredit(Planner &planner, TimePoint now)
{
    const double elapsed = toSeconds(now - planner.storeCreditAt);
    planner.storeCreditAt = now;
    const double most = planner.tuning.storeLoadsAtOnce;
    planner.storeCredit = std::min(
        planner.storeCredit + std::max(elapsed, 0.0) * planner.tuning.storeLoadsPerSecond, most);
}

/** Unloads replicas that were idle for longer than their window, or whose model is withdrawn. */
void unloadIdle(Pass &pass)
{
    for (const auto &[targetId, entry] : pass.input.registry.targets) {
        const TargetAnnouncement *target = serving(pass, targetId);
        if (target == nullptr || !takesOrder(pass, *target))
            continue;
        const std::vector<std::string> idle = victims(pass, targetId);
        for (const std::string &id : idle) {
            const Replica &replica = pass.replicas.at(id);
            const bool withdrawn = !pass.input.view.models.contains(replica.variant.model);
            const auto history = pass.planner.history.find(replica.variant);
            const TimePoint lastUse = history == pass.planner.history.end()
                ? pass.planner.since
                : std::max(history->second.lastUse, pass.planner.since);
            const bool over = pass.now - lastUse >= keepWarmWindow(pass.planner, replica.variant);
            if ((withdrawn || over) && takesOrder(pass, *target))
                beginUnload(pass, id);
        }
    }
}

} // namespace

void noteUses(Planner &planner, const HostId &host, const std::vector<VariantUse> &uses,
              TimePoint now)
{
    auto &known = planner.hostUses[host];
    known.clear();
    for (const VariantUse &use : uses) {
        known[use.variant] = {use, now};
        VariantHistory &history = planner.history[use.variant];
        const Duration gap = now - history.lastUse;
        const bool wasIdle = history.lastUse != TimePoint{} && gap > 1s;
        if (use.arrived > 0 && wasIdle) {
            history.gaps.push_back(gap);
            if (history.gaps.size() > MAX_GAPS_KEPT)
                history.gaps.erase(history.gaps.begin());
        }
        history.lastUse = now;
    }
}

void forgetHost(Planner &planner, const HostId &host)
{
    planner.hostUses.erase(host);
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

PlacementDecision decide(Planner &planner, const PlacementView &input, TimePoint now)
{
    Pass pass{.planner = planner,
              .input = input,
              .now = now,
              .replicas = input.view.replicas,
              .nextFencing = input.lastFencing};
    refreshHistory(planner, now);
    refillStoreCredit(planner, now);
    for (auto &[account, charge] : planner.loadsByAccount)
        charge *= LOAD_CHARGE_DECAY;
    std::vector<std::string> ids;
    for (const auto &[id, replica] : pass.replicas)
        ids.push_back(id);
    for (const std::string &id : ids) {
        reconcileReplica(pass, id);
        if (pass.replicas.contains(id))
            undoLostOrder(pass, id);
    }
    for (const auto &[id, entry] : input.registry.targets) {
        if (entry.announcement.kind == TargetKind::Engine)
            adoptStrays(pass, entry.announcement);
    }
    for (const auto &[id, replica] : pass.replicas)
        countReplica(pass, replica);
    for (const Need &need : collectNeeds(pass)) {
        const TargetAnnouncement *target = chooseTarget(pass, need);
        const bool uncached
            = target != nullptr && tierOf(*target, need.variant.model) == CacheTier::Remote;
        // Where the checkpoint is cached, making room first is faster than a load from the store.
        if (need.first && (target == nullptr || uncached) && makeRoom(pass, need, target != nullptr))
            continue;
        if (target != nullptr && hasLoadSlot(pass, need, tierOf(*target, need.variant.model)))
            beginLoad(pass, need, *target);
    }
    unloadIdle(pass);
    return std::move(pass.decision);
}

std::vector<OutstandingOrder> dueOrders(Planner &planner, const PlacementView &input,
                                        const std::function<bool(const Replica &)> &drained,
                                        TimePoint now)
{
    std::vector<OutstandingOrder> due;
    for (const auto &[id, replica] : input.view.replicas) {
        const bool pending = replica.state != ReplicaState::Ready;
        const auto known = planner.orders.find(id);
        const bool ordered
            = known != planner.orders.end() && known->second.order.fencing == replica.fencing;
        if (!pending || ordered || !input.registry.targets.contains(replica.target))
            continue;
        const auto policy = input.view.targets.find(replica.target);
        const bool fenced = policy != input.view.targets.end() && policy->second.checksFencing;
        const Duration wait = fenced ? Duration::zero() : planner.tuning.inheritedOrderWait;
        if (now - planner.since < wait)
            continue;
        if (replica.state == ReplicaState::Unloading && !drained(replica))
            continue;
        OutstandingOrder order;
        order.order.fencing = replica.fencing;
        order.order.action
            = replica.state == ReplicaState::Loading ? OrderAction::Load : OrderAction::Unload;
        order.order.variant = replica.variant;
        order.order.version = replica.version;
        order.order.memoryMb = replica.memoryMb;
        order.order.start = replica.start;
        order.target = replica.target;
        order.sentAt = now;
        planner.orders[id] = order;
        // An earlier leader may have sent this load to a target that would carry it out twice; its
        // inventory settles what became of it.
        const bool inherited = replica.fencing <= planner.inherited;
        if (inherited && !fenced && replica.state == ReplicaState::Loading)
            continue;
        due.push_back(order);
    }
    return due;
}

std::vector<std::string> noteOrderReply(Planner &planner, const std::string &replica,
                                        FencingNumber fencing, OrderReply reply, TimePoint now)
{
    const auto it = planner.orders.find(replica);
    if (it == planner.orders.end() || it->second.order.fencing != fencing)
        return {};
    if (reply == OrderReply::Accepted) {
        it->second.answered = true;
        return {};
    }
    if (reply == OrderReply::Unknown)
        return {};
    planner.refusedUntil[it->second.target] = now + FAILED_TARGET_PAUSE;
    planner.failedUntil[it->second.order.variant] = now + FAILED_VARIANT_PAUSE;
    const bool wasLoad = it->second.order.action == OrderAction::Load;
    planner.orders.erase(it);
    return wasLoad ? std::vector<std::string>{replica} : std::vector<std::string>{};
}

} // namespace bilberry
