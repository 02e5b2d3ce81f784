/** @file transfer_base.h One HTTP exchange with a target; only for the target duty. */
#pragma once

#include "net/edge_type.h"
#include "net/exchange_base.h"

#include <atomic>
#include <curl/curl.h>
#include <memory>
#include <string>

namespace bilberry {

/** All header lines of an answer, of interim answers before it and of its trailer. */
constexpr std::size_t MAX_HEAD_BYTES = 64 << 10;

/** Writes a line on an attempt that must not leave any more. */
void logHeldBack(const StartAttempt &attempt, TimePoint now);

/** Tells when a target has gone silent, and reads its answer into the caller's exchange. */
class Transfer
{
public:
    /** Starts from an attempt; the exchange may be gone. */
    Transfer(const StartAttempt &attempt, std::shared_ptr<Exchange> exchange, const Edge &edge,
             TimePoint now);
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    CURL *handle() const { return this->easy; }

    /** Limits the age of pooled connections that may be used; 0: only a new one. */
    void limitConnectionAge(std::int64_t seconds);

    /** @return Whether a limit has passed. */
    bool isSilent(TimePoint now) const;

    /** @return Whether the request's time is over, whatever comes. */
    bool isOverdue(TimePoint now);

    /** @return How the attempt ended, and gives the caller what is still to be given. */
    AttemptEnded conclude(CURLcode code, bool stalled, bool cancelled);

    /** Set when the caller's buffer is full; cleared once the handle is unpaused. */
    std::atomic<bool> paused{false};
    std::function<void()> onRoom; ///< Called on the caller's thread when there is room again.

    const StartAttempt attempt;

private:
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    /** Holds the attempt back if it is too late for it; else hands over the time that is left. */
    static int beforeSending(void *self, char *, char *, int, int);
    void takeHeader(std::string line);
    bool relay(std::string_view bytes);
    std::size_t markedEnd() const;
    std::size_t passBound(AnswerBound passed);
    void noteForm(CURLcode code);
    /** Reads the head once its last header has come. */
    const AnswerHead &readHead();
    bool streams() { return this->readHead().streamed; }
    std::int64_t countEvents(std::string_view whole) const;
    void setBody();
    void finishStream();
    AttemptResult classify(CURLcode code);
    void countTokens(AttemptEnded &ended);
    static std::size_t onUpload(char *out, std::size_t size, std::size_t count, void *self);

    CURL *easy;
    curl_slist *requestHeaders = nullptr;
    std::shared_ptr<Exchange> exchange;
    const Edge &edge;
    std::size_t uploaded = 0; ///< Bytes of the request's body.
    TimePoint lastByte;
    bool gotByte = false;
    int status = 0;
    HeaderList headers; ///< Of the answer.
    std::optional<AnswerHead> head;
    bool framed = false; ///< The answer has a length or is chunked.
    bool sawDone = false; ///< End marker of a stream; what follows is dropped.
    AnswerBound bound = AnswerBound::None; ///< That the answer has passed.
    std::size_t headBytes = 0;
    std::size_t streamBytes = 0;
    std::int64_t events = 0; ///< Relayed, over all attempts of the stream.
    std::string body; ///< Plain answer, or the beginning of an event.
};

} // namespace bilberry
