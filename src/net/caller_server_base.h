/** @file caller_server_base.h HTTP from callers; no thread is held by a waiting request. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"
#include "net/exchange_base.h"

#include <functional>
#include <memory>

namespace bilberry {

/** Reads whole requests, hands them over, and sends the answers that come back. */
class CallerServer
{
public:
    /** Called for each event of a caller. @return False if there is no room; it is then refused. */
    using OnEvent = std::function<bool(HostEvent &&)>;

    /** @return The server, bound but refusing connections until open(), or Errc::AddressInUse. */
    static Result<std::unique_ptr<CallerServer>> start(const Settings &settings, const Edge &edge,
                                                       std::shared_ptr<ExchangeTable> exchanges,
                                                       OnEvent onEvent);

    ~CallerServer();

    /** Starts accepting connections. @return Errc::AddressInUse. */
    Result<void> open();

    /** Finds callers that closed their connection while they waited; called regularly. */
    void probeWaiting();

    /** @return Bound port. */
    int port() const;

    /** From now on each answer asks its caller to open a new connection next time. */
    void closeAfterAnswers();

    /** Accepts no further connections; those that are open are served on. */
    void stopAccepting();

    /** Ends the server; callers that still wait are cut off. */
    void stop();

private:
    class Impl;
    explicit CallerServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
