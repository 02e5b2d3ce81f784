/** @file cluster_func.h Applies commands to the replicated state machine and reads table deltas. */
#pragma once

#include "state/cluster_base.h"

namespace bilberry {

/**
 * Applies a command; deterministic, so every member gets the same state and outcome.
 * @return Outcome; a command that fails changes no record.
 */
CommandOutcome apply(Cluster &cluster, const Command &command);

/** @return Outcome that apply() would give; @p cluster is not changed. */
CommandOutcome dryRun(const Cluster &cluster, const Command &command);

/** @return The state machine from a snapshot, or an error if @p state does not encode one. */
Result<Cluster> decodeCluster(std::string_view state);

/**
 * @param known Table version of a host.
 * @return Records changed since @p known; all records if @p known is 0 or newer than the cluster's.
 */
TableDelta tableDeltaSince(const Cluster &cluster, Version known);

/**
 * Applies a delta to a host's view.
 * @return Errc::Malformed if a record does not fit its table; the view is then partly updated and
 *         needs a full delta.
 */
Result<void> applyDelta(ClusterView &view, const TableDelta &delta);

} // namespace bilberry
