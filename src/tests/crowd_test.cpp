/** @file crowd_test.cpp Many hosts with one leader: what they cost it, and what keeps it leading.
 */
#include "control/control_inbox_base.h"
#include "host/host_func.h"
#include "replay/decision_loop_base.h"

#include <algorithm>
#include <set>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 66;
constexpr int TARGETS = 12;
constexpr double LEADER_REPORTS_PER_SECOND = 1'000; ///< Of all hosts; 0.2 ms of a core each.

FolderConfig crowdFolder(double rate)
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

LoopTarget crowdTarget(int number)
{
    LoopTarget target;
    target.announcement.id = TargetId("t" + std::to_string(number));
    target.announcement.kind = TargetKind::Service;
    target.announcement.service = "s";
    target.announcement.zone = ZoneId("z0");
    target.announcement.start = StartNumber(1);
    target.announcement.maxConcurrent = 24;
    target.serviceTime = 50ms;
    return target;
}

void sendEach(DecisionLoop &loop, double perSecond, TimePoint from, TimePoint until)
{
    int host = 0;
    for (TimePoint at = from; at < until; at += fromSeconds(1 / perSecond)) {
        CallerRequest request;
        request.key = DecisionLoop::keyOf(AccountId("a"));
        request.path = "/s";
        request.body = digestOf({"a"});
        request.timeLimit = 2s;
        loop.send(host++ % HOSTS, request, at);
    }
}

std::size_t reportsIn(const HostEffects &effects)
{
    return static_cast<std::size_t>(
        std::count_if(effects.begin(), effects.end(), [](const HostEffect &effect) {
            return std::holds_alternative<SendControl>(effect);
        }));
}

HostGrant changeOf(std::uint64_t report, int hosts, TimePoint now)
{
    HostGrant grant;
    grant.sequence = report;
    grant.sentAt = now;
    grant.term = 1;
    grant.hostCount = hosts;
    grant.registry = RegistryDelta{1, report == 1, Version(report), {}, {}};
    return grant;
}

/** @return Reports before their time that a change of the registry brings about. */
std::size_t urgentAcknowledgements(int hosts)
{
    HostSettings settings;
    settings.holder = {HostId("h"), 1};
    settings.reportInterval = 250ms;
    TimePoint now(1s);
    Host host = makeHost(settings, now);
    cr_assert_eq(reportsIn(step(host, ControlLinkEvent{true}, now)), 1);
    // A first grant of a term is followed by a report in any case.
    std::size_t reports = reportsIn(step(host, ControlMessageEvent{changeOf(1, hosts, now)}, now));
    now += 100ms;
    reports += reportsIn(step(host, TickEvent{}, now));
    cr_assert_eq(reports, 1);
    reports = reportsIn(step(host, ControlMessageEvent{changeOf(2, hosts, now)}, now));
    for (const TimePoint end = now + 100ms; now < end; now += 5ms)
        reports += reportsIn(step(host, TickEvent{}, now));
    return reports;
}

HostMessageEvent reportOf(std::uint64_t sequence)
{
    HostReport report;
    report.sequence = sequence;
    return {HostMessage(report)};
}

} // namespace

/** Pattern: an account at twice its rate over many hosts; asking all of them each time is square.
 */
Test(crowd, a_scarce_account_costs_the_leader_no_storm, .timeout = 60)
{
    DecisionLoop loop(HOSTS, crowdFolder(200), 1);
    for (int i = 0; i < TARGETS; ++i)
        loop.addTarget(crowdTarget(i));
    const TimePoint begin = loop.now() + 4s;
    sendEach(loop, 400, begin, begin + 5s);
    loop.runUntil(begin + 1s);
    const std::uint64_t before = loop.messages;
    loop.runUntil(begin + 5s);
    const double perSecond = static_cast<double>(loop.messages - before) / 4 / 2;
    cr_assert_lt(perSecond, LEADER_REPORTS_PER_SECOND, "%.0f reports a second", perSecond);
    const auto answered = std::count_if(loop.answers.begin(), loop.answers.end(),
                                        [](const auto &item) { return item.second.answered; });
    cr_assert_gt(answered, 950, "%td answered in five seconds of 200 each", answered);
}

