/** @file cluster_base.h The replicated state machine. */
#pragma once

#include "state/command_type.h"
#include "state/view_base.h"

#include <deque>

namespace bilberry {

constexpr std::size_t MAX_REMEMBERED_CHANGES = 4'096; ///< Operators' changes kept for resends.

/** An operator's change that was decided. */
struct DecidedChange
{
    std::string changeId;
    Digest content;
    CommandOutcome outcome;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DecidedChange, changeId, content, outcome)

/** State that all control members hold alike; changed only by apply(). */
struct Cluster
{
    Version version; ///< Grows by one with each change of a record.
    Version configVersion; ///< Table version of the last accepted folder.
    Duration clock{}; ///< Cluster time: grows while there is a leader.
    View view;
    FolderConfig folder; ///< Last accepted folder.
    Version number; ///< Operator's number of the last whole replacement; 0: none.
    std::string document; ///< Operator's text of that replacement.
    std::map<RecordKey, Version> modified; ///< Also of removed records.
    CallTable calls;
    std::deque<DecidedChange> changes; ///< Oldest first.
    FencingNumber lastFencing; ///< Highest number given out.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Cluster, version, configVersion, clock, view,
                                                folder, number, document, modified, calls, changes,
                                                lastFencing)

/** Records changed since a version. */
struct TableDelta
{
    Version version; ///< Version that the delta leads to.
    bool full = false; ///< Whether records that are not named are gone.
    std::vector<Record> records;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TableDelta, version, full, records)

} // namespace bilberry
