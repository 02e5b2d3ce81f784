/** @file call_sweep_test.cpp Calls that are not idempotent, with a crash of host, target or leader
 * at each event in turn. */
#include "call/call_func.h"
#include "replay/decision_simulation_base.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

FolderConfig ledgerConfig()
{
    FolderConfig folder;
    Account account;
    account.id = AccountId("a");
    account.requestsPerSecond = 1'000;
    account.requestBurst = 1'000;
    folder.accounts[account.id] = account;
    Route route;
    route.id = RouteId("holds");
    route.path = "/holds";
    route.service = "holds";
    folder.routes[route.id] = route;
    return folder;
}

CallerRequest holdRequest(const std::string &key)
{
    CallerRequest request;
    request.key = DecisionSimulation::keyOf(AccountId("a"));
    request.path = "/holds";
    request.body = digestOf({key});
    request.idempotencyKey = key;
    request.timeLimit = 3s;
    return request;
}

/** Processes that crash at a given event. */
enum class Crash {
    Host,
    Control,
    Target,
    HostAndControl,
};

/** Simulates one call, its resends through all hosts, and one crash. */
struct CrashScenario
{
    CrashScenario(Crash crash, std::uint64_t atEvent, unsigned seed)
        : simulation(3, ledgerConfig(), seed)
    {
        SimulatedTarget ledger;
        ledger.announcement.id = TargetId("l");
        ledger.announcement.kind = TargetKind::Service;
        ledger.announcement.service = "holds";
        ledger.announcement.zone = ZoneId("z0");
        ledger.announcement.start = Incarnation(1);
        ledger.serviceTime = 20ms;
        ledger.answer = [this](const StartAttempt &attempt) {
            ++this->runs;
            AttemptEnded ended;
            ended.attempt = attempt.attempt;
            ended.status = 200;
            ended.result = this->targetCrashed ? AttemptResult::Lost : AttemptResult::Answered;
            ended.connectionLost = this->targetCrashed;
            this->targetCrashed = false;
            return ended;
        };
        this->simulation.addTarget(ledger);
        this->simulation.runUntil(TimePoint(6s));
        const std::uint64_t eventsBeforeCall = this->simulation.events;
        this->simulation.afterEvent = [this, crash, at = eventsBeforeCall + atEvent]() {
            if (this->simulation.events == at)
                this->injectCrash(crash);
        };
        this->first = this->simulation.send(0, holdRequest("k1"), this->simulation.now() + 1ms);
        for (int i = 1; i <= 4; ++i)
            this->resends.emplace_back(i % 3,
                                       this->simulation.send(i % 3, holdRequest("k1"),
                                                             this->simulation.now() + i * 700ms));
        this->simulation.runUntil(this->simulation.now() + 9s);
    }

    void injectCrash(Crash crash)
    {
        if (crash == Crash::Host || crash == Crash::HostAndControl)
            this->simulation.restartHost(0);
        if (crash == Crash::Control || crash == Crash::HostAndControl)
            this->simulation.restartControl(300ms);
        if (crash == Crash::Target)
            this->targetCrashed = true;
    }

    DecisionSimulation simulation;
    int runs = 0; ///< Times that the target has run the call.
    bool targetCrashed = false; ///< Whether the target crashes at the end of its next run.
    RequestId first;
    std::vector<std::pair<int, RequestId>>
        resends; ///< Resends, each with the index of the host that got it.
};

} // namespace

Test(call_sweep, calls_run_at_most_once_and_not_run_answers_are_correct_at_every_crash_point)
{
    int answered = 0;
    int scenarios = 0;
    for (const Crash crash : {Crash::Host, Crash::Control, Crash::Target, Crash::HostAndControl}) {
        for (std::uint64_t at = 1; at <= 60; ++at) {
            CrashScenario scenario(crash, at, static_cast<unsigned>(at));
            ++scenarios;
            cr_assert_leq(scenario.runs, 1, "crash %d at event %lu ran %d times",
                          static_cast<int>(crash), at, scenario.runs);
            bool everyNotRun = true;
            for (const auto &[host, request] : scenario.resends) {
                const auto answer = scenario.simulation.outcomes.find({host, request});
                cr_assert(answer != scenario.simulation.outcomes.end(),
                          "a resend got no answer: crash %d at event %lu", static_cast<int>(crash),
                          at);
                answered += answer->second.answered ? 1 : 0;
                everyNotRun = everyNotRun && !answer->second.answered
                    && answer->second.refusal.execution == Execution::NotRun;
                if (answer->second.answered)
                    cr_assert_eq(scenario.runs, 1, "answered a call that the target did not run");
            }
            const auto first = scenario.simulation.outcomes.find({0, scenario.first});
            const bool firstNotRun = first == scenario.simulation.outcomes.end()
                || (!first->second.answered
                    && first->second.refusal.execution == Execution::NotRun);
            // If all outcomes say not-run, the target must not have run the call. This can't be
            // checked if the first host crashed before it answered.
            if (everyNotRun && firstNotRun && first != scenario.simulation.outcomes.end())
                cr_assert_eq(scenario.runs, 0,
                             "a call that ran was reported as not-run: crash %d at event %lu",
                             static_cast<int>(crash), at);
        }
    }
    cr_assert_gt(answered, scenarios, "too few resends were answered");
}

