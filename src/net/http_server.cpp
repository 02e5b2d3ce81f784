/** @file http_server.cpp HTTP server on libmicrohttpd with one thread per connection. */
#include "net/http_server_base.h"

#include "net/listen_func.h"

#include <microhttpd.h>

namespace bilberry {

namespace {

constexpr unsigned MAX_CONNECTIONS = 256;
constexpr unsigned IDLE_TIMEOUT_SECONDS = 30;
constexpr std::size_t MAX_BODY_BYTES = 32 << 20;

} // namespace

class HttpServer::Impl
{
public:
    explicit Impl(Handler handler)
        : handler(std::move(handler))
    {
    }

    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *url,
                                const char *method, const char *, const char *upload,
                                std::size_t *uploadSize, void **state)
    {
        auto *request = static_cast<HttpRequest *>(*state);
        if (request == nullptr) {
            *state = new HttpRequest{method, url, ""};
            return MHD_YES;
        }
        if (*uploadSize > 0) {
            if (request->body.size() + *uploadSize > MAX_BODY_BYTES)
                return MHD_NO;
            request->body.append(upload, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        const HttpReply reply = static_cast<Impl *>(self)->handler(*request);
        MHD_Response *response = MHD_create_response_from_buffer(
            reply.body.size(), const_cast<char *>(reply.body.data()), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", reply.contentType.c_str());
        const MHD_Result queued
            = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    static void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
    {
        delete static_cast<HttpRequest *>(*state);
        *state = nullptr;
    }

    Handler handler;
    MHD_Daemon *daemon = nullptr;
    int port = 0;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

HttpServer::~HttpServer()
{
    if (this->impl->daemon != nullptr)
        MHD_stop_daemon(this->impl->daemon);
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const Endpoint &endpoint, Handler handler)
{
    auto impl = std::make_unique<Impl>(std::move(handler));
    BOOST_OUTCOME_TRY(socket, listenOn(endpoint));
    impl->port = boundPort(socket);
    impl->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0, nullptr,
        nullptr, &Impl::onRequest, impl.get(), MHD_OPTION_LISTEN_SOCKET, socket,
        MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
        IDLE_TIMEOUT_SECONDS, MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, nullptr,
        MHD_OPTION_END);
    if (impl->daemon == nullptr)
        return Errc::AddressInUse;
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

int HttpServer::port() const
{
    return this->impl->port;
}

} // namespace bilberry
