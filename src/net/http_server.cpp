/** @file http_server.cpp HTTP server on libmicrohttpd with one thread per connection. */
#include "net/http_server_base.h"

#include "core/log_func.h"
#include "net/connection_state_func.h"
#include "net/grammar_log_func.h"
#include "net/head_memory_base.h"
#include "net/library_memory_type.h"
#include "net/listen_func.h"
#include "net/request_head_func.h"
#include "net/request_stream_base.h"

#include <absl/strings/ascii.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberry {

namespace {

constexpr unsigned IDLE_TIMEOUT_SECONDS = 30;
constexpr std::size_t MAX_BODY_BYTES = 32 << 20;
constexpr unsigned STATUS_BAD_REQUEST = 400;
constexpr unsigned STATUS_BODY_TOO_LARGE = 413;
constexpr int STATUS_HEAD_TOO_LARGE = 431;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr const char *BODY_TOO_LARGE_ANSWER
    = "HTTP/1.1 413 \r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
constexpr const char *NO_ROOM_ANSWER
    = "HTTP/1.1 503 \r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::size_t ESCAPE_DIGITS = 2; ///< Hexadecimal digits behind a percent sign.

int hexDigit(char c)
{
    if (!absl::ascii_isxdigit(static_cast<unsigned char>(c)))
        return -1;
    return absl::ascii_isdigit(static_cast<unsigned char>(c)) ? c - '0'
                                                              : absl::ascii_tolower(c) - 'a' + 10;
}

/**
 * Decodes the path of a request target, once.
 * @return Nothing if an escape is malformed or stands for a control byte.
 */
std::optional<std::string> decodePath(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] != '%') {
            decoded += path[i];
            continue;
        }
        if (path.size() - i <= ESCAPE_DIGITS)
            return std::nullopt;
        const int high = hexDigit(path[i + 1]);
        const int low = hexDigit(path[i + 2]);
        const char byte = static_cast<char>(high * 16 + low);
        if (high < 0 || low < 0 || absl::ascii_iscntrl(static_cast<unsigned char>(byte)))
            return std::nullopt;
        decoded += byte;
        i += ESCAPE_DIGITS;
    }
    return decoded;
}

