/** @file target_count_base.h State of the decision on the number of targets of a service. */
#pragma once

#include "core/codec_func.h"
#include "core/time_type.h"

#include <optional>

namespace bilberry {

/** What the leader sees of the targets of one service in one availability zone. */
struct TargetCountInput
{
    int targets = 0; ///< Targets that serve; leaving ones do not count.
    std::int64_t places = 0; ///< Requests that these targets can run concurrently.
    double demand = 0; ///< Requests that run or wait there, and refused ones that come back.
    bool held = false; ///< The zone is out of service: its demand says nothing.
};

/** What one leader knows of the targets of one service in one availability zone. Soft state. */
struct TargetCountState
{
    std::optional<TimePoint> since; ///< Time of the first observation.
    TimePoint observedAt; ///< Time of the latest observation.
    double recentDemand = 0; ///< Demand, smoothed over RECENT_DEMAND_TIME.
    double smoothDemand = 0; ///< Demand, smoothed over smoothingTime().
    int targets = 0; ///< Targets at the latest observation.
    double placesPerTarget = 0; ///< As of the latest observation with targets; 0: unknown.
    std::optional<TimePoint> aboveSince; ///< Since when the use asks for more targets.
    std::optional<TimePoint> belowSince; ///< Since when the use asks for fewer targets.
    /** Number in the last accepted order of this leader, before that the number that it has seen;
     * empty until the smoothing time is over. */
    std::optional<int> ordered;
    std::optional<TimePoint> orderedAt; ///< Time at which the last order was accepted.
    std::optional<int> refused; ///< Number in an order that the interface has refused.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetCountState, since, observedAt, recentDemand,
                                                smoothDemand, targets, placesPerTarget, aboveSince,
                                                belowSince, ordered, orderedAt, refused)

} // namespace bilberry
