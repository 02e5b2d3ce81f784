/** @file config_storm_test.cpp Configurations that are asked for faster than they are written. */
#include "control_group.h"

#include "core/byte_budget_base.h"

#include <thread>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr std::size_t DOCUMENT_BYTES = 256 << 10;
/** An entry of the log: the document, and as much at most for its encoding. */
constexpr std::size_t ENTRY_BYTES = 2 * DOCUMENT_BYTES;
constexpr int STORM = 60; ///< Configurations, one a step of the clock.
constexpr Duration HOST_TIMEOUT = 900ms; ///< After which a host gives a call up.

/** Group whose operator asks for large configurations. */
struct Storm
{
    Storm()
    {
        this->group.onHostMessage = [this](GroupDaemon &daemon, const OutgoingControlMessage &out) {
            const auto *answer = std::get_if<OperatorAnswer>(&out.message);
            if (answer == nullptr || answer->error != Errc::Ok)
                return;
            this->acknowledged.insert(answer->id);
            if (daemon.control->cluster.number.value < answer->id)
                ++this->early;
        };
        this->group.runFor(3s);
        cr_assert(this->group.leader());
    }

    /** Hands a configuration to the leader, as a host does; nothing is delivered yet. */
    void ask(std::uint64_t number, std::optional<std::int64_t> timeLeftMs = std::nullopt)
    {
        GroupDaemon *leader = this->group.leader();
        cr_assert(leader);
        OperatorCall call;
        call.holder = {HostId("operator"), 1};
        call.id = number;
        ReplaceConfig body;
        body.number = Version(number);
        body.document = std::string(DOCUMENT_BYTES, 'x') + std::to_string(number);
        call.body = std::move(body);
        setTimeLeft(call, timeLeftMs);
        this->group.deliverEvent(*leader, HostMessageEvent{std::move(call)});
    }

    static void setTimeLeft(OperatorCall &call, std::optional<std::int64_t> timeLeftMs)
    {
        call.timeLeftMs = timeLeftMs;
    }

    /** @return Bytes of the entries that the leader has proposed and not applied. */
    std::size_t unappliedBytes()
    {
        const LogReplica &replica = this->group.leader()->control->replica;
        std::size_t bytes = 0;
        for (const LogEntry &entry : replica.log)
            bytes += entry.index > replica.applied ? entry.payload.size() : 0;
        return bytes;
    }

    /** @return Bytes of all entries that the leader has appended since the storm began. */
    std::size_t writtenBytes()
    {
        std::size_t bytes = 0;
        for (const LogEntry &entry : this->group.leader()->control->replica.log)
            bytes += entry.payload.size() > DOCUMENT_BYTES ? entry.payload.size() : 0;
        return bytes;
    }

    ControlGroup group;
    std::set<std::uint64_t> acknowledged;
    int early = 0; ///< Acknowledgements of what was neither in force nor overtaken.
};

} // namespace

// Guards against configurations in quick succession that fill the memory of the leader: each was
// proposed at once, and stood in the log, in the journal's queue and in messages until it was
// applied.
Test(config_storm, leader_holds_one_configuration_that_is_not_applied)
{
    Storm storm;
    std::size_t most = 0;
    for (std::uint64_t number = 1; number <= STORM; ++number) {
        storm.ask(number);
        most = std::max(most, storm.unappliedBytes());
        if (number % 20 == 0)
            storm.group.runFor(GROUP_STEP); // Commits lag: 20 arrive during one step.
    }
    cr_expect_leq(most, ENTRY_BYTES, "%zu bytes", most);
    storm.group.runFor(1s);
    cr_expect_eq(storm.group.number(), STORM);
}

// Guards against a configuration that is written although a newer one has overtaken it, or is
// acknowledged before it or a newer one is in force.
Test(config_storm, overtaken_configurations_are_acknowledged_and_not_written)
{
    Storm storm;
    for (std::uint64_t number = 1; number <= STORM; ++number)
        storm.ask(number);
    storm.ask(STORM / 2); // Sent again.
    storm.group.runFor(1s);
    cr_expect_eq(storm.group.number(), STORM);
    cr_expect_eq(storm.acknowledged.size(), STORM, "%zu", storm.acknowledged.size());
    cr_expect_eq(storm.early, 0);
    cr_expect_leq(storm.writtenBytes(), 3 * ENTRY_BYTES);
    storm.ask(1);
    cr_expect_leq(storm.unappliedBytes(), 0);
}

