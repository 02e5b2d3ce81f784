/** @file slot_ramp_type.h How many requests a target bears, learnt from its answers. */
#pragma once

#include "core/ids_type.h"

#include <algorithm>
#include <cstdint>

namespace bilberry {

constexpr int RAMP_START = 2; ///< Requests at once right after a start.
constexpr int RAMP_FLOOR = 1;

/** Slot limit of one start of a target; shared by all hosts. */
struct SlotRamp
{
    StartNumber start;
    int limit = RAMP_START;
    int most = RAMP_START; ///< What the target announced.
    std::int64_t successes = 0; ///< Since the last change of the limit.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotRamp, start, limit, most, successes)

/** @return Ramp of a fresh start. */
inline SlotRamp makeRamp(StartNumber start, int most)
{
    return {start, std::min(RAMP_START, most), most, 0};
}

/** Notes answers: grows by half after as many successes as the limit, halves on overload. */
inline void noteAnswers(SlotRamp &ramp, std::int64_t succeeded, std::int64_t overloaded)
{
    if (overloaded > 0) {
        ramp.limit = std::max(ramp.limit / 2, RAMP_FLOOR);
        ramp.successes = 0;
        return;
    }
    ramp.successes += succeeded;
    while (ramp.limit < ramp.most && ramp.successes >= ramp.limit) {
        ramp.successes -= ramp.limit;
        ramp.limit = std::min(ramp.limit + std::max(ramp.limit / 2, 1), ramp.most);
    }
    ramp.successes = ramp.limit == ramp.most ? 0 : ramp.successes;
}

} // namespace bilberry
