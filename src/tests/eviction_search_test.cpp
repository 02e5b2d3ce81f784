/** @file eviction_search_test.cpp Needs that cannot be met do not keep others from being met. */
#include "placement/planner_func.h"
#include "state/cluster_func.h"
#include "target/registry_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr const char *SERVICE = "engines";
constexpr int ADAPTER_SLOTS = 8;
constexpr int IN_USE = 4; ///< Requests for each adapter that is in use or waited for in vain.
constexpr Duration PASS_INTERVAL = 100ms;
constexpr int PASSES = 20;

std::string modelOf(int target)
{
    return "m" + std::to_string(target);
}

Variant adapterOf(int target, const std::string &name)
{
    return {ModelId(modelOf(target)), AdapterId(name)};
}

/**
 * Targets with one model each, all adapter slots of which are taken. All adapters that are loaded
 * are in use, but for those of the last target, which are idle.
 */
struct FullTargets
{
    FullTargets(int targets, int waitingPerTarget)
        : targets(targets)
    {
        this->planner.tuning = makeFastLoadTuning();
        this->planner.since = this->now;
        this->planner.storeLoadTokensAt = this->now;
        ServicePolicy service;
        service.id = SERVICE;
        service.adapterSlots = ADAPTER_SLOTS;
        service.memoryMb = 10'000;
        this->cluster.view.services[SERVICE] = service;
        for (int target = 0; target < targets; ++target)
            this->addTarget(target);
        for (int target = 0; target + 1 < targets; ++target) {
            for (int adapter = 0; adapter < ADAPTER_SLOTS; ++adapter)
                this->use(adapterOf(target, "held" + std::to_string(adapter)), 0, IN_USE);
            for (int adapter = 0; adapter < waitingPerTarget; ++adapter)
                this->use(adapterOf(target, "wanted" + std::to_string(adapter)), IN_USE, 0);
        }
        this->use(this->placeable(), 1, 0);
        this->now += 10s;
        recordVariantUses(this->planner, HostId("h"), this->uses, this->now);
    }

    /** @return The only adapter that waits for a target with idle adapters; the least urgent one.
     */
    Variant placeable() const { return adapterOf(this->targets - 1, "wanted"); }

    /** Runs a placement pass and commits its decision. @return Whether it makes room for
     * placeable(). */
    bool pass()
    {
        const PlacementInput input{this->cluster.view, this->registry, this->cluster.lastFencing};
        const PlacementDecision decision = decidePlacement(this->planner, input, this->now);
        apply(this->cluster, {Duration::zero(), UpdateReplicas{decision.put, decision.gone}});
        this->now += PASS_INTERVAL;
        return std::any_of(decision.put.begin(), decision.put.end(), [&](const Replica &replica) {
            return replica.state == ReplicaState::Unloading
                && replica.variant.model == this->placeable().model;
        });
    }

    Planner planner;
    TimePoint now{100s};

private:
    void addTarget(int number)
    {
        Model model;
        model.id = ModelId(modelOf(number));
        model.service = SERVICE;
        model.memoryMb = 1'000;
        model.adapterMemoryMb = 10;
        this->cluster.view.models[model.id] = model;
        TargetAnnouncement target;
        target.id = TargetId("t" + std::to_string(number));
        target.service = SERVICE;
        target.start = Incarnation(1);
        target.loaded.push_back({{model.id, {}}, Version(1), model.memoryMb});
        for (int adapter = 0; adapter < ADAPTER_SLOTS; ++adapter)
            target.loaded.push_back({adapterOf(number, "held" + std::to_string(adapter)),
                                     Version(1), model.adapterMemoryMb});
        applyAnnouncement(this->registry, target, this->now);
    }

    void use(const Variant &variant, int waiting, int running)
    {
        VariantUse use;
        use.variant = variant;
        use.waiting = waiting;
        use.running = running;
        this->uses.push_back(use);
    }

    int targets;
    Cluster cluster;
    TargetRegistry registry;
    std::vector<VariantUse> uses;
};

bool isPlacedSoon(FullTargets &site)
{
    for (int i = 0; i < PASSES; ++i) {
        if (site.pass())
            return true;
    }
    return false;
}

} // namespace

// Guards against an adapter that is refused for as long as a few more urgent needs cannot be met,
// though a target with its model holds adapters that nobody uses.
Test(eviction_search, needs_without_room_do_not_use_up_the_searches_of_each_pass)
{
    FullTargets site(13, 1);
    cr_assert(isPlacedSoon(site), "nothing is evicted for the adapter in %d passes", PASSES);
}

// Guards against the same with more needs than one pass can search for.
Test(eviction_search, each_need_gets_its_turn_among_more_than_a_pass_can_search_for)
{
    FullTargets site(61, 40);
    cr_assert(isPlacedSoon(site), "nothing is evicted for the adapter in %d passes", PASSES);
}
