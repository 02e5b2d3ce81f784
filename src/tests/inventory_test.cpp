/** @file inventory_test.cpp Loads never exceed the room of a target, whatever the leader has heard.
 */
#include "control_group.h"

#include "state/cluster_func.h"
#include "state/view_func.h"
#include "target/registry_func.h"

#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

const TargetId TARGET("t");
const std::string SERVICE("engines");
constexpr std::int64_t MODEL_MB = 60;
constexpr std::int64_t TARGET_MB = 140; ///< Room for two models.
constexpr int ADAPTER_SLOTS = 3;
constexpr int MODELS = 4;
constexpr int ADAPTERS = 4; ///< Adapters of each model.

Variant modelVariant(int model)
{
    return {ModelId("m" + std::to_string(model)), {}};
}

Variant adapterVariant(int model, int adapter)
{
    return {ModelId("m" + std::to_string(model)), AdapterId("a" + std::to_string(adapter))};
}

FolderConfig makeConfig()
{
    FolderConfig config;
    for (int i = 0; i < MODELS; ++i) {
        Model model;
        model.id = modelVariant(i).model;
        model.memoryMb = MODEL_MB;
        model.adapterMemoryMb = 1;
        model.service = SERVICE;
        for (int k = 0; k < ADAPTERS; ++k)
            model.adapters.push_back(adapterVariant(i, k).adapter);
        config.models[model.id] = model;
    }
    ServicePolicy policy;
    policy.memoryMb = TARGET_MB;
    policy.adapterSlots = ADAPTER_SLOTS;
    config.services[SERVICE] = policy;
    return config;
}

/**
 * An engine that counts orders and does one model order at a time. Answers to orders get lost,
 * orders are carried out late, and announcements arrive late.
 */
struct Engine
{
    explicit Engine(std::uint64_t seed)
        : random(seed)
    {
        this->held = {modelVariant(0)};
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
    }

    Duration randomDelay(Duration most)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(0, most.count())(this->random));
    }

    /** @return The announcement of the engine's present state. */
    TargetAnnouncement announce()
    {
        TargetAnnouncement out;
        out.id = TARGET;
        out.service = SERVICE;
        out.start = Incarnation(1);
        out.sequence = ++this->sequence;
        for (const Variant &variant : this->held)
            out.loaded.push_back({variant, Version(1), 0});
        return out;
    }

    TargetInspection inspect() const
    {
        TargetInspection out;
        out.accepted = this->accepted;
        out.busy = this->changing.has_value();
        out.held.emplace();
        for (const Variant &variant : this->held)
            out.held->push_back({variant, Version(1), 0});
        return out;
    }

    /** Finishes the model order in progress when it is due. */
    void advance(TimePoint now)
    {
        if (!this->changing || now < this->changing->second)
            return;
        const Order order = this->changing->first;
        this->changing.reset();
        if (order.action == OrderAction::Load)
            this->held.insert(order.variant);
        else
            std::erase_if(this->held,
                          [&](const Variant &v) { return v.model == order.variant.model; });
    }

    bool hasRoomFor(const Variant &variant) const
    {
        std::int64_t models = variant.adapter.value.empty() ? 1 : 0;
        int adapters = variant.adapter.value.empty() ? 0 : 1;
        for (const Variant &item : this->held) {
            models += item.adapter.value.empty() ? 1 : 0;
            adapters += item.adapter.value.empty() ? 0 : 1;
        }
        return models * MODEL_MB <= TARGET_MB && adapters <= ADAPTER_SLOTS;
    }

    /** Carries out an order, or refuses it. @return The reply, and whether the order is done. */
    std::pair<OrderReply, bool> receive(const Order &order, TimePoint now)
    {
        this->advance(now);
        if (this->changing || !order.precondition || *order.precondition != this->accepted)
            return {OrderReply::Busy, false};
        const bool isModel = order.variant.adapter.value.empty();
        const bool loads = order.action == OrderAction::Load;
        if (loads == this->held.contains(order.variant))
            return {OrderReply::Accepted, true};
        if (loads && !isModel && !this->held.contains({order.variant.model, {}}))
            return {OrderReply::Refused, false};
        ++this->accepted;
        if (loads && !this->hasRoomFor(order.variant))
            ++this->breaches;
        if (isModel) {
            this->changing = {order, now + (loads ? 1s : 100ms)};
            return {OrderReply::Accepted, false};
        }
        if (loads)
            this->held.insert(order.variant);
        else
            this->held.erase(order.variant);
        this->loads += loads ? 1 : 0;
        return {OrderReply::Accepted, true};
    }

    std::mt19937_64 random;
    std::set<Variant> held;
    std::optional<std::pair<Order, TimePoint>> changing; ///< Model order in progress and its end.
    std::uint64_t accepted = 0;
    std::uint64_t sequence = 0;
    int breaches = 0; ///< Loads accepted beyond the engine's room.
    int loads = 0; ///< Adapter loads.
};

