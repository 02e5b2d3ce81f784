/** @file target_statement_test.cpp Targets that state that they leave, or that they want no
 * requests of a host for a time. */
#include "replay/decision_simulation_base.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 9;
constexpr Duration WARM_UP = 3s; ///< Time until all hosts have the configuration.
/** Time until a statement is in force at all hosts; a host reports at least once a second. */
constexpr Duration SPREAD_TIME = 1500ms;
/** From then on, a host must keep to a quiet period. */
constexpr Duration QUIET_BINDS_AFTER = 500ms;
constexpr std::size_t MAX_QUIET_ARRIVALS = 2; ///< From one host in a quiet period.
constexpr double REQUESTS_PER_SECOND = 40;

FolderConfig makeFolder()
{
    FolderConfig folder;
    Account account;
    account.id = AccountId("a");
    account.limitsRequests = account.limitsTokens = false;
    folder.accounts[account.id] = account;
    for (const char *service : {"s", "other"}) {
        Route route;
        route.id = RouteId(service);
        route.path = std::string("/") + service;
        route.service = service;
        folder.routes[route.id] = route;
        ServicePolicy policy;
        policy.ramps = true;
        folder.services[service] = policy;
    }
    return folder;
}

SimulatedTarget makeTarget(const std::string &name)
{
    SimulatedTarget target;
    target.announcement.id = TargetId(name);
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.zone = ZoneId("z0");
    target.announcement.start = Incarnation(1);
    target.announcement.maxConcurrent = 32;
    target.serviceTime = 20ms;
    return target;
}

/** Hosts before two targets, "t" and "u", of one service. */
struct StatementSite
{
    explicit StatementSite(unsigned seed)
        : simulation(HOSTS, makeFolder(), seed)
        , random(seed)
    {
        this->simulation.addTarget(makeTarget("t"));
        this->simulation.addTarget(makeTarget("u"));
        this->simulation.runUntil(this->simulation.now() + WARM_UP);
    }

    SimulatedTarget &target() { return this->simulation.targets.at(TargetId("t")); }

    void send(Duration duration)
    {
        std::exponential_distribution<> gap(REQUESTS_PER_SECOND);
        const TimePoint from = this->simulation.now();
        for (TimePoint at = from; at < from + duration; at += fromSeconds(gap(this->random))) {
            CallerRequest request;
            request.key = DecisionSimulation::keyOf(AccountId("a"));
            request.path = "/s";
            request.byRoute = true;
            request.timeLimit = 3s;
            const int host = std::uniform_int_distribution<>(0, HOSTS - 1)(this->random);
            this->simulation.send(host, request, at);
        }
    }

    void run(Duration duration) { this->simulation.runUntil(this->simulation.now() + duration); }

    /** @return Arrivals at the target from @p host, or from all hosts if negative, since @p from.
     */
    std::size_t arrivalsSince(TimePoint from, int host = -1)
    {
        const auto &arrivals = this->target().arrivals;
        return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [&](const SimulatedArrival &item) {
                return item.at >= from && (host < 0 || item.host == host);
            }));
    }

    DecisionSimulation simulation;
    std::mt19937_64 random;
};

TargetStatement makeLeaving(const StartAttempt &)
{
    TargetStatement statement;
    statement.leaving = true;
    return statement;
}

} // namespace

// Guards against requests to a target that has said in its answers that it leaves, from the host
// that was told and from the others, while its heartbeats go on.
Test(target_statement, a_target_that_states_that_it_leaves_gets_no_requests)
{
    StatementSite site(1);
    site.send(20s);
    site.run(2s);
    site.target().statement = &makeLeaving;
    std::optional<TimePoint> told;
    site.target().statement = [&](const StartAttempt &attempt) {
        if (!told)
            told = site.simulation.now();
        return makeLeaving(attempt);
    };
    site.run(8s);
    cr_assert(told);
    cr_expect_eq(site.arrivalsSince(*told + SPREAD_TIME), 0u);
    std::map<int, TimePoint> toldHosts;
    for (const SimulatedArrival &arrival : site.target().arrivals) {
        if (arrival.at < *told)
            continue;
        const auto [it, first] = toldHosts.try_emplace(arrival.host, arrival.at);
        const bool wasTold = !first && arrival.at > it->second + 2 * site.target().headDelay;
        cr_expect_not(wasTold, "host %d sends to the leaving target", arrival.host);
    }
    site.simulation.restartControl(300ms);
    site.run(6s);
    cr_expect_eq(site.arrivalsSince(*told + SPREAD_TIME), 0u, "after a change of the leader");
}

