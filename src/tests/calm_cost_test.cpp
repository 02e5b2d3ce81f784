/** @file calm_cost_test.cpp What the leader keeps and looks through follows what is in use now, not
 * what was ever used. */
#include "account/leased_pool_func.h"
#include "replay/decision_simulation_base.h"
#include "service_folder.h"

#include <algorithm>
#include <utility>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 60;
constexpr int TARGETS = 40;
constexpr int ACCOUNTS = 8;
constexpr int SLOTS = 6; ///< Of one target; it lends three times as many.
constexpr int REQUESTS_PER_HOST = 80;
constexpr Duration REQUEST_INTERVAL = 50ms; ///< Between two requests to one host.
constexpr Duration WARM_UP = 3s; ///< Time until all hosts have the configuration.
constexpr Duration CALM = 15s; ///< Time without requests before the measurement.
constexpr Duration MEASUREMENT = 2s; ///< All hosts report several times meanwhile.

AccountId accountName(int number)
{
    return AccountId("a" + std::to_string(number));
}

FolderConfig makeFolder()
{
    FolderConfig folder = makeServiceFolder();
    for (int i = 0; i < ACCOUNTS; ++i) {
        Account account;
        account.id = accountName(i);
        account.limitsRequests = false;
        account.limitsTokens = true;
        account.tokensPerSecond = account.tokenBurst = 1'000'000;
        account.tokensOfPlainCall = 200;
        folder.accounts[account.id] = account;
    }
    return folder;
}

/** Largest number of entries in one grant; a grant has one for each entry of its report. */
struct Entries
{
    std::size_t slots = 0;
    std::size_t accounts = 0;
};

/** Hosts that have used all accounts and targets and are idle since. */
class CalmCluster
{
public:
    CalmCluster()
        : simulation(HOSTS, makeFolder(), 1)
    {
        for (int i = 0; i < TARGETS; ++i)
            this->addTarget(i);
        this->simulation.onGrant = [this](const HostGrant &grant) {
            this->most.slots = std::max(this->most.slots, grant.slots.size());
            this->most.accounts = std::max(this->most.accounts, grant.accounts.size());
        };
        this->simulation.runUntil(this->simulation.now() + WARM_UP);
        this->use();
    }

    /** @return Largest numbers of entries since the last call. */
    Entries takeMost() { return std::exchange(this->most, {}); }

    DecisionSimulation simulation;

private:
    void addTarget(int number)
    {
        SimulatedTarget target;
        target.announcement.id = TargetId("t" + std::to_string(number));
        target.announcement.kind = TargetKind::Service;
        target.announcement.service = "s";
        target.announcement.start = Incarnation(1);
        target.announcement.maxConcurrent = SLOTS;
        this->simulation.addTarget(target);
    }

    /** Sends requests of all accounts to all hosts, and checks that they are answered. */
    void use()
    {
        for (int i = 0; i < HOSTS * REQUESTS_PER_HOST; ++i) {
            CallerRequest request;
            request.key = DecisionSimulation::keyOf(accountName(i / HOSTS % ACCOUNTS));
            request.path = "/s";
            request.byRoute = true;
            request.body = digestOf({std::to_string(i)});
            request.timeLimit = 4s;
            this->simulation.send(i % HOSTS, request,
                                  this->simulation.now() + REQUEST_INTERVAL * (i / HOSTS));
        }
        this->simulation.runUntil(this->simulation.now() + REQUEST_INTERVAL * REQUESTS_PER_HOST);
        const auto answered
            = std::count_if(this->simulation.outcomes.begin(), this->simulation.outcomes.end(),
                            [](const auto &outcome) { return outcome.second.answered; });
        cr_assert_geq(answered, HOSTS * REQUESTS_PER_HOST * 9 / 10, "%td answered", answered);
        const Entries inUse = this->takeMost();
        cr_assert_gt(inUse.slots, 0);
        cr_assert_gt(inUse.accounts, 0);
        this->simulation.runUntil(this->simulation.now() + CALM);
    }

    Entries most;
};

} // namespace

