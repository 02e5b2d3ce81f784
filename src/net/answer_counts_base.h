/** @file answer_counts_base.h How the answers to callers have ended. */
#pragma once

#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <map>
#include <string>

namespace bilberry {

/** How an answer that had begun has ended for the caller. */
enum class AnswerEnd {
    Delivered, ///< By the HTTP library.
    DeliveredDirectly, ///< By AnswerDelivery.
    BrokenOff, ///< The answer itself was not complete.
    CallerLeft, ///< The caller has closed its connection, or the connection was lost.
    CallerStalled, ///< The caller has read nothing for too long.
    Stopped, ///< The process ends.
    LibraryFailed, ///< The HTTP library has closed the connection by itself.
};

/** @return Name in logs and metrics. */
const char *nameOf(AnswerEnd end);

/** @return Whether the caller has not got an answer that was ready. */
bool isUndelivered(AnswerEnd end);

/** Counters of the answers to callers, by their end. Thread-safe. */
class AnswerCounts
{
public:
    void count(AnswerEnd end);
    std::uint64_t countOf(AnswerEnd end) const;
    /** @return Samples in the Prometheus text format. */
    std::string formatMetrics() const;

private:
    mutable absl::Mutex mutex;
    std::map<AnswerEnd, std::uint64_t> ends ABSL_GUARDED_BY(mutex);
};

} // namespace bilberry
