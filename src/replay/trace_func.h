/** @file trace_func.h Replays the recorded events of a daemon through its decision code. */
#pragma once

#include "core/error_type.h"
#include "host/host_func.h"

#include <istream>
#include <string>
#include <vector>

namespace bilberry {

/** Result of a replay. */
struct TraceOutcome
{
    std::size_t events = 0; ///< Replayed events.
    std::vector<std::string>
        decisions; ///< One JSON line for each effect; messages to the leader are left out.
    Digest effectsDigest; ///< Digest of all effects in order, including messages to the leader.
};

/**
 * Replays a file that a daemon recorded under the setting `traceFile`: the first line is
 * {"settings"}, each further line is {"at", "event"}.
 * @return The result, or Errc::Malformed if a line can't be parsed.
 */
Result<TraceOutcome> replayTrace(std::istream &trace);

} // namespace bilberry