/** A control group with one engine, lossy orders, late announcements and changes of leader. */
struct EngineGroup : ControlGroup
{
    explicit EngineGroup(std::uint64_t seed)
        : engine(seed)
    {
        for (GroupDaemon &daemon : this->daemons)
            daemon.control->tuning = makeFastLoadTuning();
        this->onInspection = [this](GroupDaemon &daemon, const InspectTarget &item) {
            this->deliverEvent(daemon, InspectionEvent{item.target, item.start, engine.inspect()});
        };
        this->runFor(3s);
        this->replaceConfig(1, makeConfig());
    }

    /** Requests for random variants wait. */
    void changeDemand()
    {
        this->uses.clear();
        const auto pick = [&](int count) {
            return std::uniform_int_distribution<>(0, count - 1)(this->engine.random);
        };
        for (int i = 0; i < 2; ++i) {
            VariantUse use;
            use.variant = adapterVariant(pick(2), pick(ADAPTERS));
            use.waiting = 1;
            this->uses.push_back(use);
        }
        VariantUse model;
        model.variant = modelVariant(pick(MODELS));
        model.waiting = 1;
        if (this->engine.chance(0.2))
            this->uses.push_back(model);
    }

    /** Announcements of the last seconds arrive in their order, each after a delay. */
    void announce()
    {
        this->underWay.emplace(this->now + this->engine.randomDelay(4s), this->engine.announce());
        while (!this->underWay.empty() && this->underWay.begin()->first <= this->now) {
            this->targets = {this->underWay.begin()->second};
            this->underWay.erase(this->underWay.begin());
        }
    }

    GroupDaemon *find(const MemberId &member)
    {
        for (GroupDaemon &daemon : this->daemons) {
            if (daemon.member == member && daemon.up)
                return &daemon;
        }
        return nullptr;
    }

    /** Passes the orders issued since the last call to the engine; some are lost or late. */
    void deliverOrders()
    {
        for (; this->nextOrder < this->orders.size(); ++this->nextOrder) {
            const IssuedOrder issued = this->orders[this->nextOrder];
            if (this->engine.chance(0.05)) {
                this->reply(issued, OrderReply::Unknown, false);
            } else if (this->engine.chance(0.1)) {
                this->late.emplace(this->now + this->engine.randomDelay(4s), issued.order.order);
                this->reply(issued, OrderReply::Unknown, false);
            } else {
                const auto [outcome, done] = this->engine.receive(issued.order.order, this->now);
                const bool lost = this->engine.chance(0.1);
                this->reply(issued, lost ? OrderReply::Unknown : outcome, done && !lost);
            }
        }
        while (!this->late.empty() && this->late.begin()->first <= this->now) {
            this->engine.receive(this->late.begin()->second, this->now);
            this->late.erase(this->late.begin());
        }
    }

    void reply(const IssuedOrder &issued, OrderReply outcome, bool done)
    {
        if (GroupDaemon *daemon = this->find(issued.leader))
            this->deliverEvent(
                *daemon,
                OrderReplyEvent{issued.order.replica, issued.order.order.fencing, outcome, done});
    }

    void play(Duration length)
    {
        const TimePoint end = this->now + length;
        TimePoint demandDue = this->now;
        TimePoint handoverDue = this->now + 8s;
        while (this->now < end) {
            if (this->now >= demandDue) {
                demandDue = this->now + 1s;
                this->changeDemand();
                this->announce();
            }
            GroupDaemon *leading = this->leader();
            if (this->now >= handoverDue && leading != nullptr) {
                handoverDue = this->now + 9s + this->engine.randomDelay(4s);
                this->deliverEvent(*leading, ControlShutdownEvent{});
            }
            this->engine.advance(this->now);
            this->runFor(50ms);
            this->deliverOrders();
        }
    }

