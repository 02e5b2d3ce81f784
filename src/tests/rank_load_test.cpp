/** @file rank_load_test.cpp Requests of three ranks with twice as much demand as room. */
#include "replay/decision_simulation_base.h"

#include <algorithm>
#include <array>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int RANKS = 3;
constexpr int ACCOUNTS = 16;
constexpr int TARGETS = 4;
constexpr int SLOTS = 5; ///< Announced by a target.
/** Requests at a target that queues requests itself, for each of its slots. */
constexpr int REQUESTS_PER_SLOT = 3;
constexpr Duration SERVICE_TIME = 200ms;
constexpr double ROOM = TARGETS * SLOTS * REQUESTS_PER_SLOT / 0.2; ///< Requests per second.
constexpr Duration WARM_UP = 3s;
constexpr int SECONDS = 8;
constexpr int HEAVIEST_SECOND = 4;
constexpr double HEAVIEST_FACTOR = 1.5; ///< Demand of the heaviest second to that of the others.
constexpr Duration WITHOUT_LEADER = 500ms;
constexpr Duration TIME_LIMIT = 2500ms;
constexpr std::array<int, RANKS> GOALS_MS{500, 1'000, 2'000};

/** Parts of the ranks in the demand, and whether the configuration names the ranks. */
struct Play
{
    int hosts = 0;
    std::array<double, RANKS> parts{1, 1, 1};
    bool ranksInUse = true;
};

/** What became of the requests of one rank. */
struct RankOutcome
{
    int sent = 0;
    int answered = 0;
    int inGoal = 0; ///< Answered by the objective.

    double share() const { return this->sent > 0 ? 1.0 * this->answered / this->sent : 0; }
    double goalShare() const { return this->sent > 0 ? 1.0 * this->inGoal / this->sent : 0; }
};

/** What became of all requests. */
struct PlayOutcome
{
    std::array<RankOutcome, RANKS> ranks;
    int answered = 0;
    int answeredUnderLoad = 0; ///< While requests were sent.
    int sent = 0;
    int earlyRefusals = 0; ///< More than a second before the deadline.
    int falseReturns = 0; ///< Refusals without a time to come back.

    double mean() const { return 1.0 * this->answered / this->sent; }
};

/** A request that was sent. */
struct SentRequest
{
    TimePoint at;
    int rank = 0;
};

FolderConfig makeFolder(bool ranksInUse)
{
    FolderConfig folder;
    for (int i = 0; i < ACCOUNTS; ++i) {
        Account account;
        account.id = AccountId("a" + std::to_string(i));
        account.limitsRequests = account.limitsTokens = false;
        folder.accounts[account.id] = account;
    }
    for (int rank = 0; rank < RANKS; ++rank) {
        Route route;
        route.id = RouteId("r" + std::to_string(rank));
        route.path = "/r" + std::to_string(rank);
        route.service = "s";
        route.priority = ranksInUse ? rank : 0;
        route.answerGoalMs = GOALS_MS.at(static_cast<std::size_t>(rank));
        folder.routes[route.id] = route;
    }
    ServicePolicy policy;
    policy.ramps = false;
    folder.services["s"] = policy;
    return folder;
}

void addTargets(DecisionSimulation &simulation)
{
    for (int i = 0; i < TARGETS; ++i) {
        SimulatedTarget target;
        target.announcement.id = TargetId("t" + std::to_string(i));
        target.announcement.kind = TargetKind::Service;
        target.announcement.service = "s";
        target.announcement.zone = ZoneId("z" + std::to_string(i % 3));
        target.announcement.start = Incarnation(1);
        target.announcement.maxConcurrent = SLOTS;
        target.serviceTime = SERVICE_TIME;
        simulation.addTarget(target);
    }
}

/** Sends requests of accounts of skewed size to random hosts, of all ranks by their parts. */
std::map<std::pair<int, RequestId>, SentRequest> sendAll(DecisionSimulation &simulation,
                                                         const Play &play)
{
    std::mt19937_64 random(11);
    std::vector<double> sizes;
    for (int i = 0; i < ACCOUNTS; ++i)
        sizes.push_back(1.0 / (i + 1));
    std::discrete_distribution<> accounts(sizes.begin(), sizes.end());
    std::discrete_distribution<> ranks(play.parts.begin(), play.parts.end());
    std::uniform_int_distribution<> hosts(0, play.hosts - 1);
    std::map<std::pair<int, RequestId>, SentRequest> sent;
    for (int second = 0; second < SECONDS; ++second) {
        const double rate = 2 * ROOM * (second == HEAVIEST_SECOND ? HEAVIEST_FACTOR : 1);
        std::exponential_distribution<> gap(rate);
        const TimePoint from = simulation.now() + second * 1s;
        for (TimePoint at = from; at < from + 1s; at += fromSeconds(gap(random))) {
            const int rank = ranks(random);
            const int host = hosts(random);
            CallerRequest request;
            request.key
                = DecisionSimulation::keyOf(AccountId("a" + std::to_string(accounts(random))));
            request.path = "/r" + std::to_string(rank);
            request.byRoute = true;
            request.timeLimit = TIME_LIMIT;
            sent[{host, simulation.send(host, request, at)}] = {at, rank};
        }
    }
    return sent;
}

