/** @file store_pace.cpp Learns how many loads the weight store serves at full speed. */
#include "placement/store_pace_func.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bilberry {

namespace {

/** Time from the end of a load until the leader has its announcement. */
constexpr Duration ANNOUNCEMENT_DELAY = 300ms;
constexpr Duration MAX_ANNOUNCEMENT_DELAY = 1500ms; ///< Targets announce themselves each second.
/** A load counts as one at full speed up to this factor of its expected time. With 4 loads at a
 * store for 3, the factor is 1.33. */
constexpr double FULL_SPEED_TOLERANCE = 1.15;
constexpr double SAMPLE_WEIGHT = 0.5; ///< Of a new sample in the estimate.
/** A load slower than a parallelism of this would explain shows that the store itself is slow. */
constexpr double LEAST_PLAUSIBLE_PARALLELISM = 0.9;
/** From this slowness on, loads at full speed confirm it. Below, a late announcement looks alike.
 */
constexpr double CONFIRMED_SLOWNESS = 1.3;
constexpr Duration ESTIMATE_HALF_LIFE = 240s; ///< Of the distance of the estimate to its limit.
constexpr Duration SLOWNESS_HALF_LIFE = 240s; ///< Of the slowness beyond 1.

double totalOf(const SecondsByConcurrency &seconds)
{
    return std::accumulate(seconds.begin(), seconds.end(), 0.0);
}

/** @return Work done at the given parallelism, in seconds at full speed of a store that is not
 * slow. */
double workDone(const SecondsByConcurrency &seconds, double parallelism)
{
    double work = 0;
    for (std::size_t n = 1; n < seconds.size(); ++n)
        work += seconds[n] * std::min(1.0, parallelism / static_cast<double>(n));
    return work;
}

/** @return Parallelism at which @p work is done in the given time; the highest one considered if
 * any higher one does no less. */
double parallelismFor(const SecondsByConcurrency &seconds, double work)
{
    constexpr int STEPS = 20; // Of a bisection; the error is below a thousandth.
    double low = 0;
    auto high = static_cast<double>(MAX_TRACKED_STORE_LOADS);
    for (int i = 0; i < STEPS; ++i) {
        const double middle = (low + high) / 2;
        (workDone(seconds, middle) < work ? low : high) = middle;
    }
    return high;
}

double meanConcurrency(const SecondsByConcurrency &seconds)
{
    double sum = 0;
    for (std::size_t n = 1; n < seconds.size(); ++n)
        sum += static_cast<double>(n) * seconds[n];
    return sum / totalOf(seconds);
}

std::size_t levelOf(std::size_t concurrency)
{
    return std::clamp<std::size_t>(concurrency, 1, MAX_TRACKED_STORE_LOADS);
}

/** Counts the time since the last call for all loads under way. */
void advance(StorePace &pace, TimePoint now)
{
    const double elapsed = std::max(toSeconds(now - pace.advancedAt), 0.0);
    pace.advancedAt = std::max(pace.advancedAt, now);
    const std::size_t level = levelOf(pace.loads.size());
    for (auto &[id, load] : pace.loads)
        load.seconds[level] += elapsed;
}

/** @return Work left in seconds at full speed; negative for a load that is overdue. */
double signedWorkLeft(const StorePace &pace, const StoreLoad &load, int most, TimePoint now)
{
    SecondsByConcurrency seconds = load.seconds;
    seconds[levelOf(pace.loads.size())] += std::max(toSeconds(now - pace.advancedAt), 0.0);
    const double done = workDone(seconds, storeParallelism(pace, most)) / pace.slowness;
    return toSeconds(load.expected) - done;
}

/** Updates estimate and slowness from the course of a finished load. */
void learn(StorePace &pace, const StoreLoad &load, int most)
{
    SecondsByConcurrency seconds = load.seconds;
    const double total = totalOf(seconds);
    const double expected = toSeconds(load.expected);
    const double spent = std::max(total - toSeconds(ANNOUNCEMENT_DELAY), 0.0);
    if (spent <= 0)
        return;
    for (double &part : seconds)
        part *= spent / total;
    ++pace.samples;
    // A slow store slows every load: the fastest one bounds the slowness.
    pace.slowness = std::min(pace.slowness, std::max(spent / expected, 1.0));
    const double present = pace.estimate.value_or(most);
    if (spent <= expected * pace.slowness * FULL_SPEED_TOLERANCE) {
        if (pace.slowness > CONFIRMED_SLOWNESS)
            pace.slowness = std::max(spent / expected, 1.0);
        const double sustained = meanConcurrency(seconds);
        if (sustained > present)
            pace.estimate = present + SAMPLE_WEIGHT * (sustained - present);
        return;
    }
    ++pace.slowSamples;
    const double found = parallelismFor(seconds, expected * pace.slowness);
    if (found < LEAST_PLAUSIBLE_PARALLELISM) {
        // Earlier samples of this spell have been taken for a low parallelism: it is learnt anew.
        pace.slowness = workDone(seconds, 1) / expected;
        pace.estimate.reset();
        return;
    }
    pace.estimate = present + SAMPLE_WEIGHT * (found - present);
}

} // namespace