/** Pattern: engines load and unload all day; each host would answer each change by a report. */
Test(crowd, only_few_hosts_acknowledge_changes_at_once)
{
    cr_assert_eq(urgentAcknowledgements(9), 1);
    cr_assert_eq(urgentAcknowledgements(HOSTS), 0);
}

/** Pattern: all hosts lose power and come back while the new leader's decisions change the table.
 */
Test(crowd, hosts_that_start_together_share_one_whole_table, .timeout = 60)
{
    DecisionLoop loop(HOSTS, crowdFolder(200), 1);
    std::set<std::shared_ptr<const TableDelta>> wholes;
    std::uint64_t grants = 0;
    loop.onGrant = [&](const HostGrant &grant) {
        if (grant.table && grant.table->full) {
            wholes.insert(grant.table);
            ++grants;
        }
        ++loop.control.cluster.version.value; // Each grant is followed by a change.
    };
    loop.runUntil(loop.now() + 3s);
    cr_assert_geq(grants, HOSTS);
    cr_assert_leq(wholes.size(), 7, "%zu copies in three seconds", wholes.size());
    for (const SimulatedHost &item : loop.hosts)
        cr_assert_neq(item.host.table, Version(0));
}

/** Pattern: a leader so busy that each answer takes 300 ms; answers given up help nobody. */
Test(crowd, hosts_stay_fresh_under_a_late_leader, .timeout = 60)
{
    DecisionLoop loop(HOSTS, crowdFolder(200), 1);
    loop.addTarget(crowdTarget(0));
    loop.linkDelay = 150ms;
    loop.runUntil(loop.now() + 5s);
    for (const SimulatedHost &item : loop.hosts)
        cr_assert(isReady(item.host, loop.now()), "%s",
                  item.host.settings.holder.host.value.c_str());
}

/** Pattern: hosts that start together ask for so much that each answer comes after the next report.
 */
Test(crowd, the_facts_of_a_late_answer_hold_its_budgets_do_not)
{
    HostSettings settings;
    settings.holder = {HostId("h"), 1};
    const TimePoint start(1s);
    Host host = makeHost(settings, start);
    (void)step(host, ControlLinkEvent{true}, start);
    (void)step(host, TickEvent{}, start + 250ms);
    cr_assert_gt(host.reportSequence, 1);
    HostGrant grant = changeOf(1, HOSTS, start);
    grant.table = std::make_shared<const TableDelta>(TableDelta{Version(5), true, {}});
    grant.accounts = {{AccountId("a"), 10, 10, {}, {}, false}};
    (void)step(host, ControlMessageEvent{grant}, start + 300ms);
    cr_assert_eq(host.table, Version(5));
    cr_assert_eq(host.registry, Version(1));
    cr_assert_eq(host.freshUntil, start + host.settings.freshnessLease);
    cr_assert_eq(host.accounts.size(), 0);
    grant.table = std::make_shared<const TableDelta>(TableDelta{Version(4), true, {}});
    (void)step(host, ControlMessageEvent{grant}, start + 310ms);
    cr_assert_eq(host.table, Version(5), "never an older table");
    host.table = Version(0);
    grant.table = std::make_shared<const TableDelta>(TableDelta{Version(6), false, {}});
    (void)step(host, ControlMessageEvent{grant}, start + 320ms);
    cr_assert_eq(host.table, Version(0), "a part is not taken for the whole");
}

Test(crowd, the_group_goes_before_the_hosts)
{
    ControlInbox inbox;
    put(inbox, reportOf(1));
    put(inbox, reportOf(2));
    put(inbox, SyncedEvent{});
    cr_assert(std::holds_alternative<SyncedEvent>(*takeNext(inbox)));
    for (std::uint64_t expected : {1, 2}) {
        const auto event = takeNext(inbox);
        const auto &message = std::get<HostMessageEvent>(*event).message;
        cr_assert_eq(std::get<HostReport>(message).sequence, expected);
    }
    cr_assert(!takeNext(inbox));
}

Test(crowd, a_full_inbox_keeps_the_newest)
{
    ControlInbox inbox;
    for (std::uint64_t i = 1; i <= MAX_WAITING_HOST_MESSAGES + 1; ++i)
        put(inbox, reportOf(i));
    cr_assert_eq(inbox.dropped, 1);
    const auto event = takeNext(inbox);
    const auto &message = std::get<HostMessageEvent>(*event).message;
    cr_assert_eq(std::get<HostReport>(message).sequence, 2);
}