    Engine engine;
    std::size_t nextOrder = 0;
    std::multimap<TimePoint, TargetAnnouncement> underWay; ///< By time of arrival.
    std::multimap<TimePoint, Order> late; ///< Unanswered orders by the time of their arrival.
};

} // namespace

// Guards against a ninth adapter on a target with eight places: after a change of leader the first
// heartbeat was older than orders that the target had accepted from the leader before.
Test(inventory, no_load_exceeds_the_room_after_changes_of_leader_and_late_heartbeats)
{
    constexpr std::uint64_t SEEDS = 40;
    int loads = 0;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        EngineGroup group(seed);
        group.play(60s);
        cr_expect_eq(group.engine.breaches, 0, "seed %d: %d loads without room",
                     static_cast<int>(seed), group.engine.breaches);
        loads += group.engine.loads;
    }
    cr_assert_geq(loads, static_cast<int>(SEEDS) * 10, "only %d adapters were loaded", loads);
}

namespace {

/** A planner that knows one target from an announcement older than the target's last orders. */
struct OldAnnouncement
{
    OldAnnouncement()
    {
        const FolderConfig config = makeConfig();
        this->cluster.view.models = config.models;
        this->cluster.view.services = config.services;
        TargetAnnouncement target;
        target.id = TARGET;
        target.service = SERVICE;
        target.start = Incarnation(1);
        target.loaded = {{modelVariant(0), Version(1), 0}};
        applyAnnouncement(this->registry, target, this->now);
        this->planner.tuning = makeFastLoadTuning();
        Replica load;
        load.variant = adapterVariant(0, 3);
        load.target = TARGET;
        load.start = Incarnation(1);
        load.fencing = FencingToken(9);
        load.state = ReplicaState::Loading;
        apply(this->cluster, {Duration::zero(), UpdateReplicas{{load}, {}}});
    }

    DueOrders takeDueOrders()
    {
        return issueDueOrders(
            this->planner, {this->cluster.view, this->registry, this->cluster.lastFencing},
            [](const Replica &) { return true; }, this->now);
    }

    /** The target answers that it holds the first @p count adapters of the model. */
    void answerInspection(int count)
    {
        TargetInspection inspection{3, false, {{{modelVariant(0), Version(1), 0}}}};
        for (int i = 0; i < count; ++i)
            inspection.held->push_back({adapterVariant(0, i), Version(1), 0});
        handleInspection(this->planner, TARGET, Incarnation(1), inspection, this->now);
    }

    Cluster cluster;
    TargetRegistry registry;
    Planner planner;
    TimePoint now{100s};
};

} // namespace

Test(inventory, an_adapter_without_a_free_place_is_not_ordered)
{
    OldAnnouncement o;
    cr_assert_eq(o.takeDueOrders().inspections.size(), 1);
    o.answerInspection(ADAPTER_SLOTS);
    const DueOrders due = o.takeDueOrders();
    cr_assert(due.orders.empty());
    cr_assert_eq(due.withoutRoom, std::vector<std::string>{"t/m0:a3"});
}

Test(inventory, an_adapter_with_a_free_place_is_ordered)
{
    OldAnnouncement o;
    o.takeDueOrders();
    o.answerInspection(ADAPTER_SLOTS - 1);
    cr_assert_eq(o.takeDueOrders().orders.size(), 1);
}

// Guards against a load that is given up because the leader counts an adapter that is in use and
// was ordered to be unloaded; the target unloads it without an announcement.
Test(inventory, the_target_is_inspected_again_after_a_pending_unload)
{
    OldAnnouncement o;
    o.takeDueOrders();
    o.answerInspection(ADAPTER_SLOTS);
    AcceptedOrders &accepted = o.planner.acceptedOrders.at(TARGET);
    accepted.acceptedSinceInspection = true;
    const DueOrders due = o.takeDueOrders();
    cr_assert(due.orders.empty());
    cr_assert(due.withoutRoom.empty());
    o.now += 1s;
    cr_assert_eq(o.takeDueOrders().inspections.size(), 1);
}