int storeParallelism(const StorePace &pace, int most)
{
    const double estimate = pace.estimate.value_or(most);
    return std::clamp(static_cast<int>(std::lround(estimate)), 1, std::max(most, 1));
}

void beginStoreLoad(StorePace &pace, const std::string &id, Duration expected, TimePoint startedAt,
                    bool measured, TimePoint now)
{
    advance(pace, now);
    const auto [it, added] = pace.loads.try_emplace(id);
    if (!added)
        return;
    it->second.expected = expected;
    it->second.measured = measured;
    const double before = std::max(toSeconds(now - startedAt), 0.0);
    it->second.seconds[levelOf(pace.loads.size())] += before;
}

void finishStoreLoad(StorePace &pace, const std::string &id, int most, TimePoint now)
{
    advance(pace, now);
    const auto it = pace.loads.find(id);
    if (it == pace.loads.end())
        return;
    const StoreLoad load = it->second;
    pace.loads.erase(it);
    if (load.measured && load.expected > Duration::zero())
        learn(pace, load, most);
    if (pace.estimate)
        pace.estimate = std::clamp(*pace.estimate, 1.0, static_cast<double>(std::max(most, 1)));
}

void dropStoreLoad(StorePace &pace, const std::string &id, TimePoint now)
{
    advance(pace, now);
    pace.loads.erase(id);
}

void decayStorePace(StorePace &pace, int most, TimePoint now)
{
    const double elapsed = std::max(toSeconds(now - pace.decayedAt), 0.0);
    const bool isFirst = pace.decayedAt == TimePoint{};
    pace.decayedAt = now;
    if (isFirst)
        return;
    const auto halving
        = [&](Duration halfLife) { return std::exp2(-elapsed / toSeconds(halfLife)); };
    pace.slowness = 1 + (pace.slowness - 1) * halving(SLOWNESS_HALF_LIFE);
    if (pace.estimate)
        pace.estimate = most - (most - *pace.estimate) * halving(ESTIMATE_HALF_LIFE);
}

Duration workLeft(const StorePace &pace, const StoreLoad &load, int most, TimePoint now)
{
    return fromSeconds(std::max(signedWorkLeft(pace, load, most, now), 0.0));
}

int countEndingLoads(const StorePace &pace, int most, TimePoint now)
{
    const auto count = std::count_if(pace.loads.begin(), pace.loads.end(), [&](const auto &item) {
        const double left = signedWorkLeft(pace, item.second, most, now);
        return item.second.expected > Duration::zero() && left <= 0
            && -left * pace.slowness <= toSeconds(MAX_ANNOUNCEMENT_DELAY);
    });
    return static_cast<int>(count);
}

Duration ageOf(const StorePace &pace, const StoreLoad &load, TimePoint now)
{
    return fromSeconds(totalOf(load.seconds) + std::max(toSeconds(now - pace.advancedAt), 0.0));
}

} // namespace bilberry
