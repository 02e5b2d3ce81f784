/** @file registry_base.h The leader's soft state about targets, with versions for deltas. */
#pragma once

#include "target/target_type.h"

#include <map>
#include <vector>

namespace bilberry {

constexpr Duration TARGET_SILENCE = 3s; ///< A target not heard of for this long is taken out.

/** One known target. */
struct TargetEntry
{
    TargetAnnouncement announcement;
    TimePoint heard;
    bool failing = false; ///< Told to hosts with the announcement.
    bool left = false; ///< Said that it ends; what it announced before may still arrive.
    Version modified; ///< Registry version of its latest change.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetEntry, announcement, heard, failing, left,
                                                modified)

/** A target that fell silent; what it had said before may still arrive. */
struct EndedTarget
{
    StartNumber start;
    std::uint64_t sequence = 0; ///< Of its last announcement.
    bool left = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EndedTarget, start, sequence, left)

constexpr std::size_t MAX_ENDED_TARGETS = 1'000;

/** All known targets; soft state that is rebuilt from reports under each leader. */
struct TargetRegistry
{
    std::uint64_t epoch = 0; ///< Term of the leader that built it.
    Version version;
    std::map<TargetId, TargetEntry> targets;
    std::map<TargetId, EndedTarget> ended;
    std::map<TargetId, Version> removed; ///< With the version of the removal.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetRegistry, epoch, version, targets, ended,
                                                removed)

/** Changes of a registry between two versions. */
struct RegistryDelta
{
    std::uint64_t epoch = 0;
    bool full = false; ///< Whether targets that are not named are gone.
    Version version;
    std::vector<TargetAnnouncement> changed;
    std::vector<TargetId> removed;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RegistryDelta, epoch, full, version, changed,
                                                removed)

} // namespace bilberry
