/** @file target_client_base.h HTTP to targets: one libcurl multi loop on its own thread. */
#pragma once

#include "control/control_type.h"
#include "core/bounded_ring.h"
#include "net/edge_type.h"
#include "net/exchange_base.h"

#include <functional>
#include <memory>

namespace bilberry {

/** Sends requests and orders to targets, and relays answers to callers. */
class TargetClient
{
public:
    using OnAttemptEnded = std::function<void(AttemptEnded &&)>;
    /** Gets replies to orders and inspections. */
    using OnControlEvent = std::function<void(ControlEvent &&)>;

    /** @param holder Name under which this process gives orders. */
    TargetClient(std::shared_ptr<ExchangeTable> exchanges, const Edge &edge, std::string holder,
                 OnAttemptEnded onAttemptEnded, OnControlEvent onControlEvent);
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    /** @return False if the ring is full; nothing was sent then. */
    bool start(StartAttempt attempt);
    void cancel(AttemptId attempt);
    void retire(std::string address);
    bool sendOrder(SendOrder order);
    bool inspect(InspectTarget item);

    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
