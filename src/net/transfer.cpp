/** @file transfer.cpp HTTP request of one attempt to a target. */
#include "net/transfer_base.h"

#include "call/call_func.h"
#include "core/log_func.h"
#include "net/completion_tokens_func.h"
#include "net/grammar_log_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <utility>

namespace bilberry {

namespace {

constexpr std::size_t MAX_PLAIN_ANSWER_BYTES = 8 << 20;
constexpr std::size_t MAX_EVENT_BYTES = 256 << 10;
constexpr std::size_t MAX_STREAM_BYTES = 32 << 20; ///< Bound of all events of one attempt together.
constexpr const char *EVENT_END = "\n\n";
constexpr const char *STREAM_END = "data: [DONE]";
constexpr int SERVER_ERROR = 500; ///< Lowest HTTP status code of a server error.

curl_slist *addHeader(curl_slist *list, const std::string &name, const std::string &value)
{
    // libcurl omits a header written "name:"; "name;" sends it with an empty value.
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    return curl_slist_append(list, line.c_str());
}

curl_slist *makeHeaders(const HeaderList &headers)
{
    curl_slist *list = nullptr;
    for (const auto &[name, value] : headers)
        list = addHeader(list, name, value);
    // Suppress the headers that libcurl adds by default.
    for (const char *name : {"Accept", "Content-Type", "Expect"}) {
        if (headerValue(headers, name).empty())
            list = curl_slist_append(list, absl::StrCat(name, ":").c_str());
    }
    return list;
}

} // namespace

void logAttemptNotSent(const StartAttempt &attempt, TimePoint now)
{
    logEventRateLimited("attemptHeldBack",
                        {{"attempt", attempt.attempt},
                         {"request", attempt.request},
                         {"target", attempt.target},
                         {"lateMs", toMilliseconds(now - attempt.sendBy)}});
}

Transfer::Transfer(const StartAttempt &attempt, std::shared_ptr<Exchange> exchange,
                   const Edge &edge, std::shared_ptr<AnswerMemory> memory, TimePoint now)
    : attempt(attempt)
    , easy(curl_easy_init())
    , exchange(std::move(exchange))
    , edge(edge)
    , lastByteAt(now)
    , lastRelayedEvent(attempt.resumeAfter)
    , memory(std::move(memory))
{
    this->held.attach(this->memory);
    {
        absl::MutexLock lock(&this->exchange->mutex);
        this->exchange->held.attach(this->memory);
    }
    const ForwardedRequest &forwarded = this->exchange->forwarded;
    const std::string url = absl::StrCat("http://", attempt.address, "/");
    curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
    // Send the path byte for byte as the caller sent it; libcurl would normalize the URL's path.
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
        logAttemptNotSent(transfer.attempt, now);
        return CURL_PREREQFUNC_ABORT;
    }
    StartAttempt sending = transfer.attempt;
    sending.remaining = sending.deadline - now;
    const ForwardedRequest &forwarded = transfer.exchange->forwarded;
    const HeaderList headers = transfer.edge.attemptHeaders(forwarded, sending);
    if (const std::optional<GrammarFault> fault
        = checkSentRequest(forwarded.method, forwarded.path, headers)) {
        recordGrammarFault("attemptMalformed", *fault,
                           {{"attempt", sending.attempt}, {"target", sending.target}},
                           WallClock::unixSeconds());
        return CURL_PREREQFUNC_ABORT;
    }
    curl_slist_free_all(transfer.requestHeaders);
    transfer.requestHeaders = makeHeaders(headers);
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, transfer.requestHeaders);
    transfer.sentAt = now;
    return CURL_PREREQFUNC_OK;
}

/** Sets a read callback that cannot rewind, so that libcurl cannot resend the body. */
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

void Transfer::limitConnectionIdleTime(std::int64_t seconds)
{
    if (seconds <= 0)
        curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    else
        curl_easy_setopt(this->easy, CURLOPT_MAXAGE_CONN, static_cast<long>(seconds));
}

bool Transfer::isStalled(TimePoint now) const
{
    if (this->paused.load())
        return false;
    const Duration limit
        = this->receivedAny ? this->attempt.interByteLimit : this->attempt.firstByteLimit;
    return now - this->lastByteAt > limit;
}

std::size_t Transfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    transfer.lastByteAt = MonotonicClock::now();
    transfer.receivedAny = true;
    const std::size_t bytes = size * count;
    transfer.headBytes += bytes;
    if (transfer.headBytes > MAX_HEADER_BYTES)
        return transfer.abortOnBound(ResponseLimit::HeaderSize);
    if (!transfer.reserve(bytes))
        return 0;
    transfer.countHeld();
    return transfer.readAnswerLine({data, bytes}) ? bytes : 0;
}

