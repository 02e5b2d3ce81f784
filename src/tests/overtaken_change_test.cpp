/** @file overtaken_change_test.cpp Operators' changes that got no answer, after newer ones that
 * were acknowledged elsewhere. */
#include "control_group.h"
#include "replay/decision_simulation_base.h"
#include "service_folder.h"
#include "state/change_func.h"
#include "state/cluster_func.h"

#include <array>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration WARM_UP = 3s;
constexpr Duration OPERATOR_PATIENCE = 1s; ///< An operator then goes to another host.
constexpr Duration HOST_LIMIT = 900ms; ///< Time in which a host answers an operator.
constexpr Duration SETTLE = 3s; ///< Time from the end of the disturbance to the check.
constexpr int HOSTS = 4;

/** What keeps a host's messages from the leader. */
enum class Disturbance { Cut, Stalled, Frozen };

/** Something that operators set to one of two states. */
struct Thing
{
    std::function<OperatorBody(const std::string &changeId, bool on)> order;
    std::function<bool(const ClusterView &)> state;
};

Thing zoneThing(const std::string &name)
{
    const ZoneId id(name);
    return {[id](const std::string &changeId, bool on) {
                return SetZone{changeId, {id, on}};
            },
            [id](const ClusterView &view) {
                const auto zone = view.zones.find(id);
                return zone != view.zones.end() && zone->second.out;
            }};
}

Thing targetThing()
{
    const TargetId id("t0");
    return {[id](const std::string &changeId, bool on) {
                return SetTargetLeaving{changeId, id, on};
            },
            [id](const ClusterView &view) {
                const auto target = view.targets.find(id);
                return target != view.targets.end() && target->second.leaving;
            }};
}

Thing keyThing()
{
    const KeyId id("extra");
    return {[id](const std::string &changeId, bool on) -> OperatorBody {
                if (on)
                    return GrantKey{changeId, {id, AccountId("a0"), "salt", digestOf({"secret"})}};
                return WithdrawKey{changeId, id};
            },
            [id](const ClusterView &view) { return view.keys.contains(id); }};
}

std::vector<Thing> allThings()
{
    return {zoneThing("z1"), targetThing(), keyThing()};
}

FolderConfig makeFolder()
{
    FolderConfig folder = makeServiceFolder();
    Account account;
    account.id = AccountId("a0");
    folder.accounts[account.id] = account;
    return folder;
}

/** @return Whether the answer says that the thing is as the order wants it. */
bool isDone(Errc error)
{
    return error == Errc::Ok || error == Errc::NotFound || error == Errc::AlreadyExists;
}

/** Hosts and a leader, and operators that give up after their patience. */
class OperatorWorld
{
public:
    explicit OperatorWorld(unsigned seed)
        : simulation(HOSTS, makeFolder(), seed)
    {
        this->simulation.onOperatorAnswer = [this](int, const OperatorAnswer &answer) {
            this->answers[answer.id] = answer.error;
        };
        this->simulation.operatorWaits
            = [this](int, std::uint64_t id) { return !this->abandoned.contains(id); };
        this->runFor(WARM_UP);
    }

    void runFor(Duration length) { this->simulation.runUntil(this->simulation.now() + length); }

    std::uint64_t send(int host, const Thing &thing, bool on, Duration limit = HOST_LIMIT)
    {
        const std::string changeId = "change-" + std::to_string(++this->lastChange);
        return this->simulation.sendOperatorRequest(host, thing.order(changeId, on), limit);
    }

    /** @return Whether the request has been acknowledged; the operator gives up otherwise. */
    bool endWait(std::uint64_t id)
    {
        this->abandoned.insert(id);
        return this->acknowledged(id);
    }

    bool acknowledged(std::uint64_t id) const
    {
        const auto answer = this->answers.find(id);
        return answer != this->answers.end() && isDone(answer->second);
    }

    /** Sends an order and waits for the acknowledgement. */
    bool order(int host, const Thing &thing, bool on)
    {
        const std::uint64_t id = this->send(host, thing, on);
        this->runFor(OPERATOR_PATIENCE);
        return this->endWait(id);
    }

    void disturb(int host, Disturbance kind)
    {
        SimulatedHost &disturbed = this->simulation.hosts[static_cast<std::size_t>(host)];
        disturbed.partitioned = kind == Disturbance::Cut;
        disturbed.stalled = kind == Disturbance::Stalled;
        disturbed.frozen = kind == Disturbance::Frozen;
    }

