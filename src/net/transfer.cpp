/** @file transfer.cpp One HTTP exchange with a target. */
#include "net/transfer_base.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace bilberry {

namespace {

constexpr std::size_t MAX_PLAIN_ANSWER_BYTES = 64 << 20;
constexpr const char *EVENT_END = "\n\n";
constexpr long CONNECT_TIMEOUT_MS = 2'000;

curl_slist *addHeader(curl_slist *list, const std::string &name, const std::string &value)
{
    return value.empty() ? list : curl_slist_append(list, (name + ": " + value).c_str());
}

} // namespace

Transfer::Transfer(const StartAttempt &attempt, std::shared_ptr<Exchange> exchange, TimePoint now)
    : attempt(attempt)
    , easy(curl_easy_init())
    , exchange(std::move(exchange))
    , startedAt(now)
    , lastByte(now)
    , events(attempt.resumeAfter)
{
    const ForwardedRequest &forwarded = this->exchange->forwarded;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(attempt.remaining);
    curl_slist *headers = nullptr;
    headers = addHeader(headers, "Content-Type", forwarded.contentType);
    headers = addHeader(headers, "Accept", forwarded.accept);
    headers = addHeader(headers, "X-Correlation-Id", std::to_string(attempt.correlation.value));
    headers = addHeader(headers, "X-Time-Limit-Ms", std::to_string(remaining.count()));
    headers = addHeader(headers, "X-Priority",
                        forwarded.workClass == WorkClass::Bulk ? "bulk" : "interactive");
    if (attempt.resumeAfter > 0)
        headers = addHeader(headers, "Last-Event-ID", std::to_string(attempt.resumeAfter));
    headers = curl_slist_append(headers, "Expect:");
    this->requestHeaders = headers;
    const std::string url = absl::StrCat("http://", attempt.address, forwarded.path);
    curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    if (!forwarded.body.empty() || forwarded.method == "POST") {
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(forwarded.body.size()));
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, forwarded.body.c_str());
    }
    curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, forwarded.method.c_str());
    curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
    curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
    if (attempt.freshConnection)
        curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
}

Transfer::~Transfer()
{
    curl_easy_cleanup(this->easy);
    curl_slist_free_all(this->requestHeaders);
}

void Transfer::limitConnectionAge(std::int64_t seconds)
{
    if (seconds <= 0)
        curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    else
        curl_easy_setopt(this->easy, CURLOPT_MAXAGE_CONN, static_cast<long>(seconds));
}

bool Transfer::isSilent(TimePoint now) const
{
    if (this->paused.load())
        return false;
    const Duration limit
        = this->gotByte ? this->attempt.interByteLimit : this->attempt.firstByteLimit;
    return now - this->lastByte > limit;
}

std::size_t Transfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    transfer.lastByte = MonotonicClock::now();
    transfer.gotByte = true;
    transfer.takeHeader(std::string(data, size * count));
    return size * count;
}

void Transfer::takeHeader(std::string line)
{
    absl::StripTrailingAsciiWhitespace(&line);
    if (absl::StartsWith(line, "HTTP/")) {
        long code = 0;
        curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &code);
        this->status = static_cast<int>(code);
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
        return;
    const std::string name = absl::AsciiStrToLower(line.substr(0, colon));
    const std::string value(absl::StripAsciiWhitespace(line.substr(colon + 1)));
    if (name == "x-correlation-id")
        this->correlation = value;
    else if (name == "x-execution")
        this->execution = value;
    else if (name == "content-type")
        this->contentType = value;
    else if (name == "content-length" || name == "transfer-encoding")
        this->framed = true;
    this->streaming = absl::StartsWith(this->contentType, "text/event-stream");
}

bool Transfer::isOwnAnswer() const
{
    return this->correlation == std::to_string(this->attempt.correlation.value);
}

