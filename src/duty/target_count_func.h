/** @file target_count_func.h Decides the number of targets of a service in an availability zone. */
#pragma once

#include "config/config_type.h"
#include "duty/target_count_base.h"

namespace bilberry {

constexpr double UPPER_USE = 0.75; ///< Use of the places above which more targets are ordered.
constexpr double LOWER_USE = 0.4; ///< Use of the places below which fewer targets are ordered.
/** Use for which orders are sized. It lies between the bounds, so that an order ends the need for
 * one and does not create the opposite need. */
constexpr double INTENDED_USE = 0.6;
constexpr Duration UPPER_USE_TIME = 2s; ///< Time above UPPER_USE until an order.
constexpr Duration LOWER_USE_TIME = 20s; ///< Time below LOWER_USE until an order.
constexpr int REDUCTION_DIVISOR = 10; ///< An order for fewer targets takes away a tenth of them.
/** With all places in use some callers are refused and not counted; the number then grows at least
 * by this factor. */
constexpr double SATURATED_GROWTH = 1.25;
/** Reports of hosts come every 250 ms to 1 s, and not at the same time. */
constexpr Duration RECENT_DEMAND_TIME = 1s;

/** @return Time over which the demand is smoothed, and which a leader observes before its first
 * order. */
Duration smoothingTime(const TargetCountBounds &bounds);

/** @return Time after an order in which its targets count as coming; later they count as lost. */
Duration arrivalTime(const TargetCountBounds &bounds);

/**
 * Takes in an observation.
 * @return Number of targets to order; nothing if no order is due. It differs from the last one.
 */
std::optional<int> decideTargetCount(TargetCountState &state, const TargetCountBounds &bounds,
                                     const TargetCountInput &input, TimePoint now);

/** Records that the interface has accepted an order for @p desired targets. */
void recordTargetCountAccepted(TargetCountState &state, int desired, TimePoint now);

/** Records that the interface has refused an order for @p desired targets; the same number is not
 * ordered again. */
void recordTargetCountRefused(TargetCountState &state, int desired);

} // namespace bilberry
