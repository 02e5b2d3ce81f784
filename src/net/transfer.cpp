/** @file transfer.cpp One HTTP exchange with a target. */
#include "net/transfer_base.h"

#include "core/log_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace bilberry {

namespace {

constexpr std::size_t MAX_PLAIN_ANSWER_BYTES = 8 << 20;
constexpr std::size_t MAX_EVENT_BYTES = 256 << 10;
constexpr std::size_t MAX_STREAM_BYTES = 32 << 20; ///< All events of an attempt together.
constexpr const char *EVENT_END = "\n\n";
constexpr const char *STREAM_END = "data: [DONE]";
constexpr int SERVER_ERROR = 500; ///< Least such status.
curl_slist *addHeader(curl_slist *list, const std::string &name, const std::string &value)
{
    // The library takes a header without a value for a request to leave it out.
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    return curl_slist_append(list, line.c_str());
}

curl_slist *makeHeaders(const HeaderList &headers)
{
    curl_slist *list = nullptr;
    for (const auto &[name, value] : headers)
        list = addHeader(list, name, value);
    // What the library would add by itself stays out.
    for (const char *name : {"Accept", "Content-Type", "Expect"}) {
        if (headerOf(headers, name).empty())
            list = curl_slist_append(list, absl::StrCat(name, ":").c_str());
    }
    return list;
}

} // namespace

void logHeldBack(const StartAttempt &attempt, TimePoint now)
{
    logDecision("attemptHeldBack",
                {{"attempt", attempt.attempt},
                 {"request", attempt.request},
                 {"target", attempt.target},
                 {"lateMs", toMilliseconds(now - attempt.sendBy)}});
}

Transfer::Transfer(const StartAttempt &attempt, std::shared_ptr<Exchange> exchange,
                   const Edge &edge, TimePoint now)
    : attempt(attempt)
    , easy(curl_easy_init())
    , exchange(std::move(exchange))
    , edge(edge)
    , lastByte(now)
    , events(attempt.resumeAfter)
{
    const ForwardedRequest &forwarded = this->exchange->forwarded;
    const std::string url = absl::StrCat("http://", attempt.address, "/");
    curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
    // The target gets the caller's bytes, not a normalized path.
    curl_easy_setopt(this->easy, CURLOPT_REQUEST_TARGET, forwarded.path.c_str());
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(toMilliseconds(attempt.sendBy - now)) + 1);
    curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION, &Transfer::beforeSending);
    curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
    this->setBody();
    curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, forwarded.method.c_str());
    curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &Transfer::onHeader);
    curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_PRIVATE, this);
    if (forwarded.method == "HEAD")
        curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    if (attempt.freshConnection) {
        curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

int Transfer::beforeSending(void *self, char *, char *, int, int)
{
    auto &transfer = *static_cast<Transfer *>(self);
    const TimePoint now = MonotonicClock::now();
    if (now >= transfer.attempt.sendBy) {
        logHeldBack(transfer.attempt, now);
        return CURL_PREREQFUNC_ABORT;
    }
    StartAttempt leaving = transfer.attempt;
    leaving.remaining = leaving.deadline - now;
    curl_slist_free_all(transfer.requestHeaders);
    transfer.requestHeaders
        = makeHeaders(transfer.edge.attemptHeaders(transfer.exchange->forwarded, leaving));
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.requestHeaders);
    return CURL_PREREQFUNC_OK;
}

/** The body is read by a callback that can't go back, so that the library never sends it twice. */
void Transfer::setBody()
{
    const ForwardedRequest &forwarded = this->exchange->forwarded;
    if (forwarded.body.empty() && forwarded.method != "POST")
        return;
    curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(forwarded.body.size()));
    curl_easy_setopt(this->easy, CURLOPT_READFUNCTION, &Transfer::onUpload);
    curl_easy_setopt(this->easy, CURLOPT_READDATA, this);
}

std::size_t Transfer::onUpload(char *out, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    const std::string &body = transfer.exchange->forwarded.body;
    const std::size_t bytes = std::min(size * count, body.size() - transfer.uploaded);
    body.copy(out, bytes, transfer.uploaded);
    transfer.uploaded += bytes;
    return bytes;
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
    const std::size_t bytes = size * count;
    transfer.headBytes += bytes;
    if (transfer.headBytes > MAX_HEAD_BYTES)
        return transfer.passBound(AnswerBound::Head);
    transfer.takeHeader(std::string(data, bytes));
    return bytes;
}

