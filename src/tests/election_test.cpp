/** @file election_test.cpp Changes of the leader cost callers within their rates nothing. */
#include "replay/decision_simulation_base.h"
#include "service_folder.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int ACCOUNTS = 19;
constexpr std::int64_t TOKENS = 1'500; ///< Of one request.
constexpr Duration REQUEST_INTERVAL = 100ms; ///< Time between two requests of an account.
/** An account uses 15,000 tokens a second. */
constexpr double TOKENS_PER_SECOND = 27'000;
constexpr double TOKEN_BURST = 27'000;
constexpr int OVERLOADING = 3; ///< Accounts that may use more than their rates.
constexpr int TARGETS = 24;
constexpr int SLOTS = 64; ///< Of one target.
constexpr Duration SERVICE_TIME = 200ms;
constexpr Duration WARM_UP = 4s; ///< Time until all hosts have the configuration and the targets.
constexpr Duration PLAY = 12s;
constexpr Duration DOWN_TIME = 100ms; ///< Time without a process before each election.
constexpr Duration HOST_DEATH_INTERVAL = 700ms;

FolderConfig makeFolder()
{
    FolderConfig folder = makeServiceFolder();
    for (int i = 0; i < ACCOUNTS; ++i) {
        Account account;
        account.id = AccountId("a" + std::to_string(i));
        account.limitsRequests = false;
        account.limitsTokens = true;
        account.tokensPerSecond = TOKENS_PER_SECOND;
        account.tokenBurst = TOKEN_BURST;
        folder.accounts[account.id] = account;
    }
    return folder;
}

/** Admission of a request at its host, which charges the budget of its account. */
using Admissions = std::map<AccountId, std::vector<TimePoint>>;

/** Callers within the rates of their accounts, and leaders that end again and again. */
struct ElectionPlay
{
    DecisionSimulation simulation;
    std::map<RequestId, int> hostOf;
    std::map<std::pair<int, RequestId>, TimePoint> sent;
    Admissions admissions;
    std::mt19937_64 random{7};

    explicit ElectionPlay(int hosts)
        : simulation(hosts, makeFolder(), 1)
    {
        for (int i = 0; i < TARGETS; ++i)
            this->addTarget(i);
        this->simulation.runUntil(this->simulation.now() + WARM_UP);
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
        target.answer = [this](const StartAttempt &attempt) {
            this->noteAdmission(attempt);
            AttemptEnded ended;
            ended.attempt = attempt.attempt;
            ended.result = AttemptResult::Answered;
            ended.status = 200;
            return ended;
        };
        this->simulation.addTarget(std::move(target));
    }

    void noteAdmission(const StartAttempt &attempt)
    {
        const auto host = static_cast<std::size_t>(this->hostOf.at(attempt.request));
        const Request &request = this->simulation.hosts[host].host.requests.at(attempt.request);
        this->admissions[request.account].push_back(request.admittedAt);
    }

    /** @param times Requests of the first OVERLOADING accounts, as a multiple of those of others.
     */
    void sendRequests(int times = 1)
    {
        const auto hosts = static_cast<int>(this->simulation.hosts.size());
        const TimePoint from = this->simulation.now();
        for (int account = 0; account < ACCOUNTS; ++account) {
            const Duration interval = REQUEST_INTERVAL / (account < OVERLOADING ? times : 1);
            for (Duration after = account * interval / ACCOUNTS; after < PLAY; after += interval) {
                const int host = std::uniform_int_distribution<>(0, hosts - 1)(this->random);
                CallerRequest request;
                request.key = DecisionSimulation::keyOf(AccountId("a" + std::to_string(account)));
                request.path = "/s";
                request.declaredTokens = TOKENS;
                request.byRoute = true;
                request.body = digestOf({std::to_string(account)});
                request.timeLimit = 4s;
                const RequestId id = this->simulation.send(host, request, from + after);
                this->hostOf[id] = host;
                this->sent[{host, id}] = from + after;
            }
        }
    }

