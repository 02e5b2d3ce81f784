/** @file change_func.h Which record a change concerns, and the version that orders its changes. */
#pragma once

#include "state/cluster_base.h"

namespace bilberry {

inline RecordKey recordOf(const GrantKey &change)
{
    return {RecordKind::Key, change.key.id.value};
}

inline RecordKey recordOf(const WithdrawKey &change)
{
    return {RecordKind::Key, change.key.value};
}

inline RecordKey recordOf(const SetZone &change)
{
    return {RecordKind::Zone, change.zone.id.value};
}

inline RecordKey recordOf(const SetTargetLeaving &change)
{
    return {RecordKind::Target, change.target.value};
}

/** A change of one record that says neither a version of its own nor what it is based on. */
template <class Body>
concept ChangesRecord = requires(const Body &change)
{
    recordOf(change);
};

/**
 * @return Version of the last change of the record, also of one that left its content as it was; 0
 *         if there was none.
 */
Version changeVersion(const Cluster &cluster, const RecordKey &key);

} // namespace bilberry
