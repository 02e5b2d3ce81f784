/** @file target_client.cpp HTTP client towards targets on one libcurl multi loop. */
#include "net/target_client_base.h"

#include "core/log_func.h"
#include "net/transfer_base.h"

#include <absl/strings/str_cat.h>
#include <cerrno>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

namespace bilberry {

namespace {

constexpr std::size_t TASK_QUEUE_CAPACITY = 65'536;
constexpr int POLL_TIMEOUT_MS = 20;
constexpr Duration STALL_CHECK_INTERVAL = 20ms;
constexpr long HTTP_OK = 200;
constexpr long HTTP_CONFLICT = 409;
constexpr long INSPECTION_TIMEOUT_MS = 2'000;
constexpr Duration ORDER_ANSWER_TIMEOUT = 1s; ///< From an order's sendBy until its answer.
/** TCP user timeout: the kernel stops retransmitting an order's bytes after this time. The other
 * half of MAX_ORDER_TRANSIT_TIME is left for the time until the bytes are first sent. */
constexpr Duration ORDER_TCP_USER_TIMEOUT = MAX_ORDER_TRANSIT_TIME / 2;
/** Bound of the body of an answer to an order or inspection. */
constexpr std::size_t MAX_ORDER_ANSWER_BYTES = 1 << 20;
constexpr long MAX_POOLED_CONNECTIONS = 1'024;

/** Task: cancels an attempt. */
struct Cancel
{
    AttemptId attempt;
};

/** Task: ends the attempts at a target that are not sent yet. */
struct CallBack
{
    TargetId target;
};

/** Task: stops the reuse of the pooled connections to an address that are idle now. */
struct RetireIdleConnections
{
    std::string address;
};

/** Task: resumes an attempt that was paused because the caller's buffer was full. */
struct Unpause
{
    AttemptId attempt;
};

using Task = std::variant<StartAttempt, Cancel, RetireIdleConnections, Unpause, SendOrder,
                          InspectTarget, CallBack>;

/** HTTP transfer of an order or of an inspection. */
struct ControlTransfer
{
    std::variant<SendOrder, InspectTarget> call;
    std::string body; ///< Body of the request.
    std::string answer; ///< Body of the answer, as far as received.
    std::size_t headBytes = 0; ///< Bytes of the answer's header lines so far.
    bool headComplete = false; ///< The empty line after the latest header lines has arrived.
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    bool pastSendBy = false; ///< Not sent: connected only after the order's sendBy.
};

std::size_t appendAnswer(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<ControlTransfer *>(self);
    if (transfer.answer.size() + size * count > MAX_ORDER_ANSWER_BYTES) {
        logEventRateLimited("orderAnswerTooLong", {{"bound", ResponseLimit::BodySize}});
        return 0;
    }
    transfer.answer.append(data, size * count);
    return size * count;
}

std::size_t countHeaderBytes(char *line, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<ControlTransfer *>(self);
    transfer.headComplete
        = std::string_view(line, size * count).find_first_not_of("\r\n") == std::string_view::npos;
    transfer.headBytes += size * count;
    if (transfer.headBytes <= MAX_HEADER_BYTES)
        return size * count;
    logEventRateLimited("orderAnswerTooLong", {{"bound", ResponseLimit::HeaderSize}});
    return 0;
}

/** Logs @p event about an order, with the order's age at @p now. */
void logOrder(const char *event, const SendOrder &order, TimePoint now)
{
    logEventRateLimited(event,
                        {{"replica", order.replica},
                         {"action", order.order.action},
                         {"fencing", order.order.fencing},
                         {"term", order.term},
                         {"ageMs", toMilliseconds(now - order.decidedAt)}});
}

/** Called when the connection is established, just before the first byte is sent: aborts an order
 * that is past its sendBy. Checking earlier is not enough, as connecting takes time. */
int beforeSending(void *transfer, char *, char *, int, int)
{
    auto &pastSendBy = static_cast<ControlTransfer *>(transfer)->pastSendBy;
    const SendOrder &order = std::get<SendOrder>(static_cast<ControlTransfer *>(transfer)->call);
    const TimePoint now = MonotonicClock::now();
    pastSendBy = now >= order.sendBy;
    logOrder(pastSendBy ? "orderHeldBack" : "orderSent", order, now);
    return pastSendBy ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/**
 * Ensures that bytes of an order that have not reached the target in time never reach the target:
 * the kernel gives up retransmitting early, and closing the connection, also by the end of the
 * process, discards unsent bytes.
 */
int limitOrderDelivery(void *, curl_socket_t socket, curlsocktype)
{
    const linger resetOnClose{1, 0};
    const auto userTimeoutMs = static_cast<unsigned>(toMilliseconds(ORDER_TCP_USER_TIMEOUT));
    const bool configured
        = setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose)) == 0
        && setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs))
            == 0;
    if (!configured)
        logEventRateLimited("orderSocketUnbounded", {{"errno", errno}});
    return configured ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