PlayOutcome countOutcomes(const DecisionSimulation &simulation,
                          const std::map<std::pair<int, RequestId>, SentRequest> &sent,
                          TimePoint end)
{
    PlayOutcome out;
    for (const auto &[id, request] : sent) {
        RankOutcome &rank = out.ranks.at(static_cast<std::size_t>(request.rank));
        const auto outcome = simulation.outcomes.find(id);
        ++rank.sent;
        ++out.sent;
        if (outcome == simulation.outcomes.end())
            continue;
        const Duration took = outcome->second.at - request.at;
        const int goalMs = GOALS_MS.at(static_cast<std::size_t>(request.rank));
        if (!outcome->second.answered) {
            out.earlyRefusals += took < TIME_LIMIT - 1s ? 1 : 0;
            const RefuseCaller &refusal = outcome->second.refusal;
            const bool names = refusal.retryAfter && *refusal.retryAfter > Duration::zero();
            out.falseReturns += refusal.code == RefusalCode::Overloaded && !names ? 1 : 0;
            continue;
        }
        rank.answered += took <= TIME_LIMIT ? 1 : 0;
        out.answered += took <= TIME_LIMIT ? 1 : 0;
        out.answeredUnderLoad += outcome->second.at <= end ? 1 : 0;
        rank.inGoal += took <= std::chrono::milliseconds(goalMs) ? 1 : 0;
    }
    return out;
}

PlayOutcome playLoad(const Play &play)
{
    DecisionSimulation simulation(play.hosts, makeFolder(play.ranksInUse), 1);
    addTargets(simulation);
    simulation.runUntil(simulation.now() + WARM_UP);
    const TimePoint begin = simulation.now();
    const auto sent = sendAll(simulation, play);
    const std::uint64_t messages = simulation.messages;
    simulation.runUntil(begin + HEAVIEST_SECOND * 1s + 200ms);
    simulation.restartControl(WITHOUT_LEADER);
    simulation.runUntil(begin + SECONDS * 1s + 3s);
    const PlayOutcome out = countOutcomes(simulation, sent, begin + SECONDS * 1s);
    for (const auto &[id, target] : simulation.targets)
        cr_expect_leq(target.maxRunning, REQUESTS_PER_SLOT * SLOTS, "%s", id.value.c_str());
    for (const RankOutcome &rank : out.ranks)
        cr_log_info("%d hosts%s: %d sent, answered %.3f, in the objective %.3f", play.hosts,
                    play.ranksInUse ? "" : " without ranks", rank.sent, rank.share(),
                    rank.goalShare());
    cr_log_info("mean %.3f of %d, %d under load, %d early refusals, %.0f messages/s", out.mean(),
                out.sent, out.answeredUnderLoad, out.earlyRefusals,
                static_cast<double>(simulation.messages - messages) / (SECONDS + 3));
    return out;
}

void expectOrderOfRanks(const PlayOutcome &out)
{
    for (std::size_t i = 1; i < RANKS; ++i) {
        cr_expect_geq(out.ranks[0].share(), out.ranks.at(i).share(), "rank 0 below rank %zu", i);
        cr_expect_geq(out.ranks[0].goalShare(), out.ranks.at(i).goalShare(),
                      "rank 0 below rank %zu by the objective", i);
    }
    // A kind may be served less often than a less urgent one by at most 5 in 100.
    cr_expect_geq(out.ranks[1].share() + 0.05, out.ranks[2].share());
    for (const RankOutcome &rank : out.ranks)
        cr_expect_geq(rank.share(), out.mean() / 4, "%.3f of %.3f", rank.share(), out.mean());
    cr_expect_eq(out.falseReturns, 0);
}

/** Plays the load with and without ranks. */
void assertRanksHold(const Play &play)
{
    const PlayOutcome ranked = playLoad(play);
    expectOrderOfRanks(ranked);
    Play plain = play;
    plain.ranksInUse = false;
    const PlayOutcome before = playLoad(plain);
    // Refusals by rank must not leave slots idle.
    cr_expect_geq(ranked.answeredUnderLoad, before.answeredUnderLoad * 97 / 100, "%d of %d",
                  ranked.answeredUnderLoad, before.answeredUnderLoad);
}

} // namespace

// Guards against the most urgent kind being served worst under overload, and the least urgent one
// not at all, where each host has a queue.
Test(rank_load, ranks_are_served_in_their_order_by_few_hosts, .timeout = 60)
{
    assertRanksHold({9});
}

// The same, where the slots are divided among as many hosts as there are slots.
Test(rank_load, ranks_are_served_in_their_order_by_many_hosts, .timeout = 60)
{
    assertRanksHold({87});
}

// The same, where most hosts have no slot, so that the leader's division decides.
Test(rank_load, ranks_are_served_in_their_order_by_more_hosts_than_slots, .timeout = 120)
{
    assertRanksHold({300});
}

// Guards against a least share that starves a large lowest rank or favours a small one.
Test(rank_load, ranks_of_uneven_size_are_served_in_their_order, .timeout = 60)
{
    expectOrderOfRanks(playLoad({9, {1, 1, 4}}));
    expectOrderOfRanks(playLoad({9, {6, 1, 0.4}}));
}
