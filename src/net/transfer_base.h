/** @file transfer_base.h HTTP request of one attempt to a target; used only by TargetClient. */
#pragma once

#include "net/edge_type.h"
#include "net/exchange_base.h"
#include "net/grammar_func.h"

#include <atomic>
#include <curl/curl.h>
#include <memory>
#include <string>

namespace bilberry {

/** Bound of all header lines of an answer, including interim (1xx) answers and the trailer. */
constexpr std::size_t MAX_HEADER_BYTES = 64 << 10;

/** Logs that an attempt was not sent because @p now is past its sendBy. */
void logAttemptNotSent(const StartAttempt &attempt, TimePoint now);

/** Sends one attempt, relays its answer to the caller's exchange, enforces time and size limits. */
class Transfer
{
public:
    /**
     * Prepares the request; TargetClient starts it.
     * @param exchange Must not be null; its caller may have disconnected.
     * @param edge Must outlive the transfer.
     * @param memory Counts the bytes of the answer, also in the exchange.
     */
    Transfer(const StartAttempt &attempt, std::shared_ptr<Exchange> exchange, const Edge &edge,
             std::shared_ptr<AnswerMemory> memory, TimePoint now);
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    CURL *handle() const { return this->easy; }

    /** @return Whether the request is being sent or has been sent. */
    bool isSent() const { return this->sentAt != TimePoint{}; }

    /** Allows only pooled connections that were idle for at most @p seconds; 0: a new connection.
     */
    void limitConnectionIdleTime(std::int64_t seconds);

    /** @return Whether the target has sent nothing for longer than the first-byte or inter-byte
     * limit. */
    bool isStalled(TimePoint now) const;

    /**
     * Records ResponseLimit::Time once the deadline has passed, even if bytes still arrive.
     * @return Whether the deadline has passed.
     */
    bool isPastDeadline(TimePoint now);

    /** Gives back the bytes of the answer and records ResponseLimit::Memory; TargetClient then
     * concludes the transfer, which accepts no more bytes. */
    void giveUpMemory();
    bool hasGivenUpMemory() const { return this->bound == ResponseLimit::Memory; }

    /** @return Bytes that giveUpMemory() gives back. */
    std::size_t heldBytes() const { return this->held.get(); }

    /**
     * Sends the caller the rest of a complete answer.
     * @param code Result of libcurl.
     * @param stalled The transfer was ended because isStalled().
     * @param cancelled The host cancelled the attempt.
     * @return How the attempt ended.
     */
    AttemptEnded conclude(CURLcode code, bool stalled, bool cancelled);

    /** Set while the transfer is paused because the caller's buffer is full (backpressure). */
    std::atomic<bool> paused{false};
    /** Called when the caller's buffer has space again, on the thread that reads the buffer. */
    std::function<void()> onBufferSpace;
    /** Called when the first event of this attempt was relayed; set if the attempt asks for it. */
    std::function<void()> onBegan;
    /** Called if bytes of the answer exceed the bound of AnswerMemory: lets others give up memory.
     * Returns whether so many bytes may be added now. */
    std::function<bool(std::size_t)> makeRoom;
    /** Called with the target's statement when the head of the answer is complete, if it states
     * anything or the attempt asks for it. */
    std::function<void(TargetStated)> onStated;

    const StartAttempt attempt;

private:
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    /** Called when the connection is established: aborts an attempt that is past its sendBy, else
     * sets the headers with the remaining time. */
    static int beforeSending(void *self, char *, char *, int, int);
    bool readAnswerLine(std::string_view line);
    bool relay(std::string_view bytes);
    std::size_t endOfMarkedEvent() const;
    std::size_t abortOnBound(ResponseLimit passed);
    bool reserve(std::size_t bytes);
    bool waitForBufferSpace();
    void countHeld() { this->held.set(this->headBytes + this->body.size()); }
    void detectMalformedAnswer(CURLcode code);
    /** Interprets status and headers, once; called only after the last header was received. */
    const AnswerHead &readHead();
    void reportStatement();
    bool isStreamed() { return this->readHead().streamed; }
    bool startsElsewhere(std::string_view blocks) const;
    bool endsElsewhere();
    void countEvents(std::string_view blocks);
    void setBody();
    void finishStream();
    AttemptResult classify(CURLcode code);
    bool isRefusal();
    void countTokens(AttemptEnded &ended);
    static std::size_t onUpload(char *out, std::size_t size, std::size_t count, void *self);

    CURL *easy;
    curl_slist *requestHeaders = nullptr;
    std::shared_ptr<Exchange> exchange;
    const Edge &edge;
    std::size_t uploaded = 0; ///< Bytes of the request's body passed to libcurl.
    TimePoint lastByteAt; ///< Time of the last received bytes; initially the start of the transfer.
    bool receivedAny = false; ///< The target has sent at least one byte.
    AnswerLines answerLines; ///< Status line and headers of the target's answer.
    std::optional<AnswerHead> head;
    TimePoint sentAt; ///< Time at which the connection was ready for the request.
    bool wrongStart = false; ///< A resumed stream did not go on where the caller's part ends.
    bool sawEndMarker = false; ///< The stream's end marker was received; later bytes are dropped.
    ResponseLimit bound = ResponseLimit::None; ///< Bound that the answer exceeded.
    std::size_t headBytes = 0; ///< Bytes of all header lines so far.
    std::size_t streamBytes = 0; ///< Bytes of the streamed body accepted so far.
    StreamProgress progress; ///< What the caller has of the stream, over all attempts.
    std::string body; ///< Body of a plain answer, or the incomplete last event of a stream.
    std::shared_ptr<AnswerMemory> memory;
    HeldBytes held; ///< Counts head and body.
};

} // namespace bilberry