Test(call_records, a_reused_key_with_another_body_is_refused_and_old_records_expire)
{
    CallTable table;
    const CallId id{AccountId("a"), "k"};
    const CallOwner owner{HostId("h"), 1, RequestId(1)};
    cr_assert(beginCall(table, id, Digest("x"), owner, 0s) == CallVerdict::Dispatch);
    cr_assert(beginCall(table, id, Digest("y"), owner, 0s) == CallVerdict::IdempotencyConflict);
    cr_assert(endCall(table, id, owner, CallEnd::Answered, {200, "", "ok", false}));
    cr_assert(beginCall(table, id, Digest("x"), owner, 1s) == CallVerdict::Replay);
    cr_assert_eq(expireCalls(table, CALL_RETENTION - 1s), 0);
    cr_assert_eq(expireCalls(table, CALL_RETENTION), 1);
}

Test(call_records, a_full_table_refuses_new_calls_and_evicts_none)
{
    CallTable table;
    const CallOwner owner{HostId("h"), 1, RequestId(1)};
    for (std::size_t i = 0; i < MAX_CALL_RECORDS_PER_ACCOUNT; ++i)
        beginCall(table, {AccountId("a"), std::to_string(i)}, Digest("x"), owner, 0s);
    cr_assert(beginCall(table, {AccountId("a"), "more"}, Digest("x"), owner, 0s)
              == CallVerdict::TableFull);
    cr_assert(beginCall(table, {AccountId("b"), "more"}, Digest("x"), owner, 0s)
              == CallVerdict::Dispatch);
}

namespace {

/** Bytes of stored answers, counted from the records and not from the table's own counts. */
struct StoredBytes
{
    std::map<AccountId, std::size_t> accounts;
    std::size_t total = 0;
};

StoredBytes storedBytesOf(const CallTable &table)
{
    StoredBytes stored;
    for (const auto &[id, record] : table.records) {
        const std::size_t bytes = record.answer.body.size() + record.answer.contentType.size();
        stored.accounts[id.account] += bytes;
        stored.total += bytes;
    }
    return stored;
}

/** Records a call of @p account that ends with @p body. @return The stored answer. */
const StoredAnswer &runCall(CallTable &table, const std::string &account, int number,
                            const std::string &body, Duration clock = 0s)
{
    const CallId id{AccountId(account), std::to_string(number)};
    const CallOwner owner{HostId("h"), 1, RequestId(1)};
    cr_assert(beginCall(table, id, Digest("x"), owner, clock) == CallVerdict::Dispatch);
    cr_assert(endCall(table, id, owner, CallEnd::Answered, {200, "text/plain", body, false}));
    return table.records.at(id).answer;
}

/** Body of the largest answer that may be stored with the content type of runCall(). */
std::string largestBody()
{
    return std::string(MAX_STORED_ANSWER_BYTES - std::string("text/plain").size(), 'a');
}

void assertSameCounts(const CallTable &a, const CallTable &b)
{
    cr_assert(a.storedBytes == b.storedBytes);
    cr_assert_eq(a.totalStoredBytes, b.totalStoredBytes);
    cr_assert(a.counts == b.counts);
}

} // namespace

// Guards against answers, each within its bound, that together exhaust the members' memory.
Test(call_records, stored_answers_of_an_account_and_of_all_accounts_are_bounded_in_bytes)
{
    CallTable table;
    const std::string body = largestBody();
    std::size_t total = 0;
    const int calls = static_cast<int>(MAX_CALL_RECORDS_PER_ACCOUNT);
    for (int i = 0; i < calls; ++i) {
        for (const char *account : {"a", "b"}) {
            const StoredAnswer &answer = runCall(table, account, i, body);
            total += answer.body.size() + answer.contentType.size();
            cr_assert_eq(answer.status, 200);
            cr_assert_eq(answer.truncated, answer.body.empty());
            // Without the bound the test would need 2.6 GB; it ends at the first excess.
            cr_assert_leq(total, 2 * MAX_STORED_BYTES_PER_ACCOUNT, "after %d calls", i + 1);
        }
    }
    const StoredBytes stored = storedBytesOf(table);
    for (const char *account : {"a", "b"}) {
        const std::size_t bytes = stored.accounts.at(AccountId(account));
        cr_assert_leq(bytes, MAX_STORED_BYTES_PER_ACCOUNT);
        cr_assert_gt(bytes + MAX_STORED_ANSWER_BYTES, MAX_STORED_BYTES_PER_ACCOUNT);
        cr_assert_eq(table.counts.at(AccountId(account)), MAX_CALL_RECORDS_PER_ACCOUNT);
    }
    const StoredAnswer &other = runCall(table, "c", 1, body);
    cr_assert_eq(other.body, body);
    cr_assert_not(other.truncated);
    cr_assert(beginCall(table, {AccountId("a"), std::to_string(calls - 1)}, Digest("x"),
                        {HostId("h2"), 1, RequestId(2)}, 0s)
                  == CallVerdict::Replay,
              "the outcome of a call whose answer was dropped was lost");
}

