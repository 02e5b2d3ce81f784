/** @file caller_server.cpp HTTP server for callers on libmicrohttpd, with suspended connections. */
#include "net/caller_server_base.h"

#include "core/log_func.h"
#include "net/answer_counts_base.h"
#include "net/answer_delivery_base.h"
#include "net/connection_state_func.h"
#include "net/edge_type.h"
#include "net/grammar_func.h"
#include "net/grammar_log_func.h"
#include "net/head_memory_base.h"
#include "net/library_room_func.h"
#include "net/listen_func.h"
#include "net/request_head_func.h"
#include "net/request_stream_base.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <cstring>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bilberry {

namespace {

/** Connections that libmicrohttpd accepts above the bound, so that new ones are seen and the one
 * without progress for longest can yield to them. */
constexpr std::size_t SPARE_CONNECTIONS = 32;
constexpr unsigned IDLE_TIMEOUT_SECONDS = 20;
constexpr Duration UPLOAD_TIMEOUT = 30s; ///< For the complete body; slower uploads are aborted.
constexpr std::size_t STREAM_BLOCK_BYTES = 16 << 10;
constexpr std::size_t MAX_LOGGED_ID_BYTES = 256;
/** Status line and the fields that libmicrohttpd adds to the head of an answer. */
constexpr std::size_t OWN_FIELDS_BYTES = 512;
/** Time without bytes after which the connection of a refused body is closed. */
constexpr unsigned REFUSED_TIMEOUT_SECONDS = 2;

/** Open connection of a caller; accessed by libmicrohttpd's thread alone. */
struct OpenConnection
{
    int socket = -1;
    TimePoint lastProgress;
    std::size_t receiveBuffer = 0; ///< Counted in Impl::grantedReceiveBytes.
    bool waits = false; ///< Its request has been received and is answered.
    bool yielded = false; ///< Shut down; libmicrohttpd is about to close it.
};

/** @return The bytes of @p answer as the last one on a connection. */
std::string lastAnswer(const EncodedAnswer &answer)
{
    std::string text
        = absl::StrCat("HTTP/1.1 ", answer.status,
                       " \r\nConnection: close\r\nContent-Length: ", answer.body.size(),
                       "\r\nContent-Type: ", answer.contentType, "\r\n");
    for (const auto &[name, value] : answer.headers)
        absl::StrAppend(&text, name, ": ", value, "\r\n");
    return absl::StrCat(text, "\r\n", answer.body);
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
        TimePoint startedAt;
        std::optional<std::size_t> announced; ///< Length of the body.
        HeldBody held; ///< Room of the body; passed to the exchange.
        bool refused = false; ///< The body found no room; the rest of it is discarded.
        std::size_t discarded = 0; ///< Bytes of the body that were discarded.
        OpenConnection *open = nullptr;
        std::shared_ptr<Exchange> exchange;
        FollowedRequest followed;
        std::size_t headBytes = 0; ///< Of the request's head.
        std::size_t fields = 0; ///< In the request's head.
        int socket = -1; ///< File descriptor of the connection; -1: unknown.
        LibraryUse use; ///< Set when the answer begins.
        std::string version; ///< HTTP version of the request.
        bool closes = false; ///< The connection ends with the answer.
        bool direct = false; ///< AnswerDelivery writes the answer, or has done so.
    };

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
        auto *context = static_cast<Context *>(*state);
        auto &server = *static_cast<Impl *>(self);
        if (context->server == nullptr)
            return server.readHead(*context, connection);
        if (*uploadSize > 0)
            return server.readBody(*context, connection, upload, uploadSize);
        if (!context->exchange)
            return server.endBody(*context, connection);
        return server.reply(*context, connection);
    }

    MHD_Result readHead(Context &context, MHD_Connection *connection)
    {
        RequestHead &head = context.followed.head;
        context.server = this;
        context.startedAt = MonotonicClock::now();
        context.socket = socketOf(connection);
        context.version = std::move(head.version);
        context.headBytes = head.bytes;
        context.fields = head.raw.headers.size();
        context.raw = std::move(head.raw);
        if (head.refusal)
            return this->refuseHead(context, connection, *head.refusal);
        if (!head.fault)
            head.fault = this->edge.checkHeaders(context.raw.headers);
        if (head.fault)
            return this->refuseMalformed(context, connection, *head.fault);
        const MHD_ConnectionInfo *state
            = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        context.open
            = state == nullptr ? nullptr : static_cast<OpenConnection *>(state->socket_context);
        this->noteProgress(context, false);
        context.announced = announcedLength(context.raw.headers);
        if (context.announced.value_or(0) > this->maxBodyBytes)
            this->refuseBody(context, connection, RequestEnd::BodyTooLarge);
        return MHD_YES;
    }

    static void noteProgress(const Context &context, bool waits)
    {
        if (context.open == nullptr)
            return;
        context.open->lastProgress = MonotonicClock::now();
        context.open->waits = waits;
    }

    /** @return The refusal of a request whose body has not been received, as the connection's last
     * answer. */
    std::string encodeLastAnswer(const Context &context, RequestEnd end) const
    {
        RawRequest head{context.raw.method, context.raw.target, context.raw.headers, ""};
        const ParsedRequest parsed
            = this->edge.parseRequest(RequestId(), std::move(head), WallClock::unixSeconds());
        const std::string &tag = parsed.event.tag;
        const std::string id = isFieldValue(tag) && tag.size() <= MAX_LOGGED_ID_BYTES ? tag : "";
        RefuseCaller refusal;
        refusal.execution = Execution::NotRun;
        refusal.code = RefusalCode::BodyTooLarge;
        if (end != RequestEnd::BodyTooLarge) {
            refusal.code = RefusalCode::Overloaded;
            refusal.retryAfter = ROOM_RETRY_AFTER;
        }
        return lastAnswer(this->edge.encodeRefusal(refusal, id));
    }

    /**
     * Answers a request in the middle of its body. What still arrives is discarded up to the limit
     * of one body, since a connection that is closed with unread bytes loses the answer.
     */
    void refuseBody(Context &context, MHD_Connection *connection, RequestEnd end) const
    {
        logEventRateLimited("requestBodyRefused",
                            {{"why", end == RequestEnd::BodyTooLarge ? "tooLarge" : "noRoom"},
                             {"received", context.raw.body.size()},
                             {"announced", context.announced.value_or(0)},
                             {"heldInAll", this->memory->heldLarge() + this->memory->heldSmall()}});
        this->memory->count(end);
        sendLastAnswer(context.socket, this->encodeLastAnswer(context, end));
        context.refused = true;
        std::string().swap(context.raw.body);
        context.held.release();
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  REFUSED_TIMEOUT_SECONDS);
    }

    /** Begins the count of a body. A large one that yields is answered, a small one is closed. */
    HeldBody holdBody(const Context &context, TimePoint now) const
    {
        const bool answers = context.announced.value_or(SIZE_MAX) > SMALL_BODY_BYTES;
        std::string answer
            = answers ? this->encodeLastAnswer(context, RequestEnd::BodyYielded) : "";
        return this->memory->add(
            [socket = context.socket, answer = std::move(answer)]() {
                sendLastAnswer(socket, answer);
                ::shutdown(socket, SHUT_RDWR);
            },
            now);
    }

    MHD_Result endBody(Context &context, MHD_Connection *connection)
    {
        if (context.refused || !context.held.complete())
            return MHD_NO; // Answered already; closes the connection.
        if (const std::optional<HeadRefusal> refusal = context.followed.refusal())
            return this->refuseHead(context, connection, *refusal);
        if (const std::optional<GrammarFault> fault = context.followed.fault())
            return this->refuseMalformed(context, connection, *fault);
        return this->submit(context, connection);
    }

    /** Refuses a request whose head or trailer is malformed. */
    MHD_Result refuseMalformed(Context &context, MHD_Connection *connection,
                               const GrammarFault &fault)
    {
        const std::string id = this->takeCorrelation(context);
        recordGrammarFault("requestMalformed", fault, {{"tag", id}}, WallClock::unixSeconds());
        RefuseCaller refusal;
        refusal.code = RefusalCode::Malformed;
        return this->refuseClosing(context, connection, refusal, id);
    }

    /** Refuses a request whose head or trailer has not been read to its end. */
    MHD_Result refuseHead(Context &context, MHD_Connection *connection, HeadRefusal why)
    {
        const std::string id = this->takeCorrelation(context);
        const bool noRoom = why == HeadRefusal::NoRoom;
        this->memory->count(noRoom ? RequestEnd::NoRoom : RequestEnd::HeadTooLarge);
        logEventRateLimited("requestHeadRefused",
                            {{"tag", id},
                             {"why", nameOf(why)},
                             {"received", context.headBytes},
                             {"limit", this->heads->maxHeadBytes.load()},
                             {"heldInAll", this->heads->held()}});
        RefuseCaller refusal;
        refusal.code = noRoom ? RefusalCode::Overloaded : RefusalCode::HeadersTooLarge;
        if (noRoom)
            refusal.retryAfter = ROOM_RETRY_AFTER;
        return this->refuseClosing(context, connection, refusal, id);
    }

    /** @return The caller's id, as far as the head has been read; the rest of the head is dropped.
     */
    std::string takeCorrelation(Context &context) const
    {
        context.raw.body.clear();
        const ParsedRequest parsed = this->edge.parseRequest(RequestId(), std::move(context.raw),
                                                             WallClock::unixSeconds());
        context.raw = {parsed.forwarded.method, "", {}, ""};
        const std::string &tag = parsed.event.tag;
        return isFieldValue(tag) && tag.size() <= MAX_LOGGED_ID_BYTES ? tag : "";
    }

    /** Answers a request that is not passed on. The connection is closed, since no one can tell
     * where the next request on it would begin. */
    MHD_Result refuseClosing(Context &context, MHD_Connection *connection,
                             const RefuseCaller &refusal, const std::string &id)
    {
        context.closes = true;
        context.exchange = std::make_shared<Exchange>(RequestId());
        context.exchange->callerSocket = context.socket;
        context.exchange->forwarded.method = context.raw.method;
        context.exchange->forwarded.correlation = id;
        answerRefusal(*context.exchange, refusal, this->edge);
        return this->reply(context, connection);
    }

    MHD_Result readBody(Context &context, MHD_Connection *connection, const char *upload,
                        std::size_t *uploadSize) const
    {
        const TimePoint now = MonotonicClock::now();
        if (now - context.startedAt > UPLOAD_TIMEOUT)
            return MHD_NO;
        const std::size_t size = std::exchange(*uploadSize, 0);
        if (context.refused) {
            context.discarded += size;
            return context.discarded <= this->maxBodyBytes ? MHD_YES : MHD_NO;
        }
        this->noteProgress(context, false);
        if (!context.held.isCounted())
            context.held = this->holdBody(context, now);
        switch (appendBody(context.raw.body, context.held, {upload, size}, context.announced,
                           this->maxBodyBytes, now)) {
        case BodyAppend::Appended:
            break;
        case BodyAppend::TooLarge:
            this->refuseBody(context, connection, RequestEnd::BodyTooLarge);
            break;
        case BodyAppend::NoRoom:
            this->refuseBody(context, connection, RequestEnd::NoRoom);
            break;
        case BodyAppend::Yielded:
            return MHD_NO;
        }
        return MHD_YES;
    }

    /** Parses the complete request, passes it to onEvent, and suspends the connection until the
     * answer begins. */
    MHD_Result submit(Context &context, MHD_Connection *connection)
    {
        const RequestId id(++this->lastRequest);
        context.exchange = this->exchanges->add(id);
        context.exchange->heldBody = std::move(context.held);
        context.exchange->callerSocket = context.socket;
        this->noteProgress(context, true);
        ParsedRequest parsed
            = this->edge.parseRequest(id, std::move(context.raw), WallClock::unixSeconds());
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
        if (context.direct)
            return MHD_NO; // The answer has been written, or its caller has left.
        {
            absl::MutexLock lock(&this->waitingMutex);
            this->waiting.erase(exchange.id);
        }
        absl::MutexLock lock(&exchange.mutex);
        if (!exchange.begun) {
            this->suspend(exchange, connection);
            return MHD_YES;
        }
        context.use = libraryUse(connection);
        // The client may still be sending; AnswerDelivery reads on until it has got the answer.
        if (context.closes || exchange.headBytes + OWN_FIELDS_BYTES > libraryRoom(context.use)) {
            this->deliver(context, connection);
            return MHD_YES;
        }
        return queueAnswer(context, connection, this->closeAfterAnswer.load());
    }

    /** Passes an answer that has begun to the library, whose memory has room for its head. */
    static MHD_Result queueAnswer(const Context &context, MHD_Connection *connection, bool closes)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(context.exchange->mutex)
    {
        Exchange &exchange = *context.exchange;
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
        if (closes)
            MHD_add_response_header(response, "Connection", "close");
        const MHD_Result queued
            = MHD_queue_response(connection, static_cast<unsigned>(exchange.status), response);
        MHD_destroy_response(response);
        return queued;
    }

    /** Writes an answer that has begun past the library, and suspends the connection until then. */
    void deliver(Context &context, MHD_Connection *connection)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(context.exchange->mutex)
    {
        Exchange &exchange = *context.exchange;
        logEventRateLimited("answerDeliveredDirectly",
                            {{"request", exchange.id},
                             {"tag", exchange.forwarded.correlation},
                             {"status", exchange.status},
                             {"answerHeadBytes", exchange.headBytes},
                             {"headBytes", context.headBytes},
                             {"fields", context.fields},
                             {"roomBytes", libraryRoom(context.use)}});
        context.direct = true;
        MHD_suspend_connection(connection);
        this->delivery.add({context.exchange, context.socket,
                            framingOf(exchange.forwarded.method, context.version, exchange.status,
                                      exchange.streamed),
                            [connection]() { MHD_resume_connection(connection); }});
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
            exchange.countHeld();
            onBufferSpace = std::move(exchange.onBufferSpace);
            exchange.onBufferSpace = nullptr;
        }
        if (onBufferSpace)
            onBufferSpace();
        return static_cast<ssize_t>(size);
    }

    static void freeReader(void *state) { delete static_cast<StreamReader *>(state); }

    /** @return How the answer has ended, as the library says and as the exchange knows. */
    static AnswerEnd endOf(Exchange &exchange, MHD_RequestTerminationCode code)
    {
        if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
            return AnswerEnd::Delivered;
        if (code == MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN)
            return AnswerEnd::Stopped;
        if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED)
            return AnswerEnd::CallerStalled;
        if (code != MHD_REQUEST_TERMINATED_WITH_ERROR || !isPeerConnected(exchange.callerSocket))
            return AnswerEnd::CallerLeft;
        absl::MutexLock lock(&exchange.mutex);
        return exchange.broken ? AnswerEnd::BrokenOff : AnswerEnd::LibraryFailed;
    }

    /** Counts the end of an answer, and logs one that was ready and has not reached the caller. */
    void recordEnd(const Context &context, MHD_RequestTerminationCode code)
    {
        Exchange &exchange = *context.exchange;
        const AnswerEnd end = endOf(exchange, code);
        this->answers->count(end);
        if (!isUndelivered(end))
            return;
        absl::MutexLock lock(&exchange.mutex);
        logEventRateLimited("answerNotDelivered",
                            {{"request", exchange.id},
                             {"tag", exchange.forwarded.correlation},
                             {"why", nameOf(end)},
                             {"status", exchange.status},
                             {"answerHeadBytes", exchange.headBytes},
                             {"headBytes", context.headBytes},
                             {"fields", context.fields},
                             {"roomBytes", libraryRoom(context.use)}});
    }

    static void onCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode code)
    {
        auto *context = static_cast<Context *>(*state);
        if (context == nullptr)
            return;
        const bool answered = context->exchange && context->exchange->hasBegun();
        if (answered && !context->direct) // AnswerDelivery counts its own.
            context->server->recordEnd(*context, code);
        if (context->exchange)
            context->server->releaseExchange(*context->exchange);
        if (context->server != nullptr)
            noteProgress(*context, false);
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

    /** Keeps track of the open connections; @c openConnections has stable addresses. */
    static void onConnection(void *self, MHD_Connection *connection, void **state,
                             MHD_ConnectionNotificationCode code)
    {
        auto &server = *static_cast<Impl *>(self);
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            const OpenConnection &closed = server.openConnections[connection];
            unfollowSocket(closed.socket);
            server.yieldedConnections -= closed.yielded ? 1 : 0;
            server.grantedReceiveBytes -= closed.receiveBuffer;
            server.openConnections.erase(connection);
            return;
        }
        OpenConnection &added = server.openConnections[connection];
        added.socket = socketOf(connection);
        followSocket(added.socket, ReadReadiness::Edge, server.heads);
        added.lastProgress = MonotonicClock::now();
        *state = &added;
        server.grantReceiveBuffer(added);
        server.boundConnections(added);
    }

    /** Bounds the receive buffer of a new connection, and of those that are still to be accepted:
     * their bytes arrive before this server sees them. */
    void grantReceiveBuffer(OpenConnection &added)
    {
        const RequestLimits &limits = this->memory->limits;
        added.receiveBuffer = receiveBufferFor(limits, this->grantedReceiveBytes);
        this->grantedReceiveBytes += added.receiveBuffer;
        if (added.receiveBuffer != this->inheritedReceiveBuffer)
            setReceiveBuffer(added.socket, added.receiveBuffer);
        const std::size_t next = receiveBufferFor(limits, this->grantedReceiveBytes);
        if (next == this->inheritedReceiveBuffer || this->quiesced.load())
            return;
        setReceiveBuffer(this->socket, next);
        this->inheritedReceiveBuffer = next;
    }

    /** Shuts down the connection that has made no progress for longest and waits for no answer, if
     * there are too many; else the one that was added. */
    void boundConnections(OpenConnection &added)
    {
        const std::size_t open = this->openConnections.size() - this->yieldedConnections;
        if (open <= this->memory->limits.callerConnections)
            return;
        OpenConnection *chosen = nullptr;
        TimePoint oldest = added.lastProgress - MIN_IDLE_TO_YIELD;
        for (auto &[connection, state] : this->openConnections) {
            if (state.yielded || state.waits || state.lastProgress > oldest)
                continue;
            chosen = &state;
            oldest = state.lastProgress;
        }
        OpenConnection &ending = chosen == nullptr ? added : *chosen;
        logEventRateLimited("connectionClosedForLimit",
                            {{"open", open},
                             {"limit", this->memory->limits.callerConnections},
                             {"idleMs", toMilliseconds(added.lastProgress - ending.lastProgress)}});
        this->memory->count(chosen == nullptr ? RequestEnd::NoConnection
                                              : RequestEnd::ConnectionYielded);
        ending.yielded = true;
        ++this->yieldedConnections;
        ::shutdown(ending.socket, SHUT_RDWR);
    }

    explicit Impl(const Edge &edge)
        : edge(edge)
    {
    }

    std::shared_ptr<RequestMemory> memory;
    const std::shared_ptr<AnswerCounts> answers = std::make_shared<AnswerCounts>();
    AnswerDelivery delivery{answers};
    std::shared_ptr<HeadMemory> heads;
    std::map<MHD_Connection *, OpenConnection> openConnections;
    std::size_t yieldedConnections = 0; ///< Of @c openConnections.
    std::size_t grantedReceiveBytes = 0; ///< Receive buffers of @c openConnections.
    /** Receive buffer of the connections that the listening socket accepts. */
    std::size_t inheritedReceiveBuffer = 0;

    const Edge &edge;
    std::size_t maxBodyBytes = 0;
    std::shared_ptr<ExchangeTable> exchanges;
    OnEvent onEvent;
    MHD_Daemon *daemon = nullptr;
    int socket = -1;
    std::atomic<bool> quiesced{false}; ///< The server has stopped accepting connections.
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
                                                          OnEvent onEvent,
                                                          std::shared_ptr<RequestMemory> memory)
{
    auto impl = std::make_unique<Impl>(edge);
    impl->maxBodyBytes = settings.maxBodyBytes;
    impl->memory = memory
        ? std::move(memory)
        : std::make_shared<RequestMemory>(requestLimits(settings, systemDescriptorLimit()));
    impl->heads = std::make_shared<HeadMemory>(impl->memory->limits.headBytes);
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
    const RequestLimits &limits = this->impl->memory->limits;
    this->impl->inheritedReceiveBuffer = receiveBufferFor(limits, 0);
    setReceiveBuffer(this->impl->socket, this->impl->inheritedReceiveBuffer);
    BOOST_OUTCOME_TRYV(startListening(this->impl->socket));
    this->impl->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0, nullptr, nullptr,
        &Impl::onRequest, this->impl.get(), MHD_OPTION_LISTEN_SOCKET, this->impl->socket,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(limits.callerConnections + SPARE_CONNECTIONS),
        MHD_OPTION_NOTIFY_CONNECTION, &Impl::onConnection, this->impl.get(),
        MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_SECONDS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        CONNECTION_MEMORY_BYTES, MHD_OPTION_URI_LOG_CALLBACK, &Impl::onRequestStart, nullptr,
        MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, nullptr, MHD_OPTION_END);
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

std::string CallerServer::formatMetrics() const
{
    return this->impl->answers->formatMetrics();
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
    this->impl->delivery.stop();
    MHD_stop_daemon(this->impl->daemon);
    this->impl->daemon = nullptr;
}

} // namespace bilberry
