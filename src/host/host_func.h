/** @file host_func.h Decision logic of one host: a state machine without I/O. */
#pragma once

#include "host/host_base.h"

namespace bilberry {

/** @return A host without configuration, targets and grants, whose first report is due at once. */
Host makeHost(const HostSettings &settings, TimePoint now);

/**
 * Handles one event: updates @p host and decides what the daemon has to do.
 * @return Effects for the daemon to carry out, in order.
 */
HostEffects step(Host &host, const HostEvent &event, TimePoint now);

/** @return Whether a load balancer should send requests to this host. */
bool isReady(const Host &host, TimePoint now);

/** @return Whether a graceful shutdown is complete and the process may exit. */
bool isDrained(const Host &host, TimePoint now);

/** @return Host state as JSON for inspection, without the presented API keys. */
nlohmann::json dump(const Host &host, TimePoint now);

} // namespace bilberry
