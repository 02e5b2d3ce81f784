/** @file slot_ramp_type.h Limit of concurrent requests to a target, adapted to its answers. */
#pragma once

#include "core/ids_type.h"

#include <algorithm>
#include <cstdint>

namespace bilberry {

constexpr int RAMP_INITIAL_LIMIT = 2; ///< Initial limit of concurrent requests.
constexpr int RAMP_MIN_LIMIT = 1; ///< Lowest limit of concurrent requests.

/** Limit of concurrent requests to one incarnation of a target; applies to all hosts together. */
struct SlotRamp
{
    Incarnation start;
    int limit = RAMP_INITIAL_LIMIT; ///< Concurrent requests allowed now.
    int most = RAMP_INITIAL_LIMIT; ///< Upper bound of the limit: maxConcurrent as announced by the
                                   ///< target.
    std::int64_t successes = 0; ///< Successful answers since the last change of the limit.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotRamp, start, limit, most, successes)

/** @return Limit state of a target that has just started. @param most Upper bound of the limit. */
inline SlotRamp makeRamp(Incarnation start, int most)
{
    return {start, std::min(RAMP_INITIAL_LIMIT, most), most, 0};
}

/**
 * Adjusts the limit: it grows by half after as many successful answers as the limit, and is halved
 * by an overload answer.
 */
inline void updateRamp(SlotRamp &ramp, std::int64_t succeeded, std::int64_t overloaded)
{
    if (overloaded > 0) {
        ramp.limit = std::max(ramp.limit / 2, RAMP_MIN_LIMIT);
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
