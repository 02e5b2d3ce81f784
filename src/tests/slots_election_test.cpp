/** @file slots_election_test.cpp Changes of the leader keep no calls from free slots for long. */
#include "replay/decision_simulation_base.h"
#include "service_folder.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 195;
constexpr int ACCOUNTS = 19;
constexpr int TARGETS = 6;
constexpr int SLOTS = 6; ///< A target that queues requests itself lends three times as many.
constexpr int LENT = 3 * SLOTS;
constexpr double CALLS_PER_SECOND = 65; ///< Of all accounts together.
constexpr Duration SERVICE_TIME = 30ms;
constexpr std::int64_t TOKENS = 200; ///< Of one call.
/** An account uses less than 700 tokens a second. */
constexpr double TOKENS_PER_SECOND = 30'000;
constexpr Duration WARM_UP = 4s; ///< Time until all hosts have the configuration and the targets.
/** Not a multiple of the second between two announcements of a target, so that the elections meet
 * different phases of it. */
constexpr Duration LEADER_INTERVAL = 5250ms;
constexpr int ELECTIONS = 4;
/** Calls are sent until so long after the last election. */
constexpr Duration PLAY = LEADER_INTERVAL * (ELECTIONS + 1);
constexpr Duration DOWN_TIME = 100ms; ///< Time without a process before each election.
constexpr Duration TIME_LIMIT = 4s; ///< Of a call; longer than any call may take.
/** A call may take so long, beyond its service time and the time without a leader. */
constexpr Duration MAX_EXTRA_TIME = 500ms;

FolderConfig makeFolder()
{
    FolderConfig folder = makeServiceFolder();
    for (int i = 0; i < ACCOUNTS; ++i) {
        Account account;
        account.id = AccountId("a" + std::to_string(i));
        account.limitsRequests = false;
        account.limitsTokens = true;
        account.tokensPerSecond = account.tokenBurst = TOKENS_PER_SECOND;
        folder.accounts[account.id] = account;
    }
    return folder;
}

/** Time without a leader. */
struct LeaderGap
{
    TimePoint begins;
    TimePoint ends;
};

/** Calls of a service with few slots, and leaders that end again and again. */
struct SlotPlay
{
    DecisionSimulation simulation;
    std::map<std::pair<int, RequestId>, TimePoint> sent;
    std::vector<LeaderGap> gaps;
    bool leads = true;
    std::mt19937_64 random{7};

    SlotPlay()
        : simulation(HOSTS, makeFolder(), 1)
    {
        for (int i = 0; i < TARGETS; ++i)
            this->addTarget(i);
        this->simulation.runUntil(this->simulation.now() + WARM_UP);
        this->simulation.afterEvent = [this]() { this->watchLeader(); };
    }

    void addTarget(int number)
    {
        SimulatedTarget target;
        target.announcement.id = TargetId("t" + std::to_string(number));
        target.announcement.kind = TargetKind::Service;
        target.announcement.service = "s";
        target.announcement.zone = ZoneId("z" + std::to_string(number % 3));
        target.announcement.start = Incarnation(1);
        target.announcement.maxConcurrent = SLOTS;
        target.serviceTime = SERVICE_TIME;
        this->simulation.addTarget(std::move(target));
    }

    /** Records the times without a leader. A new one leads once it has applied all entries of
     * earlier leaders. */
    void watchLeader()
    {
        const bool now = !this->simulation.controlDown && this->simulation.control.leadership
            && this->simulation.control.leadership->active;
        if (this->leads && !now)
            this->gaps.push_back({this->simulation.now(), TimePoint::max()});
        else if (!this->leads && now)
            this->gaps.back().ends = this->simulation.now();
        this->leads = now;
    }

    void sendCalls()
    {
        std::exponential_distribution<> gap(CALLS_PER_SECOND);
        const TimePoint from = this->simulation.now();
        for (TimePoint at = from; at < from + PLAY; at += fromSeconds(gap(this->random))) {
            const int host = std::uniform_int_distribution<>(0, HOSTS - 1)(this->random);
            const int account = std::uniform_int_distribution<>(0, ACCOUNTS - 1)(this->random);
            CallerRequest request;
            request.key = DecisionSimulation::keyOf(AccountId("a" + std::to_string(account)));
            request.path = "/s";
            request.declaredTokens = TOKENS;
            request.byRoute = true;
            request.body = digestOf({std::to_string(account)});
            request.timeLimit = TIME_LIMIT;
            this->sent[{host, this->simulation.send(host, request, at)}] = at;
        }
    }

    void run()
    {
        for (int i = 0; i < ELECTIONS; ++i) {
            this->simulation.runUntil(this->simulation.now() + LEADER_INTERVAL);
            this->simulation.restartControl(DOWN_TIME);
        }
        this->simulation.runUntil(this->simulation.now() + LEADER_INTERVAL + TIME_LIMIT + 1s);
    }

    /** @return Time without a leader between @p from and @p to. */
    Duration timeWithoutLeader(TimePoint from, TimePoint to) const
    {
        Duration sum{};
        for (const LeaderGap &gap : this->gaps)
            sum += std::max(Duration(std::min(gap.ends, to) - std::max(gap.begins, from)),
                            Duration::zero());
        return sum;
    }
};

/** Calls that took too long or were refused, and the longest time of an answered call, without the
 * time without a leader and the service time. */
struct CallTimes
{
    int late = 0;
    int refused = 0;
    Duration longest{};
};

CallTimes judge(const SlotPlay &play)
{
    CallTimes times;
    for (const auto &[key, at] : play.sent) {
        const auto outcome = play.simulation.outcomes.find(key);
        if (outcome == play.simulation.outcomes.end() || !outcome->second.answered) {
            ++times.refused;
            continue;
        }
        const TimePoint end = outcome->second.at;
        const Duration extra = Duration(end - at) - play.timeWithoutLeader(at, end) - SERVICE_TIME;
        times.longest = std::max(times.longest, extra);
        times.late += extra > MAX_EXTRA_TIME ? 1 : 0;
    }
    return times;
}

} // namespace

// Guards against calls that wait for free slots after an election: the new leader knows neither the
// targets nor the holders of their slots, and with fewer slots than hosts no host holds one.
Test(election, calls_of_a_small_service_find_slots_after_an_election, .timeout = 240)
{
    SlotPlay play;
    play.sendCalls();
    play.run();
    const CallTimes times = judge(play);
    cr_log_warn("%zu calls: %d refused or unanswered, %d late, longest extra time %ld ms",
                play.sent.size(), times.refused, times.late,
                static_cast<long>(toMilliseconds(times.longest)));
    // The play must contain what it guards against.
    cr_assert_eq(play.gaps.size(), ELECTIONS, "%zu times without a leader", play.gaps.size());
    for (const LeaderGap &gap : play.gaps)
        cr_assert_leq(toMilliseconds(gap.ends - gap.begins), 700, "no leader for %ld ms",
                      static_cast<long>(toMilliseconds(gap.ends - gap.begins)));
    cr_expect_eq(times.refused, 0, "%d refused or unanswered", times.refused);
    cr_expect_eq(times.late, 0, "%d late, longest extra time %ld ms", times.late,
                 static_cast<long>(toMilliseconds(times.longest)));
    for (const auto &[id, target] : play.simulation.targets)
        cr_expect_leq(target.maxRunning, LENT, "%s", id.value.c_str());
}
