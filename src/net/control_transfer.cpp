/** @file control_transfer.cpp HTTP transfer of an order, an inspection or a call to the
 * infrastructure. */
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
constexpr long HTTP_TOO_MANY_REQUESTS = 429;
constexpr long MAX_HTTP_STATUS = 599; ///< Higher numbers are no status of HTTP.
constexpr long INSPECTION_TIMEOUT_MS = 2'000;
constexpr Duration ORDER_ANSWER_TIMEOUT = 1s; ///< From an order's sendBy until its answer.
/** TCP user timeout: the kernel stops retransmitting an order's bytes after this time. The other
 * half of MAX_ORDER_TRANSIT_TIME is left for the time until the bytes are first sent. */
constexpr Duration ORDER_TCP_USER_TIMEOUT = MAX_ORDER_TRANSIT_TIME / 2;
/** Bound of the body of an answer to an order or inspection. */
constexpr std::size_t MAX_ORDER_ANSWER_BYTES = 1 << 20;
/** From the start of a call to the infrastructure until the end of its answer. */
constexpr Duration DUTY_CALL_TIMEOUT = 1'500ms;
/** Bound of the body of an answer to a call to the infrastructure; it is not used. */
constexpr std::size_t MAX_DUTY_ANSWER_BYTES = 64 << 10;

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

struct SubjectOf
{
    nlohmann::json operator()(const UsageReport &report) const
    {
        return {{"window", report.window}, {"accounts", report.counts.size()}};
    }
    nlohmann::json operator()(const TargetCountOrder &order) const
    {
        return {{"service", order.service}, {"zone", order.zone}, {"desired", order.desired}};
    }
};

} // namespace

void logDutyCall(const char *event, const DutyCall &call, const nlohmann::json &fields)
{
    nlohmann::json line = std::visit(SubjectOf(), call.body);
    line["duty"] = call.duty.kind;
    line["call"] = call.id;
    line["fencing"] = call.fencing;
    if (fields.is_object())
        line.update(fields);
    logEventRateLimited(event, std::move(line));
}

void logOrder(const char *event, const SendOrder &order, TimePoint now)
{
    logEventRateLimited(event,
                        {{"replica", order.replica},
                         {"action", order.order.action},
                         {"fencing", order.order.fencing},
                         {"term", order.term},
                         {"ageMs", toMilliseconds(now - order.decidedAt)}});
}

ControlTransfer::ControlTransfer(Call call, const std::string &url)
    : call(std::move(call))
    , easy(curl_easy_init())
{
    curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    // libcurl may resend a request on a new connection after a reused connection fails. An order
    // or a call to the infrastructure must not be sent twice, so it never uses a pooled connection.
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
    transfer->setRequest(std::move(encoded));
    const long connectTimeoutMs = static_cast<long>(toMilliseconds(order.sendBy - now)) + 1;
    const long answerTimeoutMs = static_cast<long>(toMilliseconds(ORDER_ANSWER_TIMEOUT));
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    curl_easy_setopt(transfer->easy, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, connectTimeoutMs + answerTimeoutMs);
    return transfer;
}

std::unique_ptr<ControlTransfer>
ControlTransfer::makeDutyCall(const DutyCall &call, const std::string &address, const Edge &edge,
                              const std::string &holder, TimePoint now)
{
    EncodedOrder encoded = edge.encodeDutyCall(call, holder);
    std::unique_ptr<ControlTransfer> transfer(
        new ControlTransfer(call, absl::StrCat("http://", address, encoded.path)));
    transfer->setRequest(std::move(encoded));
    // Without this field libcurl asks for leave to send a large body, and repeats a request that
    // is refused with 417.
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    const Duration untilSendBy = call.sendBy - now + 1ms;
    const Duration total = std::min(untilSendBy + MAX_ORDER_TRANSIT_TIME, DUTY_CALL_TIMEOUT);
    CURL *easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    // The report of a window may take several writes to the socket; each is checked.
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, &ControlTransfer::onUpload);
    curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(toMilliseconds(std::min(untilSendBy, DUTY_CALL_TIMEOUT))));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(total)));
    return transfer;
}

void ControlTransfer::setRequest(EncodedOrder encoded)
{
    this->body = std::move(encoded.body);
    this->fault = checkSentRequest("POST", encoded.path, encoded.headers);
    for (const auto &[name, value] : encoded.headers)
        this->headers = curl_slist_append(this->headers, absl::StrCat(name, ": ", value).c_str());
    curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headers);
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(this->body.size()));
    curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION, &limitOrderDelivery);
    curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION, &ControlTransfer::beforeSending);
    curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
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
    const std::size_t bound = std::holds_alternative<DutyCall>(transfer.call)
        ? MAX_DUTY_ANSWER_BYTES
        : MAX_ORDER_ANSWER_BYTES;
    if (transfer.answer.size() + size * count > bound) {
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
    recordGrammarFault("orderAnswerMalformed", *fault, transfer.describe(),
                       WallClock::unixSeconds());
    return 0;
}