void Transfer::takeHeader(std::string line)
{
    absl::StripTrailingAsciiWhitespace(&line);
    if (absl::StartsWith(line, "HTTP/")) {
        long code = 0;
        curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &code);
        this->status = static_cast<int>(code);
        this->headers.clear(); // An interim answer may have come before.
        this->framed = false;
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
        return;
    std::string name = line.substr(0, colon);
    std::string value(absl::StripAsciiWhitespace(line.substr(colon + 1)));
    this->framed = this->framed || absl::EqualsIgnoreCase(name, "Content-Length")
        || absl::EqualsIgnoreCase(name, "Transfer-Encoding");
    this->headers.emplace_back(std::move(name), std::move(value));
}

const AnswerHead &Transfer::readHead()
{
    if (!this->head)
        this->head = this->edge.readAnswerHead(this->exchange->forwarded, this->attempt,
                                               this->status, this->headers);
    return *this->head;
}

std::size_t Transfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    const std::size_t bytes = size * count;
    transfer.lastByte = MonotonicClock::now();
    transfer.gotByte = true;
    if (!transfer.readHead().own)
        return 0; // Another request's answer: ends the transfer.
    if (!transfer.streams()) {
        if (transfer.body.size() + bytes > MAX_PLAIN_ANSWER_BYTES)
            return transfer.passBound(AnswerBound::Plain);
        transfer.body.append(data, bytes);
        return bytes;
    }
    if (transfer.sawDone)
        return 0; // What follows the end marker is nobody's.
    if (transfer.streamBytes + bytes > MAX_STREAM_BYTES)
        return transfer.passBound(AnswerBound::Stream);
    if (!transfer.relay({data, bytes})) {
        transfer.paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.streamBytes += bytes;
    return transfer.body.size() > MAX_EVENT_BYTES ? transfer.passBound(AnswerBound::Event) : bytes;
}

/** @return What ends the transfer when a callback returns it. */
std::size_t Transfer::passBound(AnswerBound passed)
{
    this->bound = passed;
    return 0;
}

bool Transfer::isOverdue(TimePoint now)
{
    if (now > this->attempt.deadline)
        this->bound = AnswerBound::Time;
    return this->bound == AnswerBound::Time;
}

/** Relays whole events only, so that a resumed stream goes on exactly where it broke. */
bool Transfer::relay(std::string_view bytes)
{
    const std::size_t held = this->body.size();
    this->body.append(bytes);
    // The end may straddle what was held, which has none itself.
    const std::size_t begin = held > 0 ? held - 1 : 0;
    std::size_t end = std::string_view(this->body).substr(begin).rfind(EVENT_END);
    if (end == std::string::npos)
        return true;
    end += begin + 2;
    const std::size_t marked = this->markedEnd();
    end = std::min(end, marked);
    const std::string_view whole = std::string_view(this->body).substr(0, end);
    const bool first = this->events == 0 && this->attempt.resumeAfter == 0;
    if (first)
        this->exchange->begin(this->status, "", this->readHead().relayed, "", true);
    {
        absl::MutexLock lock(&this->exchange->mutex);
        const bool full = !this->exchange->closed
            && this->exchange->buffer.size() + whole.size() > Exchange::MAX_BUFFERED_BYTES
            && !this->exchange->buffer.empty();
        if (full) {
            this->exchange->drained = this->onRoom;
            this->body.resize(held); // The library brings the same bytes again.
            return false;
        }
    }
    this->exchange->append(whole);
    this->events = this->countEvents(whole);
    this->sawDone = marked != std::string::npos;
    this->body.erase(0, this->sawDone ? std::string::npos : end);
    return true;
}

