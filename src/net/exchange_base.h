/** @file exchange_base.h One caller's request and answer, shared by the threads that serve it. */
#pragma once

#include "call/call_type.h"
#include "core/ids_type.h"
#include "host/host_type.h"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <memory>
#include <string>

namespace bilberry {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** What a target needs to see of a caller's request; the key is not part of it. */
struct ForwardedRequest
{
    std::string method = "POST";
    std::string path; ///< With the query.
    HeaderList headers; ///< Passed on as they came.
    std::string variant; ///< Model and adapter, for logs.
    std::string correlation; ///< Caller's own id of the request; empty: none.
    std::string body;
    bool streamed = false;
    WorkClass workClass = WorkClass::Interactive;
};

/** Bytes of one answer on their way from a target to a caller. */
class Exchange
{
public:
    explicit Exchange(RequestId id)
        : id(id)
    {
    }

    static constexpr std::size_t MAX_BUFFERED_BYTES = 1 << 20;

    /** Whole answer, or the head of a streamed one. @return False if an answer has begun already.
     */
    bool begin(int status, std::string contentType,
               std::vector<std::pair<std::string, std::string>> headers, std::string body,
               bool streamed);

    /** Adds to a streamed answer. @return False if there is no room now or the caller has gone. */
    bool append(std::string_view bytes);

    /** Ends a streamed answer; @p broken: without its end marker, and visibly so. */
    void end(bool broken);

    /** Marks the caller as gone: nothing more is taken in. */
    void close();

    const RequestId id;
    ForwardedRequest forwarded; ///< Set before any other thread knows the exchange.

    absl::Mutex mutex;
    std::function<void()> wake ABSL_GUARDED_BY(mutex); ///< Resumes the caller's connection, once.
    std::function<void()>
        drained ABSL_GUARDED_BY(mutex); ///< Tells the target duty of new room, once.
    bool begun ABSL_GUARDED_BY(mutex) = false;
    bool streamed ABSL_GUARDED_BY(mutex) = false;
    bool ended ABSL_GUARDED_BY(mutex) = false;
    bool broken ABSL_GUARDED_BY(mutex) = false;
    bool closed ABSL_GUARDED_BY(mutex) = false;
    int status ABSL_GUARDED_BY(mutex) = 0;
    std::string contentType ABSL_GUARDED_BY(mutex);
    std::vector<std::pair<std::string, std::string>> headers ABSL_GUARDED_BY(mutex);
    std::string buffer ABSL_GUARDED_BY(mutex); ///< Not yet read by the caller's connection.

private:
    void wakeLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
};

/** Finds exchanges by request, for the duties that know only the id. */
class ExchangeTable
{
public:
    std::shared_ptr<Exchange> add(RequestId id);
    std::shared_ptr<Exchange> find(RequestId id) const;
    void remove(RequestId id);
    std::size_t size() const;

private:
    mutable absl::Mutex mutex;
    std::map<RequestId, std::shared_ptr<Exchange>> exchanges ABSL_GUARDED_BY(mutex);
};

struct Edge;

/** Ends an exchange with a typed refusal, or breaks a stream that has begun. */
void answerRefusal(Exchange &exchange, const RefuseCaller &refusal, const Edge &edge);

} // namespace bilberry
