/** @file control_func.h Decisions of a control member: one event in, effects out. */
#pragma once

#include "consensus/replica_func.h"
#include "control/control_base.h"

namespace bilberry {

/** @return A member as it starts from its data folder, or Errc::JournalCorrupt. */
Result<Control> makeControl(const MemberId &self, DurableState durable, std::uint64_t seed,
                            TimePoint now);

/** Handles one event. */
ControlEffects step(Control &control, const ControlEvent &event, TimePoint now);

/** @return Whole state as JSON. */
nlohmann::json dump(const Control &control, TimePoint now);

/** @return Table version that is in force on every host that may still serve; 0 if unknown. */
Version inForce(const Control &control, TimePoint now);

} // namespace bilberry
