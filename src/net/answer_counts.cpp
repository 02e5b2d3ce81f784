/** @file answer_counts.cpp How the answers to callers have ended. */
#include "net/answer_counts_base.h"

#include <absl/strings/str_cat.h>

namespace bilberry {

const char *nameOf(AnswerEnd end)
{
    switch (end) {
    case AnswerEnd::Delivered:
        return "delivered";
    case AnswerEnd::DeliveredDirectly:
        return "delivered_directly";
    case AnswerEnd::BrokenOff:
        return "broken_off";
    case AnswerEnd::CallerLeft:
        return "caller_left";
    case AnswerEnd::CallerStalled:
        return "caller_stalled";
    case AnswerEnd::Stopped:
        return "stopped";
    case AnswerEnd::LibraryFailed:
        return "library_failed";
    }
    return "";
}

bool isUndelivered(AnswerEnd end)
{
    return end == AnswerEnd::CallerStalled || end == AnswerEnd::LibraryFailed;
}

void AnswerCounts::count(AnswerEnd end)
{
    absl::MutexLock lock(&this->mutex);
    ++this->ends[end];
}

std::uint64_t AnswerCounts::countOf(AnswerEnd end) const
{
    absl::MutexLock lock(&this->mutex);
    const auto found = this->ends.find(end);
    return found == this->ends.end() ? 0 : found->second;
}

std::string AnswerCounts::formatMetrics() const
{
    absl::MutexLock lock(&this->mutex);
    std::string out = "# TYPE bilberrybend_caller_answers_total counter\n";
    for (const auto &[end, number] : this->ends)
        absl::StrAppend(&out, "bilberrybend_caller_answers_total{end=\"", nameOf(end), "\"} ",
                        number, "\n");
    return out;
}

} // namespace bilberry