/** @return Whether the line is well formed; else the answer is not used, and its connection ends.
 */
bool Transfer::readAnswerLine(std::string_view line)
{
    const bool wasComplete = this->answerLines.complete;
    const std::optional<GrammarFault> fault = addAnswerLine(this->answerLines, line);
    if (fault) {
        this->bound = ResponseLimit::Unparsable;
        recordGrammarFault("answerMalformed", *fault,
                           {{"attempt", this->attempt.attempt},
                            {"request", this->attempt.request},
                            {"target", this->attempt.target}},
                           WallClock::unixSeconds());
        return false;
    }
    if (wasComplete || !this->answerLines.complete)
        return true;
    // A refusal that is written once more would pass for the answer to the next request.
    if (this->readHead().notRun)
        curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
    this->reportStatement();
    return true;
}

void Transfer::reportStatement()
{
    const std::optional<TargetStatement> &statement = this->readHead().statement;
    if (!statement || !this->onStated)
        return;
    if (statement->malformed)
        logEventRateLimited("targetStatementMalformed",
                            {{"attempt", this->attempt.attempt}, {"target", this->attempt.target}});
    if (!statement->any() && !this->attempt.reportStatement)
        return;
    std::exchange(this->onStated,
                  nullptr)({this->attempt.attempt, this->attempt.target, this->attempt.targetStart,
                            *statement, this->sentAt, this->lastByteAt});
}

const AnswerHead &Transfer::readHead()
{
    if (!this->head)
        this->head = this->edge.readAnswerHead(this->exchange->forwarded, this->attempt,
                                               this->answerLines.status, this->answerLines.headers);
    return *this->head;
}

std::size_t Transfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    const std::size_t bytes = size * count;
    transfer.lastByteAt = MonotonicClock::now();
    transfer.receivedAny = true;
    if (transfer.hasGivenUpMemory())
        return 0;
    if (!transfer.readHead().belongsToAttempt)
        return 0; // The answer belongs to another request: abort the transfer.
    if (!transfer.isStreamed()) {
        if (transfer.body.size() + bytes > MAX_PLAIN_ANSWER_BYTES)
            return transfer.abortOnBound(ResponseLimit::BodySize);
        if (!transfer.reserve(bytes))
            return 0;
        transfer.body.append(data, bytes);
        transfer.countHeld();
        return bytes;
    }
    if (transfer.sawEndMarker)
        return 0; // Bytes after the end marker belong to no answer: abort the transfer.
    if (transfer.streamBytes + bytes > MAX_STREAM_BYTES)
        return transfer.abortOnBound(ResponseLimit::Stream);
    // Complete events are in the body and in the caller's buffer for a moment.
    const std::size_t needed = 2 * bytes + transfer.body.size();
    const bool waits = !transfer.memory->fits(needed) && transfer.waitForBufferSpace();
    if (!waits && !transfer.reserve(needed))
        return 0;
    if (waits || !transfer.relay({data, bytes})) {
        transfer.paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.countHeld();
    if (transfer.wrongStart)
        return 0;
    transfer.streamBytes += bytes;
    return transfer.body.size() > MAX_EVENT_BYTES ? transfer.abortOnBound(ResponseLimit::Event)
                                                  : bytes;
}

/**
 * Records @p passed as the bound that the answer exceeded.
 * @return 0, which makes libcurl abort the transfer when a callback returns it.
 */
std::size_t Transfer::abortOnBound(ResponseLimit passed)
{
    this->bound = passed;
    return 0;
}

/** @return Whether @p bytes of the answer may be added; else the transfer has given up its memory.
 */
bool Transfer::reserve(std::size_t bytes)
{
    if (this->hasGivenUpMemory())
        return false;
    const bool fits = this->memory->fits(bytes) || (this->makeRoom && this->makeRoom(bytes));
    if (!fits)
        this->giveUpMemory();
    return fits;
}

/** @return Whether the caller's buffer has bytes, so that onBufferSpace will be called. */
bool Transfer::waitForBufferSpace()
{
    absl::MutexLock lock(&this->exchange->mutex);
    if (this->exchange->closed || this->exchange->buffer.empty())
        return false;
    this->exchange->onBufferSpace = this->onBufferSpace;
    return true;
}

void Transfer::giveUpMemory()
{
    logEventRateLimited("answerMemoryFull",
                        {{"attempt", this->attempt.attempt},
                         {"request", this->attempt.request},
                         {"target", this->attempt.target},
                         {"heldBytes", this->held.get()},
                         {"heldInAll", this->memory->held()},
                         {"limit", this->memory->limit}});
    this->bound = ResponseLimit::Memory;
    std::string().swap(this->body);
    HeaderList().swap(this->answerLines.headers);
    this->held.set(0);
}

