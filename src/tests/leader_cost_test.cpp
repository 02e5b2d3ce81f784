/** @file leader_cost_test.cpp Processor time of the leader's decisions and messages. */
#include "net/link_wire_func.h"
#include "replay/decision_simulation_base.h"
#include "state/cluster_func.h"

#include <ctime>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 195;
constexpr int ENGINES = 117;
constexpr int MODELS_OF_ENGINE = 3;
constexpr int ADAPTERS_OF_ENGINE = 8;
constexpr int CACHED_MODELS = 19;
constexpr Duration WARM_UP = 4s; ///< Time until all hosts have the configuration and the targets.
constexpr Duration MEASUREMENT = 2s;
constexpr int CHANGES = 8; ///< Of each engine, within a measurement.
/** An engine changes about once in two seconds: 60 changes a second reach 195 hosts each. They may
 * take a tenth of the 0.6 cores of a control host. */
constexpr double MAX_MICROSECONDS_PER_CHANGE = 5;
/** The leader ticks each 10 ms; the ticks may take a tenth of its time. */
constexpr double MAX_MICROSECONDS_PER_TICK = 1'000;

/** @return Processor time of this thread, in microseconds. */
double processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/** Adds up the processor time of the leader's steps and of the encoding of its grants. */
struct LeaderTime
{
    DecisionSimulation &simulation;
    EncodedTable encoded;
    double began = 0;
    double microseconds = 0;
    std::uint64_t steps = 0;
    std::size_t changes = 0; ///< Targets in the grants' changes of the registry.

    explicit LeaderTime(DecisionSimulation &simulation)
        : simulation(simulation)
    {
        simulation.onControlStep = [this](bool begins) { this->addStep(begins); };
        simulation.onGrant = [this](const HostGrant &grant) { this->addGrant(grant); };
    }

    void addStep(bool begins)
    {
        const double now = processorTime();
        this->microseconds += begins ? 0 : now - this->began;
        this->steps += begins ? 1 : 0;
        this->began = now;
    }

    void addGrant(const HostGrant &grant)
    {
        const double before = processorTime();
        cr_assert(!packGrant(grant, this->encoded).empty());
        this->microseconds += processorTime() - before;
        this->changes += grant.registry ? grant.registry->changed.size() : 0;
    }

    void reset()
    {
        this->microseconds = 0;
        this->steps = 0;
        this->changes = 0;
    }
};

