/** @file caller_connections_base.h Bounds of the open connections of callers. */
#pragma once

#include "core/time_type.h"
#include "net/request_memory_base.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <microhttpd.h>

namespace bilberry {

/** Open connection of a caller. */
struct OpenConnection
{
    int socket = -1;
    TimePoint lastProgress;
    std::size_t receiveBuffer = 0; ///< Bytes, as the kernel counts.
    bool waits = false; ///< Its request has been received and is answered.
    bool yielded = false; ///< Shut down; libmicrohttpd is about to close it.
};

/** Open connections of callers, and the receive buffers that they get. Accessed by libmicrohttpd's
 * thread alone, but for stopAccepting(). */
class CallerConnections
{
public:
    /** @param listening Socket that accepts the connections; gets the receive buffer of the first.
     */
    CallerConnections(std::shared_ptr<RequestMemory> memory, int listening);

    /** Adds a connection. If there are too many, one of them is shut down.
     * @return Its state, at an address that stays the same until remove(). */
    OpenConnection &add(MHD_Connection *connection, int socket, TimePoint now);
    void remove(MHD_Connection *connection);

    /** The listening socket is about to be closed. May be called on any thread. */
    void stopAccepting() { this->stopped = true; }

private:
    void grantReceiveBuffer(OpenConnection &added);
    void bound(OpenConnection &added);

    const std::shared_ptr<RequestMemory> memory;
    const int listening;
    std::atomic<bool> stopped{false};
    std::map<MHD_Connection *, OpenConnection> open;
    std::size_t yielded = 0; ///< Of @c open.
    std::size_t granted = 0; ///< Receive buffers of @c open, in bytes.
    std::size_t inherited = 0; ///< Receive buffer of the connections that are accepted next.
};

} // namespace bilberry