bool Transfer::isPastDeadline(TimePoint now)
{
    if (now > this->attempt.deadline)
        this->bound = ResponseLimit::Time;
    return this->bound == ResponseLimit::Time;
}

/**
 * Relays complete events only, so that a resumed stream continues exactly where the connection
 * broke.
 * @return False if the caller's buffer is full; @p bytes were then not consumed.
 */
bool Transfer::relay(std::string_view bytes)
{
    const std::size_t bufferedBytes = this->body.size();
    this->body.append(bytes);
    // The buffered bytes contain no event end, but may hold the first byte of one.
    const std::size_t begin = bufferedBytes > 0 ? bufferedBytes - 1 : 0;
    std::size_t end = std::string_view(this->body).substr(begin).rfind(EVENT_END);
    if (end == std::string::npos)
        return true;
    end += begin + 2;
    const std::size_t marked = this->endOfMarkedEvent();
    end = std::min(end, marked);
    const std::string_view completeEvents = std::string_view(this->body).substr(0, end);
    this->wrongStart = this->repeatsEvents(completeEvents);
    if (this->wrongStart)
        return true;
    const bool first = this->lastRelayedEvent == 0 && this->attempt.resumeAfter == 0;
    if (first)
        this->exchange->begin(this->answerLines.status, "", this->readHead().relayedHeaders, "",
                              true);
    {
        absl::MutexLock lock(&this->exchange->mutex);
        // Streams to slow callers leave as much memory as each of them has.
        const std::size_t bufferLimit
            = std::min(Exchange::MAX_BUFFERED_BYTES, this->memory->left());
        const bool full = !this->exchange->closed
            && this->exchange->buffer.size() + completeEvents.size() > bufferLimit
            && !this->exchange->buffer.empty();
        if (full) {
            this->exchange->onBufferSpace = this->onBufferSpace;
            // libcurl delivers the same bytes again after the pause.
            this->body.resize(bufferedBytes);
            return false;
        }
    }
    this->exchange->append(completeEvents);
    if (this->onBegan)
        std::exchange(this->onBegan, nullptr)();
    this->lastRelayedEvent = this->lastEventNumber(completeEvents);
    this->sawEndMarker = marked != std::string::npos;
    this->body.erase(0, this->sawEndMarker ? std::string::npos : end);
    return true;
}

/** @return Whether the first events of a resumed stream have been relayed by an earlier attempt. */
bool Transfer::repeatsEvents(std::string_view completeEvents) const
{
    const bool atStart
        = this->attempt.resumeAfter > 0 && this->lastRelayedEvent == this->attempt.resumeAfter;
    const std::size_t end = completeEvents.find(EVENT_END);
    if (!atStart || end == std::string_view::npos)
        return false;
    const std::optional<std::int64_t> number
        = this->edge.eventNumber(completeEvents.substr(0, end));
    return number && *number <= this->attempt.resumeAfter;
}

/** @return Offset in @c body just after the event with the end marker; npos if there is none. */
std::size_t Transfer::endOfMarkedEvent() const
{
    if (this->edge.completionRule != CompletionRule::EndMarker)
        return std::string::npos;
    std::size_t marker = this->body.find(STREAM_END);
    while (marker != std::string::npos && marker > 0 && this->body[marker - 1] != '\n')
        marker = this->body.find(STREAM_END, marker + 1); // A marker within a line is text.
    const std::size_t end
        = marker == std::string::npos ? marker : this->body.find(EVENT_END, marker);
    return end == std::string::npos ? end : end + 2;
}

/** @return Number of the last event in @p completeEvents: the number that the event carries, else
 * the number of the preceding event plus 1. */
std::int64_t Transfer::lastEventNumber(std::string_view completeEvents) const
{
    std::int64_t last = this->lastRelayedEvent;
    std::size_t begin = 0;
    for (std::size_t end = completeEvents.find(EVENT_END); end != std::string_view::npos;
         end = completeEvents.find(EVENT_END, begin)) {
        last = this->edge.eventNumber(completeEvents.substr(begin, end - begin)).value_or(last + 1);
        begin = end + 2;
    }
    return last;
}

/**
 * Records ResponseLimit::Unparsable if libcurl could not parse the answer. A connection reset also
 * gives CURLE_RECV_ERROR, but with a system error number.
 */
void Transfer::detectMalformedAnswer(CURLcode code)
{
    long error = 0;
    curl_easy_getinfo(this->easy, CURLINFO_OS_ERRNO, &error);
    // libcurl reports a line that is too long as CURLE_OUT_OF_MEMORY.
    const bool malformed = code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY
        || code == CURLE_OUT_OF_MEMORY || (code == CURLE_RECV_ERROR && error == 0);
    if (malformed && this->bound == ResponseLimit::None)
        this->bound = ResponseLimit::Unparsable;
}

