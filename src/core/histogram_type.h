/** @file histogram_type.h Latency histogram with fixed buckets, for the metrics. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstdint>

namespace bilberry {

/** Inclusive upper bounds of the buckets; a last bucket counts all longer durations. */
constexpr std::array<Duration, 14> LATENCY_BUCKET_BOUNDS{1ms,   2ms,   5ms, 10ms, 20ms, 50ms, 100ms,
                                                         200ms, 500ms, 1s,  2s,   5s,   10s,  30s};

/** Number of measured durations in each bucket, and their sum. */
struct LatencyHistogram
{
    std::array<std::uint64_t, LATENCY_BUCKET_BOUNDS.size() + 1>
        counts{}; ///< Per bucket, not cumulative; the last one has no upper bound.
    Duration sum{}; ///< Sum of all counted durations.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LatencyHistogram, counts, sum)

/** Adds one measured duration to @p histogram. */
inline void recordDuration(LatencyHistogram &histogram, Duration duration)
{
    std::size_t bucket = 0;
    while (bucket < LATENCY_BUCKET_BOUNDS.size() && duration > LATENCY_BUCKET_BOUNDS[bucket])
        ++bucket;
    ++histogram.counts[bucket];
    histogram.sum += duration;
}

} // namespace bilberry
