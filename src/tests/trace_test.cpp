/** @file trace_test.cpp Traces recorded by a live daemon replay to the expected decisions. */
#include "replay/trace_func.h"

#include <filesystem>
#include <fstream>

#include <criterion/criterion.h>

using namespace bilberry;

Test(trace, recorded_traces_replay_to_expected_decisions)
{
    int replayed = 0;
    for (const auto &entry : std::filesystem::directory_iterator(REGRESSION_FOLDER)) {
        if (entry.path().extension() != ".trace")
            continue;
        std::ifstream in(entry.path());
        const Result<TraceOutcome> outcome = replayTrace(in);
        cr_assert(outcome, "%s does not parse", entry.path().c_str());
        std::ifstream expected(entry.path().string() + ".expected");
        std::string line;
        std::getline(expected, line);
        for (const std::string &decision : outcome.value().decisions) {
            cr_assert_eq(decision, line, "%s:\n%s\nexpected\n%s", entry.path().c_str(),
                         decision.c_str(), line.c_str());
            std::getline(expected, line);
        }
        cr_assert_eq(line, outcome.value().effectsDigest.value,
                     "%s: the digest of all effects is %s", entry.path().c_str(),
                     outcome.value().effectsDigest.value.c_str());
        ++replayed;
    }
    cr_assert_gt(replayed, 0);
}
