/** @file target_shutdown_test.cpp Targets that announce their shutdown, among many hosts. */
#include "replay/decision_simulation_base.h"
#include "state/cluster_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int TARGETS = 4;
constexpr Duration WARM_UP = 4s;
constexpr Duration PLAY = 7s; ///< Time for which requests are sent after the announcement.
/** Time from the acknowledgement until no request may reach the target. */
constexpr Duration DRAIN_TIME = 2500ms;
/** Part of the drain time for the way of a request from its dispatch to the target. */
constexpr Duration REQUEST_WAY = 500ms;
const TargetId LEAVING("t0");
const Incarnation FIRST(1);

/** What disturbs the way from the target to all hosts. */
struct Disturbance
{
    Duration leaderRestartsAfter{-1}; ///< From the acknowledgement; negative: it does not restart.
    int lossPercent = 0; ///< Share of the hosts' messages that are lost.
    Duration timePerMessage{}; ///< Time that the leader spends on one message.
    bool unnamed = false; ///< The target does not say which incarnation shuts down.
    bool changesConfig = false; ///< Hosts are about to get a large change of the configuration.
};

FolderConfig makeFolder(int accounts)
{
    FolderConfig folder;
    for (int i = 0; i < accounts; ++i) {
        Account account;
        account.id = AccountId("a" + std::to_string(i));
        folder.accounts[account.id] = account;
    }
    Route route;
    route.id = RouteId("s");
    route.path = "/s";
    route.service = "s";
    route.open = true;
    folder.routes[route.id] = route;
    ServicePolicy policy;
    policy.id = "s";
    policy.ramps = false;
    folder.services["s"] = policy;
    return folder;
}

/** Hosts that send requests to four targets, of which one announces its shutdown. */
class ShutdownWorld
{
public:
    ShutdownWorld(int hosts, unsigned seed, Disturbance disturbance)
        : simulation(hosts, makeFolder(1), seed)
        , disturbance(disturbance)
        , random(seed)
    {
        for (int i = 0; i < TARGETS; ++i) {
            SimulatedTarget target;
            target.announcement.id = TargetId("t" + std::to_string(i));
            target.announcement.kind = TargetKind::Service;
            target.announcement.service = "s";
            target.announcement.start = Incarnation(1);
            target.announcement.maxConcurrent = 4 * hosts;
            this->simulation.addTarget(target);
        }
        this->simulation.dropEffect
            = [this](const HostEffect &effect) { return this->observe(effect); };
        this->sendRequests(WARM_UP + PLAY);
        this->simulation.runUntil(this->simulation.now() + WARM_UP);
    }

    /** Announces the shutdown through host 0 and runs the simulation. */
    void shutDown()
    {
        this->simulation.controlServiceTime = this->disturbance.timePerMessage;
        if (this->disturbance.changesConfig) {
            ReplaceConfig change{Version(2), "document", makeFolder(150)};
            this->simulation.sendOperatorRequest(1, change);
            this->simulation.runUntil(this->simulation.now() + 100ms);
        }
        this->lossPercent = this->disturbance.lossPercent;
        this->asked = true;
        this->simulation.sendOperatorRequest(
            0, RecordTargetShutdown{LEAVING, this->disturbance.unnamed ? Incarnation() : FIRST});
        this->simulation.runUntil(this->simulation.now() + PLAY);
    }

    /** @return Number of requests that reach the target too late. */
    std::ptrdiff_t countLate() const
    {
        const auto &arrivals = this->simulation.targets.at(LEAVING).arrivals;
        return std::count_if(
            arrivals.begin(), arrivals.end(), [&](const SimulatedArrival &arrival) {
                return arrival.at > *this->acknowledgedAt + DRAIN_TIME - REQUEST_WAY;
            });
    }

    /** @return Number of requests that other targets get after the drain time. */
    std::size_t countElsewhere() const
    {
        std::size_t count = 0;
        for (const auto &[id, target] : this->simulation.targets) {
            for (const SimulatedArrival &arrival : target.arrivals)
                count += id != LEAVING && arrival.at > *this->acknowledgedAt + DRAIN_TIME ? 1 : 0;
        }
        return count;
    }

    std::optional<TimePoint> acknowledgedAt; ///< Of the shutdown.

private:
    void sendRequests(Duration length)
    {
        const auto hosts = static_cast<int>(this->simulation.hosts.size());
        const TimePoint from = this->simulation.now() + 1s;
        for (TimePoint at = from; at < from + length; at += 4ms) {
            CallerRequest request;
            request.path = "/s";
            request.byRoute = true;
            request.timeLimit = 2s;
            const int host = std::uniform_int_distribution<>(0, hosts - 1)(this->random);
            this->simulation.send(host, request, at);
        }
    }

    /** @return Whether the effect is lost. */
    bool observe(const HostEffect &effect)
    {
        const auto *answer = std::get_if<AnswerOperator>(&effect);
        // Host 0 sends no other operator's request than the shutdown.
        if (answer != nullptr && this->asked && !this->acknowledgedAt
            && answer->answer.error == Errc::Ok) {
            this->acknowledgedAt = this->simulation.now();
            this->restartLeader();
        }
        return std::holds_alternative<SendControl>(effect)
            && static_cast<int>(this->random() % 100) < this->lossPercent;
    }