    void heal(int host)
    {
        this->simulation.hosts[static_cast<std::size_t>(host)].partitioned = false;
        this->simulation.resume(host);
    }

    bool state(const Thing &thing) const
    {
        return thing.state(this->simulation.control.cluster.view);
    }

    DecisionSimulation simulation;
    std::map<std::uint64_t, Errc> answers; ///< By request.
    std::set<std::uint64_t> abandoned; ///< Requests that nobody waits for any more.
    int lastChange = 0;
};

/** How an order that gets no answer is disturbed. */
struct LateOrder
{
    Disturbance kind = Disturbance::Cut;
    Duration begin{}; ///< From the sending of the order.
    Duration end{}; ///< From the acknowledgement of the newest order.
    Duration limit = HOST_LIMIT; ///< Time in which the disturbed host answers.
};

/** @return State of the thing after @p last was acknowledged elsewhere while the opposite order,
 * sent before, waited at the disturbed host. */
bool stateAfter(const Thing &thing, bool last, const LateOrder &late)
{
    OperatorWorld world(1);
    cr_assert(world.order(1, thing, last));
    const std::uint64_t id = world.send(0, thing, !last, late.limit);
    world.runFor(late.begin);
    world.disturb(0, late.kind);
    world.runFor(OPERATOR_PATIENCE);
    if (!world.endWait(id))
        cr_assert(world.order(1, thing, !last));
    cr_assert(world.order(2, thing, last));
    world.runFor(late.end);
    world.heal(0);
    world.runFor(SETTLE);
    return world.state(thing);
}

constexpr std::array<Disturbance, 3> DISTURBANCES
    = {Disturbance::Cut, Disturbance::Stalled, Disturbance::Frozen};
/** No deadline at the host: an order is then held back by what it is based on alone. */
constexpr Duration WITHOUT_LIMIT = std::chrono::hours(1);

} // namespace

// Guards against: an evacuation that is undone by an earlier order to end it, which had timed out.
Test(overtaken_change, evacuation_is_not_undone_when_a_cut_heals)
{
    for (Duration end{}; end <= 10s; end += 50ms) {
        cr_expect(stateAfter(zoneThing("z1"), true, {Disturbance::Cut, {}, end, HOST_LIMIT}),
                  "healed %lld us after the newest order", static_cast<long long>(end.count()));
    }
}

// Guards against: a zone that stands empty for an earlier order to evacuate it, which had timed
// out.
Test(overtaken_change, zone_in_use_is_not_evacuated_when_a_cut_heals)
{
    for (Duration end{}; end <= 10s; end += 250ms) {
        cr_expect(!stateAfter(zoneThing("z1"), false, {Disturbance::Cut, {}, end, HOST_LIMIT}),
                  "healed %lld us after the newest order", static_cast<long long>(end.count()));
    }
}

// Guards against: an order of any kind that has left its host, or waits in it, and arrives after a
// newer one; the host's deadline may not be what prevents it.
Test(overtaken_change, order_that_waits_anywhere_changes_nothing_after_a_newer_one)
{
    for (const Thing &thing : allThings()) {
        for (const Disturbance kind : DISTURBANCES) {
            for (Duration begin{}; begin <= 6ms; begin += 500us) {
                for (const bool last : {false, true}) {
                    cr_expect_eq(stateAfter(thing, last, {kind, begin, 500ms, WITHOUT_LIMIT}), last,
                                 "disturbance %d after %lld us", static_cast<int>(kind),
                                 static_cast<long long>(begin.count()));
                }
            }
        }
    }
}

// Guards against: an order that is carried out since the newest one found the thing as it wanted it
// and left no trace.
Test(overtaken_change, order_is_overtaken_by_one_that_changes_nothing)
{
    for (const bool on : {false, true}) {
        const Thing zone = zoneThing("z1");
        OperatorWorld world(1);
        cr_assert(world.order(1, zone, on));
        const std::uint64_t late = world.send(0, zone, !on, WITHOUT_LIMIT);
        world.runFor(1500us); // The base has been read; the order itself has not left.
        world.disturb(0, Disturbance::Stalled);
        world.runFor(OPERATOR_PATIENCE);
        cr_assert(!world.endWait(late));
        cr_assert(world.order(1, zone, on));
        world.heal(0);
        world.runFor(SETTLE);
        cr_expect_eq(world.state(zone), on);
    }
}

