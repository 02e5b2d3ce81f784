/** @file crowd_test.cpp Checks that many hosts do not overload the leader. */
#include "control/control_inbox_base.h"
#include "host/host_func.h"
#include "replay/decision_simulation_base.h"

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 66;
constexpr int TARGETS = 12;
constexpr double MAX_REPORTS_PER_SECOND
    = 1'000; ///< Limit for all hosts together; a report takes 0.2 ms of CPU time.

FolderConfig makeFolder(double rate)
{
    FolderConfig folder;
    Account account;
    account.id = AccountId("a");
    account.requestsPerSecond = account.requestBurst = rate;
    folder.accounts[account.id] = account;
    Route route;
    route.id = RouteId("s");
    route.path = "/s";
    route.service = "s";
    route.repeatable = true;
    folder.routes[route.id] = route;
    return folder;
}

SimulatedTarget makeTarget(int number)
{
    SimulatedTarget target;
    target.announcement.id = TargetId("t" + std::to_string(number));
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.zone = ZoneId("z0");
    target.announcement.start = Incarnation(1);
    target.announcement.maxConcurrent = 24;
    target.serviceTime = 50ms;
    return target;
}

void sendAtRate(DecisionSimulation &simulation, double perSecond, TimePoint from, TimePoint until)
{
    int host = 0;
    for (TimePoint at = from; at < until; at += fromSeconds(1 / perSecond)) {
        CallerRequest request;
        request.key = DecisionSimulation::keyOf(AccountId("a"));
        request.path = "/s";
        request.body = digestOf({"a"});
        request.timeLimit = 2s;
        simulation.send(host++ % HOSTS, request, at);
    }
}

std::size_t countReports(const HostEffects &effects)
{
    return static_cast<std::size_t>(
        std::count_if(effects.begin(), effects.end(), [](const HostEffect &effect) {
            return std::holds_alternative<SendControl>(effect);
        }));
}

HostGrant makeGrant(std::uint64_t report, int hosts, TimePoint now)
{
    HostGrant grant;
    grant.sequence = report;
    grant.sentAt = now;
    grant.term = 1;
    grant.hostCount = hosts;
    grant.registry = RegistryDelta{1, report == 1, Version(report), {}, {}};
    return grant;
}

/** @return Reports sent before the report interval ends, because the registry changed. */
std::size_t countUrgentReports(int hosts)
{
    HostSettings settings;
    settings.holder = {HostId("h"), 1};
    settings.reportInterval = 250ms;
    TimePoint now(1s);
    Host host = makeHost(settings, now);
    cr_assert_eq(countReports(step(host, ControlLinkEvent{true}, now)), 1);
    // The first grant of a term is always followed by a report.
    std::size_t reports
        = countReports(step(host, ControlMessageEvent{makeGrant(1, hosts, now)}, now));
    now += 100ms;
    reports += countReports(step(host, TickEvent{}, now));
    cr_assert_eq(reports, 1);
    reports = countReports(step(host, ControlMessageEvent{makeGrant(2, hosts, now)}, now));
    for (const TimePoint end = now + 100ms; now < end; now += 5ms)
        reports += countReports(step(host, TickEvent{}, now));
    return reports;
}

/** @return Report of a host of its own. */
HostMessageEvent makeReport(std::uint64_t sequence)
{
    HostReport report;
    report.holder = {HostId("h" + std::to_string(sequence)), 1};
    report.sequence = sequence;
    return {HostMessage(report)};
}

} // namespace

/**
 * Guards against a report storm: many hosts serve an account at twice its rate. If the leader asked
 * all hosts for each report, the messages would grow with the square of the number of hosts.
 */
Test(crowd, account_over_its_rate_causes_no_report_storm, .timeout = 60)
{
    DecisionSimulation simulation(HOSTS, makeFolder(200), 1);
    for (int i = 0; i < TARGETS; ++i)
        simulation.addTarget(makeTarget(i));
    const TimePoint begin = simulation.now() + 4s;
    sendAtRate(simulation, 400, begin, begin + 5s);
    simulation.runUntil(begin + 1s);
    const std::uint64_t before = simulation.messages;
    simulation.runUntil(begin + 5s);
    const double perSecond = static_cast<double>(simulation.messages - before) / 4 / 2;
    cr_assert_lt(perSecond, MAX_REPORTS_PER_SECOND, "%.0f reports per second", perSecond);
    const auto answered = std::count_if(simulation.outcomes.begin(), simulation.outcomes.end(),
                                        [](const auto &item) { return item.second.answered; });
    cr_assert_gt(answered, 950, "%td answered in 5 s at 200 requests/s", answered);
}

/**
 * Guards against a report from each host after each change of the registry. The registry changes
 * all the time, because engines load and unload models.
 */
Test(crowd, changes_are_acknowledged_at_once_only_among_few_hosts)
{
    cr_assert_eq(countUrgentReports(9), 1);
    cr_assert_eq(countUrgentReports(HOSTS), 0);
}

/**
 * Guards against one full copy of the table per host: all hosts restart after a power failure while
 * the decisions of the new leader change the table.
 */
Test(crowd, hosts_that_start_together_share_a_full_table, .timeout = 60)
{
    DecisionSimulation simulation(HOSTS, makeFolder(200), 1);
    std::set<std::shared_ptr<const TableDelta>> fullTables;
    std::uint64_t grants = 0;
    simulation.onGrant = [&](const HostGrant &grant) {
        if (grant.table && grant.table->full) {
            fullTables.insert(grant.table);
            ++grants;
        }
        ++simulation.control.cluster.version.value; // Changes the table after each grant.
    };
    simulation.runUntil(simulation.now() + 3s);
    cr_assert_geq(grants, HOSTS);
    cr_assert_leq(fullTables.size(), 7, "%zu copies in 3 s", fullTables.size());
    for (const SimulatedHost &item : simulation.hosts)
        cr_assert_neq(item.host.table, Version(0));
}