// Guards against a leader that looks through all hosts that ever claimed a slot of a target each
// time it divides the slots.
Test(calm_cost, leader_keeps_no_claims_of_idle_hosts)
{
    const CalmCluster cluster;
    std::size_t claims = 0;
    for (const auto &[target, slots] : cluster.simulation.control.leadership->slots)
        claims += slots.demands.size();
    cr_expect_eq(claims, 0, "%zu claims", claims);
}

// Guards against a leader that keeps an entry for each earlier run of a host.
Test(calm_cost, leader_forgets_ended_runs)
{
    CalmCluster cluster;
    for (int i = 0; i < HOSTS; ++i)
        cluster.simulation.restartHost(i);
    cluster.simulation.runUntil(cluster.simulation.now() + WARM_UP);
    const Leadership &leadership = *cluster.simulation.control.leadership;
    std::size_t ended = 0;
    for (const auto &[target, slots] : leadership.slots) {
        ended += std::count_if(slots.totals.begin(), slots.totals.end(), [&](const auto &item) {
            return leadership.hosts.at(item.first.host).run != item.first.run;
        });
    }
    cr_expect_eq(ended, 0, "%zu entries of ended runs", ended);
}

// Guards against reports that name each target that the host has used.
Test(calm_cost, reports_name_no_idle_targets)
{
    CalmCluster cluster;
    cluster.takeMost();
    cluster.simulation.runUntil(cluster.simulation.now() + MEASUREMENT);
    const std::size_t named = cluster.takeMost().slots;
    cr_expect_eq(named, 0, "%zu targets", named);
}

// Guards against reports that name each account used in the last minute, with two pools each.
Test(calm_cost, reports_name_no_idle_accounts)
{
    CalmCluster cluster;
    cluster.takeMost();
    cluster.simulation.runUntil(cluster.simulation.now() + MEASUREMENT);
    const std::size_t named = cluster.takeMost().accounts;
    cr_expect_eq(named, 0, "%zu accounts", named);
}

// Guards against a refund that is returned and granted again with each report: the host holds it
// for good, names its account in each report, and the account never gets it back.
Test(calm_cost, refund_of_a_reported_use_is_returned_once)
{
    constexpr std::int64_t ESTIMATE = 100;
    constexpr std::int64_t USED = 40;
    const TimePoint now{1s};
    const TimePoint expires = now + 1s;
    LeasedPool pool = makePool(10, ESTIMATE, now);
    const HolderId holder{HostId("a"), 1};
    cr_assert_eq(grant(pool, holder, ESTIMATE, expires, now), ESTIMATE);
    report(pool, holder, ESTIMATE, 0, expires, now);
    // The request ends and has used less than its estimate; the host returns the difference.
    report(pool, holder, USED, ESTIMATE - USED, expires, now);
    cr_expect_eq(pool.holdings.at(holder).granted, ESTIMATE);
    cr_expect_eq(outstanding(pool), 0);
    cr_expect_eq(pool.level, ESTIMATE - USED);
    // A repeated report changes nothing.
    report(pool, holder, USED, ESTIMATE - USED, expires, now);
    cr_expect_eq(pool.holdings.at(holder).granted, ESTIMATE);
    cr_expect_eq(pool.level, ESTIMATE - USED);
}

// Guards against a pool that forgets a host which has rested, and then takes all that the host has
// spent in this term out of the pool once more.
Test(calm_cost, holder_that_rested_is_not_charged_again)
{
    constexpr Duration REST = 20min;
    constexpr double BOUND = 100;
    TimePoint now{1s};
    LeasedPool pool = makePool(10, BOUND, now);
    const HolderId ended{HostId("a"), 1};
    const HolderId holder{HostId("a"), 2};
    grant(pool, ended, 10, now + 1s, now);
    cr_assert_eq(grant(pool, holder, 40, now + 1s, now), 40);
    report(pool, holder, 40, 0, now + 1s, now);
    now += REST;
    refillAndExpire(pool, now);
    cr_assert_eq(pool.level, BOUND);
    report(pool, holder, 40, 0, now + 1s, now);
    cr_expect_eq(pool.level, BOUND, "level %f", pool.level);
    // An earlier run of the same host does not report again.
    cr_expect(!pool.holdings.contains(ended));
}