    /** Ends the leader at each interval, and restarts hosts, which lose what they hold. */
    void run(Duration leaderInterval, bool hostsDie)
    {
        const TimePoint end = this->simulation.now() + PLAY;
        TimePoint leaderEnds = this->simulation.now() + leaderInterval;
        TimePoint hostDies = this->simulation.now() + HOST_DEATH_INTERVAL;
        while (this->simulation.now() < end) {
            this->simulation.runUntil(std::min({leaderEnds, hostDies, end}));
            if (this->simulation.now() >= leaderEnds) {
                this->simulation.restartControl(DOWN_TIME);
                leaderEnds += leaderInterval;
            }
            if (this->simulation.now() >= hostDies) {
                const std::size_t host = this->random() % this->simulation.hosts.size();
                if (hostsDie)
                    this->simulation.restartHost(static_cast<int>(host));
                hostDies += HOST_DEATH_INTERVAL;
            }
        }
        this->simulation.runUntil(end + 5s);
    }

    std::ptrdiff_t countRateRefusals() const
    {
        return std::count_if(this->simulation.outcomes.begin(), this->simulation.outcomes.end(),
                             [](const auto &item) {
                                 return !item.second.answered
                                     && (item.second.refusal.code == RefusalCode::RateLimited
                                         || item.second.refusal.code
                                             == RefusalCode::TokenRateLimited);
                             });
    }

    /** @return Longest time that an answered request took. */
    Duration longestAnswer() const
    {
        Duration longest{};
        for (const auto &[key, at] : this->sent) {
            const auto outcome = this->simulation.outcomes.find(key);
            if (outcome != this->simulation.outcomes.end() && outcome->second.answered)
                longest = std::max(longest, Duration(outcome->second.at - at));
        }
        return longest;
    }
};

/** Checks that the requests of each account stay within burst + rate * t in any window. */
void assertWithinRates(Admissions admissions)
{
    for (auto &[account, times] : admissions) {
        std::sort(times.begin(), times.end());
        for (std::size_t i = 0; i < times.size(); ++i) {
            for (std::size_t j = i; j < times.size(); ++j) {
                const double used = static_cast<double>(j - i + 1) * TOKENS;
                const double allowed
                    = TOKEN_BURST + TOKENS_PER_SECOND * toSeconds(times[j] - times[i]);
                cr_assert_leq(used, allowed + 1e-6, "account %s", account.value.c_str());
            }
        }
    }
}

/** @param interval Time from the end of a leader to that of the next one. */
void assertElectionsRefuseNobody(Duration interval)
{
    for (const int hosts : {9, 87, 195, 360}) {
        for (const bool hostsDie : {false, true}) {
            ElectionPlay play(hosts);
            play.sendRequests();
            play.run(interval, hostsDie);
            cr_log_info("%d hosts, a leader each %ld ms, hosts die %d: %td refused of %zu, longest "
                        "%ld ms",
                        hosts, static_cast<long>(toMilliseconds(interval)), hostsDie,
                        play.countRateRefusals(), play.sent.size(),
                        static_cast<long>(toMilliseconds(play.longestAnswer())));
            cr_expect_eq(play.countRateRefusals(), 0,
                         "%d hosts, a leader each %ld ms, hosts die %d", hosts,
                         static_cast<long>(toMilliseconds(interval)), hostsDie);
            assertWithinRates(play.admissions);
        }
    }
}

} // namespace

// Guards against elections that cost callers within the rates of their accounts a refusal, or let
// accounts exceed them.
Test(election, leaders_each_second_refuse_nobody_within_its_rate, .timeout = 240)
{
    assertElectionsRefuseNobody(1s);
}

Test(election, leaders_each_2_s_refuse_nobody_within_its_rate, .timeout = 240)
{
    assertElectionsRefuseNobody(2s);
}

Test(election, leaders_each_5_s_refuse_nobody_within_its_rate, .timeout = 240)
{
    assertElectionsRefuseNobody(5s);
}

// Guards against elections by which an account gets more than burst + rate * t.
Test(election, accounts_beyond_their_rates_get_no_more_than_these, .timeout = 240)
{
    for (const int hosts : {9, 87}) {
        for (const Duration interval : {Duration(1s), Duration(2s), Duration(5s)}) {
            ElectionPlay play(hosts);
            play.sendRequests(12);
            play.run(interval, true);
            assertWithinRates(play.admissions);
        }
    }
}
