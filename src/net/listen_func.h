/** @file listen_func.h Listening sockets by IP number. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"

namespace bilberry {

/** @return A bound socket that refuses connections until it listens, or Errc::AddressInUse. */
Result<int> bindTo(const Endpoint &endpoint);

/** @return A listening socket that no other process shares, or Errc::AddressInUse. */
Result<int> listenOn(const Endpoint &endpoint);

/** Lets a bound socket accept connections. @return Errc::AddressInUse. */
Result<void> startListening(int socket);

/** @return The port that a socket is bound to. */
int boundPort(int socket);

} // namespace bilberry
