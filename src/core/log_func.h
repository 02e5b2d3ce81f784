/** @file log_func.h Structured log lines: one JSON object a line; logging never blocks. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bilberry {

/**
 * Sets where lines go, before any other thread runs.
 * @param file Path; empty for standard output.
 * @param host Name of the host in every line.
 */
void openLog(const std::string &file, const std::string &host);

/** Writes out what is queued; no line counts after it. */
void closeLog();

/**
 * Writes a line for a decision on a request or an order. Beyond a number of lines a second they are
 * left out, and the next line that is written says how many.
 */
void logDecision(const std::string &event, nlohmann::json fields);

/** Writes a line for the change @p event with further fields. */
void logChange(const std::string &event, const nlohmann::json &fields = nlohmann::json::object());

} // namespace bilberry
