/** @file control_func.h Event handling of a control member; the caller carries out the effects. */
#pragma once

#include "consensus/replica_func.h"
#include "control/control_base.h"

namespace bilberry {

/**
 * @param self Member id stored in the data folder.
 * @param durable Content of the data folder.
 * @param seed Seed of the election timeouts.
 * @return A member restored from its data folder, or Errc::JournalCorrupt if the snapshot cannot be
 *         decoded.
 */
Result<Control> makeControl(const MemberId &self, DurableState durable, std::uint64_t seed,
                            TimePoint now);

/** Handles one event. @return Actions that the caller must carry out. */
ControlEffects step(Control &control, const ControlEvent &event, TimePoint now);

/** @return Status summary and whole replicated state as JSON, on the leader also account pools. */
nlohmann::json dump(const Control &control, TimePoint now);

/** @return Holders of the duties and state of the usage windows, as lines for /metrics; empty
 * without duties. */
std::string formatDutyMetrics(const Control &control, TimePoint now);

/** @return Number of first replicas that the latest placement pass has not ordered, by reason, as
 * lines for /metrics; empty on a member that does not lead. */
std::string formatPlacementMetrics(const Control &control);

/**
 * @return Lowest table version in force on any host with a valid lease, or the cluster's version if
 *         there is no such host; 0 on a member that does not lead and while leases of an earlier
 *         leader may be valid.
 */
Version inForce(const Control &control, TimePoint now);

} // namespace bilberry
