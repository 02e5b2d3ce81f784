/** @file duty_metrics.cpp Metrics of the duties. */
#include "control/control_internal.h"

#include <absl/strings/str_cat.h>

namespace bilberry {

namespace {

void append(std::string &out, const std::string &name, const std::string &labels,
            const nlohmann::json &value)
{
    absl::StrAppend(&out, "bilberrybend_", name, labels, " ", value.dump(), "\n");
}

std::string labelsOf(const nlohmann::json &duty)
{
    return absl::StrCat("{duty=", duty["duty"].dump(), ",service=", duty["service"].dump(),
                        ",zone=", duty["zone"].dump(), ",holder=", duty["holder"].dump(), "}");
}

} // namespace

std::string formatDutyMetrics(const Control &control, TimePoint now)
{
    std::string out;
    for (const nlohmann::json &duty : describeDuties(control, now)) {
        const std::string labels = labelsOf(duty);
        append(out, "duty_fencing_token", labels, duty["fencing"]);
        append(out, "duty_held_seconds", labels, duty["heldMs"].get<std::int64_t>() / 1'000);
    }
    if (!control.duties.reportsUsage)
        return out;
    const nlohmann::json usage = describeUsage(control, now);
    append(out, "usage_windows_fixed_up_to", "", usage["fixedUpTo"]);
    append(out, "usage_windows_unsent", "", usage["unsent"]);
    append(out, "usage_windows_sent_total", "", usage["sent"]);
    append(out, "usage_windows_refused_total", "", usage["refused"]);
    append(out, "usage_late_requests_recorded_total", "", usage["lateRequests"]);
    // Only a leader that knows the true time knows these.
    for (const char *name : {"unfixed", "overdue"}) {
        if (usage.contains(name))
            append(out, absl::StrCat("usage_windows_", name), "", usage[name]);
    }
    return out;
}

} // namespace bilberry
