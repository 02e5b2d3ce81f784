/** @file trace_func.h Replays what a daemon recorded through the same decisions. */
#pragma once

#include "core/error_type.h"
#include "host/host_func.h"

#include <istream>
#include <string>
#include <vector>

namespace bilberry {

/** What a replay led to. */
struct TraceOutcome
{
    std::size_t events = 0;
    std::vector<std::string> decisions; ///< One JSON line each, but for messages to the leader.
    Digest everything; ///< Of all effects in order, messages to the leader included.
};

/**
 * Replays a file of `traceFile`: a first line {"settings"}, then {"at", "event"} lines.
 * @return Errc::Malformed.
 */
Result<TraceOutcome> replayTrace(std::istream &trace);

} // namespace bilberry