Variant variantOf(int engine, int model, int adapter)
{
    const ModelId id("model" + std::to_string(100'000 + engine * MODELS_OF_ENGINE + model));
    return {id, adapter < 0 ? AdapterId() : AdapterId("adapter" + std::to_string(adapter))};
}

SimulatedTarget makeEngine(int number)
{
    SimulatedTarget target;
    TargetAnnouncement &announcement = target.announcement;
    announcement.id = TargetId("engine-" + std::to_string(100'000 + number));
    announcement.address = "10.0.0.1:8000";
    announcement.zone = ZoneId("z" + std::to_string(number % 6));
    announcement.service = "s";
    announcement.start = Incarnation(1);
    announcement.sequence = 1;
    for (int model = 0; model < MODELS_OF_ENGINE; ++model)
        announcement.loaded.push_back({variantOf(number, model, -1), Version(1), 70'000});
    for (int adapter = 0; adapter < ADAPTERS_OF_ENGINE; ++adapter)
        announcement.loaded.push_back({variantOf(number, 0, adapter), Version(1), 200});
    for (int model = 0; model < CACHED_MODELS; ++model)
        announcement.cached.push_back({variantOf(number, model, -1).model, CacheTier::Disk});
    return target;
}

/** Lets each engine announce another adapter CHANGES times within the measurement. */
void changeEngines(DecisionSimulation &simulation)
{
    for (int change = 0; change < CHANGES; ++change) {
        for (auto &[id, target] : simulation.targets) {
            ++target.announcement.sequence;
            target.announcement.loaded.back().variant.adapter
                = AdapterId("changed" + std::to_string(change));
        }
        simulation.runUntil(simulation.now() + MEASUREMENT / CHANGES);
    }
}

} // namespace

// Guards against a leader that describes and encodes each change of an engine anew for each host:
// adapters come and go all the time, and hundreds of hosts get to know each of them.
Test(leader_cost, change_of_an_engine_is_described_once_for_all_hosts, .timeout = 120)
{
    DecisionSimulation simulation(HOSTS, {}, 1);
    for (int i = 0; i < ENGINES; ++i)
        simulation.addTarget(makeEngine(i));
    simulation.runUntil(simulation.now() + WARM_UP);
    LeaderTime time(simulation);
    simulation.runUntil(simulation.now() + MEASUREMENT);
    const double calm = time.microseconds;
    time.reset();
    changeEngines(simulation);
    cr_assert_geq(time.changes, ENGINES * HOSTS, "%zu changes in all grants", time.changes);
    const double each = (time.microseconds - calm) / static_cast<double>(time.changes);
    cr_log_info("%.1f us for each of %zu changes; %.0f us without changes", each, time.changes,
                calm);
    cr_expect_leq(each, MAX_MICROSECONDS_PER_CHANGE, "%.1f us for each of %zu changes", each,
                  time.changes);
}

// Guards against ticks that compare each suspected request with each other one: when a rack of
// engines is lost, hundreds of requests are suspected, and some of them stay so for minutes.
Test(leader_cost, suspected_requests_cost_a_tick_little, .timeout = 120)
{
    constexpr int LOST_TARGETS = 25;
    constexpr int REQUESTS = 500;
    DecisionSimulation simulation(2, {}, 1);
    simulation.runUntil(simulation.now() + WARM_UP);
    Leadership &leadership = *simulation.control.leadership;
    for (int i = 0; i < REQUESTS; ++i) {
        CrashRecord &record = leadership.crashRecords[digestOf({std::to_string(i)})];
        for (const int lost : {i % LOST_TARGETS, (i + 1) % LOST_TARGETS})
            record.targets[{TargetId("t" + std::to_string(lost)), Incarnation(1)}] = true;
        record.lastReportedAt = simulation.now();
    }
    simulation.runUntil(simulation.now() + 500ms); // From then on the requests are judged.
    LeaderTime time(simulation);
    simulation.runUntil(simulation.now() + MEASUREMENT);
    const double each = time.microseconds / static_cast<double>(time.steps);
    cr_log_info("%.0f us for each of %lu steps", each, static_cast<unsigned long>(time.steps));
    cr_expect_leq(each, MAX_MICROSECONDS_PER_TICK, "%.0f us for each of %lu steps", each,
                  static_cast<unsigned long>(time.steps));
    cr_expect_eq(leadership.crashRecords.size(), REQUESTS);
}

// Guards against a leader that, after a start from a snapshot, looks through all records of the
// table for each report: placement changes the version of the table all the time.
Test(leader_cost, member_knows_from_a_snapshot_when_the_records_of_hosts_have_changed)
{
    Cluster cluster;
    FolderConfig folder;
    folder.accounts[AccountId("a")].id = AccountId("a");
    apply(cluster, {Duration::zero(), ApplyConfig{"folder", Version(0), folder}});
    const Version changed = cluster.version;
    Replica replica;
    replica.target = TargetId("t");
    apply(cluster, {Duration::zero(), UpdateReplicas{{replica}, {}}});
    cr_assert_gt(cluster.version, changed);
    DurableState durable;
    durable.latestSnapshot.state = encode(cluster);
    const Result<Control> control = makeControl(MemberId("m"), durable, 1, TimePoint(1s));
    cr_assert(control);
    cr_assert_gt(cluster.hostsVersion.value, 0);
    cr_expect_eq(control.value().cluster.hostsVersion, cluster.hostsVersion);
    cr_expect(tableDeltaSince(control.value().cluster, changed).records.empty());
}

// Guards against reports that repeat for seconds what a host has used of an account, in a cluster
// in which each host serves most accounts now and then; and against use that the leader never
// learns.
Test(leader_cost, account_leaves_the_reports_once_the_leader_knows_its_use)
{
    constexpr std::int64_t TOKENS = 200;
    const AccountId id("a");
    FolderConfig folder;
    Account &account = folder.accounts[id];
    account.id = id;
    account.limitsRequests = false;
    account.limitsTokens = true;
    account.tokensPerSecond = account.tokenBurst = 10'000;
    account.tokensOfPlainCall = TOKENS;
    Route &route = folder.routes[RouteId("s")];
    route.id = RouteId("s");
    route.path = "/s";
    route.service = "s";
    for (const bool answersAreLost : {false, true}) {
        DecisionSimulation simulation(20, folder, 1);
        SimulatedTarget target = makeEngine(0);
        target.announcement.kind = TargetKind::Service;
        simulation.addTarget(target);
        simulation.runUntil(simulation.now() + WARM_UP);
        CallerRequest request;
        request.key = DecisionSimulation::keyOf(id);
        request.path = "/s";
        request.byRoute = true;
        request.timeLimit = 2s;
        const RequestId sent = simulation.send(0, request, simulation.now());
        simulation.runUntil(simulation.now() + 200ms);
        cr_assert(simulation.outcomes.at({0, sent}).answered);
        simulation.hosts.front().partitioned = answersAreLost;
        simulation.runUntil(simulation.now() + 800ms);
        simulation.hosts.front().partitioned = false;
        simulation.runUntil(simulation.now() + 1500ms);
        std::size_t entries = 0;
        simulation.onGrant = [&](const HostGrant &grant) { entries += grant.accounts.size(); };
        simulation.runUntil(simulation.now() + 1s);
        cr_expect_eq(entries, 0, "%zu entries", entries);
        const LeasedPool &pool = simulation.control.leadership->accounts.at(id).tokens;
        const HolderId &holder = simulation.hosts.front().host.settings.holder;
        cr_expect_eq(pool.holdings.at(holder).spent, TOKENS);
    }
}

// Guards against a list of all suspects in the grant to each host for each single one of them that
// is cleared.
Test(leader_cost, suspects_cleared_one_by_one_are_not_listed_anew_each_time)
{
    constexpr int REQUESTS = 100;
    constexpr Duration CLEARING = 2s;
    DecisionSimulation simulation(2, {}, 1);
    simulation.runUntil(simulation.now() + WARM_UP);
    Leadership &leadership = *simulation.control.leadership;
    std::size_t lists = 0;
    simulation.onGrant = [&](const HostGrant &grant) { lists += grant.suspects.empty() ? 0 : 1; };
    for (int i = 0; i < REQUESTS; ++i)
        leadership.crashRecords[digestOf({std::to_string(i)})].lastReportedAt = simulation.now();
    ++leadership.suspectsVersion;
    simulation.runUntil(simulation.now() + 1s);
    cr_assert_geq(lists, 2, "each host has the list");
    lists = 0;
    for (int i = 0; i + 1 < REQUESTS; ++i) {
        simulation.hosts.front().host.cleared.push_back(digestOf({std::to_string(i)}));
        simulation.runUntil(simulation.now() + CLEARING / REQUESTS);
    }
    cr_assert_leq(leadership.crashRecords.size(), REQUESTS / 4);
    cr_expect_leq(lists, 2 * 3, "%zu lists for two hosts within two seconds", lists);
    simulation.runUntil(simulation.now() + 2s);
    for (const SimulatedHost &host : simulation.hosts)
        cr_expect_eq(host.host.suspects.size(), leadership.crashRecords.size());
}
