/** @file listen_func.h Listening sockets by IP number. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"

namespace bilberry {

/** @return A listening socket that no other process shares, or Errc::AddressInUse. */
Result<int> listenOn(const Endpoint &endpoint);

/** @return The port that a socket is bound to. */
int boundPort(int socket);

} // namespace bilberry
