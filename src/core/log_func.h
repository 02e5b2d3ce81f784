/** @file log_func.h Structured log: one JSON object per line. Logging never blocks; lines are
 * dropped when the queue of the writing thread is full. */
#pragma once

#include "core/json_func.h"

#include <string>

namespace bilberry {

/**
 * Opens the log; must be called once, before other threads start.
 * @param file Path of the file to append to; empty for standard output.
 * @param host Host id to put into every line.
 */
void openLog(const std::string &file, const std::string &host);

/** Writes all queued lines and closes the log; later lines are lost. */
void closeLog();

/**
 * Logs a frequent event, such as a decision on a request or an order, under a limit on lines per
 * second. Lines beyond the limit are omitted; the next line that is written contains the number of
 * omitted lines in the field linesLeftOut.
 * @param event Name of the event.
 * @param fields JSON object with further fields.
 */
void logEventRateLimited(const std::string &event, nlohmann::json fields);

/**
 * Logs an event without a limit on lines per second.
 * @param event Name of the event.
 * @param fields JSON object with further fields.
 */
void logEvent(const std::string &event, const nlohmann::json &fields = nlohmann::json::object());

} // namespace bilberry