// Guards against a statement that outlives its incarnation of the target.
Test(target_statement, the_next_incarnation_of_a_leaving_target_is_used)
{
    StatementSite site(2);
    site.send(20s);
    site.run(2s);
    site.target().statement = &makeLeaving;
    site.run(4s);
    site.target().statement = nullptr;
    site.target().announcement.start = Incarnation(2);
    site.run(2s);
    cr_expect_gt(site.arrivalsSince(site.simulation.now() - 1s), 5u);
}

// Guards against requests of a host to a target that has turned one of its requests away and named
// a time for which it wants none, and against ejecting or slowing that target.
Test(target_statement, a_target_that_asks_for_quiet_gets_no_requests_of_that_host)
{
    constexpr Duration QUIET_PERIOD = 3s;
    StatementSite site(3);
    site.target().serviceTime = 5ms;
    site.send(20s);
    site.run(2s);
    const int limitBefore = site.simulation.hosts[0].host.targets.at(TargetId("t")).limit;
    std::map<int, TimePoint> askedAt;
    site.target().statement = [&](const StartAttempt &) {
        TargetStatement statement;
        const int host = site.target().arrivals.back().host;
        if (askedAt.contains(host))
            return statement;
        askedAt[host] = site.simulation.now();
        statement.quietFor = QUIET_PERIOD;
        return statement;
    };
    std::map<int, bool> refused;
    site.target().answer = [&](const StartAttempt &attempt) {
        AttemptEnded ended;
        ended.attempt = attempt.attempt;
        const bool refuses = !std::exchange(refused[site.target().arrivals.back().host], true);
        ended.result = refuses ? AttemptResult::Refused : AttemptResult::Answered;
        ended.status = refuses ? 503 : 200;
        return ended;
    };
    site.run(8s);
    cr_assert_eq(askedAt.size(), static_cast<std::size_t>(HOSTS));
    for (const auto &[host, at] : askedAt) {
        std::size_t during = 0;
        std::size_t after = 0;
        for (const SimulatedArrival &arrival : site.target().arrivals) {
            during += arrival.host == host && arrival.at > at + QUIET_BINDS_AFTER
                    && arrival.at < at + QUIET_PERIOD
                ? 1
                : 0;
            after += arrival.host == host && arrival.at >= at + QUIET_PERIOD ? 1 : 0;
        }
        cr_expect_leq(during, MAX_QUIET_ARRIVALS, "host %d: %zu arrivals", host, during);
        cr_expect_gt(after, 0u, "host %d does not come back", host);
        const KnownTarget &known
            = site.simulation.hosts[static_cast<std::size_t>(host)].host.targets.at(TargetId("t"));
        cr_expect_eq(known.health.failuresInRow, 0);
        cr_expect_eq(known.overloaded, 0);
        cr_expect_geq(known.limit, limitBefore);
    }
}

// Guards against requests that wait until their time limit for a target which has said that it
// takes none of this host until later.
Test(target_statement, a_request_that_only_quiet_targets_could_serve_is_refused_at_once)
{
    constexpr Duration QUIET_PERIOD = 10s;
    StatementSite site(4);
    site.simulation.targets.at(TargetId("u")).down = true;
    site.run(5s);
    site.target().serviceTime = 5ms;
    site.target().statement = [&](const StartAttempt &) {
        TargetStatement statement;
        statement.quietFor = QUIET_PERIOD;
        return statement;
    };
    site.target().answer = [](const StartAttempt &attempt) {
        AttemptEnded ended;
        ended.attempt = attempt.attempt;
        ended.result = AttemptResult::Refused;
        ended.status = 503;
        return ended;
    };
    CallerRequest request;
    request.key = DecisionSimulation::keyOf(AccountId("a"));
    request.path = "/s";
    request.byRoute = true;
    request.timeLimit = 3s;
    const TimePoint at = site.simulation.now();
    const RequestId first = site.simulation.send(0, request, at);
    const RequestId second = site.simulation.send(0, request, at + 1s);
    site.run(5s);
    for (const auto &[id, sent] : {std::pair(first, at), std::pair(second, at + 1s)}) {
        const auto outcome = site.simulation.outcomes.find({0, id});
        cr_assert(outcome != site.simulation.outcomes.end());
        cr_expect_not(outcome->second.answered);
        cr_expect_eq(outcome->second.refusal.execution, Execution::NotRun);
        cr_expect_leq((outcome->second.at - sent).count(), Duration(200ms).count());
        cr_assert(outcome->second.refusal.retryAfter.has_value());
        const TimePoint comesAt = outcome->second.at + *outcome->second.refusal.retryAfter;
        cr_expect_geq(comesAt.time_since_epoch().count(),
                      (at + QUIET_PERIOD).time_since_epoch().count());
    }
}