MHD_Response *makeResponse(const HttpReply &reply)
{
    MHD_Response *response = MHD_create_response_from_buffer(
        reply.body.size(), const_cast<char *>(reply.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", reply.contentType.c_str());
    return response;
}

} // namespace

class HttpServer::Impl
{
public:
    Impl(Handler handler, std::shared_ptr<RequestMemory> memory)
        : handler(std::move(handler))
        , memory(std::move(memory))
        , heads(std::make_shared<HeadMemory>(this->memory->limits.portHeadBytes))
    {
    }

    /** State of one request on a connection. */
    struct Context
    {
        bool headRead = false;
        HttpRequest request;
        std::optional<std::size_t> announced; ///< Length of the body.
        HeldBody held; ///< Room of the body.
        FollowedRequest followed;
    };

    static void onConnection(void *self, MHD_Connection *connection, void **,
                             MHD_ConnectionNotificationCode code)
    {
        if (code == MHD_CONNECTION_NOTIFY_CLOSED)
            unfollowSocket(socketOf(connection));
        else
            followSocket(socketOf(connection), ReadReadiness::Level,
                         static_cast<Impl *>(self)->heads);
    }

    static void *onRequestStart(void *, const char *, MHD_Connection *connection)
    {
        auto *context = new Context;
        context->followed = beginFollowedRequest(socketOf(connection));
        return context;
    }

    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *, const char *,
                                const char *, const char *upload, std::size_t *uploadSize,
                                void **state)
    {
        auto &context = *static_cast<Context *>(*state);
        HttpRequest &request = context.request;
        auto &server = *static_cast<Impl *>(self);
        if (!context.headRead)
            return server.readHead(context, connection);
        if (*uploadSize > 0)
            return server.readBody(context, connection, {upload, std::exchange(*uploadSize, 0)});
        if (!context.held.complete())
            return MHD_NO; // Answered already; closes the connection.
        if (const std::optional<HeadRefusal> refusal = context.followed.refusal())
            return server.refuseHead(connection, *refusal);
        if (const std::optional<GrammarFault> fault = context.followed.fault())
            return refuseMalformed(connection, *fault);
        noteCaller(request, connection);
        const HttpReply reply = server.handler(request);
        MHD_Response *response = makeResponse(reply);
        const MHD_Result queued
            = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    MHD_Result readBody(Context &context, MHD_Connection *connection, std::string_view bytes) const
    {
        const TimePoint now = MonotonicClock::now();
        const int socket = socketOf(connection);
        if (!context.held.isCounted())
            context.held = this->memory->add(
                [socket]() {
                    sendLastAnswer(socket, NO_ROOM_ANSWER);
                    ::shutdown(socket, SHUT_RDWR);
                },
                now);
        const BodyAppend result = appendBody(context.request.body, context.held, bytes,
                                             context.announced, MAX_BODY_BYTES, now);
        if (result == BodyAppend::Appended)
            return MHD_YES;
        const bool tooLarge = result == BodyAppend::TooLarge;
        if (result != BodyAppend::Yielded) {
            this->memory->count(tooLarge ? RequestEnd::BodyTooLarge : RequestEnd::NoRoom);
            logEventRateLimited("requestBodyRefused",
                                {{"why", tooLarge ? "tooLarge" : "noRoom"},
                                 {"port", "inner"},
                                 {"received", context.request.body.size()},
                                 {"announced", context.announced.value_or(0)}});
            sendLastAnswer(socket, tooLarge ? BODY_TOO_LARGE_ANSWER : NO_ROOM_ANSWER);
        }
        return MHD_NO;
    }

    static void noteCaller(HttpRequest &request, MHD_Connection *connection)
    {
        const int socket = socketOf(connection);
        request.arrivedAt = MonotonicClock::now() - timeSinceLastData(socket);
        request.callerWaits = [socket]() { return isPeerConnected(socket); };
    }

    MHD_Result readHead(Context &context, MHD_Connection *connection) const
    {
        context.headRead = true;
        RequestHead &head = context.followed.head;
        if (head.refusal)
            return this->refuseHead(connection, *head.refusal);
        if (head.fault)
            return refuseMalformed(connection, *head.fault);
        std::optional<std::string> path = decodePath(head.raw.target);
        if (!path)
            return refuseMalformed(connection, {GrammarRule::Target, ""});
        context.announced = announcedLength(head.raw.headers);
        if (context.announced.value_or(0) > MAX_BODY_BYTES) {
            this->memory->count(RequestEnd::BodyTooLarge);
            const nlohmann::json body{{"error", "body_too_large"}};
            return queueClosing(
                connection, STATUS_BODY_TOO_LARGE,
                makeResponse({STATUS_BODY_TOO_LARGE, "application/json", body.dump()}));
        }
        context.request.method = std::move(head.raw.method);
        context.request.path = *std::move(path);
        return MHD_YES;
    }

    /** Refuses a request whose head or trailer has not been read to its end. */
    MHD_Result refuseHead(MHD_Connection *connection, HeadRefusal why) const
    {
        const bool noRoom = why == HeadRefusal::NoRoom;
        this->memory->count(noRoom ? RequestEnd::NoRoom : RequestEnd::HeadTooLarge);
        logEventRateLimited("requestHeadRefused", {{"port", "inner"}, {"why", nameOf(why)}});
        const int status = noRoom ? STATUS_UNAVAILABLE : STATUS_HEAD_TOO_LARGE;
        const nlohmann::json body{{"error", noRoom ? "overloaded" : "headers_too_large"}};
        return queueClosing(connection, static_cast<unsigned>(status),
                            makeResponse({status, "application/json", body.dump()}));
    }

    /** Refuses a request and closes the connection: no one can tell where the next one begins. */
    static MHD_Result refuseMalformed(MHD_Connection *connection, const GrammarFault &fault)
    {
        recordGrammarFault("requestMalformed", fault, {{"port", "inner"}},
                           WallClock::unixSeconds());
        const nlohmann::json body{{"error", "malformed_request"}, {"rule", fault.rule}};
        return queueClosing(connection, STATUS_BAD_REQUEST,
                            makeResponse({STATUS_BAD_REQUEST, "application/json", body.dump()}));
    }

    static void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
    {
        delete static_cast<Context *>(*state);
        *state = nullptr;
    }

    Handler handler;
    std::shared_ptr<RequestMemory> memory;
    const std::shared_ptr<HeadMemory> heads;
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

Result<std::unique_ptr<HttpServer>> HttpServer::start(const Endpoint &endpoint, Handler handler,
                                                      std::shared_ptr<RequestMemory> memory)
{
    if (!memory)
        memory
            = std::make_shared<RequestMemory>(requestLimits(Settings(), systemDescriptorLimit()));
    auto impl = std::make_unique<Impl>(std::move(handler), std::move(memory));
    BOOST_OUTCOME_TRY(socket, bindTo(endpoint));
    setReceiveBuffer(socket, impl->memory->limits.portReceiveBufferBytes);
    const Result<void> listening = startListening(socket);
    if (!listening) {
        ::close(socket);
        return listening.error();
    }
    impl->port = boundPort(socket);
    impl->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0, nullptr,
        nullptr, &Impl::onRequest, impl.get(), MHD_OPTION_LISTEN_SOCKET, socket,
        MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(impl->memory->limits.portConnections),
        MHD_OPTION_NOTIFY_CONNECTION, &Impl::onConnection, impl.get(),
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_SECONDS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        CONNECTION_MEMORY_BYTES, MHD_OPTION_URI_LOG_CALLBACK, &Impl::onRequestStart, nullptr,
        MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, nullptr, MHD_OPTION_END);
    if (impl->daemon == nullptr)
        return Errc::AddressInUse;
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

int HttpServer::port() const
{
    return this->impl->port;
}

} // namespace bilberry
