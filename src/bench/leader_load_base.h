/** @file leader_load_base.h Measures the load that many hosts put on the leader. */
#pragma once

#include "core/json_func.h"

namespace bilberry {

/**
 * Simulates requests to hosts that share 90 engines and 480 models.
 * @param hosts Number of hosts that serve callers.
 * @return Host reports per second, bytes per report, and CPU cores that the leader's decisions use.
 */
nlohmann::json measureLeaderLoad(int hosts, unsigned seed);

} // namespace bilberry
