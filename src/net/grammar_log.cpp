/** @file grammar_log.cpp Log lines and counters of messages that are not well formed. */
#include "net/grammar_log_func.h"

#include "core/log_func.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <map>

namespace bilberry {

namespace {

/** Bound of the lines in one second: a single client can send thousands of malformed messages. */
constexpr std::int64_t MAX_LINES_PER_SECOND = 20;

/** Counters of this process. */
struct GrammarFaults
{
    absl::Mutex mutex;
    std::map<std::string, std::int64_t> byRule ABSL_GUARDED_BY(mutex);
    std::int64_t second ABSL_GUARDED_BY(mutex) = 0; ///< Unix time that linesInSecond refers to.
    std::int64_t linesInSecond ABSL_GUARDED_BY(mutex) = 0;
    std::int64_t notLogged ABSL_GUARDED_BY(mutex) = 0; ///< Since the last line.
};

GrammarFaults &faults()
{
    static GrammarFaults all;
    return all;
}

/** Counts a line. @return Number of messages left out before it; nothing: it is left out itself. */
std::optional<std::int64_t> countLine(GrammarFaults &all, std::int64_t unixSeconds)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(all.mutex)
{
    if (all.second != unixSeconds) {
        all.second = unixSeconds;
        all.linesInSecond = 0;
    }
    if (++all.linesInSecond > MAX_LINES_PER_SECOND) {
        ++all.notLogged;
        return std::nullopt;
    }
    return std::exchange(all.notLogged, 0);
}

} // namespace

void recordGrammarFault(const std::string &event, const GrammarFault &fault, nlohmann::json fields,
                        std::int64_t unixSeconds)
{
    const nlohmann::json rule = fault.rule;
    std::optional<std::int64_t> notLogged;
    {
        GrammarFaults &all = faults();
        absl::MutexLock lock(&all.mutex);
        ++all.byRule[rule.get<std::string>()];
        notLogged = countLine(all, unixSeconds);
    }
    if (!notLogged)
        return;
    fields["rule"] = rule;
    fields["field"] = fault.field;
    if (*notLogged > 0)
        fields["notLogged"] = *notLogged;
    logEvent(event, fields);
}

std::string formatGrammarFaults()
{
    GrammarFaults &all = faults();
    absl::MutexLock lock(&all.mutex);
    std::string out = "# TYPE bilberrybend_malformed_messages_total counter\n";
    for (const auto &[rule, count] : all.byRule)
        absl::StrAppend(&out, "bilberrybend_malformed_messages_total{rule=\"", rule, "\"} ", count,
                        "\n");
    return out;
}

} // namespace bilberry
