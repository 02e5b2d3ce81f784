/** @file target_client_base.h HTTP client towards targets: one libcurl multi loop on its own
 * thread. */
#pragma once

#include "control/control_type.h"
#include "core/bounded_queue.h"
#include "net/edge_type.h"
#include "net/exchange_base.h"

#include <functional>
#include <memory>

namespace bilberry {

constexpr std::size_t DEFAULT_POOLED_CONNECTIONS = 1'024;

/** Sends attempts, orders and inspections to targets, and relays answers to callers. Thread-safe:
 * each call is queued for the client's thread, and the results come back through callbacks on that
 * thread. */
class TargetClient
{
public:
    /** Called with ResponseBegan at most once and with AttemptEnded once for each started attempt,
     * unless stop() comes first. */
    using OnAttemptEvent = std::function<void(HostEvent &&)>;
    /** Called once with the outcome of each queued order, inspection and call to the
     * infrastructure, unless stop() comes first. */
    using OnControlEvent = std::function<void(ControlEvent &&)>;

    /**
     * @param edge Must outlive the client.
     * @param holder Id of this process's host; orders carry it as their sender.
     * @param pooledConnections Connections to targets that are kept for reuse.
     * @param maxAnswerBytes Bound of the bytes of all answers to attempts that are held at a time.
     */
    TargetClient(std::shared_ptr<ExchangeTable> exchanges, const Edge &edge, std::string holder,
                 OnAttemptEvent onAttemptEvent, OnControlEvent onControlEvent,
                 std::size_t maxAnswerBytes = MAX_ANSWER_MEMORY_BYTES,
                 std::size_t pooledConnections = DEFAULT_POOLED_CONNECTIONS);
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    /** Starts an attempt. @return False if the queue is full; nothing was sent then. */
    bool start(StartAttempt attempt);
    /** Ends an attempt as AttemptResult::Cancelled; no effect if it has ended already. */
    void cancel(AttemptId attempt);
    /** Stops the reuse of pooled connections to @p address that are idle now. */
    /** Ends the attempts at @p target whose request has not been sent yet. */
    void callBack(TargetId target);
    void retireConnections(std::string address);
    /** Sends an order. @return False if the queue is full; nothing was sent then. */
    bool sendOrder(SendOrder order);
    /** Asks a target for its accepted orders. @return False if the queue is full. */
    bool inspect(InspectTarget item);

    /**
     * Makes a call to the infrastructure, unless its sendBy is past.
     * @param address "ip:port" of the infrastructure's interface.
     * @return False if the queue is full; nothing was sent then.
     */
    bool callInfrastructure(std::string address, DutyCall call);

    /** @return The count of bytes of answers; valid until the client ends. */
    const AnswerMemory &answerMemory() const;

    /** Stops the client's thread; transfers under way are dropped without a callback. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
