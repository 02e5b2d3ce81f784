/** @file peer_server_base.h Server side of the streams from other processes of the system. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"
#include "net/peer_frame_type.h"

#include <functional>
#include <memory>

namespace bilberry {

/** gRPC server on the peers' port; calls its handler on gRPC's threads. */
class PeerServer
{
public:
    /**
     * Handles a received frame.
     * @param bytes Size of the frame as received.
     * @return False if the event queue is full; the stream is then closed.
     */
    using OnFrame = std::function<bool(PeerFrame &&, std::size_t bytes)>;

    /**
     * @param endpoint Address to listen on.
     * @param onFrame Called for each well-formed frame; a malformed one closes its stream.
     * @return The running server, or Errc::AddressInUse if it could not listen.
     */
    static Result<std::unique_ptr<PeerServer>> start(const Endpoint &endpoint, OnFrame onFrame);

    /** Calls shutdown(). */
    ~PeerServer();

    /**
     * Queues @p message on the stream on which the latest message of @p holder arrived; drops
     * @p message if there is no such stream.
     * @param holder One run of a host process.
     */
    void sendToHost(const HolderId &holder, const ControlMessage &message);

    /** @return Bytes that wait to be sent, on all streams. */
    std::size_t queuedBytes() const;

    /** @return TCP port that the server listens on. */
    int port() const;

    /** Ends all streams, within 200 ms if need be by cancelling them, and stops the server. */
    void shutdown();

private:
    class Impl;
    explicit PeerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
