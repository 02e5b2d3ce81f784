/** @file caller_server_base.h HTTP server for callers; a waiting request occupies no thread. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"
#include "net/exchange_base.h"

#include <functional>
#include <memory>

namespace bilberry {

/** Receives requests, passes them on as events, and sends the answers of their exchanges. */
class CallerServer
{
public:
    /**
     * Called for each request and each disconnect.
     * @return False if the event queue is full; a request is then refused as overloaded.
     */
    using OnEvent = std::function<bool(HostEvent &&)>;

    /**
     * @param edge Must outlive the server.
     * @param memory Counts the bodies of the process; null: a count of the server's own.
     * @return The server, bound to its port but refusing connections until open().
     * Errc::AddressInUse if binding fails, Errc::InvalidSettings if the configured address is not
     * an IP address.
     */
    static Result<std::unique_ptr<CallerServer>> start(const Settings &settings, const Edge &edge,
                                                       std::shared_ptr<ExchangeTable> exchanges,
                                                       OnEvent onEvent,
                                                       std::shared_ptr<RequestMemory> memory = {});

    ~CallerServer();

    /** Starts accepting connections. @return Errc::AddressInUse if listening fails. */
    Result<void> open();

    /** Detects callers that closed their connection, or their sending side, before their answer was
     * whole: a suspended connection is not polled by libmicrohttpd. Must be called periodically. */
    void detectDisconnectedCallers();

    /** Sets the largest head of a request; 0: the default. May be called on any thread. */
    void limitHeads(std::size_t bytes);

    /** @return Samples of how answers have ended, in the Prometheus text format. */
    std::string formatMetrics() const;

    /** @return TCP port that the server is bound to. */
    int port() const;

    /** Adds the header "Connection: close" to each later answer. */
    void closeAfterAnswers();

    /** Stops accepting connections; open connections are still served. */
    void stopAccepting();

    /** Stops the server; connections of waiting callers are closed without an answer. */
    void stop();

private:
    class Impl;
    explicit CallerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
