/** @file explain_test.cpp Finds causes of requests, targets and versions in recorded log lines. */
#include "ctl/explain_func.h"

#include <absl/strings/match.h>
#include <sstream>

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

/** Log lines of several hosts, each with the prefix of a log collector. */
constexpr const char *RECORDED = R"(
 1.0 core-1 {"event":"leadershipWon","host":"core-1","term":1,"unixMs":1000}
 2.0 core-1 {"event":"operatorCall","call":"replaceConfig 7","outcome":"ok","host":"core-1","unixMs":2000}
 2.1 core-2 {"event":"operatorCall","call":"replaceConfig 8","outcome":"unavailable","host":"core-2","unixMs":2100}
 9.0 core-1 {"event":"orderSent","action":"load","fencing":4,"replica":"t1/m1:","host":"core-1","unixMs":9000}
 9.1 core-1 {"event":"orderAnswered","fencing":4,"replica":"t1/m1:","reply":0,"host":"core-1","unixMs":9100}
 9.5 front-1 {"event":"requestRefused","type":"no_target","tag":"cold","variant":"m1","freshMs":900,"host":"front-1","unixMs":9500}
 9.6 front-1 {"event":"requestRefused","type":"no_target","tag":"unwanted","variant":"m2/a1","freshMs":900,"host":"front-1","unixMs":9600}
not a line of the log
 9.7 front-1 {"event":"requestHeadRefused","tag":"long","why":"tooLarge","received":17408,"limit":16384,"host":"front-1","unixMs":9700}
 9.8 front-1 {"event":"answerNotDelivered","tag":"ready","why":"library_failed","status":200,"answerHeadBytes":900,"roomBytes":20,"host":"front-1","unixMs":9800}
 9.9 front-1 {"event":"requestRefused","type":"no_target","tag":"large","variant":"m2/a1","freshMs":900,"host":"front-1","unixMs":9900}
 9.9 front-1 {"event":"answerDeliveredDirectly","tag":"large","status":503,"host":"front-1","unixMs":9901}
