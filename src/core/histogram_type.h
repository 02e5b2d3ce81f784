/** @file histogram_type.h Counts of durations by upper bound, for scrapers. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstdint>

namespace bilberry {

/** Upper bounds of the buckets; one more bucket takes what is longer. */
constexpr std::array<Duration, 14> LATENCY_BOUNDS{1ms,   2ms,   5ms, 10ms, 20ms, 50ms, 100ms,
                                                  200ms, 500ms, 1s,  2s,   5s,   10s,  30s};

/** Durations by bucket. */
struct LatencyHistogram
{
    std::array<std::uint64_t, LATENCY_BOUNDS.size() + 1> counts{};
    Duration sum{};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LatencyHistogram, counts, sum)

/** Counts one duration. */
inline void note(LatencyHistogram &histogram, Duration length)
{
    std::size_t bucket = 0;
    while (bucket < LATENCY_BOUNDS.size() && length > LATENCY_BOUNDS[bucket])
        ++bucket;
    ++histogram.counts[bucket];
    histogram.sum += length;
}

} // namespace bilberry