// Guards against: a key that an earlier order grants after its withdrawal was answered with "does
// not exist".
Test(overtaken_change, order_is_overtaken_by_one_that_was_refused)
{
    const Thing key = keyThing();
    OperatorWorld world(1);
    const std::uint64_t late = world.send(0, key, true, WITHOUT_LIMIT);
    world.runFor(1500us); // The base has been read; the order itself has not left.
    world.disturb(0, Disturbance::Stalled);
    world.runFor(OPERATOR_PATIENCE);
    cr_assert(!world.endWait(late));
    const std::uint64_t withdrawal = world.send(1, key, false);
    world.runFor(OPERATOR_PATIENCE);
    cr_assert_eq(world.answers.at(withdrawal), Errc::NotFound);
    world.heal(0);
    world.runFor(SETTLE);
    cr_expect(!world.state(key));
}

// Guards against: an order that a process reads after its operator has left.
Test(overtaken_change, order_of_an_operator_that_has_gone_is_dropped)
{
    const Thing zone = zoneThing("z1");
    OperatorWorld world(1);
    world.disturb(0, Disturbance::Frozen);
    const std::uint64_t late = world.send(0, zone, true, WITHOUT_LIMIT);
    world.runFor(OPERATOR_PATIENCE);
    cr_assert(!world.endWait(late));
    world.heal(0);
    world.runFor(SETTLE);
    cr_expect(!world.state(zone));
    cr_expect_eq(world.simulation.hosts[0].host.counters.operatorRequestsAbandoned, 1);
    cr_expect(world.simulation.hosts[0].host.operatorRequests.empty());
}

// Guards against: orders that stay in the memory of a host without a leader, and are all sent
// later.
Test(overtaken_change, orders_at_a_host_without_a_leader_leave_nothing_behind)
{
    constexpr int ORDERS = 10'000;
    const Thing zone = zoneThing("z1");
    OperatorWorld world(1);
    world.disturb(0, Disturbance::Cut);
    for (int i = 0; i < ORDERS; ++i)
        world.send(0, zone, true);
    world.runFor(OPERATOR_PATIENCE);
    const Host &host = world.simulation.hosts[0].host;
    cr_expect(host.operatorRequests.empty());
    cr_expect_eq(host.counters.operatorRequestsExpired, ORDERS);
    cr_expect_eq(world.answers.size(), ORDERS);
    world.heal(0);
    world.runFor(SETTLE);
    cr_expect(!world.state(zone));
}

// Guards against: orders of two operators to the same zone at once, of which one is refused.
Test(overtaken_change, equal_orders_at_once_are_all_acknowledged)
{
    const Thing zone = zoneThing("z1");
    for (const bool on : {true, false}) {
        OperatorWorld world(1);
        std::vector<std::uint64_t> ids;
        for (int i = 0; i < 2 * HOSTS; ++i)
            ids.push_back(world.send(i % HOSTS, zone, on));
        world.runFor(100ms);
        for (const std::uint64_t id : ids)
            cr_expect(world.acknowledged(id));
        cr_expect_eq(world.state(zone), on);
    }
}

namespace {

/** One operator, who sets one thing to changing states, and gets each order acknowledged. */
struct ThingOperator
{
    Thing thing;
    bool acknowledged = false; ///< State that was acknowledged last.
    bool wanted = false;
    std::optional<std::uint64_t> waitsFor; ///< Request in progress.
    TimePoint nextAt; ///< Time of the next order, or at which the present one is given up.
    bool undecided = false; ///< Whether an order for @c wanted was sent and is not acknowledged.
};

/** Random orders, disturbances and restarts of the leader. */
class RandomOrders
{
public:
    explicit RandomOrders(unsigned seed)
        : world(seed)
        , random(seed)
        , limit(seed % 2 == 0 ? HOST_LIMIT : WITHOUT_LIMIT)
    {
        for (const Thing &thing : allThings())
            this->operators.push_back({thing, false, false, {}, this->world.simulation.now(), {}});
        this->operators.push_back(
            {zoneThing("z2"), false, false, {}, this->world.simulation.now(), {}});
    }

