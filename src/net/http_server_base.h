/** @file http_server_base.h Small HTTP server for operators and targets, with a thread per
 * connection. */
#pragma once

#include "config/settings_type.h"
#include "core/error_type.h"

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/** A whole request. */
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string body;
};

/** A whole answer. */
struct HttpReply
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/** Answers each request by a function that may block. */
class HttpServer
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    /** @return The server, or Errc::AddressInUse. */
    static Result<std::unique_ptr<HttpServer>> start(const Endpoint &endpoint, Handler handler);

    ~HttpServer();

    /** @return Bound port. */
    int port() const;

private:
    class Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace bilberry
