/** @file target_count_test.cpp Number of targets that is ordered for a service and zone. */
#include "control/control_internal.h"
#include "duty/target_count_func.h"

#include <cmath>
#include <deque>
#include <functional>
#include <numbers>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration STEP = 250ms;
constexpr int PLACES = 8; ///< Places of one target.
constexpr TargetCountBounds BOUNDS{30, 70, 8.0};

struct Ordered
{
    TimePoint at;
    int desired = 0;
};

/** Targets of one service in one zone, and infrastructure that carries out orders. */
struct Zone
{
    explicit Zone(int targets, TargetCountBounds bounds = BOUNDS)
        : bounds(bounds)
        , targets(targets)
        , last(targets)
    {
    }

    /** Runs for @p time. @param demand Requests at a time since the start. */
    void run(Duration time, const std::function<double(Duration)> &demand)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += STEP) {
            while (!this->arrivals.empty() && this->arrivals.front() <= this->now) {
                this->arrivals.pop_front();
                ++this->targets;
            }
            const double requests = demand(this->now.time_since_epoch());
            this->highestUse = std::max(this->highestUse, requests / (this->targets * PLACES));
            this->decide({this->targets, std::int64_t{this->targets} * PLACES, requests, false});
        }
    }

    void run(Duration time, double demand)
    {
        this->run(time, [demand](Duration) { return demand; });
    }

    void decide(const TargetCountInput &input)
    {
        const auto desired = decideTargetCount(this->state, this->bounds, input, this->now);
        if (!desired)
            return;
        cr_expect_neq(*desired, this->last, "the order equals the last one");
        cr_expect(*desired >= this->bounds.least && *desired <= this->bounds.most);
        this->orders.push_back({this->now, *desired});
        this->last = *desired;
        recordTargetCountAccepted(this->state, *desired, this->now);
        if (this->losesOrders)
            return;
        const int coming = this->targets + static_cast<int>(this->arrivals.size());
        for (int i = coming; i < *desired; ++i)
            this->arrivals.push_back(this->now + fromSeconds(this->bounds.startSeconds));
        this->targets = std::min(this->targets, *desired);
    }

    /** Lets the time pass in which a new leader only observes. */
    void observe(double demand)
    {
        this->run(smoothingTime(this->bounds) + STEP, demand);
        cr_assert(this->orders.empty());
        this->highestUse = 0;
    }

    int directionChanges() const
    {
        int changes = 0;
        for (std::size_t i = 2; i < this->orders.size(); ++i)
            changes += (this->orders[i].desired > this->orders[i - 1].desired)
                    != (this->orders[i - 1].desired > this->orders[i - 2].desired)
                ? 1
                : 0;
        return changes;
    }

    TargetCountBounds bounds;
    TargetCountState state;
    TimePoint now;
    int targets;
    int last;
    bool losesOrders = false;
    std::deque<TimePoint> arrivals;
    std::vector<Ordered> orders;
    double highestUse = 0;
};

} // namespace

// Guards against orders of a new leader that knows only some of the demand and of the targets.
Test(target_count, a_new_leader_orders_nothing_until_the_smoothing_time_is_over)
{
    Zone zone(30);
    zone.run(smoothingTime(BOUNDS), 0.95 * 30 * PLACES);
    cr_assert(zone.orders.empty());
    zone.run(UPPER_USE_TIME + 2 * STEP, 0.95 * 30 * PLACES);
    cr_assert_eq(zone.orders.size(), 1);
}

// Guards against an order that leaves the use where the next order is due.
Test(target_count, more_targets_are_ordered_after_two_seconds_above_the_bound)
{
    Zone zone(40);
    zone.observe(0.6 * 40 * PLACES);
    const TimePoint began = zone.now;
    const double demand = 0.85 * 40 * PLACES;
    zone.run(60s, demand);
    cr_assert_leq(zone.orders.size(), 2);
    cr_assert(zone.orders[0].at >= began + UPPER_USE_TIME);
    cr_assert(zone.orders[0].at <= began + UPPER_USE_TIME + 3s);
    const double use = demand / (zone.orders.back().desired * PLACES);
    cr_assert(use < UPPER_USE && use > LOWER_USE, "%f", use);
}

// Guards against targets that are billed for a burst which ends before they serve.
Test(target_count, a_short_burst_orders_nothing)
{
    Zone zone(40);
    zone.observe(0.6 * 40 * PLACES);
    for (int i = 0; i < 10; ++i) {
        zone.run(1500ms, 0.95 * 40 * PLACES);
        zone.run(15s, 0.6 * 40 * PLACES);
    }
    cr_assert(zone.orders.empty());
}

