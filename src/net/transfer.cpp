/** @file transfer.cpp HTTP request of one attempt to a target. */
#include "net/transfer_base.h"

#include "call/call_func.h"
#include "core/log_func.h"
#include "net/completion_tokens_func.h"
#include "net/event_stream_func.h"
#include "net/grammar_log_func.h"
#include "stream/stream_progress_func.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <utility>

namespace bilberry {

namespace {

constexpr std::size_t MAX_PLAIN_ANSWER_BYTES = 8 << 20;
constexpr std::size_t MAX_EVENT_BYTES = 256 << 10;
constexpr std::size_t MAX_STREAM_BYTES = 32 << 20; ///< Bound of all events of one attempt together.
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
    , progress(attempt.relayed)
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
    std::size_t end = endOfBlocks(this->body, bufferedBytes);
    if (end == std::string::npos)
        return true;
    const std::size_t marked = this->endOfMarkedEvent();
    end = std::min(end, marked);
    const std::string_view completeEvents = std::string_view(this->body).substr(0, end);
    this->wrongStart = this->startsElsewhere(completeEvents);
    if (this->wrongStart)
        return true;
    if (!this->progress.begun)
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
    this->progress.begun = true;
    this->countEvents(completeEvents);
    this->sawEndMarker = marked != std::string::npos;
    this->body.erase(0, this->sawEndMarker ? std::string::npos : end);
    return true;
}

/** @return Whether this attempt does not go on where the caller's part of the stream ends. @p
 * blocks are the next ones of the answer. */
bool Transfer::startsElsewhere(std::string_view blocks) const
{
    const bool continues
        = this->attempt.relayed.events > 0 && this->progress.events == this->attempt.relayed.events;
    if (!continues)
        return false;
    std::optional<bool> follows;
    forEachBlock(blocks, [&](std::string_view block) {
        if (!follows && isEvent(block))
            follows
                = mayFollow(this->progress, this->edge.eventId(block, this->progress.events + 1));
    });
    return !follows.value_or(true);
}

/** @return The same for a last event without the empty line that ends it. */
bool Transfer::endsElsewhere()
{
    return this->isStreamed() && !this->body.empty()
        && this->startsElsewhere(absl::StrCat(this->body, "\n\n"));
}

void Transfer::countEvents(std::string_view blocks)
{
    forEachBlock(blocks, [this](std::string_view block) {
        if (isEvent(block))
            addEvent(this->progress, this->edge.eventId(block, this->progress.events + 1));
    });
}

/** @return Offset in @c body just after the event with the end marker; npos if there is none. */
std::size_t Transfer::endOfMarkedEvent() const
{
    return this->edge.completionRule == CompletionRule::EndMarker ? endOfMarkedBlock(this->body)
                                                                  : std::string::npos;
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
    if (this->wrongStart || this->endsElsewhere())
        return AttemptResult::InvalidResponse;
    if (this->attempt.relayed.begun && !answer.streamed)
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
        ended.tokens = this->progress.events - (this->sawEndMarker ? 1 : 0);
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
    ended.relayed = this->progress;
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
    if (!this->progress.begun)
        this->exchange->begin(this->answerLines.status, "", this->readHead().relayedHeaders, "",
                              true);
    this->held.set(0);
    this->exchange->end(false, this->body);
}

} // namespace bilberry
