/** @file leader_load.cpp Measures the load that many hosts put on the leader. */
#include "bench/leader_load_base.h"

#include "net/link_wire_func.h"
#include "replay/decision_simulation_base.h"

#include <chrono>
#include <cmath>
#include <random>

namespace bilberry {

namespace {

constexpr int ENGINES = 90;
constexpr int MODELS = 480;
constexpr int MODELS_PER_ENGINE = 3;
constexpr int ACCOUNTS = 16;
constexpr std::int64_t MODEL_MB = 70'000;
constexpr double REQUESTS_PER_SECOND = 240;
constexpr Duration WARM_UP = 6s;
constexpr int MEASURED_SECONDS = 5;

std::string modelName(int number)
{
    return "m" + std::to_string(number);
}

FolderConfig makeFolder()
{
    FolderConfig folder;
    for (int i = 0; i < ACCOUNTS; ++i) {
        Account account;
        account.id = AccountId("a" + std::to_string(i));
        folder.accounts[account.id] = account;
    }
    for (int i = 0; i < MODELS; ++i) {
        Model model;
        model.id = ModelId(modelName(i));
        model.memoryMb = MODEL_MB;
        model.version = Version(1);
        folder.models[model.id] = model;
    }
    return folder;
}

SimulatedTarget makeEngine(int number)
{
    SimulatedTarget target;
    target.announcement.id = TargetId("engine-" + std::to_string(number));
    target.announcement.zone = ZoneId("z" + std::to_string(number % 5));
    target.announcement.memoryMb = (MODELS_PER_ENGINE + 1) * MODEL_MB - 1;
    target.announcement.maxConcurrent = 24;
    target.announcement.start = Incarnation(1);
    for (int i = 0; i < MODELS_PER_ENGINE; ++i) {
        const ModelId model(modelName((number * MODELS_PER_ENGINE + i) % MODELS));
        target.announcement.loaded.push_back({{model, {}}, Version(1), MODEL_MB});
        target.announcement.cached.push_back({model, CacheTier::Disk});
    }
    target.serviceTime = 600ms;
    return target;
}

void scheduleRequests(DecisionSimulation &simulation, int hosts, unsigned seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(REQUESTS_PER_SECOND);
    std::exponential_distribution<double> rank(1.0 / 40);
    const TimePoint until = simulation.now() + WARM_UP + fromSeconds(MEASURED_SECONDS);
    for (TimePoint at = simulation.now() + 1s; at < until; at += fromSeconds(gap(random))) {
        const int model = static_cast<int>(rank(random)) % (ENGINES * MODELS_PER_ENGINE);
        CallerRequest request;
        request.key
            = DecisionSimulation::keyOf(AccountId("a" + std::to_string(random() % ACCOUNTS)));
        request.variant = {ModelId(modelName(model)), {}};
        request.path = "/v1/generate";
        request.body = digestOf({std::to_string(random())});
        request.timeLimit = 10s;
        simulation.send(static_cast<int>(random() % static_cast<unsigned>(hosts)), request, at);
    }
}

} // namespace

nlohmann::json measureLeaderLoad(int hosts, unsigned seed)
{
    DecisionSimulation simulation(hosts, makeFolder(), seed);
    for (int i = 0; i < ENGINES; ++i)
        simulation.addTarget(makeEngine(i));
    std::chrono::steady_clock::duration controlTime{};
    std::chrono::steady_clock::time_point stepStart;
    simulation.onControlStep = [&](bool begins) {
        if (begins)
            stepStart = std::chrono::steady_clock::now();
        else
            controlTime += std::chrono::steady_clock::now() - stepStart;
    };
    std::uint64_t reports = 0;
    std::uint64_t reportBytes = 0;
    simulation.dropEffect = [&](const HostEffect &effect) {
        const auto *message = std::get_if<SendControl>(&effect);
        if (message == nullptr || !std::holds_alternative<HostReport>(message->message))
            return false;
        ++reports;
        reportBytes += packReport(std::get<HostReport>(message->message)).size();
        return false;
    };
    scheduleRequests(simulation, hosts, seed);
    simulation.runUntil(simulation.now() + WARM_UP);
    controlTime = {};
    reports = reportBytes = 0;
    simulation.runUntil(simulation.now() + fromSeconds(MEASURED_SECONDS));
    std::size_t answered = 0;
    for (const auto &[id, answer] : simulation.outcomes)
        answered += answer.answered ? 1 : 0;
    const double seconds = std::chrono::duration<double>(controlTime).count();
    return {{"hosts", hosts},
            {"answered", answered},
            {"ended", simulation.outcomes.size()},
            {"reportsPerSecond", static_cast<double>(reports) / MEASURED_SECONDS},
            {"bytesPerReport", static_cast<double>(reportBytes) / static_cast<double>(reports)},
            {"leaderDecisionCores", seconds / MEASURED_SECONDS}};
}

} // namespace bilberry
