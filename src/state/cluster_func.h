/** @file cluster_func.h Applies commands and reads deltas. */
#pragma once

#include "state/cluster_base.h"

namespace bilberry {

/** Checks @p command whole and applies it; the same on every member. */
CommandOutcome apply(Cluster &cluster, const Command &command);

/** @return Outcome that apply() would give, without any change. */
CommandOutcome dryRun(const Cluster &cluster, const Command &command);

/** @return What a host that knows @p known lacks; full if @p known is 0 or from the future. */
TableDelta tableDeltaSince(const Cluster &cluster, Version known);

/** Brings a host's view from its version to that of @p delta; after a failure it needs a full one.
 */
Result<void> applyDelta(View &view, const TableDelta &delta);

} // namespace bilberry
