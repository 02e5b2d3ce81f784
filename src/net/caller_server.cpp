/** @file caller_server.cpp HTTP server for callers on libmicrohttpd, with suspended connections. */
#include "net/caller_server_base.h"

#include "core/log_func.h"
#include "net/answer_counts_base.h"
#include "net/answer_delivery_base.h"
#include "net/caller_connections_base.h"
#include "net/edge_type.h"
#include "net/grammar_func.h"
#include "net/grammar_log_func.h"
#include "net/head_memory_base.h"
#include "net/library_answer_func.h"
#include "net/library_memory_type.h"
#include "net/listen_func.h"
#include "net/request_head_func.h"
#include "net/request_stream_base.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
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
constexpr std::size_t MAX_LOGGED_ID_BYTES = 256;
constexpr int STATUS_CLIENT_CLOSED = 499; ///< Status of a request without a caller, for the log.
/** Status line and the fields that libmicrohttpd adds to the head of an answer. */
constexpr std::size_t OWN_FIELDS_BYTES = 512;
/** Time without bytes after which the connection of a refused body is closed. */
constexpr unsigned REFUSED_TIMEOUT_SECONDS = 2;

/** Ends what the connection waits for, and so resumes it. */
void breakOff(Exchange &exchange)
{
    if (!exchange.begin(STATUS_CLIENT_CLOSED, "", {}, "", false))
        exchange.end(true);
}

/** @return The bytes of @p answer as the last one on a connection. */
std::string lastAnswer(const EncodedAnswer &answer)
{
    return encodeClosingHead(answer.status, answer.contentType, answer.headers, BodyFraming::Length,
                             answer.body.size())
        + answer.body;
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
            absl::MutexLock lock(&this->openMutex);
            this->openRequests[id] = context.socket;
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
        absl::MutexLock lock(&exchange.mutex);
        if (!exchange.begun) {
            this->suspend(exchange, connection);
            return MHD_YES;
        }
        // The client may still be sending; AnswerDelivery reads on until it has got the answer.
        if (context.closes || exchange.headBytes + OWN_FIELDS_BYTES > ANSWER_HEAD_BYTES) {
            this->deliver(context, connection);
            return MHD_YES;
        }
        return queueAnswer(connection, context.exchange, this->closeAfterAnswer.load());
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
                             {"roomBytes", ANSWER_HEAD_BYTES}});
        context.direct = true;
        MHD_suspend_connection(connection);
        this->delivery.add({context.exchange, context.socket,
                            framingOf(exchange.forwarded.method, context.version, exchange.status,
                                      exchange.streamed),
                            [connection]() { MHD_resume_connection(connection); }});
    }

    /** Counts the end of an answer, and logs one that was ready and has not reached the caller. */
    void recordEnd(const Context &context, MHD_RequestTerminationCode code)
    {
        Exchange &exchange = *context.exchange;
        const AnswerEnd end = endOfAnswer(exchange, code);
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
                             {"roomBytes", ANSWER_HEAD_BYTES}});
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
            absl::MutexLock lock(&this->openMutex);
            this->openRequests.erase(exchange.id);
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

    static void onConnection(void *self, MHD_Connection *connection, void **state,
                             MHD_ConnectionNotificationCode code)
    {
        auto &server = *static_cast<Impl *>(self);
        if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
            unfollowSocket(socketOf(connection));
            server.connections->remove(connection);
            return;
        }
        const int socket = socketOf(connection);
        followSocket(socket, ReadReadiness::Edge, server.heads);
        *state = &server.connections->add(connection, socket, MonotonicClock::now());
    }

    void endDisconnected(RequestId id);
    void releaseSuspended();

    explicit Impl(const Edge &edge)
        : edge(edge)
    {
    }

    std::shared_ptr<RequestMemory> memory;
    const std::shared_ptr<AnswerCounts> answers = std::make_shared<AnswerCounts>();
    AnswerDelivery delivery{answers};
    std::shared_ptr<HeadMemory> heads;
    std::unique_ptr<CallerConnections> connections;

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
    absl::Mutex openMutex;
    /** Sockets of all requests whose connection still serves them, in whatever state they are; a
     * caller that was seen to leave is not listed. */
    std::map<RequestId, int> openRequests ABSL_GUARDED_BY(openMutex);
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
    this->impl->connections
        = std::make_unique<CallerConnections>(this->impl->memory, this->impl->socket);
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

/** Ends a request whose caller has left, unless its answer is whole already: that one is delivered,
 * as the caller may have closed its sending side alone. */
void CallerServer::Impl::endDisconnected(RequestId id)
{
    const std::shared_ptr<Exchange> exchange = this->exchanges->find(id);
    if (!exchange || exchange->hasEnded())
        return;
    {
        absl::MutexLock lock(&this->openMutex);
        if (this->openRequests.erase(id) == 0)
            return; // Its connection ended meanwhile, and the socket may be another one's.
    }
    this->onEvent(CallerDisconnected{id});
    breakOff(*exchange); // libmicrohttpd then detects the disconnect and cleans up.
}

/** Resumes all connections that wait for bytes of an answer: libmicrohttpd ends the process if it
 * is stopped while one is suspended. */
void CallerServer::Impl::releaseSuspended()
{
    std::vector<RequestId> ids;
    {
        absl::MutexLock lock(&this->openMutex);
        for (const auto &[id, socket] : this->openRequests)
            ids.push_back(id);
    }
    for (const RequestId id : ids) {
        if (const std::shared_ptr<Exchange> exchange = this->exchanges->find(id))
            breakOff(*exchange);
    }
}

void CallerServer::detectDisconnectedCallers()
{
    std::vector<RequestId> ids;
    std::vector<pollfd> sockets;
    {
        absl::MutexLock lock(&this->impl->openMutex);
        ids.reserve(this->impl->openRequests.size());
        sockets.reserve(this->impl->openRequests.size());
        for (const auto &[id, socket] : this->impl->openRequests) {
            ids.push_back(id);
            sockets.push_back({socket, POLLRDHUP, 0});
        }
    }
    if (sockets.empty() || ::poll(sockets.data(), sockets.size(), 0) <= 0)
        return;
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            this->impl->endDisconnected(ids[i]);
    }
}

void CallerServer::limitHeads(std::size_t bytes)
{
    const std::size_t limit = bytes == 0 ? DEFAULT_HEAD_BYTES : bytes;
    this->impl->heads->maxHeadBytes = std::clamp(limit, MIN_HEAD_LIMIT_BYTES, MAX_HEAD_LIMIT_BYTES);
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
    this->impl->connections->stopAccepting();
    const MHD_socket socket = MHD_quiesce_daemon(this->impl->daemon);
    if (socket != MHD_INVALID_SOCKET)
        ::close(socket);
}

void CallerServer::stop()
{
    if (this->impl->daemon == nullptr)
        return;
    this->impl->delivery.stop();
    this->impl->releaseSuspended();
    MHD_stop_daemon(this->impl->daemon);
    this->impl->daemon = nullptr;
}

} // namespace bilberry
