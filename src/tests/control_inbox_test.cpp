/** @file control_inbox_test.cpp Order and bounds of the messages that wait at the leader. */
#include "control/control_inbox_base.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr int HOSTS = 195;

HostReport makeReport(int host, std::uint64_t sequence)
{
    HostReport report;
    report.holder = {HostId("h" + std::to_string(host)), 1};
    report.sequence = sequence;
    return report;
}

template <class Message> Message dequeue(ControlInbox &inbox)
{
    const auto event = dequeueEvent(inbox);
    cr_assert(event);
    return std::get<Message>(std::get<HostMessageEvent>(*event).message);
}

} // namespace

// Guards against a leader that decides reports which later ones of the same hosts have replaced.
Test(control_inbox, one_report_of_each_host_waits)
{
    ControlInbox inbox;
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        for (int host = 0; host < HOSTS; ++host)
            enqueueEvent(inbox, HostMessageEvent{makeReport(host, sequence)});
    }
    cr_assert_eq(inbox.hostMessages.size(), HOSTS);
    for (int host = 0; host < HOSTS; ++host) {
        const auto report = dequeue<HostReport>(inbox);
        cr_expect_eq(report.holder.host.value, "h" + std::to_string(host));
        cr_expect_eq(report.sequence, 10);
    }
    cr_expect(!dequeueEvent(inbox));
    cr_expect(inbox.reports.empty());
    cr_expect_eq(inbox.dropped, 0);
}

// Guards against an older report that arrives over an earlier connection and replaces a newer one.
Test(control_inbox, later_report_stays_when_an_earlier_one_arrives_after_it)
{
    ControlInbox inbox;
    enqueueEvent(inbox, HostMessageEvent{makeReport(1, 8)});
    enqueueEvent(inbox, HostMessageEvent{makeReport(1, 7)});
    cr_expect_eq(dequeue<HostReport>(inbox).sequence, 8);
}

// Guards against operators' calls that time out behind reports.
Test(control_inbox, operator_calls_precede_reports_and_are_queued_once)
{
    ControlInbox inbox;
    for (int host = 0; host < HOSTS; ++host)
        enqueueEvent(inbox, HostMessageEvent{makeReport(host, 1)});
    OperatorCall call;
    call.holder = {HostId("h1"), 1};
    call.body = ConfigQuery{};
    for (const std::uint64_t id : {1, 2, 1}) {
        call.id = id;
        enqueueEvent(inbox, HostMessageEvent{call});
    }
    enqueueEvent(inbox, SyncedEvent{});
    cr_expect(std::holds_alternative<SyncedEvent>(*dequeueEvent(inbox)));
    cr_expect_eq(dequeue<OperatorCall>(inbox).id, 1);
    cr_expect_eq(dequeue<OperatorCall>(inbox).id, 2);
    cr_expect_eq(dequeue<HostReport>(inbox).holder.host.value, "h0");
}

// Guards against the loss of what a report says once, when a later one takes its place.
Test(control_inbox, what_a_report_says_once_is_kept_in_the_later_one)
{
    const Variant used{ModelId("m"), {}};
    const Variant unused{ModelId("n"), {}};
    HostReport earlier = makeReport(1, 1);
    earlier.alive = {{TargetId("t1"), Incarnation(1)}, {TargetId("t2"), Incarnation(1)}};
    earlier.suspicions = {{Digest("d"), TargetId("t1"), Incarnation(1), true}};
    earlier.cleared = {Digest("c")};
    earlier.targetsLeft = {TargetId("t3")};
    for (const Variant &variant : {used, unused}) {
        VariantUse use;
        use.variant = variant;
        use.arrived = 2;
        use.waiting = 7;
        earlier.variants.push_back(use);
    }
    HostReport later = makeReport(1, 2);
    later.alive = {{TargetId("t1"), Incarnation(1)}};
    VariantUse use;
    use.variant = used;
    use.arrived = 3;
    use.waiting = 1;
    later.variants = {use};

    ControlInbox inbox;
    enqueueEvent(inbox, HostMessageEvent{earlier});
    enqueueEvent(inbox, HostMessageEvent{later});
    const auto merged = dequeue<HostReport>(inbox);
    cr_expect_eq(merged.alive.size(), 2);
    cr_expect_eq(merged.suspicions.size(), 1);
    cr_expect_eq(merged.cleared.size(), 1);
    cr_expect_eq(merged.targetsLeft.size(), 1);
    cr_assert_eq(merged.variants.size(), 2);
    cr_expect_eq(merged.variants[0].arrived, 5);
    cr_expect_eq(merged.variants[0].waiting, 1, "requests that waited before are counted again");
    cr_expect_eq(merged.variants[1].arrived, 2);
    cr_expect_eq(merged.variants[1].waiting, 0);
}