/** @return Whether the target states that it did not run this request. Without the request's id,
 * the statement counts only on a new connection, which carried no other request. */
bool Transfer::isRefusal()
{
    long newConnections = 0;
    curl_easy_getinfo(this->easy, CURLINFO_NUM_CONNECTS, &newConnections);
    const AnswerHead &answer = this->readHead();
    return answer.notRun && (answer.identified || newConnections > 0);
}

AttemptResult Transfer::classify(CURLcode code)
{
    long sent = 0;
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &sent);
    if (this->answerLines.status == 0)
        return sent == 0 ? AttemptResult::NotSent : AttemptResult::Lost;
    // libcurl takes a connection that closes inside the head for the end of the answer.
    if (!this->answerLines.complete)
        return AttemptResult::Lost;
    const AnswerHead &answer = this->readHead();
    if (this->isRefusal())
        return AttemptResult::Refused;
    if (!answer.belongsToAttempt)
        return AttemptResult::Mismatched;
    // The caller has a part of a stream already: only the rest of that stream may follow.
    if (this->wrongStart)
        return AttemptResult::InvalidResponse;
    if (this->attempt.resumeAfter > 0 && !answer.streamed)
        return this->answerLines.status >= SERVER_ERROR ? AttemptResult::ServerError
                                                        : AttemptResult::InvalidResponse;
    if (code == CURLE_WRITE_ERROR && this->sawEndMarker)
        return AttemptResult::Answered;
    if (code != CURLE_OK)
        return AttemptResult::Lost;
    if (this->edge.completionRule == CompletionRule::HttpFraming) {
        // Without length and chunks, only the end of an event tells a complete stream from a broken
        // one.
        const bool brokenOff
            = answer.streamed && !isFramed(this->answerLines.headers) && !this->body.empty();
        return brokenOff ? AttemptResult::Lost : AttemptResult::Answered;
    }
    const bool complete
        = answer.streamed ? this->sawEndMarker : isFramed(this->answerLines.headers);
    return complete ? AttemptResult::Answered : AttemptResult::Lost;
}

void Transfer::countTokens(AttemptEnded &ended)
{
    if (this->isStreamed()) {
        // Each event carries one token, except the end marker.
        ended.tokens = std::max<std::int64_t>(this->lastRelayedEvent - 1, 0);
        return;
    }
    if (!absl::StartsWith(headerValue(this->readHead().relayedHeaders, "Content-Type"),
                          "application/json"))
        return;
    ended.tokens = std::max<std::int64_t>(readCompletionTokens(this->body).value_or(0), 0);
}

AttemptEnded Transfer::conclude(CURLcode code, bool stalled, bool cancelled)
{
    AttemptEnded ended;
    ended.attempt = this->attempt.attempt;
    ended.result = this->classify(code);
    this->detectMalformedAnswer(code);
    if (this->bound == ResponseLimit::Time)
        cancelled = true;
    else if (this->bound != ResponseLimit::None)
        ended.result = AttemptResult::InvalidResponse;
    if (stalled)
        ended.result = AttemptResult::Stalled;
    if (cancelled)
        ended.result = AttemptResult::Cancelled;
    ended.status = this->answerLines.status;
    ended.bound = this->bound;
    ended.eventsRelayed = this->lastRelayedEvent;
    ended.connectionLost = ended.result == AttemptResult::Lost && code != CURLE_OPERATION_TIMEDOUT;
    const bool failed = this->answerLines.status >= SERVER_ERROR && this->attempt.holdFailures;
    if (ended.result == AttemptResult::Answered && failed)
        ended.result = AttemptResult::ServerError;
    if (ended.result != AttemptResult::Answered)
        return ended;
    this->countTokens(ended);
    if (this->isStreamed()) {
        this->finishStream();
        return ended;
    }
    const HeaderList &relayedHeaders = this->readHead().relayedHeaders;
    if (this->attempt.keepAnswer)
        ended.answer = makeStoredAnswer(this->answerLines.status,
                                        headerValue(relayedHeaders, "Content-Type"), this->body);
    this->held.set(0);
    this->exchange->begin(this->answerLines.status, "", relayedHeaders, std::move(this->body),
                          false);
    return ended;
}

/** Relays the bytes after the last complete event and ends the caller's stream. */
void Transfer::finishStream()
{
    const bool nothingRelayed = this->lastRelayedEvent == 0 && this->attempt.resumeAfter == 0;
    if (nothingRelayed)
        this->exchange->begin(this->answerLines.status, "", this->readHead().relayedHeaders, "",
                              true);
    this->held.set(0);
    this->exchange->end(false, this->body);
}

} // namespace bilberry
