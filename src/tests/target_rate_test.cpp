/** @file target_rate_test.cpp Targets that state how many requests a second they take from all
 * hosts together. */
#include "replay/decision_simulation_base.h"
#include "service_folder.h"
#include "target/statement_func.h"

#include <algorithm>
#include <random>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration WINDOW = 4s; ///< Arrivals are counted in all windows of this length.
constexpr double TOLERANCE = 1.5; ///< Arrivals in a window, as a multiple of what the rate allows.
constexpr double EXTRA_ARRIVALS = 5; ///< Arrivals in a window beyond that.
constexpr Duration BINDS_AFTER = 3s; ///< Time from the first statement until the rate binds.
/** A host that got a statement so long ago counts from then on. */
constexpr Duration HOST_BINDS_AFTER = 500ms;
constexpr Duration WARM_UP = 3s; ///< Time until all hosts have the configuration.
constexpr Duration SERVICE_TIME = 200ms;
constexpr Duration TIME_LIMIT = 3s; ///< Of requests.
constexpr int SLOTS = 64;
/** Least part of the stated rate that is used while more is asked for, since leases may lapse. */
constexpr double LEAST_USE = 0.7;

SimulatedTarget makeTarget(const std::string &name, const std::string &service)
{
    SimulatedTarget target;
    target.announcement.id = TargetId(name);
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = service;
    target.announcement.zone = ZoneId("z0");
    target.announcement.start = Incarnation(1);
    target.announcement.maxConcurrent = SLOTS;
    target.serviceTime = SERVICE_TIME;
    return target;
}

FolderConfig makeFolder()
{
    FolderConfig folder = makeServiceFolder();
    Account account;
    account.id = AccountId("a");
    account.limitsRequests = account.limitsTokens = false;
    folder.accounts[account.id] = account;
    return folder;
}

/** Hosts before a target "t" that states a request rate from a given time on. */
struct RateSite
{
    RateSite(int hosts, unsigned seed)
        : simulation(hosts, makeFolder(), seed)
        , random(seed)
    {
        this->simulation.addTarget(makeTarget("t", "s"));
        this->simulation.runUntil(this->simulation.now() + WARM_UP);
    }

    SimulatedTarget &target() { return this->simulation.targets.at(TargetId("t")); }

    /** Lets the target state @p rate from now on; no rate: the limit ends. */
    void state(std::optional<double> rate)
    {
        if (rate && !this->firstStated)
            this->firstStated = this->simulation.now();
        this->target().statement = [rate](const StartAttempt &) {
            TargetStatement statement;
            statement.requestRate = rate;
            return statement;
        };
    }

    /** Schedules requests to random hosts for @p duration from now. */
    void send(double perSecond, Duration duration)
    {
        std::exponential_distribution<> gap(perSecond);
        const TimePoint from = this->simulation.now();
        const int last = static_cast<int>(this->simulation.hosts.size()) - 1;
        for (TimePoint at = from; at < from + duration; at += fromSeconds(gap(this->random))) {
            CallerRequest request;
            request.key = DecisionSimulation::keyOf(AccountId("a"));
            request.path = "/s";
            request.byRoute = true;
            request.timeLimit = TIME_LIMIT;
            const int host = std::uniform_int_distribution<>(0, last)(this->random);
            this->sent[{host, this->simulation.send(host, request, at)}] = at;
        }
    }

    void run(Duration duration) { this->simulation.runUntil(this->simulation.now() + duration); }