// Guards against giving up targets too early or too many at once.
Test(target_count, fewer_targets_are_ordered_after_twenty_seconds_by_a_tenth)
{
    Zone zone(70);
    zone.observe(0.6 * 70 * PLACES);
    const TimePoint began = zone.now;
    zone.run(600s, 0.1 * 70 * PLACES);
    cr_assert_not(zone.orders.empty());
    TimePoint before = began;
    int count = 70;
    for (const Ordered &order : zone.orders) {
        cr_assert(order.at >= before + LOWER_USE_TIME);
        cr_assert_geq(order.desired, count - std::max(count / 10, 1));
        cr_assert_lt(order.desired, count);
        before = order.at;
        count = order.desired;
    }
    cr_assert_eq(count, BOUNDS.least);
}

// Guards against orders to and fro at a steady load whose reports vary.
Test(target_count, a_noisy_steady_load_causes_no_flapping)
{
    std::mt19937 random(5);
    std::uniform_real_distribution<double> noise(0.8, 1.2);
    for (const double use : {0.4, 0.5, 0.6, 0.7, 0.75, 0.8}) {
        Zone zone(50);
        zone.observe(0.6 * 50 * PLACES);
        zone.run(600s, [&](Duration) { return noise(random) * use * 50 * PLACES; });
        cr_expect_leq(zone.orders.size(), 2, "%zu orders at use %f", zone.orders.size(), use);
        cr_expect_eq(zone.directionChanges(), 0);
    }
}

// Guards against flapping within a wave, and against callers without a place when it rises.
Test(target_count, waves_are_followed_without_flapping)
{
    constexpr Duration PERIOD = 240s;
    constexpr int WAVES = 5;
    Zone zone(40);
    const auto wave = [](Duration at) {
        const double phase = 2 * std::numbers::pi * toSeconds(at) / toSeconds(PERIOD);
        return 240 - 100 * std::cos(phase);
    };
    zone.run(smoothingTime(BOUNDS) + STEP, wave);
    zone.run(WAVES * PERIOD, wave);
    cr_expect_leq(zone.directionChanges(), 2 * WAVES);
    cr_expect_leq(zone.highestUse, 1.0, "%f", zone.highestUse);
    cr_expect_leq(zone.orders.size(), 12 * WAVES);
}

// Guards against ordering again and again while the targets of an order are starting.
Test(target_count, targets_that_are_starting_count)
{
    Zone zone(30, {30, 70, 20.0});
    zone.observe(0.6 * 30 * PLACES);
    zone.run(20s, 0.9 * 30 * PLACES);
    cr_assert_leq(zone.orders.size(), 2);
    cr_assert_leq(zone.last, 50);
}

// Guards against a number that does not grow as refused callers are not counted.
Test(target_count, the_number_grows_by_a_quarter_while_all_places_are_in_use)
{
    Zone zone(40);
    zone.observe(0.6 * 40 * PLACES);
    zone.run(10s, 40 * PLACES + 20);
    cr_assert_geq(zone.orders.at(0).desired, 50);
}

// Guards against waiting for targets that never come after an order that the infrastructure lost.
Test(target_count, a_lost_order_is_followed_by_another_one)
{
    Zone zone(40);
    zone.losesOrders = true;
    zone.observe(0.6 * 40 * PLACES);
    zone.run(arrivalTime(BOUNDS), 0.85 * 40 * PLACES);
    cr_assert_leq(zone.orders.size(), 2);
    const std::size_t early = zone.orders.size();
    zone.losesOrders = false;
    zone.run(2 * arrivalTime(BOUNDS), 0.85 * 40 * PLACES);
    cr_assert_gt(zone.orders.size(), early);
    cr_assert_gt(zone.targets, 45);
}

// Guards against a number outside new bounds, and against none where there are too few targets.
Test(target_count, bounds_hold_as_soon_as_orders_are_allowed)
{
    Zone few(12);
    few.run(smoothingTime(BOUNDS) + STEP, 20);
    cr_assert_eq(few.last, BOUNDS.least);
    Zone many(90);
    many.run(smoothingTime(BOUNDS) + STEP, 90 * PLACES);
    cr_assert_eq(many.last, BOUNDS.most);
    many.bounds = {10, 50, 8.0};
    many.run(STEP, 90 * PLACES);
    cr_assert_eq(many.last, 50);
}