/** @return Where the event with the end marker ends in @c body; npos if it is not there. */
std::size_t Transfer::markedEnd() const
{
    if (this->edge.answerEnd != AnswerEnd::Marked)
        return std::string::npos;
    std::size_t marker = this->body.find(STREAM_END);
    while (marker != std::string::npos && marker > 0 && this->body[marker - 1] != '\n')
        marker = this->body.find(STREAM_END, marker + 1); // Within a line it is generated text.
    const std::size_t end
        = marker == std::string::npos ? marker : this->body.find(EVENT_END, marker);
    return end == std::string::npos ? end : end + 2;
}

/** @return Number of the last event of @p whole, by its own word or by counting. */
std::int64_t Transfer::countEvents(std::string_view whole) const
{
    std::int64_t last = this->events;
    std::size_t begin = 0;
    for (std::size_t end = whole.find(EVENT_END); end != std::string_view::npos;
         end = whole.find(EVENT_END, begin)) {
        last = this->edge.eventNumber(whole.substr(begin, end - begin)).value_or(last + 1);
        begin = end + 2;
    }
    return last;
}

/** Notes when the library itself has found no answer in the bytes; a reset has an error number. */
void Transfer::noteForm(CURLcode code)
{
    long error = 0;
    curl_easy_getinfo(this->easy, CURLINFO_OS_ERRNO, &error);
    // Where a line is too long the library says that there is no memory.
    const bool malformed = code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY
        || code == CURLE_OUT_OF_MEMORY || (code == CURLE_RECV_ERROR && error == 0);
    if (malformed && this->bound == AnswerBound::None)
        this->bound = AnswerBound::Form;
}

AttemptResult Transfer::classify(CURLcode code)
{
    long sent = 0;
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &sent);
    if (this->status == 0)
        return sent == 0 ? AttemptResult::NotSent : AttemptResult::Lost;
    const AnswerHead &answer = this->readHead();
    if (answer.notRun)
        return AttemptResult::Refused;
    if (!answer.own)
        return AttemptResult::Mismatched;
    if (code == CURLE_WRITE_ERROR && this->sawDone)
        return AttemptResult::Answered;
    if (code != CURLE_OK)
        return AttemptResult::Lost;
    if (this->edge.answerEnd == AnswerEnd::Framed)
        return AttemptResult::Answered;
    const bool whole = answer.streamed ? this->sawDone : this->framed;
    return whole ? AttemptResult::Answered : AttemptResult::Lost;
}

void Transfer::countTokens(AttemptEnded &ended)
{
    if (this->streams()) {
        // One token an event; the end marker is none.
        ended.tokens = std::max<std::int64_t>(this->events - 1, 0);
        return;
    }
    if (!absl::StartsWith(headerOf(this->readHead().relayed, "Content-Type"), "application/json"))
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
    this->noteForm(code);
    if (this->bound == AnswerBound::Time)
        cancelled = true;
    else if (this->bound != AnswerBound::None)
        ended.result = AttemptResult::NoAnswer;
    if (stalled)
        ended.result = AttemptResult::Stalled;
    if (cancelled)
        ended.result = AttemptResult::Cancelled;
    ended.status = this->status;
    ended.bound = this->bound;
    ended.eventsRelayed = this->events;
    ended.connectionLost = ended.result == AttemptResult::Lost && code != CURLE_OPERATION_TIMEDOUT;
    const bool failed = this->status >= SERVER_ERROR && this->attempt.holdFailures;
    if (ended.result == AttemptResult::Answered && failed)
        ended.result = AttemptResult::Failed;
    if (ended.result != AttemptResult::Answered)
        return ended;
    this->countTokens(ended);
    if (this->streams()) {
        this->finishStream();
        return ended;
    }
    const HeaderList &relayed = this->readHead().relayed;
    if (this->attempt.keepAnswer)
        ended.answer
            = StoredAnswer{this->status, headerOf(relayed, "Content-Type"), this->body, false};
    this->exchange->begin(this->status, "", relayed, std::move(this->body), false);
    return ended;
}

/** Gives the caller what stands behind the last whole event, and ends the stream. */
void Transfer::finishStream()
{
    const bool nothingYet = this->events == 0 && this->attempt.resumeAfter == 0;
    if (nothingYet)
        this->exchange->begin(this->status, "", this->readHead().relayed, "", true);
    if (!this->body.empty())
        this->exchange->append(this->body);
    this->exchange->end(false);
}

} // namespace bilberry