    /** @return Most arrivals in a window that ends between @p from and @p to. */
    std::size_t mostArrivals(TimePoint from, TimePoint to)
    {
        std::map<int, TimePoint> counted; // For each host, the time from which it counts.
        std::vector<TimePoint> arrivals;
        for (const SimulatedArrival &arrival : this->target().arrivals) {
            if (arrival.at < *this->firstStated)
                continue;
            const TimePoint head = arrival.at + this->target().headDelay;
            const TimePoint since
                = std::min(counted.try_emplace(arrival.host, head + HOST_BINDS_AFTER).first->second,
                           *this->firstStated + BINDS_AFTER);
            if (arrival.at >= since)
                arrivals.push_back(arrival.at);
        }
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals.size(); ++last) {
            while (arrivals[last] - arrivals[first] > WINDOW)
                ++first;
            if (arrivals[last] >= from && arrivals[last] < to)
                most = std::max(most, last - first + 1);
        }
        return most;
    }

    /** Expects that no window between @p from and @p to has more arrivals than @p rate allows. */
    void expectWithin(double rate, TimePoint from, TimePoint to)
    {
        const double allowed = TOLERANCE * rate * toSeconds(WINDOW) + EXTRA_ARRIVALS;
        const std::size_t most = this->mostArrivals(from, to);
        cr_expect_leq(static_cast<double>(most), allowed,
                      "%zu hosts, %g a second: %zu arrivals in 4 s, %g allowed",
                      this->simulation.hosts.size(), rate, most, allowed);
    }

    void expectWithin(double rate)
    {
        this->expectWithin(rate, *this->firstStated + BINDS_AFTER, this->simulation.now());
    }

    /** Expects that the target got at least LEAST_USE of @p rate between @p from and @p to. */
    void expectUsed(double rate, TimePoint from, TimePoint to)
    {
        const auto arrivals = std::count_if(
            this->target().arrivals.begin(), this->target().arrivals.end(),
            [&](const SimulatedArrival &item) { return item.at >= from && item.at < to; });
        const double least = LEAST_USE * rate * toSeconds(to - from) - 1;
        cr_expect_geq(static_cast<double>(arrivals), least,
                      "%zu hosts, %g a second: %d arrivals, at least %g expected",
                      this->simulation.hosts.size(), rate, static_cast<int>(arrivals), least);
    }

    /** @return Requests without an answer or a refusal after the time limit. */
    std::ptrdiff_t unanswered() const
    {
        return std::count_if(this->sent.begin(), this->sent.end(), [&](const auto &item) {
            return item.second + TIME_LIMIT < this->simulation.now()
                && !this->simulation.outcomes.contains(item.first);
        });
    }

    DecisionSimulation simulation;
    std::mt19937_64 random;
    std::optional<TimePoint> firstStated;
    std::map<std::pair<int, RequestId>, TimePoint> sent; ///< By host and request.
};

/** Demand that exceeds the rate, at many hosts in each window. */
double demandAbove(double rate)
{
    return 2 * rate + 8;
}

constexpr int HOST_COUNTS[] = {9, 87, 300};
constexpr double RATES[] = {0.5, 1.1, 5, 40};

} // namespace

// Guards against a target that gets the request rate it has stated from each host instead of from
// all together.
Test(target_rate, arrivals_from_all_hosts_keep_to_the_stated_rate, .timeout = 300)
{
    for (const int hosts : HOST_COUNTS) {
        for (const double rate : RATES) {
            RateSite site(hosts, 1);
            site.send(demandAbove(rate), 24s);
            site.run(4s);
            site.state(rate);
            site.run(20s);
            site.expectWithin(rate);
            site.expectUsed(rate, *site.firstStated + BINDS_AFTER, site.simulation.now());
            site.run(TIME_LIMIT + 1s);
            cr_expect_eq(site.unanswered(), 0, "%d hosts, %g a second: %d without an answer", hosts,
                         rate, static_cast<int>(site.unanswered()));
        }
    }
}

// Guards against hosts that go on at the old rate because only one host has got the statement.
Test(target_rate, a_statement_to_one_host_binds_the_others, .timeout = 120)
{
    for (const int hosts : HOST_COUNTS) {
        RateSite site(hosts, 2);
        site.send(demandAbove(5), 24s);
        site.run(4s);
        site.state(1);
        bool stated = false;
        site.target().statement = [&](const StartAttempt &) {
            TargetStatement statement;
            if (!std::exchange(stated, true))
                statement.requestRate = 1;
            return statement;
        };
        site.run(2s);
        site.state(1);
        site.run(18s);
        site.expectWithin(1);
    }
}

