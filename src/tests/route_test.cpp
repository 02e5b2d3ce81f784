/** @file route_test.cpp Tests routes, configuration replacement, token charging, shutdown and retry
 * hints. */
#include "replay/decision_simulation_base.h"
#include "state/cluster_func.h"
#include "state/view_func.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

Route makeRoute(const std::string &host, const std::string &path, const std::string &service)
{
    Route route;
    route.id = RouteId(host + path);
    route.host = host;
    route.path = path;
    route.service = service;
    route.open = true;
    return route;
}

SimulatedTarget makeTarget(const std::string &id, const std::string &service)
{
    SimulatedTarget target;
    target.announcement.id = TargetId(id);
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = service;
    target.announcement.start = Incarnation(1);
    return target;
}

CallerRequest makeCall(const std::string &host, const std::string &path)
{
    CallerRequest request;
    request.byRoute = true;
    request.virtualHost = host;
    request.path = path;
    request.timeLimit = 2s;
    return request;
}

ReplaceConfig makeReplacement(std::uint64_t number, const std::string &document)
{
    ReplaceConfig command;
    command.number = Version(number);
    command.document = document;
    const Route route = makeRoute("h", "/" + document + "/", "s");
    command.config.routes[route.id] = route;
    return command;
}

} // namespace

Test(routes, longest_matching_prefix_on_the_requested_virtual_host_is_chosen)
{
    FolderConfig folder;
    for (const Route &route : {makeRoute("h", "/a/", "short"), makeRoute("h", "/a/b/", "long"),
                               makeRoute("other", "/a/b/c/", "other")})
        folder.routes[route.id] = route;
    DecisionSimulation simulation(1, folder, 1);
    for (const char *service : {"short", "long", "other"})
        simulation.addTarget(makeTarget(service, service));
    std::map<TargetId, int> seen;
    for (auto &[id, target] : simulation.targets)
        target.answer = [&seen, id = id](const StartAttempt &attempt) {
            ++seen[id];
            AttemptEnded ended;
            ended.attempt = attempt.attempt;
            ended.result = AttemptResult::Answered;
            ended.status = 200;
            return ended;
        };
    simulation.runUntil(TimePoint(5s));
    simulation.send(0, makeCall("h", "/a/b/c/d"), TimePoint(5s));
    simulation.send(0, makeCall("h", "/a/x"), TimePoint(5s));
    const RequestId none = simulation.send(0, makeCall("nobody", "/a/x"), TimePoint(5s));
    simulation.runUntil(TimePoint(8s));
    cr_assert_eq(seen[TargetId("long")], 1);
    cr_assert_eq(seen[TargetId("short")], 1);
    cr_assert_eq(seen[TargetId("other")], 0);
    cr_assert_eq(simulation.outcomes.at({0, none}).refusal.code, RefusalCode::UnknownRoute);
}

Test(routes, config_replacement_with_an_older_or_equal_number_is_acknowledged_but_ignored)
{
    Cluster cluster;
    cr_assert_eq(apply(cluster, {Duration::zero(), makeReplacement(7, "seven")}).error, Errc::Ok);
    const Version version = cluster.version;
    cr_assert_eq(apply(cluster, {Duration::zero(), makeReplacement(5, "five")}).error, Errc::Ok);
    cr_assert_eq(apply(cluster, {Duration::zero(), makeReplacement(7, "other")}).error, Errc::Ok);
    cr_assert_eq(cluster.document, "seven");
    cr_assert(cluster.version == version);
    cr_assert_eq(apply(cluster, {Duration::zero(), makeReplacement(9, "nine")}).error, Errc::Ok);
    cr_assert_eq(cluster.view.routes.size(), 1);
    cr_assert(cluster.view.routes.contains(RouteId("h/nine/")));
}

Test(routes, declared_tokens_are_charged_in_full_across_all_hosts)
{
    FolderConfig folder;
    Route route = makeRoute("h", "/a/", "s");
    route.open = false;
    route.repeatable = true;
    folder.routes[route.id] = route;
    Account account;
    account.id = AccountId("t");
    account.limitsRequests = false;
    account.tokensPerSecond = 1'000;
    account.tokenBurst = 2'000;
    folder.accounts[account.id] = account;
    DecisionSimulation simulation(3, folder, 1);
    std::int64_t ran = 0;
    SimulatedTarget target = makeTarget("s", "s");
    target.announcement.maxConcurrent = 100;
    target.answer = [&](const StartAttempt &attempt) {
        ++ran;
        AttemptEnded ended;
        ended.attempt = attempt.attempt;
        ended.result = AttemptResult::Answered;
        ended.status = 200;
        ended.tokens = 1; // Far fewer than the 200 declared.
        return ended;
    };
    simulation.addTarget(target);
    simulation.runUntil(TimePoint(5s));
    for (int i = 0; i < 300; ++i) {
        CallerRequest call = makeCall("h", "/a/x");
        call.key = DecisionSimulation::keyOf(account.id);
        call.declaredTokens = 200;
        simulation.send(i % 3, call, TimePoint(5s) + i * 20ms);
    }
    simulation.runUntil(TimePoint(11s));
    // 6 s at 1,000 tokens/s plus a burst of 2,000 tokens allow 40 calls of 200 tokens.
    cr_assert_leq(ran, 41);
    cr_assert_geq(ran, 30);
}

