/** @file caller_server.cpp HTTP server for callers on libmicrohttpd, with suspended connections. */
#include "net/caller_server_base.h"

#include "net/edge_type.h"
#include "net/listen_func.h"

#include <absl/strings/match.h>
#include <atomic>
#include <cstring>
#include <microhttpd.h>
#include <poll.h>
#include <unistd.h>

namespace bilberry {

namespace {

constexpr unsigned MAX_CONNECTIONS = 20'000;
constexpr unsigned IDLE_TIMEOUT_SECONDS = 20;
/** libmicrohttpd's memory for one connection; also bounds the size of a request's headers. */
constexpr std::size_t CONNECTION_MEMORY_BYTES = 32 << 10;
constexpr Duration UPLOAD_TIMEOUT = 30s; ///< For the complete body; slower uploads are aborted.
constexpr std::size_t STREAM_BLOCK_BYTES = 16 << 10;

MHD_Result collectHeader(void *list, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<HeaderList *>(list)->emplace_back(name, value == nullptr ? "" : value);
    return MHD_YES;
}

/** @return Whether the headers define the request's length and its Host unambiguously; guards
 * against request smuggling. */
bool isUnambiguous(const HeaderList &headers, const std::string &version)
{
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    for (const auto &[name, value] : headers) {
        lengths += absl::EqualsIgnoreCase(name, "Content-Length") ? 1 : 0;
        encodings += absl::EqualsIgnoreCase(name, "Transfer-Encoding") ? 1 : 0;
        hosts += absl::EqualsIgnoreCase(name, "Host") ? 1 : 0;
    }
    const bool hostKnown = hosts == 1 || (hosts == 0 && version == "HTTP/1.0");
    return lengths <= 1 && encodings <= 1 && lengths + encodings <= 1 && hostKnown;
}

} // namespace

class CallerServer::Impl
{
public:
    /** State of one request on a connection. */
    struct Context
    {
        Impl *server = nullptr;
        RawRequest raw;
        bool tooLarge = false; ///< The body exceeds the configured limit.
        /** isUnambiguous() is false: the request is refused, then the connection is closed. */
        bool ambiguous = false;
        TimePoint startedAt;
        std::shared_ptr<Exchange> exchange;
        std::string rawUrl; ///< Request target before libmicrohttpd decodes it.
        int socket = -1; ///< File descriptor of the connection; -1: unknown.
    };

    static void *onRequestStart(void *, const char *uri, MHD_Connection *)
    {
        auto *context = new Context;
        context->rawUrl = uri;
        return context;
    }

    static MHD_Result onRequest(void *self, MHD_Connection *connection, const char *,
                                const char *method, const char *version, const char *upload,
                                std::size_t *uploadSize, void **state)
    {
        auto *context = static_cast<Context *>(*state);
        auto &server = *static_cast<Impl *>(self);
        if (context->server == nullptr) {
            server.readHead(*context, connection, method, version);
            return MHD_YES;
        }
        if (*uploadSize > 0)
            return server.readBody(*context, upload, uploadSize);
        if (!context->exchange)
            return server.submit(*context, connection);
        return server.reply(*context, connection);
    }

    void readHead(Context &context, MHD_Connection *connection, const char *method,
                  const char *version)
    {
        context.server = this;
        context.startedAt = MonotonicClock::now();
        context.raw.method = method;
        context.raw.target = std::move(context.rawUrl);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader,
                                  &context.raw.headers);
        context.ambiguous = !isUnambiguous(context.raw.headers, version);
        const MHD_ConnectionInfo *info
            = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        context.socket = info == nullptr ? -1 : info->connect_fd;
    }