std::size_t Transfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    const std::size_t bytes = size * count;
    transfer.lastByte = MonotonicClock::now();
    transfer.gotByte = true;
    const bool streams = transfer.streaming && transfer.status == 200;
    if (!transfer.isOwnAnswer())
        return 0; // Another request's answer: ends the transfer.
    if (!streams) {
        if (transfer.body.size() + bytes > MAX_PLAIN_ANSWER_BYTES)
            return 0;
        transfer.body.append(data, bytes);
        return bytes;
    }
    if (!transfer.relay({data, bytes})) {
        transfer.paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    return bytes;
}

/** Relays whole events only, so that a resumed stream goes on exactly where it broke. */
bool Transfer::relay(std::string_view bytes)
{
    std::string pending = this->body;
    pending.append(bytes);
    const std::size_t end = pending.rfind(EVENT_END);
    if (end == std::string::npos) {
        this->body = std::move(pending);
        return true;
    }
    const std::string whole = pending.substr(0, end + 2);
    const bool first = this->events == 0 && this->attempt.resumeAfter == 0;
    if (first)
        this->exchange->begin(this->status, this->contentType, {}, "", true);
    {
        absl::MutexLock lock(&this->exchange->mutex);
        const bool full = !this->exchange->closed
            && this->exchange->buffer.size() + whole.size() > Exchange::MAX_BUFFERED_BYTES
            && !this->exchange->buffer.empty();
        if (full) {
            this->exchange->drained = this->onRoom;
            return false;
        }
    }
    this->exchange->append(whole);
    for (std::size_t at = whole.find(EVENT_END); at != std::string::npos;
         at = whole.find(EVENT_END, at + 2))
        ++this->events;
    this->sawDone = this->sawDone || whole.find("data: [DONE]") != std::string::npos;
    this->body = pending.substr(end + 2);
    return true;
}

AttemptResult Transfer::classify(CURLcode code) const
{
    long sent = 0;
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &sent);
    if (this->status == 0)
        return sent == 0 ? AttemptResult::NotSent : AttemptResult::Lost;
    if (!this->isOwnAnswer())
        return AttemptResult::Mismatched;
    if (code != CURLE_OK)
        return AttemptResult::Lost;
    if (this->execution == "not-run")
        return AttemptResult::Refused;
    if (this->streaming && this->status == 200)
        return this->sawDone ? AttemptResult::Answered : AttemptResult::Lost;
    return this->framed ? AttemptResult::Answered : AttemptResult::Lost;
}

void Transfer::countTokens(AttemptEnded &ended) const
{
    if (this->streaming) {
        // One token an event; the end marker is none.
        ended.tokens = std::max<std::int64_t>(this->events - 1, 0);
        return;
    }
    if (!absl::StartsWith(this->contentType, "application/json"))
        return;
    const nlohmann::json answer = nlohmann::json::parse(this->body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object())
        return;
    const auto tokens = answer["usage"].find("completion_tokens");
    if (tokens != answer["usage"].end() && tokens->is_number_integer())
        ended.tokens = std::max<std::int64_t>(tokens->get<std::int64_t>(), 0);
}

AttemptEnded Transfer::conclude(CURLcode code, bool stalled, bool cancelled)
{
    AttemptEnded ended;
    ended.attempt = this->attempt.attempt;
    ended.result = this->classify(code);
    if (stalled)
        ended.result = AttemptResult::Stalled;
    if (cancelled)
        ended.result = AttemptResult::Cancelled;
    ended.status = this->status;
    ended.eventsRelayed = this->events;
    ended.connectionLost = ended.result == AttemptResult::Lost && code != CURLE_OPERATION_TIMEDOUT;
    if (ended.result != AttemptResult::Answered)
        return ended;
    this->countTokens(ended);
    if (this->streaming && this->status == 200) {
        this->exchange->end(false);
        return ended;
    }
    if (this->attempt.keepAnswer)
        ended.answer = StoredAnswer{this->status, this->contentType, this->body, false};
    this->exchange->begin(this->status, this->contentType, {}, std::move(this->body), false);
    return ended;
}

} // namespace bilberry
