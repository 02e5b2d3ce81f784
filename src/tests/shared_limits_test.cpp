/** @file shared_limits_test.cpp Checks limits, fairness and leases over all hosts together. */
#include "replay/decision_simulation_base.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

Account makeAccount(const std::string &name, double rate, double burst, double weight = 1)
{
    Account account;
    account.id = AccountId(name);
    account.requestsPerSecond = rate;
    account.requestBurst = burst;
    account.weight = weight;
    return account;
}

FolderConfig serviceFolder(const std::vector<Account> &accounts)
{
    FolderConfig folder;
    for (const Account &account : accounts)
        folder.accounts[account.id] = account;
    Route route;
    route.id = RouteId("s");
    route.path = "/s";
    route.service = "s";
    route.repeatable = true;
    folder.routes[route.id] = route;
    return folder;
}

SimulatedTarget makeService(const std::string &id, const std::string &zone, int concurrent,
                            Duration serviceTime)
{
    SimulatedTarget target;
    target.announcement.id = TargetId(id);
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.zone = ZoneId(zone);
    target.announcement.start = Incarnation(1);
    target.announcement.maxConcurrent = concurrent;
    target.serviceTime = serviceTime;
    return target;
}

CallerRequest makeRequest(const std::string &account)
{
    CallerRequest request;
    request.key = DecisionSimulation::keyOf(AccountId(account));
    request.path = "/s";
    request.body = digestOf({account});
    request.timeLimit = 2s;
    return request;
}

/** Reference: a central token bucket. */
struct CentralBucket
{
    double rate;
    double level;
    double bound;
    TimePoint last;

    bool take(TimePoint now)
    {
        this->level = std::min(this->bound, this->level + this->rate * toSeconds(now - this->last));
        this->last = now;
        if (this->level < 1)
            return false;
        this->level -= 1;
        return true;
    }
};

/** Distribution of the load over hosts and time. */
enum class Pattern {
    Skewed, ///< About 90 % of the requests go to one host.
    Bursty, ///< The requests of every 2 s arrive within 0.5 s.
    Moving, ///< All requests go to a single host, which changes every second.
};

} // namespace

Test(shared_rate, few_excess_refusals_and_never_above_the_rate)
{
    constexpr double RATE = 100;
    constexpr double BURST = 100;
    constexpr int SECONDS = 20;
    for (const Pattern pattern : {Pattern::Skewed, Pattern::Bursty, Pattern::Moving}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            DecisionSimulation simulation(8, serviceFolder({makeAccount("a", RATE, BURST)}), seed);
            for (int i = 0; i < 3; ++i)
                simulation.addTarget(
                    makeService("t" + std::to_string(i), "z" + std::to_string(i), 64, 2ms));
            simulation.runUntil(TimePoint(6s));
            std::mt19937 random(seed);
            CentralBucket bucket{RATE, BURST, BURST, simulation.now()};
            std::vector<std::pair<int, RequestId>> sent;
            int centralServed = 0;
            const double perSecond = RATE * 1.2;
            std::exponential_distribution<double> gap(perSecond);
            const TimePoint begin = simulation.now();
            for (double at = 0; at < SECONDS; at += gap(random)) {
                int host = static_cast<int>(random() % 8);
                double when = at;
                if (pattern == Pattern::Skewed && random() % 10 > 0)
                    host = 0;
                if (pattern == Pattern::Moving)
                    host = static_cast<int>(at) % 8;
                if (pattern == Pattern::Bursty)
                    when = static_cast<int>(at / 2) * 2.0
                        + (at - static_cast<int>(at / 2) * 2.0) / 4;
                const TimePoint due = begin + fromSeconds(when);
                centralServed += bucket.take(due) ? 1 : 0;
                sent.emplace_back(host, simulation.send(host, makeRequest("a"), due));
            }
            simulation.runUntil(begin + fromSeconds(SECONDS + 4));
            int served = 0;
            for (const auto &key : sent) {
                cr_assert(simulation.outcomes.contains(key), "a request got no answer");
                served += simulation.outcomes.at(key).answered ? 1 : 0;
            }
            cr_assert_leq(served, BURST + RATE * (SECONDS + 2.5), "pattern %d exceeded the rate",
                          static_cast<int>(pattern));
            const double refused = static_cast<double>(sent.size()) - served;
            const double centralRefused = static_cast<double>(sent.size()) - centralServed;
            cr_assert_leq(refused, 1.05 * centralRefused + 1, "pattern %d seed %u: %f, central %f",
                          static_cast<int>(pattern), seed, refused, centralRefused);
        }
    }
}