10.0 front-1 {"event":"attemptStarted","attempt":5,"target":"t1","tag":"broken","host":"front-1","unixMs":10000}
10.0 front-2 {"event":"attemptStarted","attempt":5,"target":"t2","tag":"other","host":"front-2","unixMs":10001}
10.2 front-1 {"event":"attemptEnded","attempt":5,"result":"lost","events":3,"status":200,"host":"front-1","unixMs":10200}
10.2 front-1 {"event":"requestRefused","type":"may_have_run","tag":"broken","freshMs":900,"host":"front-1","unixMs":10201}
10.3 front-2 {"event":"attemptEnded","attempt":5,"result":"stalled","events":0,"status":0,"host":"front-2","unixMs":10300}
13.0 core-1 {"event":"targetSilent","target":"t1","host":"core-1","unixMs":13000}
20.0 core-1 {"event":"leadershipEnded","term":1,"host":"core-1","unixMs":20000}
20.5 core-2 {"event":"leadershipWon","term":2,"host":"core-2","unixMs":20500}
21.0 front-1 {"event":"requestRefused","type":"token_rate_limited","tag":"early","freshMs":900,"host":"front-1","unixMs":21000}
25.0 core-2 {"event":"targetRateChanged","target":"t3","from":null,"to":1.5,"by":"front-1","host":"core-2","unixMs":25000}
25.4 front-2 {"event":"requestRefused","type":"target_rate_limited","tag":"turn","variant":"m3","freshMs":900,"host":"front-2","unixMs":25400}
26.0 core-2 {"event":"targetRateChanged","target":"t3","from":1.5,"to":null,"by":"front-1","host":"core-2","unixMs":26000}
27.0 front-1 {"event":"attemptStarted","attempt":9,"target":"t4","tag":"served","host":"front-1","unixMs":27000}
27.2 front-1 {"event":"attemptEnded","attempt":9,"result":"answered","status":200,"connectionLost":false,"host":"front-1","unixMs":27200}
28.0 front-1 {"event":"requestMalformed","rule":"fieldName","field":"Content-Length","tag":"spaced","host":"front-1","unixMs":28000}
28.1 front-2 {"event":"requestMalformed","rule":"startLine","field":"","tag":"line","host":"front-2","unixMs":28100}
28.5 front-2 {"event":"attemptStarted","attempt":11,"target":"t5","tag":"two-lengths","host":"front-2","unixMs":28500}
28.6 front-2 {"event":"answerMalformed","attempt":11,"target":"t5","rule":"framing","field":"Content-Length","host":"front-2","unixMs":28600}
29.0 core-1 {"event":"operatorCall","call":"zoneOut z7","outcome":"ok","host":"core-1","unixMs":29000}
29.1 core-2 {"event":"operatorRequestDropped","request":"setZone z7","why":"expired","changeId":"c-1","base":4,"ageMs":901,"host":"core-2","unixMs":29100}
29.2 core-1 {"event":"changeOvertaken","record":"z7","changeId":"c-2","base":4,"present":6,"by":"core-2","host":"core-1","unixMs":29200}
29.3 core-1 {"event":"operatorCall","call":"zoneOut z77","outcome":"ok","host":"core-1","unixMs":29300}
28.6 front-2 {"event":"attemptEnded","attempt":11,"result":"invalid","events":0,"status":200,"host":"front-2","unixMs":28600}
28.6 front-2 {"event":"requestRefused","type":"may_have_run","tag":"two-lengths","freshMs":900,"host":"front-2","unixMs":28601}
30.0 front-1 {"event":"requestRefused","type":"token_rate_limited","tag":"over","freshMs":900,"host":"front-1","unixMs":30000}
30.1 front-2 {"event":"requestRefused","type":"token_rate_limited","tag":"over2","freshMs":900,"host":"front-2","unixMs":30100}
31.0 core-2 {"event":"dutyGranted","duty":"usage","fencing":7,"callsInMs":4200,"term":2,"host":"core-2","unixMs":31000}
31.1 core-2 {"event":"usageFixed","window":70,"unsent":1,"requests":5,"host":"core-2","unixMs":31100}
31.2 core-2 {"event":"usageFixed","window":72,"unsent":3,"requests":6,"host":"core-2","unixMs":31200}
31.3 core-2 {"event":"usageUnanswered","window":71,"status":503,"host":"core-2","unixMs":31300}
31.4 core-2 {"event":"usageSent","window":71,"unsent":1,"sinceEndMs":6400,"host":"core-2","unixMs":31400}
31.5 core-2 {"event":"usageLate","window":71,"by":"front-1","requests":4,"host":"core-2","unixMs":31500}
31.6 core-2 {"event":"usageRefused","window":72,"status":409,"host":"core-2","unixMs":31600}
50.0 core-2 {"event":"loadForecast","version":9,"loads":2,"needs":31,"withoutRoom":3,"parallelism":2,"host":"core-2","unixMs":50000}
50.3 front-1 {"event":"requestRefused","type":"no_target","tag":"rare","variant":"m7","retryAfterMs":41200,"freshMs":900,"host":"front-1","unixMs":50300}
31.0 front-1 {"event":"requestRefused","type":"overloaded","tag":"low","variant":"s","rank":2,"msToGoal":-40.5,"freshMs":900,"host":"front-1","unixMs":31000}
)";

std::vector<LogLine> recorded()
{
    std::istringstream in(RECORDED);
    std::vector<LogLine> lines = readLogLines(in);
    sortLogLines(lines);
    return lines;
}

void checkCause(const std::string &tag, std::size_t lines, const std::string &part)
{
    const Explanation explanation = explainRequest(recorded(), tag);
    cr_assert_eq(explanation.path.size(), lines, "%s: %zu lines", tag.c_str(),
                 explanation.path.size());
    cr_assert(absl::StrContains(explanation.cause, part), "%s: %s", tag.c_str(),
              explanation.cause.c_str());
}

} // namespace

Test(explain, refusal_names_orders_and_leader_changes)
{
    checkCause("cold", 1, "m1 was being loaded as t1/m1:, ordered 500 ms before");
    checkCause("unwanted", 1, "no target had m2/a1 and no load was ordered");
    checkCause("early", 1, "core-2 had become the leader 500 ms before");
    checkCause("over", 1, "over its rate: 2 such refusals");
    checkCause("low", 1, "queued than could be served in time; among them it was of rank 2");
    checkCause("turn", 1, "t3 takes 1.5 a second of all hosts, as it said 400 ms before");
}