/** @return Outcome of an order, derived from its answer; Unknown if the target may have accepted
 * the order although no valid answer arrived. */
OrderReply toOrderReply(CURLcode code, long status)
{
    if (code != CURLE_OK)
        return OrderReply::Unknown;
    if (status >= HTTP_OK && status < 300)
        return OrderReply::Accepted;
    if (status == HTTP_CONFLICT)
        return OrderReply::Busy;
    return status >= 400 && status < 500 ? OrderReply::Refused : OrderReply::Unknown;
}

} // namespace

class TargetClient::Impl
{
public:
    Impl(std::shared_ptr<ExchangeTable> exchanges, const Edge &edge, std::string holder,
         OnAttemptEvent onAttemptEvent, OnControlEvent onControlEvent)
        : exchanges(std::move(exchanges))
        , edge(edge)
        , holder(std::move(holder))
        , onAttemptEvent(std::move(onAttemptEvent))
        , onControlEvent(std::move(onControlEvent))
        , taskQueue(TASK_QUEUE_CAPACITY)
        , multi(curl_multi_init())
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, MAX_POOLED_CONNECTIONS);
        this->taskQueue.setWakeup([this]() { curl_multi_wakeup(this->multi); });
        this->thread = std::thread([this]() { this->run(); });
    }

    ~Impl()
    {
        this->stop();
        this->transfers.clear();
        for (auto &[easy, order] : this->controlTransfers) {
            curl_easy_cleanup(easy);
            curl_slist_free_all(order->headers);
        }
        curl_multi_cleanup(this->multi);
    }

    void stop()
    {
        this->taskQueue.close();
        curl_multi_wakeup(this->multi);
        if (this->thread.joinable())
            this->thread.join();
    }

    void run()
    {
        TimePoint stallCheckDue = MonotonicClock::now();
        while (!this->taskQueue.isClosed()) {
            for (Task &task : this->taskQueue.popAll(Duration::zero()))
                std::visit([this](auto &item) { this->handle(item); }, task);
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collectFinished();
            const TimePoint now = MonotonicClock::now();
            if (now >= stallCheckDue) {
                stallCheckDue = now + STALL_CHECK_INTERVAL;
                this->endStalled(now);
                this->endPastDeadline(now);
            }
            curl_multi_poll(this->multi, nullptr, 0, POLL_TIMEOUT_MS, nullptr);
        }
    }

    void handle(const StartAttempt &attempt)
    {
        std::shared_ptr<Exchange> exchange = this->exchanges->find(attempt.request);
        const TimePoint now = MonotonicClock::now();
        const bool late = now >= attempt.sendBy;
        if (late)
            logAttemptNotSent(attempt, now);
        if (!exchange || late) {
            AttemptEnded ended;
            ended.attempt = attempt.attempt;
            ended.result = AttemptResult::NotSent;
            this->onAttemptEvent(std::move(ended));
            return;
        }
        auto transfer = std::make_unique<Transfer>(attempt, std::move(exchange), this->edge, now);
        const AttemptId id = attempt.attempt;
        transfer->onBufferSpace = [this, id]() { this->taskQueue.push(Unpause{id}); };
        if (attempt.reportBegin)
            transfer->onBegan = [this, id]() { this->onAttemptEvent(ResponseBegan{id}); };
        transfer->onStated
            = [this](TargetStated stated) { this->onAttemptEvent(std::move(stated)); };
        const auto retired = this->retiredAt.find(attempt.address);
        if (retired != this->retiredAt.end())
            transfer->limitConnectionIdleTime(
                std::chrono::duration_cast<std::chrono::seconds>(now - retired->second).count());
        curl_multi_add_handle(this->multi, transfer->handle());
        this->transfers[id] = std::move(transfer);
    }

    void handle(const Cancel &cancel)
    {
        const auto it = this->transfers.find(cancel.attempt);
        if (it != this->transfers.end())
            this->conclude(it, CURLE_ABORTED_BY_CALLBACK, false, true);
    }

    void handle(const CallBack &callBack)
    {
        for (auto it = this->transfers.begin(); it != this->transfers.end();) {
            const auto transfer = it++;
            if (transfer->second->attempt.target == callBack.target && !transfer->second->isSent())
                this->conclude(transfer, CURLE_ABORTED_BY_CALLBACK, false, false, true);
        }
    }

    void handle(const RetireIdleConnections &task)
    {
        this->retiredAt[task.address] = MonotonicClock::now();
    }

    void handle(const Unpause &unpause)
    {
        const auto it = this->transfers.find(unpause.attempt);
        if (it == this->transfers.end() || !it->second->paused.exchange(false))
            return;
        curl_easy_pause(it->second->handle(), CURLPAUSE_CONT);
    }

    void handle(const SendOrder &order)
    {
        const TimePoint now = MonotonicClock::now();
        if (now >= order.sendBy) {
            logOrder("orderHeldBack", order, now);
            this->onControlEvent(
                OrderReplyEvent{order.replica, order.order.fencing, OrderReply::Unsent});
            return;
        }
        auto transfer = std::make_unique<ControlTransfer>();
        transfer->call = order;
        EncodedOrder encoded = this->edge.encodeOrder(order.order, this->holder);
        transfer->body = std::move(encoded.body);
        for (const auto &[name, value] : encoded.headers)
            transfer->headers
                = curl_slist_append(transfer->headers, absl::StrCat(name, ": ", value).c_str());
        this->prepare(*transfer, absl::StrCat("http://", order.address, encoded.path));
        const long connectTimeoutMs = static_cast<long>(toMilliseconds(order.sendBy - now)) + 1;
        const long answerTimeoutMs = static_cast<long>(toMilliseconds(ORDER_ANSWER_TIMEOUT));
        CURL *easy = transfer->easy;
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, connectTimeoutMs + answerTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &limitOrderDelivery);
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &beforeSending);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
        this->begin(std::move(transfer));
    }

    void handle(const InspectTarget &item)
    {
        const std::string path = this->edge.inspectionPath();
        if (path.empty()) {
            this->onControlEvent(InspectionEvent{item.target, item.start, {}});
            return;
        }
        auto transfer = std::make_unique<ControlTransfer>();
        transfer->call = item;
        this->prepare(*transfer, absl::StrCat("http://", item.address, path));
        curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, INSPECTION_TIMEOUT_MS);
        this->begin(std::move(transfer));
    }

    static void prepare(ControlTransfer &transfer, const std::string &url)
    {
        CURL *easy = curl_easy_init();
        transfer.easy = easy;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        // libcurl may resend a request on a new connection after a reused connection fails. An
        // order must not be sent twice, so it never uses a pooled connection.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendAnswer);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &countHeaderBytes);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    }

    void begin(std::unique_ptr<ControlTransfer> transfer)
    {
        CURL *easy = transfer->easy;
        curl_multi_add_handle(this->multi, easy);
        this->controlTransfers[easy] = std::move(transfer);
    }

    void collectFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL *easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto order = this->controlTransfers.find(easy);
            if (order != this->controlTransfers.end()) {
                this->concludeControl(order, code);
                continue;
            }
            Transfer *transfer = nullptr;
            curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
            this->conclude(this->transfers.find(transfer->attempt.attempt), code, false, false);
        }
    }

    using Transfers = std::map<AttemptId, std::unique_ptr<Transfer>>;

    void conclude(Transfers::iterator it, CURLcode code, bool stalled, bool cancelled,
                  bool calledBack = false)
    {
        curl_multi_remove_handle(this->multi, it->second->handle());
        AttemptEnded ended = it->second->conclude(code, stalled, cancelled);
        ended.calledBack = calledBack;
        this->transfers.erase(it);
        this->onAttemptEvent(std::move(ended));
    }

    void concludeControl(std::map<CURL *, std::unique_ptr<ControlTransfer>>::iterator it,
                         CURLcode code)
    {
        ControlTransfer &transfer = *it->second;
        // libcurl takes a connection that closes inside the head for the end of the answer.
        if (code == CURLE_OK && !transfer.headComplete)
            code = CURLE_PARTIAL_FILE;
        long status = 0;
        long sent = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sent);
        if (const auto *inspected = std::get_if<InspectTarget>(&transfer.call)) {
            InspectionEvent event{inspected->target, inspected->start, {}};
            if (code == CURLE_OK && status == HTTP_OK)
                event.inspection = this->edge.readInspection(transfer.answer);
            this->onControlEvent(std::move(event));
        } else {
            const SendOrder &order = std::get<SendOrder>(transfer.call);
            const bool nothingSent = code != CURLE_OK && sent == 0;
            const bool late
                = transfer.pastSendBy || (nothingSent && code == CURLE_OPERATION_TIMEDOUT);
            const OrderReply reply = late ? OrderReply::Unsent
                : nothingSent             ? OrderReply::Refused
                                          : toOrderReply(code, status);
            const bool done = code == CURLE_OK && status == HTTP_OK;
            logEventRateLimited(
                "orderAnswered",
                {{"replica", order.replica},
                 {"fencing", order.order.fencing},
                 {"term", order.term},
                 {"reply", static_cast<int>(reply)},
                 {"status", status},
                 {"ageMs", toMilliseconds(MonotonicClock::now() - order.decidedAt)}});
            this->onControlEvent(OrderReplyEvent{order.replica, order.order.fencing, reply, done});
        }
        curl_multi_remove_handle(this->multi, transfer.easy);
        curl_easy_cleanup(transfer.easy);
        curl_slist_free_all(transfer.headers);
        this->controlTransfers.erase(it);
    }

    void endStalled(TimePoint now)
    {
        std::vector<AttemptId> stalledAttempts;
        for (const auto &[id, transfer] : this->transfers) {
            if (transfer->isStalled(now))
                stalledAttempts.push_back(id);
        }
        for (const AttemptId id : stalledAttempts)
            this->conclude(this->transfers.find(id), CURLE_OPERATION_TIMEDOUT, true, false);
    }

    void endPastDeadline(TimePoint now)
    {
        for (auto it = this->transfers.begin(); it != this->transfers.end();) {
            const auto transfer = it++;
            if (transfer->second->isPastDeadline(now))
                this->conclude(transfer, CURLE_ABORTED_BY_CALLBACK, false, false);
        }
    }

    std::shared_ptr<ExchangeTable> exchanges;
    const Edge &edge;
    const std::string holder;
    OnAttemptEvent onAttemptEvent;
    OnControlEvent onControlEvent;
    BoundedQueue<Task> taskQueue;
    CURLM *multi;
    Transfers transfers;
    std::map<CURL *, std::unique_ptr<ControlTransfer>> controlTransfers;
    /** For each address, the time of the last RetireIdleConnections. */
    std::map<std::string, TimePoint> retiredAt;
    std::thread thread;
};