// Guards against a service without targets, at which no demand shows any more.
Test(target_count, the_last_target_stays)
{
    Zone zone(3, {0, 10, 8.0});
    zone.run(600s, 0.0);
    cr_assert_eq(zone.last, 1);
}

// Guards against taking the calm of an evacuated zone for a lack of demand.
Test(target_count, a_zone_out_of_service_gets_no_orders)
{
    Zone zone(60);
    zone.observe(0.6 * 60 * PLACES);
    for (int i = 0; i < 400; ++i, zone.now += STEP)
        zone.decide({0, 0, 0, true});
    zone.run(10s, 0.6 * 60 * PLACES);
    cr_assert(zone.orders.empty());
}

// Guards against counting the time of a pause of the leader as time above the bound.
Test(target_count, a_pause_begins_the_times_anew)
{
    Zone zone(40);
    zone.observe(0.6 * 40 * PLACES);
    zone.run(UPPER_USE_TIME - STEP, 0.85 * 40 * PLACES);
    zone.now += 10s;
    zone.run(UPPER_USE_TIME, 0.85 * 40 * PLACES);
    cr_assert(zone.orders.empty());
}

// Guards against repeating what the infrastructure has refused.
Test(target_count, a_refused_number_is_not_ordered_again)
{
    TargetCountState state;
    TimePoint now;
    int refusals = 0;
    for (int i = 0; i < 400; ++i, now += STEP) {
        const auto desired = decideTargetCount(state, BOUNDS, {12, 96, 20, false}, now);
        if (!desired)
            continue;
        ++refusals;
        recordTargetCountRefused(state, *desired);
    }
    cr_assert_eq(refusals, 1);
}

// Guards against numbers outside the bounds and orders that repeat the last one; see
// Zone::decide().
Test(target_count, random_loads_keep_to_the_rules)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> jump(0, 1.2 * 70 * PLACES);
        Zone zone(30 + static_cast<int>(seed), {static_cast<int>(seed), 70, 0.4 * seed});
        for (int i = 0; i < 60; ++i) {
            zone.losesOrders = random() % 4 == 0;
            const double demand = jump(random);
            zone.run(std::chrono::seconds(1 + random() % 30), demand);
        }
    }
}

namespace {

/** @return A leader with an order on its way. */
Control makeOrdering()
{
    Control control;
    control.leadership.emplace();
    TargetCountDuty duty;
    duty.state.ordered = 40;
    duty.wanted = 50;
    duty.call = 7;
    control.leadership->targetCounts[{DutyKind::TargetCount, "s", ZoneId("z")}] = duty;
    return control;
}

TargetCountDuty afterReplies(Control &control, std::initializer_list<DutyReplyEvent> replies)
{
    ControlEffects effects;
    TargetCountDuty &duty = control.leadership->targetCounts.begin()->second;
    for (const DutyReplyEvent &reply : replies) {
        duty.call = 7;
        onTargetCountReply(control, reply, effects, TimePoint(9s));
    }
    return duty;
}

} // namespace

// Guards against another number after an order without an answer that may have been accepted.
Test(target_count, an_order_without_an_answer_is_repeated_unchanged)
{
    Control control = makeOrdering();
    const TargetCountDuty duty
        = afterReplies(control, {{7, DutyReply::Unknown, 0}, {7, DutyReply::Throttled, 429}});
    cr_assert(duty.uncertain && !duty.call);
    cr_assert(duty.wanted == 50 && duty.state.ordered == 40);
}

// Guards against an order that is sent again after its acceptance, or kept after a refusal.
Test(target_count, an_answered_order_is_not_repeated)
{
    Control control = makeOrdering();
    const TargetCountDuty accepted
        = afterReplies(control, {{7, DutyReply::Unknown, 503}, {7, DutyReply::Accepted, 200}});
    cr_assert(!accepted.wanted && !accepted.uncertain && accepted.state.ordered == 50);
    control = makeOrdering();
    const TargetCountDuty refused = afterReplies(control, {{7, DutyReply::Refused, 400}});
    cr_assert(!refused.wanted && refused.state.ordered == 40 && refused.state.refused == 50);
}

// Guards against replies to calls of other duties that are taken for replies to orders.
Test(target_count, replies_to_other_calls_change_nothing)
{
    Control control = makeOrdering();
    const TargetCountDuty duty = afterReplies(control, {{8, DutyReply::Accepted, 200}});
    cr_assert(duty.call == 7 && duty.wanted == 50);
}

