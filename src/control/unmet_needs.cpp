/** @file unmet_needs.cpp Log and metrics of the replicas that are asked for and not loaded. */
#include "control/control_internal.h"

#include <absl/strings/str_cat.h>

namespace bilberry {

namespace {

constexpr Duration UNMET_LOG_INTERVAL = 1s;
constexpr Duration MIN_LOGGED_WAIT = 2s; ///< A load takes about as long where a copy is at hand.

nlohmann::json describe(const UnmetNeed &need, TimePoint now)
{
    return {{"model", need.variant.model},
            {"adapter", need.variant.adapter},
            {"sinceMs", toMilliseconds(now - need.since)},
            {"reason", need.reason}};
}

} // namespace

void logUnmetNeeds(Leadership &leadership, ControlEffects &effects, TimePoint now)
{
    const UnmetNeeds &unmet = leadership.planner.unmet;
    if (unmet.oldest.empty() || now - unmet.oldest.front().since < MIN_LOGGED_WAIT
        || now < leadership.unmetLoggedAt + UNMET_LOG_INTERVAL)
        return;
    leadership.unmetLoggedAt = now;
    nlohmann::json counts = nlohmann::json::object();
    for (const auto &[reason, count] : unmet.counts)
        counts[nlohmann::json(reason).get<std::string>()] = count;
    nlohmann::json oldest = nlohmann::json::array();
    for (const UnmetNeed &need : unmet.oldest)
        oldest.push_back(describe(need, now));
    effects.logEvents.push_back(
        {"needsUnmet", {{"counts", std::move(counts)}, {"oldest", std::move(oldest)}}});
}

std::string formatPlacementMetrics(const Control &control)
{
    std::string out;
    if (!control.leadership)
        return out;
    for (const auto &[reason, count] : control.leadership->planner.unmet.counts)
        absl::StrAppend(&out, "bilberrybend_unmet_needs{reason=", nlohmann::json(reason).dump(),
                        "} ", count, "\n");
    return out;
}

} // namespace bilberry