    MHD_Result readBody(Context &context, const char *upload, std::size_t *uploadSize) const
    {
        if (MonotonicClock::now() - context.startedAt > UPLOAD_TIMEOUT)
            return MHD_NO;
        if (context.raw.body.size() + *uploadSize > this->maxBodyBytes)
            context.tooLarge = true;
        else
            context.raw.body.append(upload, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }

    /** Parses the complete request, passes it to onEvent, and suspends the connection until the
     * answer begins. */
    MHD_Result submit(Context &context, MHD_Connection *connection)
    {
        const RequestId id(++this->lastRequest);
        context.exchange = this->exchanges->add(id);
        const std::int64_t unixSeconds = std::chrono::duration_cast<std::chrono::seconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count();
        ParsedRequest parsed = this->edge.parseRequest(id, std::move(context.raw), unixSeconds);
        if (context.tooLarge)
            parsed.refusal = RefusalCode::BodyTooLarge;
        if (context.ambiguous)
            parsed.refusal = RefusalCode::Malformed;
        context.exchange->forwarded = std::move(parsed.forwarded);
        {
            absl::MutexLock lock(&context.exchange->mutex);
            this->suspend(*context.exchange, connection);
        }
        {
            absl::MutexLock lock(&this->waitingMutex);
            this->waiting[id] = context.socket;
        }
        const bool accepted = !parsed.refusal && this->onEvent(std::move(parsed.event));
        if (!accepted)
            answerRefusal(*context.exchange,
                          {id, parsed.refusal.value_or(RefusalCode::Overloaded), Execution::NotRun,
                           parsed.refusal ? std::nullopt : std::optional<Duration>(1s)},
                          this->edge);
        return MHD_YES;
    }

    /** Suspends the connection until the exchange resumes it. @pre The exchange's mutex is held. */
    void suspend(Exchange &exchange, MHD_Connection *connection)
    {
        MHD_suspend_connection(connection);
        exchange.resumeCaller = [connection]() { MHD_resume_connection(connection); };
    }

    MHD_Result reply(Context &context, MHD_Connection *connection)
    {
        Exchange &exchange = *context.exchange;
        {
            absl::MutexLock lock(&this->waitingMutex);
            this->waiting.erase(exchange.id);
        }
        absl::MutexLock lock(&exchange.mutex);
        if (!exchange.begun) {
            this->suspend(exchange, connection);
            return MHD_YES;
        }
        MHD_Response *response = nullptr;
        if (exchange.streamed)
            response = MHD_create_response_from_callback(
                MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, &readStream,
                new StreamReader{context.exchange, connection}, &freeReader);
        else
            response = MHD_create_response_from_buffer(
                exchange.buffer.size(), exchange.buffer.data(), MHD_RESPMEM_MUST_COPY);
        if (!exchange.contentType.empty())
            MHD_add_response_header(response, "Content-Type", exchange.contentType.c_str());
        for (const auto &[name, value] : exchange.headers)
            MHD_add_response_header(response, name.c_str(), value.c_str());
        if (this->closeAfterAnswer.load() || context.ambiguous)
            MHD_add_response_header(response, "Connection", "close");
        const MHD_Result queued
            = MHD_queue_response(connection, static_cast<unsigned>(exchange.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    /** State of readStream(), which suspends the connection while the buffer is empty. */
    struct StreamReader
    {
        std::shared_ptr<Exchange> exchange;
        MHD_Connection *connection;
    };

    static ssize_t readStream(void *state, std::uint64_t, char *out, std::size_t max)
    {
        auto &reader = *static_cast<StreamReader *>(state);
        Exchange &exchange = *reader.exchange;
        std::function<void()> onBufferSpace;
        std::size_t size = 0;
        {
            absl::MutexLock lock(&exchange.mutex);
            if (exchange.buffer.empty()) {
                if (exchange.ended)
                    return exchange.broken ? MHD_CONTENT_READER_END_WITH_ERROR
                                           : MHD_CONTENT_READER_END_OF_STREAM;
                MHD_suspend_connection(reader.connection);
                MHD_Connection *connection = reader.connection;
                exchange.resumeCaller = [connection]() { MHD_resume_connection(connection); };
                return 0;
            }
            size = std::min(max, exchange.buffer.size());
            std::memcpy(out, exchange.buffer.data(), size);
            exchange.buffer.erase(0, size);
            exchange.held.set(exchange.buffer.size());
            onBufferSpace = std::move(exchange.onBufferSpace);
            exchange.onBufferSpace = nullptr;
        }
        if (onBufferSpace)
            onBufferSpace();
        return static_cast<ssize_t>(size);
    }

    static void freeReader(void *state) { delete static_cast<StreamReader *>(state); }

    static void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode)
    {
        auto *context = static_cast<Context *>(*state);
        if (context == nullptr)
            return;
        if (context->exchange)
            context->server->releaseExchange(*context->exchange);
        delete context;
        *state = nullptr;
    }

    void releaseExchange(Exchange &exchange)
    {
        {
            absl::MutexLock lock(&this->waitingMutex);
            this->waiting.erase(exchange.id);
        }
        bool answerEnded = false;
        {
            absl::MutexLock lock(&exchange.mutex);
            answerEnded = exchange.ended;
        }
        exchange.close();
        this->exchanges->remove(exchange.id);
        if (!answerEnded)
            this->onEvent(CallerDisconnected{exchange.id});
    }

    explicit Impl(const Edge &edge)
        : edge(edge)
    {
    }

    const Edge &edge;
    std::size_t maxBodyBytes = 0;
    std::shared_ptr<ExchangeTable> exchanges;
    OnEvent onEvent;
    MHD_Daemon *daemon = nullptr;
    int socket = -1;
    bool quiesced = false; ///< The server has stopped accepting connections.
    int port = 0;
    std::atomic<std::uint64_t> lastRequest{0};
    std::atomic<bool> closeAfterAnswer{false};
    absl::Mutex waitingMutex;
    std::map<RequestId, int>
        waiting ABSL_GUARDED_BY(waitingMutex); ///< Sockets of requests without an answer yet.
};

CallerServer::CallerServer(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

CallerServer::~CallerServer()
{
    this->stop();
}

Result<std::unique_ptr<CallerServer>> CallerServer::start(const Settings &settings,
                                                          const Edge &edge,
                                                          std::shared_ptr<ExchangeTable> exchanges,
                                                          OnEvent onEvent)
{
    auto impl = std::make_unique<Impl>(edge);
    impl->maxBodyBytes = settings.maxBodyBytes;
    impl->exchanges = std::move(exchanges);
    impl->onEvent = std::move(onEvent);
    BOOST_OUTCOME_TRY(socket, bindTo(settings.callers));
    impl->port = boundPort(socket);
    impl->socket = socket;
    return std::unique_ptr<CallerServer>(new CallerServer(std::move(impl)));
}

Result<void> CallerServer::open()
{
    if (this->impl->daemon != nullptr)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRYV(startListening(this->impl->socket));
    this->impl->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, nullptr, nullptr,
        &Impl::onRequest, this->impl.get(), MHD_OPTION_LISTEN_SOCKET, this->impl->socket,
        MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
        IDLE_TIMEOUT_SECONDS, MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES,
        MHD_OPTION_URI_LOG_CALLBACK, &Impl::onRequestStart, nullptr, MHD_OPTION_NOTIFY_COMPLETED,
        &Impl::onCompleted, nullptr, MHD_OPTION_END);
    if (this->impl->daemon == nullptr)
        return Errc::AddressInUse;
    return boost::outcome_v2::success();
}

void CallerServer::detectDisconnectedCallers()
{
    std::vector<RequestId> ids;
    std::vector<pollfd> sockets;
    {
        absl::MutexLock lock(&this->impl->waitingMutex);
        for (const auto &[id, socket] : this->impl->waiting) {
            ids.push_back(id);
            sockets.push_back({socket, POLLRDHUP, 0});
        }
    }
    if (sockets.empty() || ::poll(sockets.data(), sockets.size(), 0) <= 0)
        return;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
            continue;
        const std::shared_ptr<Exchange> exchange = this->impl->exchanges->find(ids[i]);
        if (!exchange)
            continue;
        {
            absl::MutexLock lock(&this->impl->waitingMutex);
            this->impl->waiting.erase(ids[i]);
        }
        this->impl->onEvent(CallerDisconnected{ids[i]});
        // Resume the connection: libmicrohttpd then detects the disconnect and cleans up.
        exchange->begin(499, "", {}, "", false);
    }
}

int CallerServer::port() const
{
    return this->impl->port;
}

void CallerServer::closeAfterAnswers()
{
    this->impl->closeAfterAnswer = true;
}

void CallerServer::stopAccepting()
{
    if (this->impl->quiesced || this->impl->daemon == nullptr)
        return;
    this->impl->quiesced = true;
    const MHD_socket socket = MHD_quiesce_daemon(this->impl->daemon);
    if (socket != MHD_INVALID_SOCKET)
        ::close(socket);
}

void CallerServer::stop()
{
    if (this->impl->daemon == nullptr)
        return;
    MHD_stop_daemon(this->impl->daemon);
    this->impl->daemon = nullptr;
}

} // namespace bilberry