    /** @return Number of moments at which a thing was in a state that nobody has asked for. */
    int play(Duration length)
    {
        const TimePoint end = this->world.simulation.now() + length;
        TimePoint nextFault = this->world.simulation.now();
        int wrong = 0;
        while (this->world.simulation.now() < end) {
            this->world.runFor(10ms);
            if (this->world.simulation.now() >= nextFault) {
                this->changeDisturbance();
                nextFault = this->world.simulation.now() + this->pick(10, 700) * 1ms;
            }
            for (ThingOperator &item : this->operators) {
                this->act(item);
                wrong += this->isAsOrdered(item) ? 0 : 1;
            }
        }
        return wrong;
    }

    int acknowledgements = 0;

private:
    int pick(int from, int to) { return std::uniform_int_distribution<>(from, to)(this->random); }

    bool isAsOrdered(const ThingOperator &item) const
    {
        // A member that has restarted knows what is committed once it leads.
        const Control &control = this->world.simulation.control;
        if (this->world.simulation.controlDown || !control.leadership
            || !control.leadership->active)
            return true;
        const bool state = this->world.state(item.thing);
        return state == item.acknowledged || (item.undecided && state == item.wanted);
    }

    void changeDisturbance()
    {
        const int host = this->pick(0, HOSTS - 2); // The last host is never disturbed.
        this->world.heal(host);
        const int kind = this->pick(0, 3);
        if (kind < 3)
            this->world.disturb(host, DISTURBANCES[static_cast<std::size_t>(kind)]);
        if (this->pick(0, 9) == 0)
            this->world.simulation.restartControl(this->pick(100, 600) * 1ms);
    }

