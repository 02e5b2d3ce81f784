/** @file connection_state_func.h What the kernel knows of the peer of a TCP connection. */
#pragma once

#include "core/time_type.h"

namespace bilberry {

/** @return Whether the peer has neither closed nor reset the connection, as far as is known here.
 * Does not block and reads nothing. */
bool isPeerConnected(int socket);

/**
 * @return Time since the last data arrived on the connection, whether or not it has been read; 0 if
 *         the kernel does not tell.
 */
Duration timeSinceLastData(int socket);

} // namespace bilberry