// Guards against an acknowledged configuration that the next leader does not have.
Test(config_storm, acknowledged_configurations_outlive_the_leader, .timeout = 60)
{
    for (int steps = 0; steps < 12; ++steps) {
        Storm storm;
        for (std::uint64_t number = 1; number <= 10; ++number)
            storm.ask(number);
        storm.group.runFor(steps * GROUP_STEP);
        const std::set<std::uint64_t> before = storm.acknowledged;
        storm.group.kill(*storm.group.leader());
        storm.group.runFor(3s);
        cr_assert(storm.group.leader());
        if (!before.empty())
            cr_expect_geq(storm.group.number(), *before.rbegin(), "after %d steps", steps);
        // What was not acknowledged is asked for again, unchanged.
        for (std::uint64_t number = 1; number <= 10; ++number)
            storm.ask(number);
        storm.group.runFor(1s);
        cr_expect_eq(storm.group.number(), 10);
    }
}

// Guards against work that nobody waits for: hosts that had given their calls up still had them
// written, ahead of the ones that they sent again.
Test(config_storm, call_that_its_host_has_given_up_is_not_carried_out)
{
    Storm storm;
    GroupDaemon *leader = storm.group.leader();
    OperatorCall call;
    call.holder = {HostId("operator"), 1};
    call.id = 1;
    call.body = SetZone{"change", {ZoneId("z"), true}};
    Storm::setTimeLeft(call, toMilliseconds(HOST_TIMEOUT));
    HostMessageEvent event{call};
    event.receivedAt = storm.group.now - HOST_TIMEOUT;
    const LogIndex before = lastIndex(leader->control->replica);
    storm.group.deliverEvent(*leader, event);
    cr_expect_eq(lastIndex(leader->control->replica), before);
    event.receivedAt = storm.group.now - HOST_TIMEOUT + 1ms;
    storm.group.deliverEvent(*leader, event);
    cr_expect_eq(lastIndex(leader->control->replica), before + 1);
}

// Guards against the same for a configuration that waits behind another one.
Test(config_storm, waiting_configuration_without_callers_is_dropped)
{
    Storm storm;
    storm.ask(1);
    storm.ask(2, toMilliseconds(GROUP_STEP) / 2);
    storm.group.runFor(1s);
    cr_expect_eq(storm.group.number(), 1);
    storm.ask(2, toMilliseconds(HOST_TIMEOUT));
    storm.group.runFor(1s);
    cr_expect_eq(storm.group.number(), 2);
}

// Guards against calls that wait beyond the bytes that are set aside for them, and against bytes
// that are not given back.
Test(config_storm, room_for_calls_is_bounded_in_bytes_and_given_back)
{
    ByteBudget budget(1'000);
    std::shared_ptr<const HeldRoom> first = budget.tryTake(600);
    cr_assert(first);
    cr_expect_not(budget.tryTake(401));
    cr_expect(budget.tryTake(400) != nullptr);
    cr_expect_eq(budget.held(), 600);
    const std::shared_ptr<const HeldRoom> copy = first;
    first.reset();
    cr_expect_eq(budget.held(), 600);
    std::vector<std::thread> takers;
    std::atomic<std::size_t> most{0};
    for (int i = 0; i < 8; ++i) {
        takers.emplace_back([&]() {
            for (int turn = 0; turn < 10'000; ++turn) {
                const auto room = budget.tryTake(100);
                std::size_t seen = most.load();
                const std::size_t held = budget.held();
                while (held > seen && !most.compare_exchange_weak(seen, held)) {
                }
            }
        });
    }
    for (std::thread &taker : takers)
        taker.join();
    cr_expect_leq(most.load(), 1'000);
    cr_expect_eq(budget.held(), 600);
    ByteBudget small(10);
    cr_expect(small.tryTake(11) != nullptr, "what is larger than the bound must not wait forever");
}
