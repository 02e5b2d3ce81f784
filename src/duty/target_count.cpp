/** @file target_count.cpp Decides the number of targets of a service in an availability zone. */
#include "duty/target_count_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr int SMOOTHING_START_TIMES = 3; ///< Smoothing time, in start times of a target.
constexpr Duration MIN_SMOOTHING_TIME = 6s;
constexpr int ARRIVAL_START_TIMES = 2; ///< Allowed time until targets serve, in start times.
constexpr Duration ARRIVAL_MARGIN = 2s; ///< For the first heartbeat and its way to the leader.
/** After a longer pause in the observations the times above and below the bounds begin anew. */
constexpr Duration MAX_OBSERVATION_GAP = 2s;

/** Moves @p average towards @p value as far as @p elapsed allows. */
void smooth(double &average, double value, Duration elapsed, Duration over)
{
    average += (value - average) * (1 - std::exp(-toSeconds(elapsed) / toSeconds(over)));
}

void observe(TargetCountState &state, const TargetCountBounds &bounds,
             const TargetCountInput &input, TimePoint now)
{
    if (!state.since) {
        state.since = now;
        state.recentDemand = state.smoothDemand = input.demand;
    } else {
        const Duration elapsed = std::max(now - state.observedAt, Duration::zero());
        if (elapsed > MAX_OBSERVATION_GAP)
            state.aboveSince = state.belowSince = std::nullopt;
        smooth(state.recentDemand, input.demand, elapsed, RECENT_DEMAND_TIME);
        smooth(state.smoothDemand, input.demand, elapsed, smoothingTime(bounds));
    }
    state.observedAt = now;
    state.targets = input.targets;
    if (input.targets > 0)
        state.placesPerTarget = static_cast<double>(input.places) / input.targets;
}

/** @return Targets that there will be soon: after an order for more those that are coming, too,
 * and after an order for fewer only those that stay. */
int expectedTargets(const TargetCountState &state, const TargetCountBounds &bounds, TimePoint now)
{
    const bool arriving = state.orderedAt && now < *state.orderedAt + arrivalTime(bounds);
    return arriving ? *state.ordered : state.targets;
}

/** Updates since when @p holds has been true. @return Whether it has been so for @p time. */
bool hasHeldFor(std::optional<TimePoint> &since, bool holds, Duration time, TimePoint now)
{
    if (!holds)
        since.reset();
    else if (!since)
        since = now;
    return since && now >= *since + time;
}

/** @return Targets that serve @p demand at INTENDED_USE. */
int targetsFor(const TargetCountState &state, double demand)
{
    return static_cast<int>(std::ceil(demand / (state.placesPerTarget * INTENDED_USE)));
}

/**
 * @return Number of targets for the demand that is expected when new targets serve. During a
 * steady rise the smoothed demand lags by the smoothing time, which gives the slope.
 */
int increasedCount(const TargetCountState &state, const TargetCountBounds &bounds, double capacity)
{
    const double slope
        = (state.recentDemand - state.smoothDemand) / toSeconds(smoothingTime(bounds));
    const double expected = state.recentDemand + std::max(slope, 0.0) * bounds.startSeconds;
    int count = std::max(targetsFor(state, expected), *state.ordered + 1);
    if (state.recentDemand >= capacity)
        count = std::max(count, static_cast<int>(std::ceil(*state.ordered * SATURATED_GROWTH)));
    return count;
}

/** @return The number less a tenth, at least less one, but enough for the present demand. */
int reducedCount(const TargetCountState &state)
{
    const int step = std::max(*state.ordered / REDUCTION_DIVISOR, 1);
    const double demand = std::max(state.recentDemand, state.smoothDemand);
    return std::min(std::max(*state.ordered - step, targetsFor(state, demand)), *state.ordered);
}

/** @return Wanted number of targets, not limited to the bounds. */
int wantedCount(TargetCountState &state, const TargetCountBounds &bounds, TimePoint now)
{
    const double capacity = expectedTargets(state, bounds, now) * state.placesPerTarget;
    if (state.placesPerTarget <= 0)
        return *state.ordered;
    const bool above = state.recentDemand > UPPER_USE * capacity;
    const bool below = std::max(state.recentDemand, state.smoothDemand) < LOWER_USE * capacity;
    if (hasHeldFor(state.aboveSince, above, UPPER_USE_TIME, now))
        return increasedCount(state, bounds, capacity);
    if (hasHeldFor(state.belowSince, below, LOWER_USE_TIME, now))
        return reducedCount(state);
    return *state.ordered;
}

} // namespace

Duration smoothingTime(const TargetCountBounds &bounds)
{
    return std::max(fromSeconds(SMOOTHING_START_TIMES * bounds.startSeconds), MIN_SMOOTHING_TIME);
}

Duration arrivalTime(const TargetCountBounds &bounds)
{
    return fromSeconds(ARRIVAL_START_TIMES * bounds.startSeconds) + ARRIVAL_MARGIN;
}

std::optional<int> decideTargetCount(TargetCountState &state, const TargetCountBounds &bounds,
                                     const TargetCountInput &input, TimePoint now)
{
    if (input.held) {
        // Its demand returns with the zone; what was seen meanwhile must not count then.
        state.aboveSince = state.belowSince = std::nullopt;
        state.observedAt = now;
        return std::nullopt;
    }
    observe(state, bounds, input, now);
    if (now < *state.since + smoothingTime(bounds))
        return std::nullopt;
    if (!state.ordered)
        state.ordered = state.targets;
    // Without any target no host reports demand, so that the number would stay at 0.
    const int least = std::max(bounds.least, std::min(bounds.most, 1));
    const int wanted = std::clamp(wantedCount(state, bounds, now), least, bounds.most);
    if (wanted == *state.ordered || wanted == state.refused)
        return std::nullopt;
    return wanted;
}

void recordTargetCountAccepted(TargetCountState &state, int desired, TimePoint now)
{
    state.ordered = desired;
    state.orderedAt = now;
    state.aboveSince = state.belowSince = std::nullopt;
    state.refused.reset();
}

void recordTargetCountRefused(TargetCountState &state, int desired)
{
    state.refused = desired;
    state.aboveSince = state.belowSince = std::nullopt;
}

} // namespace bilberry
