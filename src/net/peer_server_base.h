/** @file peer_server_base.h Accepts streams of the system's other processes. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"
#include "net/peer_frame_type.h"

#include <functional>
#include <memory>

namespace bilberry {

/** gRPC server; frames are handed over on gRPC's threads. */
class PeerServer
{
public:
    /** Called for each frame. @return False to close the stream because there is no room. */
    using OnFrame = std::function<bool(PeerFrame &&)>;

    /** @return The server, or Errc::AddressInUse. */
    static Result<std::unique_ptr<PeerServer>> start(const Endpoint &endpoint, OnFrame onFrame);

    ~PeerServer();

    /** Sends to the stream on which the host run was heard last; without one it is dropped. */
    void sendToHost(const HolderId &holder, const ControlMessage &message);

    /** @return Bound port. */
    int port() const;

    void shutdown();

private:
    class Impl;
    explicit PeerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
