/** @file assumption_func.h What targets are taken to hold before they announce it. */
#pragma once

#include "control/control_base.h"

namespace bilberry {

/** Longest from an accepted order until an announcement made after it has arrived. */
constexpr Duration ASSUMPTION_HOLD = 3s;

/** Notes what an accepted order leads to; takes the place of what was assumed of it before. */
void assume(Leadership &leadership, AdapterAssumption assumption);

/** @return @p announcement with what it cannot tell yet, since it may be older than the orders. */
TargetAnnouncement withAssumptions(const Leadership &leadership, TargetAnnouncement announcement,
                                   TimePoint now);

/** Brings assumptions that are due into the registry, and drops those that are over. */
void applyAssumptions(Leadership &leadership, TimePoint now);

} // namespace bilberry
