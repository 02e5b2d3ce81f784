/** @file exchange_base.h Request of a caller and its answer, shared by the threads that serve it.
 */
#pragma once

#include "call/call_type.h"
#include "core/ids_type.h"
#include "host/host_type.h"
#include "net/answer_memory_base.h"
#include "net/request_memory_base.h"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/** HTTP headers as pairs of name and value, in order of arrival. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** Part of a caller's request that is sent to a target; excludes the caller's API key. */
struct ForwardedRequest
{
    std::string method = "POST";
    std::string path; ///< Path and query.
    HeaderList headers; ///< Caller's headers that are forwarded unchanged.
    std::string variant; ///< Model and adapter, for the log.
    std::string correlation; ///< Correlation id chosen by the caller; empty: none.
    std::string body;
    bool streamed = false; ///< The caller asked for a stream of server-sent events.
    WorkClass workClass = WorkClass::Interactive;
};

/** Bounded buffer that carries one answer from a target's connection to the caller's connection. */
class Exchange
{
public:
    explicit Exchange(RequestId id)
        : id(id)
    {
    }

    /** Bound of the buffer; a larger piece still fits into an empty buffer. */
    static constexpr std::size_t MAX_BUFFERED_BYTES = 1 << 20;

    /**
     * Sets a complete answer, or status and headers of a streamed one.
     * @return False if an answer has already begun or the caller has disconnected.
     */
    bool begin(int status, std::string contentType,
               std::vector<std::pair<std::string, std::string>> headers, std::string body,
               bool streamed);

    /**
     * Appends to a streamed answer.
     * @return False if the buffer is full, the answer has ended or the caller has disconnected.
     */
    bool append(std::string_view bytes);

    /**
     * Ends a streamed answer.
     * @param rest Last bytes of the answer, which a full buffer takes as well: nothing comes behind
     * them. At most one incomplete event.
     * @param broken The answer is truncated: the caller's connection is aborted.
     */
    void end(bool broken, std::string_view rest = {});

    /** Marks the caller as disconnected; from then on begin() and append() do nothing. */
    void close();

    /** @return Whether status and headers are set. */
    bool hasBegun();

    /** @return Whether the answer is whole, or was broken off. */
    bool hasEnded();

    /** Counts the bytes that the answer holds; whoever changes the buffer calls it. */
    void countHeld() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const RequestId id;
    int callerSocket = -1; ///< Open until the caller's connection ends; -1: none.
    /** Room of the request's body, which is kept for further attempts until the request ends. */
    HeldBody heldBody;
    ForwardedRequest forwarded; ///< Set before other threads access the exchange.

    absl::Mutex mutex;
    /** Resumes the caller's suspended connection; cleared when called. */
    std::function<void()> resumeCaller ABSL_GUARDED_BY(mutex);
    /** Notifies TargetClient that the buffer has space again; cleared when called. */
    std::function<void()> onBufferSpace ABSL_GUARDED_BY(mutex);
    bool begun ABSL_GUARDED_BY(mutex) = false; ///< Status and headers are set.
    bool streamed ABSL_GUARDED_BY(mutex) = false;
    bool ended ABSL_GUARDED_BY(mutex) = false; ///< No more bytes follow.
    bool broken ABSL_GUARDED_BY(mutex) = false; ///< Ended before the answer was complete.
    bool closed ABSL_GUARDED_BY(mutex) = false; ///< The caller has disconnected.
    int status ABSL_GUARDED_BY(mutex) = 0; ///< HTTP status code.
    std::string contentType ABSL_GUARDED_BY(mutex);
    std::vector<std::pair<std::string, std::string>> headers ABSL_GUARDED_BY(mutex);
    std::size_t headBytes ABSL_GUARDED_BY(mutex) = 0; ///< Of contentType and headers, as sent.
    std::string buffer ABSL_GUARDED_BY(mutex); ///< Bytes not yet read by the caller's connection.
    /** Counts head and buffer, see countHeld(). */
    HeldBytes held ABSL_GUARDED_BY(mutex);

private:
    void resumeCallerLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
};

/** Thread-safe map from request id to exchange, for threads that know only the request id. */
class ExchangeTable
{
public:
    std::shared_ptr<Exchange> add(RequestId id);
    /** @return Null if the request is unknown. */
    std::shared_ptr<Exchange> find(RequestId id) const;
    void remove(RequestId id);
    std::size_t size() const;

private:
    mutable absl::Mutex mutex;
    std::map<RequestId, std::shared_ptr<Exchange>> exchanges ABSL_GUARDED_BY(mutex);
};

struct Edge;

/** Answers a request with @p refusal; aborts the stream if the answer has already begun. */
void answerRefusal(Exchange &exchange, const RefuseCaller &refusal, const Edge &edge);

} // namespace bilberry