Test(shared_rate, account_over_its_rate_causes_few_reports)
{
    constexpr int SECONDS = 5;
    DecisionSimulation simulation(2, serviceFolder({makeAccount("a", 10, 10)}), 1);
    simulation.addTarget(makeService("t", "z0", 64, 2ms));
    simulation.runUntil(TimePoint(6s));
    for (int i = 0; i < 150 * SECONDS; ++i)
        simulation.send(0, makeRequest("a"), simulation.now() + Duration(i * 6'667));
    const std::uint64_t before = simulation.hosts[0].host.counters.reports;
    simulation.runUntil(simulation.now() + std::chrono::seconds(SECONDS));
    const std::uint64_t reports = simulation.hosts[0].host.counters.reports - before;
    // The host may send a report every 40 ms and a report every 250 ms, and a few more while the
    // report interval still grows.
    cr_assert_leq(reports, 40 * SECONDS, "%lu reports in %d s", reports, SECONDS);
}

Test(shared_slots, target_never_exceeds_its_ramp_over_all_hosts)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        DecisionSimulation simulation(6, serviceFolder({makeAccount("a", 10'000, 10'000)}), seed);
        simulation.addTarget(makeService("t", "z0", 8, 20ms));
        simulation.runUntil(TimePoint(6s));
        std::mt19937 random(seed);
        for (int i = 0; i < 3'000; ++i)
            simulation.send(static_cast<int>(random() % 6), makeRequest("a"),
                            simulation.now() + Duration(i * 1'000));
        simulation.afterEvent = [&simulation]() {
            const SimulatedTarget &target = simulation.targets.at(TargetId("t"));
            cr_assert_leq(target.running, 8);
            const auto &slots = simulation.control.leadership->slots;
            const auto known = slots.find(TargetId("t"));
            if (known != slots.end())
                cr_assert_leq(target.running,
                              std::max(known->second.ramp.limit, RAMP_INITIAL_LIMIT) + 0);
        };
        simulation.runUntil(simulation.now() + 6s);
        cr_assert_geq(simulation.targets.at(TargetId("t")).maxRunning, 8,
                      "the slot ramp must reach the limit of the target");
    }
}

Test(fairness, flood_does_not_reduce_fair_share_of_others)
{
    DecisionSimulation simulation(
        4,
        serviceFolder({makeAccount("flood", 10'000, 10'000), makeAccount("small", 10'000, 10'000)}),
        1);
    simulation.addTarget(makeService("t", "z0", 8, 50ms));
    simulation.runUntil(TimePoint(6s));
    std::vector<std::pair<int, RequestId>> small;
    // The capacity of the target is 160 requests/s; the flood sends four times as many over all
    // hosts.
    for (int i = 0; i < 640 * 6; ++i)
        simulation.send(i % 4, makeRequest("flood"), simulation.now() + Duration(i * 1'562));
    for (int i = 0; i < 40 * 6; ++i)
        small.emplace_back(
            i % 4,
            simulation.send(i % 4, makeRequest("small"), simulation.now() + Duration(i * 25'000)));
    simulation.runUntil(simulation.now() + 10s);
    int served = 0;
    for (const auto &key : small)
        served += simulation.outcomes.at(key).answered ? 1 : 0;
    // The demand of "small" is below its fair share, one half, so all of it should be served.
    cr_assert_geq(served, static_cast<int>(small.size() * 98 / 100), "%d of %zu", served,
                  small.size());
}

Test(fairness, hosts_entitled_to_less_than_one_slot_are_served)
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        DecisionSimulation simulation(6,
                                      serviceFolder({makeAccount("flood", 10'000, 10'000),
                                                     makeAccount("small", 10'000, 10'000)}),
                                      seed);
        simulation.addTarget(makeService("t", "z0", 8, 50ms));
        simulation.runUntil(TimePoint(6s));
        std::mt19937 random(seed);
        std::vector<std::pair<int, RequestId>> small;
        std::vector<std::pair<int, RequestId>> flood;
        const auto sendTo = [&](const char *account, Duration after) {
            const int host = static_cast<int>(random() % 6);
            return std::make_pair(
                host, simulation.send(host, makeRequest(account), simulation.now() + after));
        };
        for (int i = 0; i < 480 * 8; ++i)
            flood.push_back(sendTo("flood", Duration(i * 2'083)));
        for (int i = 0; i < 20 * 8; ++i)
            small.push_back(sendTo("small", Duration(i * 50'000)));
        simulation.runUntil(simulation.now() + 12s);
        const auto served = [&](const auto &keys) {
            return std::count_if(keys.begin(), keys.end(), [&](const auto &key) {
                return simulation.outcomes.at(key).answered;
            });
        };
        cr_assert_geq(served(small), static_cast<std::ptrdiff_t>(small.size() * 98 / 100),
                      "seed %u: %ld of %zu", seed, served(small), small.size());
        // At least 90 % of the capacity of the target must still be used.
        cr_assert_geq(served(small) + served(flood), 160 * 8 * 9 / 10, "seed %u: %ld", seed,
                      served(flood));
    }
}

Test(freshness, partitioned_host_refuses_once_its_lease_expires)
{
    DecisionSimulation simulation(3, serviceFolder({makeAccount("a", 1'000, 1'000)}), 1);
    simulation.addTarget(makeService("t", "z0", 8, 5ms));
    simulation.runUntil(TimePoint(6s));
    simulation.hosts[1].partitioned = true;
    const TimePoint partitionedAt = simulation.now();
    simulation.sendOperatorRequest(0, WithdrawKey{"w", KeyId("k-a")});
    std::vector<std::pair<TimePoint, std::pair<int, RequestId>>> sent;
    for (int i = 0; i < 400; ++i) {
        const TimePoint at = partitionedAt + Duration(i * 10'000);
        sent.emplace_back(at, std::make_pair(1, simulation.send(1, makeRequest("a"), at)));
    }
    simulation.runUntil(partitionedAt + 8s);
    for (const auto &[at, key] : sent) {
        const SimulatedOutcome &answer = simulation.outcomes.at(key);
        if (at > partitionedAt + FRESHNESS_LEASE)
            cr_assert(!answer.answered, "served %ld us after the partition",
                      (at - partitionedAt).count());
        if (!answer.answered)
            cr_assert(answer.refusal.execution == Execution::NotRun);
    }
    // After it reconnects, the host must know that the key was withdrawn.
    simulation.hosts[1].partitioned = false;
    simulation.runUntil(simulation.now() + 2s);
    const RequestId late = simulation.send(1, makeRequest("a"), simulation.now() + 1ms);
    simulation.runUntil(simulation.now() + 1s);
    cr_assert(simulation.outcomes.at({1, late}).refusal.code == RefusalCode::KeyUnknown);
}

// Guards against attempts that a host sends after its lease or the deadline of the request has
// expired. An attempt must also not be sent 2 s or more after its decision: if the target has begun
// to leave since then, it must get no new work.
Test(freshness, attempt_is_sent_only_within_lease_and_deadline)
{
    DecisionSimulation simulation(1, serviceFolder({makeAccount("a", 1'000, 1'000)}), 1);
    SimulatedTarget target = makeService("t", "z0", 8, 5ms);
    int attempts = 0;
    target.answer = [&](const StartAttempt &attempt) {
        const Host &host = simulation.hosts[0].host;
        const TimePoint deadline = host.requests.at(host.attempts.at(attempt.attempt)).deadline;
        cr_assert_gt((attempt.sendBy - simulation.now()).count(), 0);
        cr_assert_leq((attempt.sendBy - host.freshUntil).count(), 0);
        cr_assert_leq((attempt.sendBy - deadline).count(), 0);
        cr_assert_lt((attempt.sendBy - simulation.now()).count(), Duration(2s).count());
        cr_assert_eq((attempt.deadline - deadline).count(), 0);
        ++attempts;
        AttemptEnded ended;
        ended.attempt = attempt.attempt;
        ended.result = AttemptResult::Answered;
        ended.status = 200;
        return ended;
    };
    simulation.addTarget(target);
    simulation.runUntil(TimePoint(6s));
    for (int i = 0; i < 400; ++i)
        simulation.send(0, makeRequest("a"), simulation.now() + Duration(i * 10'000));
    simulation.runUntil(simulation.now() + 1s);
    simulation.hosts[0].partitioned = true;
    const int before = attempts;
    simulation.runUntil(simulation.now() + 6s);
    cr_assert_gt(before, 0);
    cr_assert_gt(attempts, before, "the host must send while its lease lasts");
}

// Guards against a lost request, or a refusal as may-have-run, if no attempt was sent to a target.
Test(freshness, request_with_unsent_attempts_moves_or_is_refused_as_not_run)
{
    DecisionSimulation simulation(1, serviceFolder({makeAccount("a", 1'000, 1'000)}), 1);
    const auto answerNotSent = [](const StartAttempt &attempt) {
        AttemptEnded ended;
        ended.attempt = attempt.attempt;
        ended.result = AttemptResult::NotSent;
        return ended;
    };
    for (const char *id : {"t0", "t1"})
        simulation.addTarget(makeService(id, "z0", 8, 5ms));
    simulation.targets.at(TargetId("t0")).answer = answerNotSent;
    simulation.runUntil(TimePoint(6s));
    const RequestId moved = simulation.send(0, makeRequest("a"), simulation.now());
    simulation.runUntil(simulation.now() + 3s);
    cr_assert((simulation.outcomes.at({0, moved}).answered));
    simulation.targets.at(TargetId("t1")).answer = answerNotSent;
    const RequestId held = simulation.send(0, makeRequest("a"), simulation.now());
    simulation.runUntil(simulation.now() + 30s);
    const SimulatedOutcome &answer = simulation.outcomes.at({0, held});
    cr_assert(!answer.answered);
    cr_assert(answer.refusal.execution == Execution::NotRun);
}

Test(zones, no_new_requests_to_a_zone_once_its_removal_is_in_force)
{
    DecisionSimulation simulation(4, serviceFolder({makeAccount("a", 10'000, 10'000)}), 1);
    for (int i = 0; i < 3; ++i)
        simulation.addTarget(
            makeService("t" + std::to_string(i), "z" + std::to_string(i), 16, 10ms));
    simulation.runUntil(TimePoint(6s));
    for (int i = 0; i < 4'000; ++i)
        simulation.send(i % 4, makeRequest("a"), simulation.now() + Duration(i * 1'500));
    simulation.runUntil(simulation.now() + 1s);
    simulation.sendOperatorRequest(2, SetZone{"out", {ZoneId("z1"), true}});
    const TimePoint begin = simulation.now();
    while (inForce(simulation.control, simulation.now()) < simulation.control.cluster.version
           || simulation.control.cluster.view.zones.empty())
        simulation.runUntil(simulation.now() + 5ms);
    cr_assert_leq((simulation.now() - begin).count(), Duration(2s).count(), "in force within 2 s");
    simulation.targets.at(TargetId("t1")).answer = [](const StartAttempt &) -> AttemptEnded {
        cr_assert_fail("new work for a zone that is out of service");
        return {};
    };
    simulation.runUntil(simulation.now() + 2s);
    simulation.targets.at(TargetId("t1")).answer = nullptr;
    simulation.targets.at(TargetId("t1")).maxRunning = 0;
    simulation.sendOperatorRequest(0, SetZone{"in", {ZoneId("z1"), false}});
    simulation.runUntil(simulation.now() + 2s);
    cr_assert_gt(simulation.targets.at(TargetId("t1")).maxRunning, 0,
                 "the zone must get requests again");
}
