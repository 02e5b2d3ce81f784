/** @file cluster_base.h State of the replicated state machine. */
#pragma once

#include "state/command_type.h"
#include "state/view_base.h"

#include <deque>

namespace bilberry {

constexpr std::size_t MAX_RECORDED_CHANGES
    = 4'096; ///< Operators' changes kept, so that resends get the same outcome.

/** Time for which the shutdown of an incarnation is kept; heartbeats that it sent before arrive
 * earlier. */
constexpr Duration TARGET_SHUTDOWN_RETENTION = 60s;

/** An operator's change and its outcome, kept so that a resend gets the same outcome. */
struct RecordedChange
{
    std::string changeId; ///< Idempotency key chosen by the operator's tool.
    Digest content; ///< Digest of the encoded command.
    CommandOutcome outcome;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordedChange, changeId, content, outcome)

/** State that is identical on all control members. Only apply() changes it. */
struct Cluster
{
    Version version; ///< Table version; incremented by each change of a record.
    Version configVersion; ///< Table version at the last replacement of the configuration.
    Duration clock{}; ///< Cluster time; advances only while there is a leader.
    ClusterView view; ///< Current records of all tables.
    FolderConfig folder; ///< Last accepted configuration.
    Version number; ///< Number of the last applied ReplaceConfig; 0: none.
    std::string document; ///< Text of the last applied ReplaceConfig, as the operator sent it.
    /** Version of the last change of a record that hosts get; not serialized, see
     * decodeCluster(). */
    Version hostsVersion;
    std::map<RecordKey, Version>
        modified; ///< Version of the last change of each record, removed ones included.
    CallTable calls; ///< Records of calls that must not run twice.
    StreamTable streams; ///< Records of streams that may be taken up again.
    std::deque<RecordedChange> changes; ///< Latest operator changes, oldest first.
    FencingToken lastFencing; ///< Highest fencing token issued.
    bool lendsWithinLimits = false; ///< Whether leaders keep to the limits; the first ones did not.
    std::map<AccountId, AccountLending> accountLending; ///< Without entry: no limit is recorded.
    std::map<TargetId, SlotLending> slotLending; ///< Without entry: no limit is recorded.
    std::map<DutyKey, DutyGrant> duties; ///< Latest grant of each duty.
    UsageWindows usage;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Cluster, version, configVersion, clock, view,
                                                folder, number, document, modified, calls, changes,
                                                lastFencing, streams, lendsWithinLimits,
                                                accountLending, slotLending, duties, usage)

/** Records that changed since a version. */
struct TableDelta
{
    Version version; ///< Version that the delta leads to.
    bool full = false; ///< Whether the delta has all records, so that any others are removed.
    std::vector<Record> records; ///< New content; null body for a removed record.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TableDelta, version, full, records)

/** A partial delta with at least this many records is made and encoded once for several hosts. */
constexpr std::size_t MIN_SHARED_RECORDS = 100;

} // namespace bilberry