namespace {

/** @return A leader that sees four targets of service "s" in zone "z", one of which leaves, and one
 * target of a service without bounds. */
Control makeObserving()
{
    Control control;
    control.duties.ordersTargets = true;
    control.leadership.emplace();
    ServicePolicy bounded;
    bounded.id = "s";
    bounded.targetCount = TargetCountBounds{1, 9, 1.0};
    control.cluster.view.services["s"] = bounded;
    control.cluster.view.services["other"].id = "other";
    for (const std::string name : {"t1", "t2", "t3", "leaving", "o1"}) {
        TargetAnnouncement target;
        target.id = TargetId(name);
        target.service = name == "o1" ? "other" : "s";
        target.zone = ZoneId("z");
        target.maxConcurrent = PLACES;
        target.leaving = name == "leaving";
        control.leadership->registry.targets[target.id].announcement = target;
    }
    return control;
}

void reportDemand(Control &control, const std::string &target, const std::string &host, int demand,
                  TimePoint now)
{
    HostSlotDemand &report = control.leadership->slots[TargetId(target)].demands[{HostId(host), 1}];
    report = {{{AccountId("a"), demand, 0}}, now};
}

/** Runs the orders of targets every 250 ms. @param each Called before each run. */
TargetCountDuty observeFor(Control &control, Duration time,
                           const std::function<void(TimePoint)> &each)
{
    ControlEffects effects;
    for (TimePoint now; now < TimePoint(time); now += STEP) {
        each(now);
        runTargetCounts(control, effects, now);
    }
    cr_assert_eq(control.leadership->targetCounts.size(), 1);
    return control.leadership->targetCounts.begin()->second;
}

} // namespace

// Guards against places of targets that leave, and against requests there that are left out.
Test(target_count, the_leader_sums_up_what_hosts_report)
{
    Control control = makeObserving();
    const TargetCountDuty duty = observeFor(control, 20s, [&](TimePoint now) {
        reportDemand(control, "t1", "h1", 5, now);
        reportDemand(control, "t1", "h2", 4, now);
        reportDemand(control, "leaving", "h1", 2, now);
        reportDemand(control, "o1", "h1", 80, now);
    });
    cr_assert_eq(duty.state.targets, 3);
    cr_assert_float_eq(duty.state.recentDemand, 11, 0.01);
    cr_assert_eq(duty.state.placesPerTarget, PLACES);
    cr_assert_not(duty.wanted);
}

// Guards against orders for requests of a host that has ended.
Test(target_count, old_reports_do_not_count)
{
    Control control = makeObserving();
    const TargetCountDuty duty = observeFor(control, 30s, [&](TimePoint now) {
        reportDemand(control, "t1", "h1", 9, now);
        if (now == TimePoint{})
            reportDemand(control, "t2", "h2", 100, now);
    });
    cr_assert_float_eq(duty.state.recentDemand, 9, 0.01);
}

// Guards against a leader that sees the demand and decides nothing.
Test(target_count, the_leader_wants_more_targets_when_they_are_full)
{
    Control control = makeObserving();
    const TargetCountDuty duty = observeFor(control, 20s, [&](TimePoint now) {
        for (const char *target : {"t1", "t2", "t3"})
            reportDemand(control, target, "h1", PLACES - 1, now);
    });
    cr_assert(duty.state.ordered == 3 && duty.wanted && *duty.wanted > 3);
}

// Guards against callers that are refused, come back and are not counted.
Test(target_count, refused_requests_that_come_back_count)
{
    Control control = makeObserving();
    Model model;
    model.id = ModelId("m");
    model.service = "s";
    control.cluster.view.models[model.id] = model;
    const Variant variant{model.id, {}};
    control.leadership->planner.activeVariants.insert(variant);
    control.leadership->planner.history[variant].returning = 6;
    const TargetCountDuty duty = observeFor(
        control, 20s, [&](TimePoint now) { reportDemand(control, "t1", "h1", 5, now); });
    cr_assert_float_eq(duty.state.recentDemand, 11, 0.01);
}

// Guards against orders of a deployment that has no such duty.
Test(target_count, without_the_duty_nothing_is_decided)
{
    Control control = makeObserving();
    control.duties.ordersTargets = false;
    ControlEffects effects;
    for (TimePoint now; now < TimePoint(20s); now += STEP)
        runTargetCounts(control, effects, now);
    cr_assert(control.leadership->targetCounts.empty());
}
