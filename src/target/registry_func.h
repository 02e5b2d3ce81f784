/** @file registry_func.h Rules of the target registry. */
#pragma once

#include "target/registry_base.h"

namespace bilberry {

/** Effect of an announcement. */
enum class AnnounceOutcome {
    Unchanged,
    Changed,
    Restarted, ///< New, or known under an older start number.
    Stale, ///< From an older start than the known one; ignored.
};

/** Notes an announcement. A higher start number makes the target a new one. */
AnnounceOutcome announce(TargetRegistry &registry, const TargetAnnouncement &announcement,
                         TimePoint now);

/** Notes that a target ends: it gets no new work. */
void noteLeft(TargetRegistry &registry, const TargetId &target);

/** Removes targets that were silent for TARGET_SILENCE. @return The removed ones. */
std::vector<TargetId> dropSilent(TargetRegistry &registry, TimePoint now);

/** @return Changes since @p known; full if @p epoch is another one. */
RegistryDelta deltaSince(const TargetRegistry &registry, std::uint64_t epoch, Version known);

} // namespace bilberry