    void act(ThingOperator &item)
    {
        const TimePoint now = this->world.simulation.now();
        if (item.waitsFor && this->world.acknowledged(*item.waitsFor)) {
            ++this->acknowledgements;
            this->world.abandoned.insert(*item.waitsFor);
            item.waitsFor.reset();
            item.acknowledged = item.wanted;
            item.undecided = false;
            item.nextAt = now + this->pick(0, 1'500) * 1ms;
        }
        if (now < item.nextAt)
            return;
        if (item.waitsFor)
            this->world.abandoned.insert(*item.waitsFor);
        else
            item.wanted = this->pick(0, 3) != 0 ? !item.acknowledged : item.acknowledged;
        item.undecided = true;
        item.nextAt = now + OPERATOR_PATIENCE;
        item.waitsFor
            = this->world.send(this->pick(0, HOSTS - 1), item.thing, item.wanted, this->limit);
    }

    OperatorWorld world;
    std::mt19937 random;
    const Duration limit;
    std::vector<ThingOperator> operators;
};

} // namespace

// Guards against: any order without an answer that changes a thing after a newer acknowledged one.
Test(overtaken_change, random_orders_and_disturbances_end_in_what_was_acknowledged_last)
{
    const char *wanted = std::getenv("OVERTAKEN_CHANGE_SEEDS");
    const int seeds = wanted != nullptr ? std::atoi(wanted) : 20;
    for (int seed = 1; seed <= seeds; ++seed) {
        RandomOrders orders(static_cast<unsigned>(seed));
        cr_expect_eq(orders.play(40s), 0, "seed %d", seed);
        cr_expect_gt(orders.acknowledgements, 40, "seed %d", seed);
    }
}

namespace {

/** Target that is reported through a host other than host 0, as others come before it. */
SimulatedTarget makeTarget(const std::string &id)
{
    SimulatedTarget target;
    target.announcement.id = TargetId(id);
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.start = Incarnation(1);
    target.announcement.maxConcurrent = 8;
    return target;
}

/** @return Incarnation of target "t0" that is recorded as shut down after the target has restarted
 * while the shutdown of its first incarnation, which names none, waits at the disturbed host. */
Incarnation recordedShutdown(Disturbance kind, Duration begin)
{
    OperatorWorld world(1);
    world.simulation.addTarget(makeTarget("a0"));
    world.simulation.addTarget(makeTarget("t0"));
    world.runFor(WARM_UP);
    if (begin == Duration::zero())
        world.disturb(0, kind);
    const std::uint64_t late = world.simulation.sendOperatorRequest(
        0, RecordTargetShutdown{TargetId("t0"), Incarnation()});
    world.runFor(begin);
    world.disturb(0, kind);
    world.runFor(OPERATOR_PATIENCE);
    world.endWait(late);
    world.simulation.targets.at(TargetId("t0")).announcement.start = Incarnation(2);
    world.runFor(SETTLE);
    world.heal(0);
    world.runFor(SETTLE);
    const auto &policies = world.simulation.control.cluster.view.targets;
    const auto policy = policies.find(TargetId("t0"));
    return policy == policies.end() ? Incarnation() : policy->second.shutDown;
}

} // namespace

// Guards against: a target that gets no requests for a minute after its restart, as the shutdown of
// its former incarnation, which named none, was handled late and taken for the new one's.
Test(overtaken_change, shutdown_without_an_incarnation_does_not_reach_a_later_one)
{
    for (const Disturbance kind : DISTURBANCES) {
        for (Duration begin{}; begin <= 6ms; begin += 500us) {
            cr_expect_leq(recordedShutdown(kind, begin).value, 1, "disturbance %d after %lld us",
                          static_cast<int>(kind), static_cast<long long>(begin.count()));
        }
    }
}

namespace {

/** @return The leader's answer to a change of its group. */
OperatorAnswer changeMembers(ControlGroup &group, const ChangeMember &change, bool asksForBase,
                             std::optional<Version> base)
{
    GroupDaemon &leader = *group.leader();
    const OperatorCall call{{HostId("operator"), 1}, 1, asksForBase, change, asksForBase, base};
    const ControlEffects effects = step(*leader.control, HostMessageEvent{call}, group.now);
    group.handleEffects(leader, effects);
    for (const OutgoingControlMessage &message : effects.toHosts) {
        if (const auto *answer = std::get_if<OperatorAnswer>(&message.message)) {
            group.runFor(1s);
            return *answer;
        }
    }
    return {0, Errc::Timeout, nullptr};
}

} // namespace

// Guards against: a member that is removed by an earlier order after a newer one has added it, or
// has found it to be a member.
Test(overtaken_change, removal_of_a_member_is_overtaken_by_its_addition)
{
    ControlGroup group(GROUP_VOTERS, 0);
    group.runFor(3s);
    const MemberId member = group.daemons.back().member;
    cr_assert_neq(group.leader()->member, member);
    const ChangeMember removal{"", "", member.value};
    const ChangeMember addition{member.value, group.daemons.back().address, ""};
    const auto base = changeMembers(group, removal, true, {}).body.get<ChangeBase>().base;
    cr_assert(base);
    cr_assert_eq(changeMembers(group, addition, false, base).error, Errc::Ok);
    cr_expect_eq(changeMembers(group, removal, false, base).error, Errc::VersionConflict);
    cr_expect(group.voters().contains(member));
    const auto next = changeMembers(group, removal, true, {}).body.get<ChangeBase>().base;
    cr_expect_eq(changeMembers(group, removal, false, next).error, Errc::Ok);
    cr_expect(!group.voters().contains(member));
}

namespace {

/** Sends a change of zone "z" to a member, as a host does that knows the base. */
void orderZone(ControlGroup &group, GroupDaemon &daemon, bool out, std::uint64_t id)
{
    const Version base = changeVersion(daemon.control->cluster, {RecordKind::Zone, "z"});
    const SetZone change{"change-" + std::to_string(id), {ZoneId("z"), out}};
    const OperatorCall call{{HostId("operator"), 1}, id, false, change, false, base};
    group.deliverEvent(daemon, HostMessageEvent{call});
}

bool isOut(const GroupDaemon &daemon)
{
    const auto &zones = daemon.control->cluster.view.zones;
    const auto zone = zones.find(ZoneId("z"));
    return zone != zones.end() && zone->second.out;
}

/** @return Whether the zone is out at all members, after a leader that was cut off with an order to
 * end the evacuation in its log, and possibly in those of others, is back. */
bool staysOut(int stepsBeforeCut, Duration cutFor)
{
    ControlGroup group(GROUP_VOTERS, 0);
    group.runFor(3s);
    orderZone(group, *group.leader(), true, 1);
    group.runFor(500ms);
    GroupDaemon &deposed = *group.leader();
    orderZone(group, deposed, false, 2);
    group.runFor(stepsBeforeCut * GROUP_STEP);
    deposed.isolated = true;
    group.runFor(4s);
    GroupDaemon *successor = group.leader();
    cr_assert(successor != nullptr && successor != &deposed);
    orderZone(group, *successor, false, 3);
    group.runFor(500ms);
    orderZone(group, *successor, true, 4);
    group.runFor(cutFor);
    deposed.isolated = false;
    group.runFor(3s);
    return std::all_of(group.daemons.begin(), group.daemons.end(), isOut);
}

} // namespace

// Guards against: an order in the log of a leader that was cut off, which is carried out after
// newer orders of its successor.
Test(overtaken_change, order_in_the_log_of_a_deposed_leader_changes_nothing_after_a_newer_one)
{
    for (int steps = 0; steps <= 4; ++steps) {
        for (Duration cutFor = 500ms; cutFor <= 5s; cutFor += 1500ms)
            cr_expect(staysOut(steps, cutFor), "cut after %d steps, for %lld us more", steps,
                      static_cast<long long>(cutFor.count()));
    }
}

namespace {

Command setZone(const std::string &changeId, bool out, std::optional<Version> base)
{
    return {Duration::zero(), SetZone{changeId, {ZoneId("z"), out}}, base};
}

Version zoneVersion(const Cluster &cluster)
{
    return changeVersion(cluster, {RecordKind::Zone, "z"});
}

} // namespace

// Guards against: a resend under the same change id that is refused for its other base.
Test(overtaken_change, resend_with_the_same_change_id_gets_the_first_outcome)
{
    Cluster cluster;
    const CommandOutcome first = apply(cluster, setZone("out", true, Version(0)));
    cr_assert_eq(first.error, Errc::Ok);
    cr_assert_eq(apply(cluster, setZone("in", false, zoneVersion(cluster))).error, Errc::Ok);
    const CommandOutcome resent = apply(cluster, setZone("out", true, zoneVersion(cluster)));
    cr_expect_eq(resent.error, Errc::Ok);
    cr_expect_eq(resent.version, first.version);
    cr_expect(!cluster.view.zones.at(ZoneId("z")).out);
}

// Guards against: a change that was refused for its base and can never be sent again.
Test(overtaken_change, refused_change_is_taken_with_the_present_version)
{
    Cluster cluster;
    cr_assert_eq(apply(cluster, setZone("a", true, Version(0))).error, Errc::Ok);
    const CommandOutcome refused = apply(cluster, setZone("b", false, Version(0)));
    cr_expect_eq(refused.error, Errc::VersionConflict);
    cr_expect_eq(refused.version, zoneVersion(cluster));
    cr_expect(cluster.view.zones.at(ZoneId("z")).out);
    cr_expect_eq(apply(cluster, setZone("b", false, refused.version)).error, Errc::Ok);
    cr_expect(!cluster.view.zones.at(ZoneId("z")).out);
}

// Guards against: a resend that is executed again after so many other changes that the first
// outcome is forgotten.
Test(overtaken_change, resend_whose_first_outcome_is_forgotten_is_refused)
{
    Cluster cluster;
    const Command first = setZone("first", true, Version(0));
    cr_assert_eq(apply(cluster, first).error, Errc::Ok);
    for (std::size_t i = 0; i <= MAX_RECORDED_CHANGES; ++i)
        apply(cluster, setZone(std::to_string(i), false, zoneVersion(cluster)));
    cr_expect_eq(apply(cluster, first).error, Errc::VersionConflict);
    cr_expect(!cluster.view.zones.at(ZoneId("z")).out);
}

// Guards against: a log of an earlier release that leads to other versions than it did there.
Test(overtaken_change, changes_without_a_base_are_applied_as_before)
{
    Cluster cluster;
    apply(cluster, setZone("a", true, {}));
    const Version before = cluster.version;
    apply(cluster, setZone("b", true, {}));
    cr_expect_eq(cluster.version, before);
    const nlohmann::json old{{"clock", Duration::zero()},
                             {"body", CommandBody(SetZone{"c", {ZoneId("z"), false}})}};
    const Result<Command> decoded = decode<Command>(encode(old));
    cr_assert(decoded);
    cr_expect(!decoded.value().base);
    cr_expect_eq(apply(cluster, decoded.value()).error, Errc::Ok);
    cr_expect(!cluster.view.zones.at(ZoneId("z")).out);
}