// Guards against a leader that grants a target's rate anew while the grants of its predecessor are
// still in use, and against hosts that forget the rate with the leader.
Test(target_rate, the_rate_holds_over_changes_of_the_leader, .timeout = 120)
{
    for (const int hosts : {9, 87}) {
        for (const double rate : {1.1, 5.0}) {
            RateSite site(hosts, 3);
            site.send(demandAbove(rate), 40s);
            site.run(4s);
            site.state(rate);
            site.run(6s);
            for (const Duration downFor : {300ms, 900ms, 300ms}) {
                site.simulation.restartControl(downFor);
                site.run(7s);
            }
            site.expectWithin(rate);
        }
    }
}

// Guards against hosts that keep to a rate of their own while they are out of touch with the
// leader, and against restarted hosts that do not know the rate.
Test(target_rate, the_rate_holds_while_hosts_are_cut_off_and_restarted, .timeout = 120)
{
    for (const double rate : {1.1, 5.0}) {
        RateSite site(9, 4);
        site.send(demandAbove(rate), 40s);
        site.run(4s);
        site.state(rate);
        site.run(5s);
        for (int host = 0; host < 9; host += 2) {
            site.simulation.hosts[static_cast<std::size_t>(host)].partitioned = true;
            site.simulation.restartHost(host + (host < 8 ? 1 : 0));
            site.run(3s);
            site.simulation.hosts[static_cast<std::size_t>(host)].partitioned = false;
            site.run(1s);
        }
        site.expectWithin(rate);
    }
}

// Guards against a rate that outlives the target's word, or that is not lowered, raised or taken up
// again at the target's word.
Test(target_rate, later_statements_change_and_end_the_rate, .timeout = 120)
{
    RateSite site(9, 5);
    site.send(12, 70s);
    site.run(4s);
    site.state(5);
    site.run(10s);
    site.expectWithin(5);
    const TimePoint lowered = site.simulation.now();
    site.state(1);
    site.run(12s);
    site.expectWithin(1, lowered + BINDS_AFTER + WINDOW, site.simulation.now());
    const TimePoint raised = site.simulation.now();
    site.state(8);
    site.run(12s);
    site.expectUsed(8, raised + 5s, site.simulation.now());
    const TimePoint ended = site.simulation.now();
    site.state({});
    site.run(10s);
    site.expectUsed(12, ended + 5s, site.simulation.now());
    const TimePoint named = site.simulation.now();
    site.state(1);
    site.run(14s);
    site.expectWithin(1, named + BINDS_AFTER + WINDOW, site.simulation.now());
}

// Guards against requests that wait for the rate of one target while another one could serve them,
// and against a target that counts as failing for its statement.
Test(target_rate, other_targets_take_what_the_rate_leaves, .timeout = 120)
{
    RateSite site(9, 6);
    site.simulation.addTarget(makeTarget("u", "s"));
    site.run(2s);
    site.send(20, 20s);
    site.run(4s);
    site.state(1);
    site.run(20s);
    site.expectWithin(1);
    std::ptrdiff_t inTime = 0;
    for (const auto &[key, at] : site.sent) {
        const auto outcome = site.simulation.outcomes.find(key);
        inTime += outcome != site.simulation.outcomes.end() && outcome->second.answered
                && outcome->second.at < at + SERVICE_TIME + 100ms
            ? 1
            : 0;
    }
    cr_expect_geq(inTime, static_cast<std::ptrdiff_t>(site.sent.size() * 95 / 100), "%d of %d",
                  static_cast<int>(inTime), static_cast<int>(site.sent.size()));
    for (const SimulatedHost &host : site.simulation.hosts)
        cr_expect_eq(host.host.targets.at(TargetId("t")).health.failuresInRow, 0);
}