Test(routes, target_with_a_high_error_rate_over_all_hosts_gets_less_load)
{
    // Grey failure: the target passes health checks, but half of its responses are errors. The
    // leader detects it from the reports of all hosts.
    FolderConfig folder;
    Route route = makeRoute("h", "/a/", "s");
    folder.routes[route.id] = route;
    DecisionSimulation simulation(6, folder, 1);
    std::map<std::string, int> ran;
    for (const char *id : {"grey", "good", "fine"}) {
        SimulatedTarget target = makeTarget(id, "s");
        target.announcement.maxConcurrent = 100;
        const std::string name = id;
        target.answer = [&ran, name](const StartAttempt &attempt) {
            const bool fails = name == "grey" && ++ran["turn"] % 2 == 0;
            ++ran[name];
            AttemptEnded ended;
            ended.attempt = attempt.attempt;
            ended.result = AttemptResult::Answered;
            ended.status = fails ? 500 : 200;
            return ended;
        };
        simulation.addTarget(target);
    }
    simulation.runUntil(TimePoint(5s));
    const auto sendAll = [&](TimePoint from) {
        for (int i = 0; i < 240; ++i)
            simulation.send(i % 6, makeCall("h", "/a/x"), from + i * 40ms);
    };
    sendAll(simulation.now());
    simulation.runUntil(TimePoint(15s));
    ran["grey"] = 0;
    sendAll(simulation.now());
    simulation.runUntil(TimePoint(25s));
    cr_assert_leq(
        ran["grey"], 24,
        "the failing target gets at most a tenth of the 240 requests of the second round");
}

Test(routes, hosts_restarted_together_with_the_leader_serve_after_target_announcements)
{
    // All hosts and the leader restart at the same time, so that no process knows any target.
    FolderConfig folder;
    const Route route = makeRoute("h", "/a/", "s");
    folder.routes[route.id] = route;
    DecisionSimulation simulation(2, folder, 1);
    simulation.addTarget(makeTarget("s", "s"));
    simulation.runUntil(TimePoint(5s));
    simulation.restartControl(500ms);
    for (int host = 0; host < 2; ++host)
        simulation.restartHost(host);
    simulation.runUntil(TimePoint(7500ms));
    const RequestId id = simulation.send(1, makeCall("h", "/a/x"), TimePoint(7500ms));
    simulation.runUntil(TimePoint(7600ms));
    cr_assert(simulation.outcomes.contains({1, id}),
              "the request still waits although the targets have announced themselves");
    cr_assert(simulation.outcomes.at({1, id}).answered);
}

Test(routes, host_shutting_down_refuses_waiting_requests_after_the_drain_time)
{
    FolderConfig folder;
    const Route route = makeRoute("h", "/a/", "s");
    folder.routes[route.id] = route;
    DecisionSimulation simulation(1, folder, 1);
    simulation.runUntil(TimePoint(5s));
    CallerRequest call = makeCall("h", "/a/x");
    call.timeLimit = 60s;
    const RequestId id = simulation.send(0, call, TimePoint(5s));
    simulation.runUntil(TimePoint(5100ms));
    Host &host = simulation.hosts[0].host;
    host.settings.drain = 1s;
    step(host, ShutdownEvent{}, simulation.now());
    simulation.runUntil(TimePoint(6500ms));
    const SimulatedOutcome &answer = simulation.outcomes.at({0, id});
    cr_assert_eq(answer.refusal.code, RefusalCode::ShuttingDown);
    cr_assert_eq(answer.refusal.execution, Execution::NotRun);
}

Test(routes, request_whose_patience_ends_before_the_model_load_is_refused_at_once_with_retry_after)
{
    // Rarely used model: its load takes longer (6 s) than the route's callers wait (2.4 s).
    FolderConfig folder;
    Route route = makeRoute("h", "/a/", "engines");
    route.patienceMs = 2'400;
    route.timeLimitMs = 15'000;
    folder.routes[route.id] = route;
    ServicePolicy service;
    service.id = "engines";
    service.memoryMb = 100;
    folder.services[service.id] = service;
    Model model;
    model.id = ModelId("m");
    model.service = "engines";
    model.memoryMb = 10;
    model.loadSeconds = 6;
    model.cachedLoadSeconds = 1;
    model.version = Version(0);
    folder.models[model.id] = model;
    DecisionSimulation simulation(1, folder, 1);
    SimulatedTarget engine = makeTarget("e", "engines");
    engine.announcement.kind = TargetKind::Engine;
    engine.announcement.leaving = true; // The engine gets no new load during the test.
    simulation.addTarget(engine);
    simulation.runUntil(TimePoint(5s));
    CallerRequest call = makeCall("h", "/a/x");
    call.variant = Variant{model.id, {}};
    call.timeLimit = 15s;
    const RequestId id = simulation.send(0, call, TimePoint(5s));
    simulation.runUntil(TimePoint(5100ms));
    const SimulatedOutcome &answer = simulation.outcomes.at({0, id});
    cr_assert_eq(answer.refusal.execution, Execution::NotRun);
    cr_assert(answer.at < TimePoint(5050ms));
    cr_assert(answer.refusal.retryAfter && *answer.refusal.retryAfter >= 6s);
}
