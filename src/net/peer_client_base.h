/** @file peer_client_base.h One outgoing stream to another of the system's processes. */
#pragma once

#include "core/time_type.h"
#include "net/peer_frame_type.h"

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/** Keeps a stream to one address, with a new connection after each failure. */
class PeerClient
{
public:
    using OnFrame = std::function<void(PeerFrame &&)>;
    using OnState = std::function<void(bool connected)>; ///< Connected: the far end has answered.

    /**
     * @param address "ip:port".
     * @param onFrame Called on gRPC's threads.
     * @param onState Called on gRPC's threads.
     */
    PeerClient(std::string address, OnFrame onFrame, OnState onState);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /** Sends or drops, when there is no stream or its queue is full. */
    void send(const PeerFrame &frame);

    /** Opens the stream when it is due; called regularly. */
    void maintain(TimePoint now);

    const std::string &address() const { return this->target; }

private:
    class Stream;
    struct Shared;

    std::string target;
    std::shared_ptr<Shared> shared;
};

} // namespace bilberry