// Guards against requests that wait for a target's rate until their time limit although their turn
// cannot come in time.
Test(target_rate, requests_whose_turn_cannot_come_in_time_are_refused_at_once, .timeout = 120)
{
    RateSite site(9, 7);
    site.send(10, 20s);
    site.run(4s);
    site.state(1);
    site.run(20s);
    std::ptrdiff_t refused = 0;
    std::ptrdiff_t late = 0;
    std::set<std::int64_t> retryAfterMs;
    for (const auto &[key, at] : site.sent) {
        const auto outcome = site.simulation.outcomes.find(key);
        if (at < *site.firstStated + BINDS_AFTER || outcome == site.simulation.outcomes.end()
            || outcome->second.answered)
            continue;
        ++refused;
        late += outcome->second.at > at + 500ms ? 1 : 0;
        cr_expect(outcome->second.refusal.retryAfter.has_value(), "refused as %d after %d ms",
                  static_cast<int>(outcome->second.refusal.code),
                  static_cast<int>((outcome->second.at - at).count() / 1000));
        retryAfterMs.insert(outcome->second.refusal.retryAfter.value_or(Duration::zero()).count()
                            / 1000);
    }
    cr_expect_gt(refused, 50);
    cr_expect_leq(late, refused / 10, "%d of %d refusals are late", static_cast<int>(late),
                  static_cast<int>(refused));
    cr_expect_geq(retryAfterMs.size(), 10u, "%zu different times", retryAfterMs.size());
}

// Guards against values that switch the limit off or to something that the target did not say.
Test(target_rate, malformed_and_repeated_values_have_stated_outcomes)
{
    const auto rate = [](std::vector<std::string_view> values) {
        return readStatement({{}, std::move(values), {}});
    };
    cr_expect_eq(rate({"1.5"}).requestRate, 1.5);
    cr_expect_eq(rate({" 2 "}).requestRate, 2);
    cr_expect_eq(rate({"3", "2"}).requestRate, 2);
    cr_expect_eq(rate({"0"}).requestRate, MIN_REQUEST_RATE);
    cr_expect_not(rate({"1e300"}).requestRate);
    cr_expect_not(rate({"99999999999999999999"}).requestRate);
    for (const char *text : {"", "-1", "nan", "inf", "many", "1,5", "0x10"}) {
        cr_expect_not(rate({text}).requestRate, "%s", text);
        cr_expect(rate({text}).malformed, "%s", text);
    }
    cr_expect_eq(rate({"many", "4"}).requestRate, 4);
    cr_expect(readStatement({{"1"}, {}, {}}).leaving);
    cr_expect_not(readStatement({{"0"}, {}, {}}).leaving);
    cr_expect_eq(readStatement({{}, {}, {"0.5"}}).quietFor, Duration(500ms));
    cr_expect_eq(readStatement({{}, {}, {"1", "3"}}).quietFor, Duration(3s));
    cr_expect_eq(readStatement({{}, {}, {"99999999"}}).quietFor, MAX_QUIET_PERIOD);
    cr_expect_not(readStatement({{}, {}, {"Fri, 05 Dec 2026 00:00:00 GMT"}}).quietFor);
}

// Guards against an answer that overtakes a later one and ends or restores a limit.
Test(target_rate, answers_that_overtake_each_other_keep_the_lower_rate)
{
    const auto at = [](Duration after) { return TimePoint(10s) + after; };
    const RateObservation limited{1.0, at(0s), at(1s)};
    const RateObservation sentBefore{{}, at(500ms), at(2s)};
    const RateObservation sentAfter{{}, at(1s), at(2s)};
    cr_expect_eq(mergeObservations(limited, sentBefore).rate, 1.0);
    cr_expect_eq(mergeObservations(sentBefore, limited).rate, 1.0);
    cr_expect_not(mergeObservations(limited, sentAfter).rate);
    cr_expect_not(mergeObservations(sentAfter, limited).rate);
}
