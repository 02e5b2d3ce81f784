/** @file listen_func.h Listening TCP sockets. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"

namespace bilberry {

/** @return A socket bound to @p endpoint; it refuses connections until startListening().
 * Errc::AddressInUse if binding fails, Errc::InvalidSettings if the address is not an IPv4 or IPv6
 * address. The caller owns the socket. */
Result<int> bindTo(const Endpoint &endpoint);

/**
 * Binds and listens. No other process can listen on the same endpoint.
 * @return The socket, owned by the caller, or an error of bindTo() or startListening().
 */
Result<int> listenOn(const Endpoint &endpoint);

/** Makes a bound socket accept connections. @return Errc::AddressInUse if listening fails. */
Result<void> startListening(int socket);

/** @return TCP port that @p socket is bound to. */
int boundPort(int socket);

} // namespace bilberry
