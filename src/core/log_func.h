/** @file log_func.h Structured log lines: one JSON object a line, only for changes of state. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bilberry {

/**
 * Sets where lines go, before any other thread runs.
 * @param file Path; empty for standard error.
 * @param host Name of the host in every line.
 */
void openLog(const std::string &file, const std::string &host);

/** Writes a line for the change @p event with further fields. */
void logChange(const std::string &event, const nlohmann::json &fields = nlohmann::json::object());

} // namespace bilberry
