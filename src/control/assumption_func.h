/** @file assumption_func.h Expected adapter changes on targets that have accepted orders. */
#pragma once

#include "control/control_base.h"

namespace bilberry {

/**
 * Longest time from the acceptance of an order until the arrival of an announcement that the target
 * made afterwards.
 */
constexpr Duration ASSUMPTION_LIFETIME = 3s;

/** Adds an assumption; it replaces an earlier one on the same variant and target. */
void addAssumption(Leadership &leadership, AdapterAssumption assumption);

/**
 * @return @p announcement changed by all applied assumptions on its target and incarnation. The
 * target may have made the announcement before it accepted the orders.
 */
TargetAnnouncement withAssumptions(const Leadership &leadership, TargetAnnouncement announcement,
                                   TimePoint now);

/** Applies due assumptions to the registry and drops those older than ASSUMPTION_LIFETIME. */
void applyAssumptions(Leadership &leadership, TimePoint now);

} // namespace bilberry
