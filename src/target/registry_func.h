/** @file registry_func.h Target registry: applies announcements and computes deltas for hosts. */
#pragma once

#include "target/registry_base.h"

#include <functional>

namespace bilberry {

/** @return Whether @p next may be a later announcement of the same incarnation than @p last. */
bool followsInSequence(const TargetAnnouncement &last, const TargetAnnouncement &next);

/** Effect of an announcement on the registry. */
enum class AnnounceOutcome {
    Unchanged, ///< Counts as a heartbeat only.
    Changed,
    Restarted, ///< A new target or a higher incarnation of a known target.
    Stale, ///< Superseded by a later announcement or the removal of the target; ignored.
};

/** Applies an announcement. A higher incarnation counts as a restart of the target. */
AnnounceOutcome applyAnnouncement(TargetRegistry &registry, const TargetAnnouncement &announcement,
                                  TimePoint now);

/** Gives an entry of the registry a new version, so that hosts get it with their next deltas. */
void markModified(TargetRegistry &registry, TargetEntry &entry);

/** Marks a target as leaving after it announced its shutdown: it gets no new work. */
void markTargetLeaving(TargetRegistry &registry, const TargetId &target);

/** Removes targets without heartbeats for TARGET_HEARTBEAT_TIMEOUT. @return Their ids. */
std::vector<TargetId> removeTimedOutTargets(TargetRegistry &registry, TimePoint now);

/** @return The announcement for a receiver that knows its @c cached. */
TargetAnnouncement withoutCached(const TargetAnnouncement &announcement);

/** @return What a host is told of a target. @p cachedIsKnown: see TargetAnnouncement. */
using DescribeTarget = std::function<std::shared_ptr<const TargetAnnouncement>(
    const TargetEntry &entry, bool cachedIsKnown)>;

/** @return The target as it has announced itself. */
std::shared_ptr<const TargetAnnouncement> describeAsAnnounced(const TargetEntry &entry,
                                                              bool cachedIsKnown);

/** @return Changes since version @p known, or the full state if @p epoch is another epoch. */
RegistryDelta deltaSince(const TargetRegistry &registry, std::uint64_t epoch, Version known,
                         const DescribeTarget &describe = describeAsAnnounced);

} // namespace bilberry