// Guards against accounts that use up the room of all the others.
Test(call_records, many_accounts_at_once_leave_room_for_another)
{
    CallTable table;
    const std::string body = largestBody();
    for (int i = 0; i < 200; ++i) {
        for (int account = 0; account < 20; ++account)
            runCall(table, "flood" + std::to_string(account), i, body);
        cr_assert_leq(storedBytesOf(table).total, MAX_STORED_BYTES);
    }
    cr_assert_eq(runCall(table, "other", 1, body).body, body);
}

// Guards against members that decide differently because one of them was restored from a snapshot.
Test(call_records, bytes_of_stored_answers_survive_a_snapshot)
{
    CallTable table;
    const std::string body = largestBody();
    for (int i = 0; i < 200; ++i)
        runCall(table, "a", i, body);
    runCall(table, "b", 1, "short");
    Result<CallTable> restored = decode<CallTable>(encode(table));
    cr_assert(restored.has_value());
    assertSameCounts(restored.value(), table);
    cr_assert(runCall(restored.value(), "a", 200, body).truncated);
    cr_assert(runCall(table, "a", 200, body).truncated);
    assertSameCounts(restored.value(), table);
    cr_assert_eq(expireCalls(restored.value(), CALL_RETENTION), 202);
    cr_assert_eq(expireCalls(table, CALL_RETENTION), 202);
    assertSameCounts(restored.value(), table);
    cr_assert(table.storedBytes.empty());
    cr_assert_eq(table.totalStoredBytes, 0);
    cr_assert_eq(runCall(table, "a", 200, body, CALL_RETENTION).body, body);
}

// Guards against a snapshot of an earlier release, without bounds, that does not load or underflows
// the room that is left.
Test(call_records, a_snapshot_that_exceeds_the_bounds_loads_and_takes_no_more_answers)
{
    CallTable old;
    const std::string body = largestBody();
    const std::size_t answers = MAX_STORED_BYTES / MAX_STORED_ANSWER_BYTES + 2;
    for (std::size_t i = 0; i < answers; ++i) {
        CallRecord record{Digest("x"), {HostId("h"), 1, RequestId(1)}, CallStatus::Done, {}, {}};
        record.answer = {200, "text/plain", body, false};
        old.records.emplace(CallId{AccountId("a"), "old" + std::to_string(i)}, record);
    }
    old.counts[AccountId("a")] = answers;
    Result<CallTable> restored = decode<CallTable>(encode(old));
    cr_assert(restored.has_value());
    CallTable &table = restored.value();
    cr_assert_eq(storedBytesOf(table).total, answers * MAX_STORED_ANSWER_BYTES);
    cr_assert(runCall(table, "a", 1, body).truncated);
    cr_assert(runCall(table, "b", 1, "short").truncated);
    expireCalls(table, CALL_RETENTION);
    cr_assert_eq(runCall(table, "b", 2, body, CALL_RETENTION).body, body);
}

// Guards against a long content type that passes the bound on the body.
Test(call_records, a_long_content_type_is_not_stored)
{
    CallTable table;
    const CallId id{AccountId("a"), "k"};
    const CallOwner owner{HostId("h"), 1, RequestId(1)};
    beginCall(table, id, Digest("x"), owner, 0s);
    const std::string type(MAX_STORED_ANSWER_BYTES, 't');
    cr_assert(endCall(table, id, owner, CallEnd::Answered, {200, type, "a", false}));
    cr_assert(table.records.at(id).answer == (StoredAnswer{200, "", "", true}));
}

// Guards against a dropped answer whose memory is kept although its bytes do not count.
Test(call_records, a_dropped_answer_uses_no_memory)
{
    CallTable table;
    const StoredAnswer &large
        = runCall(table, "a", 0, std::string(MAX_STORED_ANSWER_BYTES + 1, 'a'));
    cr_assert(large.truncated);
    cr_assert_leq(large.body.capacity(), std::string().capacity());
    for (int i = 1; i <= 100; ++i)
        runCall(table, "a", i, largestBody());
    const StoredAnswer &beyond = runCall(table, "a", 101, largestBody());
    cr_assert(beyond.truncated);
    cr_assert_leq(beyond.body.capacity(), std::string().capacity());
}
