/** @file caller_connections.cpp Bounds of the open connections of callers. */
#include "net/caller_connections_base.h"

#include "core/log_func.h"

#include <sys/socket.h>
#include <utility>

namespace bilberry {

CallerConnections::CallerConnections(std::shared_ptr<RequestMemory> memory, int listening)
    : memory(std::move(memory))
    , listening(listening)
    , inherited(receiveBufferFor(this->memory->limits, 0))
{
    setReceiveBuffer(listening, this->inherited);
}

OpenConnection &CallerConnections::add(MHD_Connection *connection, int socket, TimePoint now)
{
    OpenConnection &added = this->open[connection];
    added.socket = socket;
    added.lastProgress = now;
    this->grantReceiveBuffer(added);
    this->bound(added);
    return added;
}

void CallerConnections::remove(MHD_Connection *connection)
{
    const OpenConnection &closed = this->open[connection];
    this->yielded -= closed.yielded ? 1 : 0;
    this->granted -= closed.receiveBuffer;
    this->open.erase(connection);
}

/** Bounds the receive buffer of a new connection, and of those that are still to be accepted: their
 * bytes arrive before this server sees them. */
void CallerConnections::grantReceiveBuffer(OpenConnection &added)
{
    const RequestLimits &limits = this->memory->limits;
    added.receiveBuffer = receiveBufferFor(limits, this->granted);
    this->granted += added.receiveBuffer;
    if (added.receiveBuffer != this->inherited)
        setReceiveBuffer(added.socket, added.receiveBuffer);
    const std::size_t next = receiveBufferFor(limits, this->granted);
    if (next == this->inherited || this->stopped.load())
        return;
    setReceiveBuffer(this->listening, next);
    this->inherited = next;
}

/** Shuts down the connection that has made no progress for longest and waits for no answer, if
 * there are too many; else the one that was added. */
void CallerConnections::bound(OpenConnection &added)
{
    const std::size_t count = this->open.size() - this->yielded;
    if (count <= this->memory->limits.callerConnections)
        return;
    OpenConnection *chosen = nullptr;
    TimePoint oldest = added.lastProgress - MIN_IDLE_TO_YIELD;
    for (auto &[connection, state] : this->open) {
        if (state.yielded || state.waits || state.lastProgress > oldest)
            continue;
        chosen = &state;
        oldest = state.lastProgress;
    }
    OpenConnection &ending = chosen == nullptr ? added : *chosen;
    logEventRateLimited("connectionClosedForLimit",
                        {{"open", count},
                         {"limit", this->memory->limits.callerConnections},
                         {"idleMs", toMilliseconds(added.lastProgress - ending.lastProgress)}});
    this->memory->count(chosen == nullptr ? RequestEnd::NoConnection
                                          : RequestEnd::ConnectionYielded);
    ending.yielded = true;
    ++this->yielded;
    ::shutdown(ending.socket, SHUT_RDWR);
}

} // namespace bilberry
