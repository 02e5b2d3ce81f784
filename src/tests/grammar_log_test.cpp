/** @file grammar_log_test.cpp Malformed messages are counted by rule and logged within a bound. */
#include "core/log_func.h"
#include "net/grammar_log_func.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace bilberry;

// Guards against a log that one client fills, and against a key in it.
Test(grammar_log, each_fault_is_counted_and_few_a_second_are_logged)
{
    const std::string file = absl::StrCat("/tmp/grammar-log-", getpid());
    openLog(file, "host");
    constexpr int COUNT = 5'000;
    for (int i = 0; i < COUNT; ++i)
        recordGrammarFault("requestMalformed", {GrammarRule::FieldName, "X-A"}, {{"tag", "r"}},
                           100);
    recordGrammarFault("requestMalformed", {GrammarRule::Host, "Host"}, {{"tag", "s"}}, 101);
    closeLog();
    std::ifstream in(file);
    std::string line;
    std::string last;
    int lines = 0;
    while (std::getline(in, line)) {
        last = line;
        ++lines;
    }
    std::remove(file.c_str());
    cr_expect_geq(lines, 2);
    cr_expect_leq(lines, 50, "%d lines", lines);
    cr_expect(absl::StrContains(last, absl::StrCat("\"notLogged\":", COUNT + 1 - lines)), "%s",
              last.c_str());
    cr_expect(absl::StrContains(last, "\"rule\":\"host\""), "%s", last.c_str());
    const std::string metrics = formatGrammarFaults();
    cr_expect(absl::StrContains(metrics, absl::StrCat("{rule=\"fieldName\"} ", COUNT)), "%s",
              metrics.c_str());
    cr_expect(absl::StrContains(metrics, "{rule=\"host\"} 1"), "%s", metrics.c_str());
}