TargetClient::TargetClient(std::shared_ptr<ExchangeTable> exchanges, const Edge &edge,
                           std::string holder, OnAttemptEvent onAttemptEvent,
                           OnControlEvent onControlEvent)
    : impl(std::make_unique<Impl>(std::move(exchanges), edge, std::move(holder),
                                  std::move(onAttemptEvent), std::move(onControlEvent)))
{
}

TargetClient::~TargetClient() = default;

bool TargetClient::start(StartAttempt attempt)
{
    return this->impl->taskQueue.tryPush(std::move(attempt));
}

void TargetClient::cancel(AttemptId attempt)
{
    this->impl->taskQueue.push(Cancel{attempt});
}

void TargetClient::callBack(TargetId target)
{
    this->impl->taskQueue.push(CallBack{std::move(target)});
}

void TargetClient::retireConnections(std::string address)
{
    this->impl->taskQueue.push(RetireIdleConnections{std::move(address)});
}

bool TargetClient::sendOrder(SendOrder order)
{
    return this->impl->taskQueue.tryPush(std::move(order));
}

bool TargetClient::inspect(InspectTarget item)
{
    return this->impl->taskQueue.tryPush(std::move(item));
}

void TargetClient::stop()
{
    this->impl->stop();
}

} // namespace bilberry
