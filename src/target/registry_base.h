/** @file registry_base.h The leader's soft state about targets, with versions for deltas. */
#pragma once

#include "target/target_type.h"

#include <map>
#include <memory>
#include <vector>

namespace bilberry {

/** A target without heartbeats for this long is removed from the registry. */
constexpr Duration TARGET_HEARTBEAT_TIMEOUT = 3s;

/** Registry entry of a target. */
struct TargetEntry
{
    TargetAnnouncement announcement; ///< Latest announcement.
    TimePoint heard; ///< Time of the last heartbeat, by the leader's clock.
    bool failing = false; ///< Fails often; hosts receive this flag in the announcement.
    std::optional<double> requestRate; ///< TargetAnnouncement::requestRate for hosts.
    bool left = false; ///< The target has announced its shutdown; late announcements may follow.
    Version modified; ///< Registry version of the last change of this entry; see markModified().
    Version cachedModified; ///< Registry version of the last change of announcement.cached.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetEntry, announcement, heard, failing,
                                                requestRate, left, modified, cachedModified)

/** A removed target; kept so that its late announcements are ignored. */
struct EndedTarget
{
    Incarnation start; ///< Last known incarnation of the target.
    std::uint64_t sequence = 0; ///< Sequence number of the last announcement.
    bool left = false; ///< The target had announced its shutdown.
    TimePoint endedAt;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndedTarget, start, sequence, left, endedAt)

/** Announcements of an ended target arrive at most this late. It also ends the harm of an
 * announcement in the target's name with an incarnation or a sequence number that it never had. */
constexpr Duration ENDED_TARGET_RETENTION = 30s;
/** A higher step from one announcement of an incarnation to the next is not the target's. */
constexpr std::uint64_t MAX_SEQUENCE_STEP = 100'000;

constexpr std::size_t MAX_ENDED_TARGETS = 1'000; ///< Bounds TargetRegistry::ended.

/** All known targets; soft state that each leader rebuilds from host reports. */
struct TargetRegistry
{
    std::uint64_t epoch = 0; ///< Term of the leader that built the registry.
    Version version; ///< Incremented by each change of the registry.
    std::map<TargetId, TargetEntry> targets;
    std::map<Version, TargetId> byModified; ///< Index of @c targets by TargetEntry::modified.
    std::map<TargetId, EndedTarget> ended; ///< Removed targets with their last announcement.
    std::map<TargetId, Version> removed; ///< Registry version of the removal, for deltas.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetRegistry, epoch, version, targets, byModified,
                                                ended, removed)

/** Changes of a registry between two of its versions. */
struct RegistryDelta
{
    std::uint64_t epoch = 0; ///< TargetRegistry::epoch.
    bool full = false; ///< The delta is the complete state: targets missing in it no longer exist.
    Version version; ///< Registry version after these changes.
    /** New and changed targets. Hosts that lack the same change share one object. */
    std::vector<std::shared_ptr<const TargetAnnouncement>> changed;
    std::vector<TargetId> removed; ///< Empty if full.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RegistryDelta, epoch, full, version, changed,
                                                removed)

} // namespace bilberry
