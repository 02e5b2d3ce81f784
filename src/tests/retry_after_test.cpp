/** @file retry_after_test.cpp Callers of an account over its rate come back when they were told to.
 */
#include "replay/decision_simulation_base.h"
#include "service_folder.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 40;
constexpr double TOKENS_PER_SECOND = 30'000;
constexpr double TOKEN_BURST = 30'000;
constexpr std::int64_t TOKENS_OF_REQUEST = 1'500;
constexpr double REQUESTS_PER_SECOND = TOKENS_PER_SECOND / TOKENS_OF_REQUEST; ///< Of the account.
constexpr double OVERLOAD = 4; ///< Requests arrive at so many times the account's rate.
constexpr Duration OVERLOAD_TIME = 6s;
constexpr Duration WARM_UP = 3s; ///< Time until all hosts have the configuration.
constexpr Duration STEP = 1ms; ///< Callers look for their answers so often.
constexpr Duration SERVED_WITHIN = 1s; ///< Of a caller's return.
/** Promises may exceed the budgets by so much, as the leader hears of a refusal a report later. */
constexpr double PROMISE_LEEWAY = 2;
/** Part of the rate that the account must get while its callers ask for more. */
constexpr double LEAST_USED = 0.8;

const AccountId ACCOUNT("a");

FolderConfig makeFolder()
{
    FolderConfig folder = makeServiceFolder();
    Account account;
    account.id = ACCOUNT;
    account.limitsRequests = false;
    account.limitsTokens = true;
    account.tokensPerSecond = TOKENS_PER_SECOND;
    account.tokenBurst = TOKEN_BURST;
    folder.accounts[account.id] = account;
    return folder;
}

/** A service with more slots than the callers can use, so that only budgets are short. */
SimulatedTarget makeTarget()
{
    SimulatedTarget target;
    target.announcement.id = TargetId("t");
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.zone = ZoneId("z0");
    target.announcement.start = Incarnation(1);
    target.announcement.maxConcurrent = 4'000;
    target.serviceTime = 2ms;
    return target;
}

/** One try of a caller. */
struct Try
{
    int host = 0;
    RequestId request;
    TimePoint at;
    bool returned = false; ///< The caller was refused before, and came when it was told to.
};

/** Budget that a caller was told of in a refusal. */
struct Promise
{
    TimePoint at;
    std::int64_t tokens = 0;
};

/** Callers that come back after exactly their Retry-After, at any host, until they are served. */
struct Callers
{
    DecisionSimulation simulation{HOSTS, makeFolder(), 1};
    std::mt19937_64 random{7};
    std::vector<Try> open; ///< Tries without an outcome.
    std::vector<Promise> promises;
    std::vector<TimePoint> servedAt;
    int returns = 0; ///< Returns of which the outcome is known.
    int servedReturns = 0; ///< Returns that were served within SERVED_WITHIN.

    Callers()
    {
        this->simulation.addTarget(makeTarget());
        this->simulation.runUntil(this->simulation.now() + WARM_UP);
    }

    /** Sends a request to a random host. */
    void send(TimePoint at, bool returned)
    {
        CallerRequest request;
        request.key = DecisionSimulation::keyOf(ACCOUNT);
        request.path = "/s";
        request.byRoute = true;
        request.declaredTokens = TOKENS_OF_REQUEST;
        request.body = digestOf({ACCOUNT.value});
        request.timeLimit = 2500ms;
        const int host = std::uniform_int_distribution<>(0, HOSTS - 1)(this->random);
        this->open.push_back({host, this->simulation.send(host, request, at), at, returned});
    }

    /** Notes an outcome; a refused caller comes back. */
    void settle(const Try &item, const SimulatedOutcome &outcome)
    {
        const Duration took = outcome.at - item.at;
        this->returns += item.returned ? 1 : 0;
        this->servedReturns += item.returned && outcome.answered && took <= SERVED_WITHIN ? 1 : 0;
        if (outcome.answered) {
            this->servedAt.push_back(outcome.at);
            return;
        }
        const bool forRate = outcome.refusal.code == RefusalCode::TokenRateLimited;
        cr_expect(forRate, "refused with code %d", static_cast<int>(outcome.refusal.code));
        cr_expect(outcome.refusal.retryAfter.has_value(), "a refusal names no time");
        if (!forRate || !outcome.refusal.retryAfter)
            return;
        const TimePoint back = outcome.at + *outcome.refusal.retryAfter;
        this->promises.push_back({back, TOKENS_OF_REQUEST});
        this->send(std::max(back, this->simulation.now()), true);
    }

