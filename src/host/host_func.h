/** @file host_func.h One host's decisions: one event in, effects out. */
#pragma once

#include "host/host_base.h"

namespace bilberry {

/** @return A host that knows nothing yet. */
Host makeHost(const HostSettings &settings, TimePoint now);

/** Handles one event. */
HostEffects step(Host &host, const HostEvent &event, TimePoint now);

/** @return Whether a balancer should send callers here. */
bool isReady(const Host &host, TimePoint now);

/** @return Whether a graceful shutdown is complete. */
bool isDrained(const Host &host, TimePoint now);

/** @return Whole state as JSON, without any secret. */
nlohmann::json dump(const Host &host, TimePoint now);

} // namespace bilberry
