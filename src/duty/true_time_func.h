/** @file true_time_func.h True time from the clocks of many machines, some of which are wrong. */
#pragma once

#include "core/time_type.h"

#include <optional>
#include <vector>

namespace bilberry {

/** Hosts whose clocks a leader needs at least, unless there are fewer. */
constexpr std::size_t MIN_CLOCKS = 5;
/** By then, each host has reported to a new leader. The first five reports alone may come from
 * machines of which most have a wrong clock; among all machines they are a minority. */
constexpr Duration CLOCK_COLLECTION_TIME = 600ms;
constexpr Duration MAX_CLOCK_COLLECTION_TIME = 1s; ///< Then the known hosts are all there are.

/**
 * @param offsets Time of day of each live host minus the leader's time.
 * @param since Time for which the leader has been collecting them.
 * @return Their median, which a minority of wrong clocks moves little; nothing if they are too few.
 */
std::optional<Duration> estimateClockOffset(std::vector<Duration> offsets, Duration since);

} // namespace bilberry
