/** @file true_time.cpp True time from the clocks of many machines, some of which are wrong. */
#include "duty/true_time_func.h"

#include <algorithm>

namespace bilberry {

std::optional<Duration> estimateClockOffset(std::vector<Duration> offsets, Duration since)
{
    const bool enough = offsets.size() >= MIN_CLOCKS && since >= CLOCK_COLLECTION_TIME;
    const bool complete = !offsets.empty() && since >= MAX_CLOCK_COLLECTION_TIME;
    if (!enough && !complete)
        return std::nullopt;
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    return *middle;
}

} // namespace bilberry
