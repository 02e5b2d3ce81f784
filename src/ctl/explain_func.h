/** @file explain_func.h What the log lines of several processes say of one request, target or
 * change. */
#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bilberry {

/** One line of a process's log. */
struct LogLine
{
    std::int64_t unixMs = 0; ///< By the clock of the line's host.
    std::string host;
    std::string event;
    nlohmann::json fields; ///< The whole line.
};

/** What happened, in order, and why it ended so. */
struct Explanation
{
    std::vector<LogLine> path; ///< By time; hosts' clocks may differ.
    std::string cause; ///< One sentence; empty: no line speaks of it.
};

/** Reads lines of any mix of hosts; what stands before the first brace of a line is passed over. */
std::vector<LogLine> readLogLines(std::istream &in);

/** @param lines Sorted by sortLogLines(). @param tag The caller's id of the request. */
Explanation explainRequest(const std::vector<LogLine> &lines, const std::string &tag);

/** @return When a target came, what was ordered of it, and how it was lost. */
Explanation explainTarget(const std::vector<LogLine> &lines, const std::string &target);

/** @return Who accepted the configuration of that number, and which leader followed. */
Explanation explainVersion(const std::vector<LogLine> &lines, std::uint64_t number);

/** Sorts by time; lines of one time stay in their order. */
void sortLogLines(std::vector<LogLine> &lines);

/** @return The explanation as text, a line of the log a line. */
std::string describe(const Explanation &explanation);

} // namespace bilberry