    void restartLeader()
    {
        if (this->disturbance.leaderRestartsAfter >= Duration::zero())
            this->simulation.restartControl(this->disturbance.leaderRestartsAfter);
    }

    DecisionSimulation simulation;
    Disturbance disturbance;
    std::mt19937 random;
    int lossPercent = 0;
    bool asked = false;
};

void expectDrained(int hosts, const char *name, Disturbance disturbance)
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        ShutdownWorld world(hosts, seed, disturbance);
        world.shutDown();
        cr_assert(world.acknowledgedAt, "%d hosts, %s, seed %u: no acknowledgement", hosts, name,
                  seed);
        cr_expect_eq(world.countLate(), 0, "%d hosts, %s, seed %u: %td late", hosts, name, seed,
                     world.countLate());
        cr_expect_gt(world.countElsewhere(), 0, "%d hosts, %s, seed %u: nothing is served", hosts,
                     name, seed);
    }
}

} // namespace

// Guards against requests to a target whose shutdown was acknowledged more than the drain time
// before, whatever happens between the acknowledgement and the hosts.
Test(target_shutdown, no_host_sends_requests_after_the_drain_time)
{
    for (const int hosts : {9, 66, 195}) {
        expectDrained(hosts, "calm", {});
        expectDrained(hosts, "lost messages", {.lossPercent = 30});
        expectDrained(hosts, "leader restarts", {.leaderRestartsAfter = 50ms});
        expectDrained(hosts, "leader is away", {.leaderRestartsAfter = 1s});
        expectDrained(hosts, "leader is busy", {.timePerMessage = 2ms});
        expectDrained(hosts, "busy leader restarts",
                      {.leaderRestartsAfter = 50ms, .lossPercent = 20, .timePerMessage = 1ms});
        expectDrained(hosts, "incarnation unnamed", {.leaderRestartsAfter = 50ms, .unnamed = true});
        expectDrained(hosts, "shared copies", {.changesConfig = true});
    }
}

// Guards against a shutdown that says no incarnation and is taken for a later one's too, or for
// none, by a time of day that has jumped.
Test(target_shutdown, unnamed_incarnation_is_the_one_that_is_known)
{
    for (const bool known : {true, false}) {
        DecisionSimulation simulation(1, makeFolder(1), 1);
        SimulatedTarget target;
        target.announcement.id = LEAVING;
        target.announcement.service = "s";
        target.announcement.start = Incarnation(7);
        if (known)
            simulation.addTarget(target);
        simulation.runUntil(simulation.now() + WARM_UP);
        simulation.sendOperatorRequest(0, RecordTargetShutdown{LEAVING, Incarnation()});
        simulation.runUntil(simulation.now() + 1s);
        const Incarnation recorded = simulation.control.cluster.view.targets.at(LEAVING).shutDown;
        cr_expect_eq(recorded == Incarnation(7), known);
        cr_expect_geq(recorded.value, 7);
    }
}

// Guards against a target that stays unused after it has restarted under its id.
Test(target_shutdown, next_incarnation_gets_requests)
{
    ClusterView view;
    TargetPolicy policy;
    policy.id = LEAVING;
    policy.shutDown = Incarnation(5);
    view.targets[LEAVING] = policy;
    TargetAnnouncement announcement;
    announcement.id = LEAVING;
    for (const std::uint64_t start : {1, 5, 6}) {
        announcement.start = Incarnation(start);
        cr_expect_eq(acceptsWork(view, announcement), start > 5);
    }
}

// Guards against a shutdown that is forgotten with the next configuration, or kept for good.
Test(target_shutdown, is_kept_through_configurations_until_it_expires)
{
    Cluster cluster;
    const auto run = [&](Duration clock, CommandBody body) {
        cr_assert(apply(cluster, {clock, std::move(body)}).error == Errc::Ok);
    };
    FolderConfig config = makeFolder(1);
    TargetPolicy configured;
    configured.id = TargetId("configured");
    configured.checksFencing = true;
    config.targets[configured.id] = configured;
    run(1s, ReplaceConfig{Version(1), "1", config});
    run(2s, RecordTargetShutdown{LEAVING, Incarnation(3)});
    run(2s, RecordTargetShutdown{configured.id, Incarnation(3)});
    run(3s, ReplaceConfig{Version(2), "2", makeFolder(1)});
    for (const TargetId &id : {LEAVING, configured.id})
        cr_expect_eq(cluster.view.targets.at(id).shutDown, Incarnation(3));
    const Version before = cluster.version;
    run(4s, RecordTargetShutdown{LEAVING, Incarnation(3)});
    cr_expect_eq(cluster.version, before, "a repeated shutdown changed the table");
    run(3s + TARGET_SHUTDOWN_RETENTION, RemoveExpired{});
    cr_expect(cluster.view.targets.empty());
}
