/** @file http_server_base.h HTTP server for operators and targets, one thread per connection. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"
#include "core/time_type.h"

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

class RequestMemory;

/** Complete HTTP request. */
struct HttpRequest
{
    std::string method;
    std::string path; ///< Without the query.
    std::string body;
    /** Time at which its last byte arrived at this machine; it may have waited there to be read. */
    TimePoint arrivedAt;
    /** Tells whether the caller still waits for the answer. Does not block; may be called on any
     * thread until the handler returns. Null: the caller waits. */
    std::function<bool()> callerWaits;
};

/** Complete HTTP response. */
struct HttpReply
{
    int status = 200; ///< HTTP status code.
    std::string contentType = "application/json";
    std::string body;
};

/** HTTP server that answers each request by calling a handler, which may block. */
class HttpServer
{
public:
    /** Called on the connection's thread, concurrently for several connections. */
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    /** @param memory Counts the bodies of the process; null: a count of the server's own.
     * @return The running server. Errc::AddressInUse if binding or listening fails,
     * Errc::InvalidSettings if the endpoint has no valid IP address. */
    static Result<std::unique_ptr<HttpServer>> start(const Endpoint &endpoint, Handler handler,
                                                     std::shared_ptr<RequestMemory> memory = {});

    ~HttpServer();

    /** @return TCP port that the server is bound to. */
    int port() const;

private:
    class Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
