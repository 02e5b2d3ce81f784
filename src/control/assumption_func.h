/** @file assumption_func.h Known changes on targets whose later announcements may not show them. */
#pragma once

#include "control/control_base.h"

namespace bilberry {

/**
 * Longest time from the acceptance of an order until the arrival of an announcement that the target
 * made afterwards.
 */
constexpr Duration ASSUMPTION_LIFETIME = 3s;

/** Adds an assumption; it replaces an earlier one on the same variant and target. */
void addAssumption(Leadership &leadership, VariantAssumption assumption);

/** Removes the assumption on the variant, e.g. before an order changes it. */
void dropAssumption(Leadership &leadership, const TargetId &target, const Variant &variant);

/**
 * Adds assumptions where the latest announcement of the target differs from the inventory @p held
 * that an inspection has shown: the announcement may be older.
 */
void assumeInventory(Leadership &leadership, const TargetId &target, Incarnation start,
                     const std::vector<LoadedVariant> &held, TimePoint now);

/**
 * @return @p announcement changed by all applied assumptions on its target and incarnation. The
 * target may have made the announcement before it accepted the orders.
 */
TargetAnnouncement withAssumptions(const Leadership &leadership, TargetAnnouncement announcement,
                                   TimePoint now);

/** Applies due assumptions to the registry and drops those older than ASSUMPTION_LIFETIME. */
void applyAssumptions(Leadership &leadership, TimePoint now);

} // namespace bilberry
