/** @file answer_delivery_base.h Answers that are written to a caller's socket without the HTTP
 * library. */
#pragma once

#include "net/exchange_base.h"

#include <absl/synchronization/mutex.h>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bilberry {

class AnswerCounts;

/** How the end of an answer's body is marked. */
enum class BodyFraming {
    None, ///< The answer has no body.
    Length,
    Chunks,
    Close, ///< By the end of the connection.
};

/** @return Framing of an answer.
 * @param method, version Of the request. */
BodyFraming framingOf(std::string_view method, std::string_view version, int status, bool streamed);

/** @return Head of the last answer on a connection.
 * @param bodyBytes Used with BodyFraming::Length. */
std::string encodeClosingHead(int status, std::string_view contentType, const HeaderList &headers,
                              BodyFraming framing, std::size_t bodyBytes);

/** Answer that has begun, and the connection that it is written to. */
struct DirectAnswer
{
    std::shared_ptr<Exchange> exchange;
    int socket = -1; ///< Stays open until onEnd is called.
    BodyFraming framing = BodyFraming::Length;
    /** Called once, on any thread, when nothing more is written. */
    std::function<void()> onEnd;
};

/**
 * Writes answers whose heads do not fit into the memory that the HTTP library has for a connection.
 * Each answer is the last one on its connection. The thread starts with the first answer.
 * Thread-safe.
 */
class AnswerDelivery
{
public:
    /** @param counts Counts how the answers end. */
    explicit AnswerDelivery(std::shared_ptr<AnswerCounts> counts);
    ~AnswerDelivery();
    AnswerDelivery(const AnswerDelivery &) = delete;
    AnswerDelivery &operator=(const AnswerDelivery &) = delete;

    /** Begins to write an answer; after stop(), ends it at once. */
    void add(DirectAnswer answer);

    /** Breaks off the answers that are being written. */
    void stop();

private:
    struct Wakeup;
    struct Delivery;

    void run();
    std::vector<std::unique_ptr<Delivery>> takeAdded();
    void wait(const std::vector<std::unique_ptr<Delivery>> &deliveries);

    const std::shared_ptr<AnswerCounts> counts;
    const std::shared_ptr<Wakeup> wakeup;
    absl::Mutex mutex;
    std::deque<DirectAnswer> added ABSL_GUARDED_BY(mutex);
    bool stopped ABSL_GUARDED_BY(mutex) = false;
    std::thread thread ABSL_GUARDED_BY(mutex);
};

} // namespace bilberry