/**
 * Guards against hosts that lose their lease because they ignore late grants: the leader is so busy
 * that each grant arrives 300 ms after the report.
 */
// Guards against a leader that loses its leadership after a large change of the configuration: it
// made and encoded the change for each host, and again for each report that it answered late.
Test(crowd, hosts_share_a_large_change_of_the_configuration, .timeout = 60)
{
    constexpr std::size_t ROUTES = 1'000;
    DecisionSimulation simulation(HOSTS, makeFolder(200), 1);
    simulation.runUntil(simulation.now() + 3s);
    std::set<std::shared_ptr<const TableDelta>> largeChanges;
    std::uint64_t grants = 0;
    simulation.onGrant = [&](const HostGrant &grant) {
        if (grant.table && grant.table->records.size() >= ROUTES) {
            largeChanges.insert(grant.table);
            ++grants;
        }
        ++simulation.control.cluster.version.value; // Changes the table after each grant.
    };
    ReplaceConfig change;
    change.number = Version(100);
    change.document = "large";
    change.config = makeFolder(200);
    for (std::size_t i = 0; i < ROUTES; ++i) {
        Route route = change.config.routes.begin()->second;
        route.path = "/s" + std::to_string(i);
        route.id = RouteId(route.path);
        change.config.routes[route.id] = route;
    }
    simulation.sendOperatorRequest(0, change);
    simulation.runUntil(simulation.now() + 2s);
    cr_assert_geq(grants, HOSTS);
    cr_assert_leq(largeChanges.size(), 5, "%zu copies in 2 s", largeChanges.size());
    for (const SimulatedHost &item : simulation.hosts)
        cr_assert_geq(item.host.view.routes.size(), ROUTES);
}

Test(crowd, hosts_keep_their_lease_if_the_leader_answers_late, .timeout = 60)
{
    DecisionSimulation simulation(HOSTS, makeFolder(200), 1);
    simulation.addTarget(makeTarget(0));
    simulation.linkDelay = 150ms;
    simulation.runUntil(simulation.now() + 5s);
    for (const SimulatedHost &item : simulation.hosts)
        cr_assert(isReady(item.host, simulation.now()), "%s",
                  item.host.settings.holder.host.value.c_str());
}

/**
 * Guards against wrong use of late grants: hosts that start together load the leader so much that
 * each grant arrives after the next report. The host may apply the table and the registry of a late
 * grant, but not its budgets.
 */
Test(crowd, late_answer_updates_tables_but_grants_no_budgets)
{
    HostSettings settings;
    settings.holder = {HostId("h"), 1};
    const TimePoint start(1s);
    Host host = makeHost(settings, start);
    (void)step(host, ControlLinkEvent{true}, start);
    (void)step(host, TickEvent{}, start + 250ms);
    cr_assert_gt(host.reportSequence, 1);
    HostGrant grant = makeGrant(1, HOSTS, start);
    grant.table = std::make_shared<const TableDelta>(TableDelta{Version(5), true, {}});
    grant.accounts = {{AccountId("a"), 10, 10, {}, {}, false}};
    (void)step(host, ControlMessageEvent{grant}, start + 300ms);
    cr_assert_eq(host.table, Version(5));
    cr_assert_eq(host.registry, Version(1));
    cr_assert_eq(host.freshUntil, start + host.settings.freshnessLease);
    cr_assert_eq(host.accounts.size(), 0);
    grant.table = std::make_shared<const TableDelta>(TableDelta{Version(4), true, {}});
    (void)step(host, ControlMessageEvent{grant}, start + 310ms);
    cr_assert_eq(host.table, Version(5), "an older table replaced a newer one");
    host.table = Version(0);
    grant.table = std::make_shared<const TableDelta>(TableDelta{Version(6), false, {}});
    (void)step(host, ControlMessageEvent{grant}, start + 320ms);
    cr_assert_eq(host.table, Version(0), "a partial table was applied without its base");
}

Test(crowd, control_group_events_precede_host_messages)
{
    ControlInbox inbox;
    enqueueEvent(inbox, makeReport(1));
    enqueueEvent(inbox, makeReport(2));
    enqueueEvent(inbox, SyncedEvent{});
    cr_assert(std::holds_alternative<SyncedEvent>(*dequeueEvent(inbox)));
    for (std::uint64_t expected : {1, 2}) {
        const auto event = dequeueEvent(inbox);
        const auto &message = std::get<HostMessageEvent>(*event).message;
        cr_assert_eq(std::get<HostReport>(message).sequence, expected);
    }
    cr_assert(!dequeueEvent(inbox));
}

Test(crowd, full_inbox_drops_the_oldest_host_message)
{
    ControlInbox inbox;
    for (std::uint64_t i = 1; i <= MAX_QUEUED_HOST_MESSAGES + 1; ++i)
        enqueueEvent(inbox, makeReport(i));
    cr_assert_eq(inbox.dropped, 1);
    const auto event = dequeueEvent(inbox);
    const auto &message = std::get<HostMessageEvent>(*event).message;
    cr_assert_eq(std::get<HostReport>(message).sequence, 2);
}
