/** @file control_transfer.cpp HTTP transfer of an order or an inspection. */
#include "net/control_transfer_base.h"

#include "core/log_func.h"
#include "net/grammar_log_func.h"
#include "net/transfer_base.h"

#include <absl/strings/str_cat.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>

namespace bilberry {

namespace {

constexpr long HTTP_OK = 200;
constexpr long HTTP_CONFLICT = 409;
constexpr long INSPECTION_TIMEOUT_MS = 2'000;
constexpr Duration ORDER_ANSWER_TIMEOUT = 1s; ///< From an order's sendBy until its answer.
/** TCP user timeout: the kernel stops retransmitting an order's bytes after this time. The other
 * half of MAX_ORDER_TRANSIT_TIME is left for the time until the bytes are first sent. */
constexpr Duration ORDER_TCP_USER_TIMEOUT = MAX_ORDER_TRANSIT_TIME / 2;
/** Bound of the body of an answer to an order or inspection. */
constexpr std::size_t MAX_ORDER_ANSWER_BYTES = 1 << 20;

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

} // namespace

void logOrder(const char *event, const SendOrder &order, TimePoint now)
{
    logEventRateLimited(event,
                        {{"replica", order.replica},
                         {"action", order.order.action},
                         {"fencing", order.order.fencing},
                         {"term", order.term},
                         {"ageMs", toMilliseconds(now - order.decidedAt)}});
}

ControlTransfer::ControlTransfer(std::variant<SendOrder, InspectTarget> call,
                                 const std::string &url)
    : call(std::move(call))
    , easy(curl_easy_init())
{
    curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    // libcurl may resend a request on a new connection after a reused connection fails. An order
    // must not be sent twice, so it never uses a pooled connection.
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &ControlTransfer::onBody);
    curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &ControlTransfer::onHeader);
    curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
}

ControlTransfer::~ControlTransfer()
{
    curl_easy_cleanup(this->easy);
    curl_slist_free_all(this->headers);
}

std::unique_ptr<ControlTransfer> ControlTransfer::makeOrder(const SendOrder &order,
                                                            const Edge &edge,
                                                            const std::string &holder,
                                                            TimePoint now)
{
    EncodedOrder encoded = edge.encodeOrder(order.order, holder);
    std::unique_ptr<ControlTransfer> transfer(
        new ControlTransfer(order, absl::StrCat("http://", order.address, encoded.path)));
    transfer->body = std::move(encoded.body);
    transfer->fault = checkSentRequest("POST", encoded.path, encoded.headers);
    for (const auto &[name, value] : encoded.headers)
        transfer->headers
            = curl_slist_append(transfer->headers, absl::StrCat(name, ": ", value).c_str());
    const long connectTimeoutMs = static_cast<long>(toMilliseconds(order.sendBy - now)) + 1;
    const long answerTimeoutMs = static_cast<long>(toMilliseconds(ORDER_ANSWER_TIMEOUT));
    CURL *easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, connectTimeoutMs + answerTimeoutMs);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &limitOrderDelivery);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &ControlTransfer::beforeSending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    return transfer;
}

std::unique_ptr<ControlTransfer> ControlTransfer::makeInspection(const InspectTarget &inspection,
                                                                 const std::string &path)
{
    std::unique_ptr<ControlTransfer> transfer(
        new ControlTransfer(inspection, absl::StrCat("http://", inspection.address, path)));
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, INSPECTION_TIMEOUT_MS);
    return transfer;
}

std::size_t ControlTransfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<ControlTransfer *>(self);
    if (transfer.answer.size() + size * count > MAX_ORDER_ANSWER_BYTES) {
        logEventRateLimited("orderAnswerTooLong", {{"bound", ResponseLimit::BodySize}});
        return 0;
    }
    transfer.answer.append(data, size * count);
    return size * count;
}

std::size_t ControlTransfer::onHeader(char *line, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<ControlTransfer *>(self);
    const std::string_view text(line, size * count);
    transfer.headBytes += text.size();
    if (transfer.headBytes > MAX_HEADER_BYTES) {
        logEventRateLimited("orderAnswerTooLong", {{"bound", ResponseLimit::HeaderSize}});
        return 0;
    }
    const std::optional<GrammarFault> fault = addAnswerLine(transfer.answerLines, text);
    if (!fault)
        return text.size();
    const auto *order = std::get_if<SendOrder>(&transfer.call);
    recordGrammarFault("orderAnswerMalformed", *fault,
                       {{"replica", order == nullptr ? "" : nlohmann::json(order->replica)}},
                       WallClock::unixSeconds());
    return 0;
}

/** Called when the connection is established, just before the first byte is sent: aborts an order
 * that is past its sendBy. Checking earlier is not enough, as connecting takes time. */
int ControlTransfer::beforeSending(void *self, char *, char *, int, int)
{
    auto &transfer = *static_cast<ControlTransfer *>(self);
    const SendOrder &order = std::get<SendOrder>(transfer.call);
    const TimePoint now = MonotonicClock::now();
    transfer.pastSendBy = now >= order.sendBy;
    if (transfer.fault)
        recordGrammarFault("orderMalformed", *transfer.fault, {{"replica", order.replica}},
                           WallClock::unixSeconds());
    const bool held = transfer.pastSendBy || transfer.fault;
    logOrder(held ? "orderHeldBack" : "orderSent", order, now);
    return held ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/** @return Outcome of an order, derived from its answer; Unknown if the target may have accepted
 * the order although no valid answer arrived. */
OrderReply ControlTransfer::toOrderReply(CURLcode code, long status) const
{
    long sent = 0;
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &sent);
    const bool nothingSent = code != CURLE_OK && sent == 0;
    if (this->pastSendBy || this->fault || (nothingSent && code == CURLE_OPERATION_TIMEDOUT))
        return OrderReply::Unsent;
    if (nothingSent)
        return OrderReply::Refused;
    if (code != CURLE_OK)
        return OrderReply::Unknown;
    if (status >= HTTP_OK && status < 300)
        return OrderReply::Accepted;
    if (status == HTTP_CONFLICT)
        return OrderReply::Busy;
    return status >= 400 && status < 500 ? OrderReply::Refused : OrderReply::Unknown;
}

ControlEvent ControlTransfer::concludeOrder(CURLcode code, long status, TimePoint now) const
{
    const SendOrder &order = std::get<SendOrder>(this->call);
    const OrderReply reply = this->toOrderReply(code, status);
    const bool done = code == CURLE_OK && status == HTTP_OK;
    logEventRateLimited("orderAnswered",
                        {{"replica", order.replica},
                         {"fencing", order.order.fencing},
                         {"term", order.term},
                         {"reply", static_cast<int>(reply)},
                         {"status", status},
                         {"ageMs", toMilliseconds(now - order.decidedAt)}});
    return OrderReplyEvent{order.replica, order.order.fencing, reply, done};
}

ControlEvent ControlTransfer::conclude(CURLcode code, const Edge &edge, TimePoint now)
{
    // libcurl takes a connection that closes inside the head for the end of the answer.
    if (code == CURLE_OK && !this->answerLines.complete)
        code = CURLE_PARTIAL_FILE;
    long status = 0;
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
    const auto *inspected = std::get_if<InspectTarget>(&this->call);
    if (inspected == nullptr)
        return this->concludeOrder(code, status, now);
    InspectionEvent event{inspected->target, inspected->start, {}};
    if (code == CURLE_OK && status == HTTP_OK)
        event.inspection = edge.readInspection(this->answer);
    return event;
}

} // namespace bilberry