// Guards against a refusal by a forecast that looks like a lack of targets.
Test(explain, refusal_names_the_forecast_that_the_caller_was_told)
{
    checkCause("rare", 1,
               "2 loads were under way and 31 models waited for theirs (3 without room)");
    checkCause("rare", 1, "the caller was told to come back in 41200 ms");
}

Test(explain, failed_attempt_names_loss_of_its_target)
{
    checkCause("broken", 3,
               "the attempt on t1 was lost after 3 events; t1 stopped sending heartbeats");
    checkCause("other", 2, "stalled after 0 events; t2 stayed up");
    cr_assert(explainRequest(recorded(), "unknown").cause.empty());
}

// Guards against a malformed message whose fault no one can tell afterwards.
Test(explain, malformed_message_names_the_rule_and_the_field)
{
    checkCause("spaced", 1, "front-1 refused the request, and closed its connection, as malformed");
    checkCause("spaced", 1, "by the rule fieldName at the field Content-Length");
    checkCause("line", 1, "by the rule startLine");
    checkCause("two-lengths", 3,
               "the answer of t5 was malformed by the rule framing at the field "
               "Content-Length, so the request may have run");
}

// Guards against an answer that was ready and did not reach its caller, or a refused head, that no
// one can tell afterwards.
Test(explain, lost_answer_and_refused_head_name_their_sizes)
{
    checkCause("long", 1, "front-1 takes heads of 16384 bytes, and this one was longer");
    checkCause("ready", 1,
               "front-1 had the answer with status 200, and its HTTP library closed the "
               "connection: a head of 900 bytes, and room for 20");
    checkCause("large", 2, "no target had m2/a1");
}

Test(explain, answered_attempt_names_its_target)
{
    checkCause("served", 2, "the answer of t4 was forwarded completely");
}

Test(explain, cause_of_target_and_version)
{
    const Explanation target = explainTarget(recorded(), "t1");
    cr_assert_eq(target.path.size(), 4);
    cr_assert(absl::StrContains(target.cause, "stopped sending heartbeats"));
    cr_assert(absl::StrContains(explainTarget(recorded(), "t3").cause, "no longer limits"));
    cr_assert(absl::StrContains(explainVersion(recorded(), 7).cause, "first by core-1"));
    cr_assert(absl::StrContains(explainVersion(recorded(), 8).cause, "never accepted"));
    cr_assert(explainVersion(recorded(), 9).cause.empty());
}

// Guards against: an operator's order that came to nothing, and of which no line tells why.
Test(explain, change_names_the_last_accepted_order_and_those_that_were_dropped)
{
    const std::vector<LogLine> lines = recorded();
    const Explanation zone = explainChange(lines, "z7");
    cr_expect_eq(zone.path.size(), 3);
    cr_expect_eq(zone.cause,
                 "last accepted: zoneOut z7 by core-1; dropped 1, refused for a newer one 1");
    cr_expect_eq(explainChange(lines, "c-2").path.size(), 1);
    cr_expect(explainChange(lines, "z8").cause.empty());
}

// Guards against a window whose report is missing or wrong, and of which no line tells why; one fix
// may be of several windows.
Test(explain, window_names_its_fix_its_report_and_what_was_late)
{
    const std::vector<LogLine> lines = recorded();
    const Explanation accepted = explainWindow(lines, 71);
    cr_expect_eq(accepted.path.size(), 4);
    cr_expect_eq(accepted.cause,
                 "window 71: accepted from core-2 6400 ms after its end; 1 calls without "
                 "acceptance, 4 requests reported too late");
    cr_expect(absl::StrContains(explainWindow(lines, 70).cause, "fixed by core-2, not accepted"));
    cr_expect(absl::StrContains(explainWindow(lines, 72).cause, "refused with status 409"));
    cr_expect(explainWindow(lines, 73).cause.empty());
    cr_expect(absl::StrContains(explainDuty(lines, "usage").cause,
                                "core-2 holds usage with fencing token 7 since 31000"));
    cr_expect(explainDuty(lines, "targetCount").cause.empty());
}