    /** Lets callers be served, be refused and come back until @p end. */
    void runUntil(TimePoint end)
    {
        while (this->simulation.now() < end) {
            this->simulation.runUntil(this->simulation.now() + STEP);
            std::vector<std::pair<Try, SimulatedOutcome>> settled;
            std::erase_if(this->open, [&](const Try &item) {
                const auto outcome = this->simulation.outcomes.find({item.host, item.request});
                if (outcome == this->simulation.outcomes.end())
                    return false;
                settled.emplace_back(item, outcome->second);
                return true;
            });
            for (const auto &[item, outcome] : settled)
                this->settle(item, outcome);
        }
    }

    /** Sends new callers at OVERLOAD times the rate of the account, beside those that return. */
    void overload()
    {
        const TimePoint begin = this->simulation.now();
        std::exponential_distribution<> gap(OVERLOAD * REQUESTS_PER_SECOND);
        for (TimePoint at = begin; at < begin + OVERLOAD_TIME; at += fromSeconds(gap(this->random)))
            this->send(at, false);
        this->runUntil(begin + OVERLOAD_TIME);
    }
};

/** Budgets that an account may use within a time. */
double budgetsWithin(Duration time)
{
    return TOKEN_BURST + TOKENS_PER_SECOND * toSeconds(time);
}

/** @return Largest ratio of the amounts promised for a window of time to its budgets. */
double worstPromise(std::vector<Promise> promises)
{
    std::sort(promises.begin(), promises.end(),
              [](const Promise &a, const Promise &b) { return a.at < b.at; });
    double worst = 0;
    for (std::size_t first = 0; first < promises.size(); ++first) {
        double tokens = 0;
        for (std::size_t last = first; last < promises.size(); ++last) {
            tokens += static_cast<double>(promises[last].tokens);
            worst = std::max(worst, tokens / budgetsWithin(promises[last].at - promises[first].at));
        }
    }
    return worst;
}

} // namespace

// Guards against refusals that tell all callers of an account to come back at the moment at which
// there is budget for the first of them.
Test(retry_after, callers_are_told_of_no_more_budget_than_there_will_be, .timeout = 120)
{
    Callers callers;
    callers.overload();
    cr_assert(!callers.promises.empty(), "the account must be over its rate");
    const double worst = worstPromise(callers.promises);
    cr_log_info("%zu promises, worst window %.2f of its budgets", callers.promises.size(), worst);
    cr_expect_leq(worst, PROMISE_LEEWAY, "%zu promises, worst window %.2f of its budgets",
                  callers.promises.size(), worst);
}

// Guards against callers that come back when they were told to and are refused again, though no
// others ask for the budgets meanwhile: a crowd needs six seconds of the account's refill at once.
Test(retry_after, callers_of_a_crowd_are_served_when_they_return, .timeout = 120)
{
    constexpr int CROWD = 120;
    constexpr Duration ARRIVALS = 100ms;
    constexpr Duration WATCHED = 12s;
    Callers callers;
    const TimePoint begin = callers.simulation.now();
    for (int i = 0; i < CROWD; ++i)
        callers.send(begin + ARRIVALS * i / CROWD, false);
    callers.runUntil(begin + WATCHED);
    cr_log_info("%d of %d returns served, %zu of %d callers", callers.servedReturns,
                callers.returns, callers.servedAt.size(), CROWD);
    cr_assert_gt(callers.returns, 0, "the account must be over its rate");
    cr_expect_geq(2 * callers.servedReturns, callers.returns, "%d of %d returns served in time",
                  callers.servedReturns, callers.returns);
    cr_expect_eq(callers.servedAt.size(), CROWD, "%zu of %d callers served",
                 callers.servedAt.size(), CROWD);
}

// Guards against spending above the rate, whatever callers are told.
Test(retry_after, account_over_its_rate_spends_no_more_than_its_budgets, .timeout = 120)
{
    Callers callers;
    const TimePoint begin = callers.simulation.now();
    callers.overload();
    std::sort(callers.servedAt.begin(), callers.servedAt.end());
    cr_assert(!callers.promises.empty(), "the account must be over its rate");
    for (std::size_t i = 0; i < callers.servedAt.size(); ++i) {
        const double spent = static_cast<double>(i + 1) * TOKENS_OF_REQUEST;
        cr_assert_leq(spent, budgetsWithin(callers.servedAt[i] - begin), "%f tokens after %f s",
                      spent, toSeconds(callers.servedAt[i] - begin));
    }
}

// Guards against budgets that lie in parts at many hosts, none of which has enough for a request,
// while callers of the account are refused.
Test(retry_after, budgets_of_an_account_over_its_rate_are_used, .timeout = 120)
{
    Callers callers;
    callers.overload();
    const double spent = static_cast<double>(callers.servedAt.size()) * TOKENS_OF_REQUEST;
    const double least = LEAST_USED * TOKENS_PER_SECOND * toSeconds(OVERLOAD_TIME);
    cr_log_info("%.0f tokens spent, at least %.0f expected", spent, least);
    cr_expect_geq(spent, least, "%.0f tokens spent, at least %.0f expected", spent, least);
}
