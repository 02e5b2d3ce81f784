/** @file urgency_func.h Place of a request by rank and time left. */
#pragma once

#include "queue/urgency_type.h"
#include "state/view_base.h"

#include <cstddef>
#include <optional>

namespace bilberry {

constexpr int LEAST_URGENT = 9; ///< Highest urgency value that engines are told; 0 is served first.

/**
 * @return Latest useful times of a dispatch.
 * @param goalAt Time of the objective; epoch: the request has none but its deadline.
 * @param lastStart Latest dispatch that meets the deadline.
 * @param untilGoal Expected time from the dispatch until the objective is met.
 */
StartLimits makeStartLimits(TimePoint goalAt, TimePoint lastStart, Duration untilGoal);

Standing standingOf(const StartLimits &limits, TimePoint now);

Place placeOf(int rank, const StartLimits &limits, TimePoint now);

/**
 * @return Urgency for an engine, 0 (first) to LEAST_URGENT. The rank decides, as an engine also
 * chooses by it which running request it preempts; the time left distinguishes requests of a rank.
 * @param ranks Number of ranks of the service.
 */
int engineUrgency(int rank, std::size_t ranks, const StartLimits &limits, TimePoint now);

/**
 * @return Least share of each rank behind the first one, as a fraction of its part in the competing
 * requests. @param lowest Competing requests of the lowest rank. @param all Those of all ranks.
 */
double leastPart(double lowest, double all);

/** @param account Priority of the account; empty: it has none of its own. */
Priority makePriority(std::optional<int> account, int route);

/** @return Ranks of the requests that routes and accounts lead to each service; service "" stands
 * for models that belong to no service. */
RankTable makeRankTable(const ClusterView &view);

} // namespace bilberry
