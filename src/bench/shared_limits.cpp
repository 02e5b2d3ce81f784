/** @file shared_limits.cpp Compares fairness and rate limits over all hosts with baselines. */
#include "bench/shared_limits_base.h"

#include "replay/decision_simulation_base.h"

#include <algorithm>
#include <random>

namespace bilberry {

namespace {

constexpr int HOSTS = 6;
constexpr Duration SERVICE_TIME = 50ms;
constexpr int MAX_CONCURRENT = 8;
constexpr Duration TIME_LIMIT = 2s;
constexpr Duration WARM_UP = 6s;
constexpr int MEASURED_SECONDS = 10;

/** Arrival of one request. */
struct Arrival
{
    Duration at{}; ///< Time after the start of the measurement.
    std::string account;
};

FolderConfig makeFolder(const std::vector<std::pair<std::string, double>> &rates)
{
    FolderConfig folder;
    for (const auto &[name, rate] : rates) {
        Account account;
        account.id = AccountId(name);
        account.requestsPerSecond = account.requestBurst = rate;
        folder.accounts[account.id] = account;
    }
    Route route;
    route.id = RouteId("s");
    route.path = "/s";
    route.service = "s";
    route.repeatable = true;
    folder.routes[route.id] = route;
    return folder;
}

SimulatedTarget makeTarget(int concurrent, Duration serviceTime)
{
    SimulatedTarget target;
    target.announcement.id = TargetId("t");
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.zone = ZoneId("z0");
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
    request.timeLimit = TIME_LIMIT;
    return request;
}

std::vector<Arrival> makeArrivals(const std::vector<std::pair<std::string, double>> &rates,
                                  unsigned seed)
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    for (const auto &[account, perSecond] : rates) {
        std::exponential_distribution<double> gap(perSecond);
        for (double at = gap(random); at < MEASURED_SECONDS; at += gap(random))
            arrivals.push_back({fromSeconds(at), account});
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    return arrivals;
}

/** @return Share of served requests by account; each request goes to a random host. */
std::map<std::string, double> simulate(const FolderConfig &folder, const SimulatedTarget &target,
                                       const std::vector<Arrival> &arrivals, unsigned seed)
{
    DecisionSimulation simulation(HOSTS, folder, seed);
    simulation.addTarget(target);
    simulation.runUntil(TimePoint(WARM_UP));
    std::mt19937_64 random(seed);
    std::vector<std::pair<std::string, std::pair<int, RequestId>>> sent;
    for (const Arrival &arrival : arrivals) {
        const int host = static_cast<int>(random() % HOSTS);
        const RequestId id
            = simulation.send(host, makeRequest(arrival.account), simulation.now() + arrival.at);
        sent.emplace_back(arrival.account, std::make_pair(host, id));
    }
    simulation.runUntil(simulation.now() + std::chrono::seconds(MEASURED_SECONDS) + 2 * TIME_LIMIT);
    std::map<std::string, double> served;
    std::map<std::string, double> all;
    for (const auto &[account, key] : sent) {
        ++all[account];
        const auto answer = simulation.outcomes.find(key);
        served[account] += answer != simulation.outcomes.end() && answer->second.answered ? 1 : 0;
    }
    for (auto &[account, count] : served)
        count /= all[account];
    return served;
}

/** Baseline: a central first-come-first-served queue that drops requests at their time limit. */
std::map<std::string, double> serveFirstComeFirstServed(const std::vector<Arrival> &arrivals)
{
    std::vector<Duration> freeAt(MAX_CONCURRENT);
    std::map<std::string, double> served;
    std::map<std::string, double> all;
    for (const Arrival &arrival : arrivals) {
        ++all[arrival.account];
        const auto slot = std::min_element(freeAt.begin(), freeAt.end());
        const Duration begin = std::max(*slot, arrival.at);
        served[arrival.account] += 0;
        if (begin + SERVICE_TIME > arrival.at + TIME_LIMIT)
            continue;
        *slot = begin + SERVICE_TIME;
        ++served[arrival.account];
    }
    for (auto &[account, count] : served)
        count /= all[account];
    return served;
}

double minimumShare(const std::map<std::string, double> &shares)
{
    double share = 1;
    for (const auto &[account, value] : shares)
        share = std::min(share, value);
    return share;
}

} // namespace

nlohmann::json measureFairness(unsigned seed)
{
    // The capacity of the target is 160 requests/s; four accounts stay below their fair share of
    // it.
    const std::vector<std::pair<std::string, double>> offered{
        {"flood", 480}, {"a", 20}, {"b", 20}, {"c", 20}, {"d", 20}};
    std::vector<std::pair<std::string, double>> limits;
    limits.reserve(offered.size());
    for (const auto &[account, perSecond] : offered)
        limits.emplace_back(account, 10'000);
    const std::vector<Arrival> arrivals = makeArrivals(offered, seed);
    std::map<std::string, double> fair
        = simulate(makeFolder(limits), makeTarget(MAX_CONCURRENT, SERVICE_TIME), arrivals, seed);
    std::map<std::string, double> naive = serveFirstComeFirstServed(arrivals);
    fair.erase("flood");
    naive.erase("flood");
    return {{"seed", seed},
            {"worstShare", minimumShare(fair)},
            {"worstShareNaive", minimumShare(naive)}};
}

nlohmann::json measureRates(unsigned seed)
{
    constexpr double RATE = 100;
    const std::vector<Arrival> arrivals = makeArrivals({{"a", RATE * 1.1}}, seed);
    const auto served = simulate(makeFolder({{"a", RATE}}), makeTarget(64, 2ms), arrivals, seed);
    double level = RATE;
    Duration last{};
    double refused = 0;
    for (const Arrival &arrival : arrivals) {
        level = std::min(RATE, level + RATE * toSeconds(arrival.at - last));
        last = arrival.at;
        refused += level < 1 ? 1 : 0;
        level -= level < 1 ? 0 : 1;
    }
    const auto count = static_cast<double>(arrivals.size());
    return {{"seed", seed},
            {"refused", count * (1 - served.at("a"))},
            {"refusedByOneBucket", refused},
            {"sent", count}};
}

} // namespace bilberry
