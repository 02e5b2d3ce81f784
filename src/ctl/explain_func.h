/** @file explain_func.h Reconstructs the history of a request, target or configuration version
 * from the logs of several processes. */
#pragma once

#include "core/json_func.h"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace bilberry {

/** One parsed line of a process's log. */
struct LogLine
{
    std::int64_t unixMs = 0; ///< Unix time in ms, by the clock of the host that wrote the line.
    std::string host; ///< Host that wrote the line.
    std::string event; ///< Name of the log event.
    nlohmann::json fields; ///< All fields of the line, also those above.
};

/** History of a request, target or configuration version. */
struct Explanation
{
    std::vector<LogLine> path; ///< Related lines by time; not corrected for clock skew.
    std::string cause; ///< Cause of the outcome in one sentence; empty if no line matched.
};

/**
 * Parses the log lines of one or more hosts. Ignores the text before the first brace of a line,
 * such as the prefix of a log collector, and skips lines that are not log events.
 */
std::vector<LogLine> readLogLines(std::istream &in);

/**
 * Finds the cause of a request's outcome.
 * @param lines Sorted by sortLogLines(). @param tag Request id that the caller sent.
 */
Explanation explainRequest(const std::vector<LogLine> &lines, const std::string &tag);

/**
 * Collects the log lines of a target, such as its registration, orders and loss.
 * @param lines Sorted by sortLogLines().
 */
Explanation explainTarget(const std::vector<LogLine> &lines, const std::string &target);

/**
 * Finds the hosts that accepted a configuration version, or why no host did.
 * @param lines Sorted by sortLogLines(). @param number Version of the configuration.
 */
Explanation explainVersion(const std::vector<LogLine> &lines, std::uint64_t number);

/**
 * Collects what operators' requests about a thing, such as a zone, have come to.
 * @param lines Sorted by sortLogLines(). @param id Id of the thing, or of one change.
 */
Explanation explainChange(const std::vector<LogLine> &lines, const std::string &id);

/**
 * Collects the lines of a usage window: when it was fixed, and what became of its report.
 * @param lines Sorted by sortLogLines(). @param window Number of the window.
 */
Explanation explainWindow(const std::vector<LogLine> &lines, std::int64_t window);

/**
 * Finds the holder of a duty.
 * @param lines Sorted by sortLogLines(). @param duty Kind of the duty, such as "usage".
 */
Explanation explainDuty(const std::vector<LogLine> &lines, const std::string &duty);

/** Sorts log lines by time; lines of the same time keep their order. */
void sortLogLines(std::vector<LogLine> &lines);

/** @return The explanation as text: one line for each log line, then the cause. */
std::string describe(const Explanation &explanation);

} // namespace bilberry
