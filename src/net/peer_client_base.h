/** @file peer_client_base.h Client side of a stream to another process of the system. */
#pragma once

#include "core/time_type.h"
#include "net/peer_frame_type.h"

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/**
 * Keeps a stream to the peers' port of one process and reconnects with exponential back-off after
 * each failure.
 */
class PeerClient
{
public:
    using OnFrame = std::function<void(PeerFrame &&)>;
    using OnStreamChange = std::function<void(bool connected)>; ///< See PeerClient().

    /**
     * Opens no stream yet, see openIfDue().
     * @param address "ip:port" of the receiver.
     * @param onFrame Called on gRPC's threads for each well-formed frame received;
     * may still be called after destruction, until gRPC has ended the stream.
     * @param onStreamChange Called with true by openIfDue() when it has opened a stream, on which
     * frames can be queued even before the receiver has answered. Called with false on a gRPC
     * thread when the stream has ended, unless the client was destroyed first.
     */
    PeerClient(std::string address, OnFrame onFrame, OnStreamChange onStreamChange);
    /** Cancels the stream without waiting for its end. */
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /** Queues @p frame for sending; drops it if there is no stream or the queue is full. */
    void send(const PeerFrame &frame);

    /** Opens a stream if there is none and the back-off has passed; to be called periodically. */
    void openIfDue(TimePoint now);

    /** @return Bytes that wait to be sent. */
    std::size_t queuedBytes() const;

    /** @return "ip:port" of the receiver. */
    const std::string &address() const { return this->peerAddress; }

private:
    class Stream;
    struct Shared;

    std::string peerAddress;
    std::shared_ptr<Shared> shared;
};

} // namespace bilberry