/** @return Fields of a log line on a malformed message, to find the order or call. */
nlohmann::json ControlTransfer::describe() const
{
    if (const auto *order = std::get_if<SendOrder>(&this->call))
        return {{"replica", order->replica}};
    if (const auto *duty = std::get_if<DutyCall>(&this->call))
        return {{"call", duty->id}};
    return {{"replica", ""}};
}

/** Passes the next part of the body of a call to the infrastructure, unless its sendBy is past: the
 * interface drops a call whose body is not complete. */
std::size_t ControlTransfer::onUpload(char *out, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<ControlTransfer *>(self);
    if (MonotonicClock::now() >= std::get<DutyCall>(transfer.call).sendBy)
        return CURL_READFUNC_ABORT;
    const std::size_t bytes = std::min(size * count, transfer.body.size() - transfer.uploaded);
    transfer.body.copy(out, bytes, transfer.uploaded);
    transfer.uploaded += bytes;
    return bytes;
}

bool ControlTransfer::isHeldBack(const SendOrder &order, TimePoint now)
{
    this->pastSendBy = now >= order.sendBy;
    if (this->fault)
        recordGrammarFault("orderMalformed", *this->fault, this->describe(),
                           WallClock::unixSeconds());
    const bool held = this->pastSendBy || this->fault;
    logOrder(held ? "orderHeldBack" : "orderSent", order, now);
    return held;
}

bool ControlTransfer::isHeldBack(const DutyCall &duty, TimePoint now)
{
    this->pastSendBy = now >= duty.sendBy;
    if (this->fault)
        recordGrammarFault("dutyCallMalformed", *this->fault, this->describe(),
                           WallClock::unixSeconds());
    const bool held = this->pastSendBy || this->fault;
    logDutyCall(held ? "dutyCallHeldBack" : "dutyCallSent", duty,
                {{"leaseMs", toMilliseconds(duty.sendBy - now)}});
    return held;
}

/** Called when the connection is established, just before the first byte is sent: aborts an order
 * or a call that is past its sendBy. Checking earlier is not enough, as connecting takes time. */
int ControlTransfer::beforeSending(void *self, char *, char *, int, int)
{
    auto &transfer = *static_cast<ControlTransfer *>(self);
    const TimePoint now = MonotonicClock::now();
    const auto *duty = std::get_if<DutyCall>(&transfer.call);
    const bool held = duty != nullptr
        ? transfer.isHeldBack(*duty, now)
        : transfer.isHeldBack(std::get<SendOrder>(transfer.call), now);
    return held ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/**
 * @return Outcome of a call to the infrastructure. A refused connection counts as no answer, so
 * that the calls to an interface that is down are delayed like those to a silent one.
 */
DutyReply ControlTransfer::toDutyReply(CURLcode code, long status) const
{
    if (this->pastSendBy)
        return DutyReply::Unsent;
    if (code != CURLE_OK)
        return DutyReply::Unknown;
    if (status >= HTTP_OK && status < 300)
        return DutyReply::Accepted;
    if (status == HTTP_TOO_MANY_REQUESTS)
        return DutyReply::Throttled;
    return status >= 400 && status < 500 ? DutyReply::Refused : DutyReply::Unknown;
}

ControlEvent ControlTransfer::concludeDutyCall(CURLcode code, long status) const
{
    const DutyCall &duty = std::get<DutyCall>(this->call);
    const bool answered = code == CURLE_OK && status >= 100 && status <= MAX_HTTP_STATUS;
    const DutyReplyEvent event{duty.id, this->toDutyReply(code, status),
                               answered ? static_cast<int>(status) : 0};
    double seconds = 0;
    curl_easy_getinfo(this->easy, CURLINFO_TOTAL_TIME, &seconds);
    logDutyCall("dutyCallAnswered", duty,
                {{"reply", event.reply},
                 {"status", event.status},
                 {"result", curl_easy_strerror(code)},
                 {"tookMs", toMilliseconds(fromSeconds(seconds))}});
    return event;
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
    if (std::holds_alternative<DutyCall>(this->call))
        return this->concludeDutyCall(code, status);
    const auto *inspected = std::get_if<InspectTarget>(&this->call);
    if (inspected == nullptr)
        return this->concludeOrder(code, status, now);
    InspectionEvent event{inspected->target, inspected->start, {}};
    if (code == CURLE_OK && status == HTTP_OK)
        event.inspection = edge.readInspection(this->answer);
    return event;
}

} // namespace bilberry
