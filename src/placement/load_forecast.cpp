/** @file load_forecast.cpp Forecasts when the models that callers wait for are loaded. */
#include "placement/load_forecast_func.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>

namespace bilberry {

namespace {

/** A list is published anew if an entry moved by more than both of these. */
constexpr Duration MIN_PUBLISHED_CHANGE = 500ms;
constexpr double MIN_PUBLISHED_FRACTION = 0.2;
/** A load that is overdue by some time is expected to take this part of it longer. */
constexpr double OVERDUE_PART = 0.5;
constexpr Duration MIN_LEFT = 250ms; ///< Of a load under way: its announcement is still to come.
/** Assumed time from the end of the last load that has a target until a target has room again. */
constexpr Duration ROOM_WAIT = 10s;

/** Times from now on, the earliest one first. */
using Times = std::priority_queue<Duration, std::vector<Duration>, std::greater<>>;

/** State of the simulation of the store and the targets. */
struct Schedule
{
    ForecastInput input;
    ForecastResult result{};
    Times storeSlots{}; ///< Times at which a load from the store may begin.
    std::size_t storeLoads = 0; ///< Loads from the store that needs have begun.
    std::vector<Duration> busyUntil{}; ///< By target.
};

/** @return Ends of the loads from the store that are under way: they share its parallelism. */
std::vector<Duration> storeEnds(const ForecastInput &input)
{
    std::vector<std::pair<Duration, std::size_t>> works;
    for (std::size_t i = 0; i < input.loads.size(); ++i) {
        if (input.loads[i].fromStore)
            works.emplace_back(input.loads[i].work, i);
    }
    std::sort(works.begin(), works.end());
    std::vector<Duration> ends(input.loads.size());
    double time = 0;
    double done = 0;
    for (std::size_t i = 0; i < works.size(); ++i) {
        const auto running = static_cast<double>(works.size() - i);
        const double speed = std::min(1.0, input.parallelism / running) / input.slowness;
        const double work = toSeconds(works[i].first);
        time += (work - done) / speed;
        done = work;
        ends[works[i].second] = fromSeconds(time);
    }
    return ends;
}

/** Adds the loads under way: they keep their targets busy, and those from the store its slots. */
void addLoads(Schedule &schedule)
{
    const std::vector<Duration> ends = storeEnds(schedule.input);
    std::vector<Duration> slots(static_cast<std::size_t>(schedule.input.parallelism));
    for (std::size_t i = 0; i < schedule.input.loads.size(); ++i) {
        const ForecastLoad &load = schedule.input.loads[i];
        const Duration late = fromSeconds(toSeconds(load.overdue) * OVERDUE_PART);
        const Duration end = std::max({load.fromStore ? ends[i] : load.work, late, MIN_LEFT});
        Duration &busy = schedule.busyUntil[load.target];
        busy = std::max(busy, end);
        if (load.fromStore)
            slots.push_back(end);
        if (load.isFirst)
            schedule.result.loads.push_back({load.variant, end, true});
    }
    // A slot is free for a new load once fewer loads run than the store serves at full speed.
    std::sort(slots.begin(), slots.end());
    const auto kept = static_cast<std::ptrdiff_t>(schedule.input.parallelism);
    for (auto slot = slots.end() - kept; slot != slots.end(); ++slot)
        schedule.storeSlots.push(*slot);
}

bool fits(const ForecastTarget &target, const ForecastNeed &need)
{
    return target.roomMb >= need.memoryMb && target.service == need.service
        && (!need.softwareVersion || *need.softwareVersion == target.softwareVersion);
}

/** @return The target with room for the need that is free first, then with the most room; nothing
 * if none has room. */
std::optional<std::size_t> firstFree(const Schedule &schedule, const ForecastNeed &need)
{
    std::optional<std::size_t> best;
    const auto consider = [&](std::size_t i) {
        const ForecastTarget &target = schedule.input.targets[i];
        if (!fits(target, need))
            return;
        const auto rank = [&](std::size_t t) {
            return std::make_pair(schedule.busyUntil[t], -schedule.input.targets[t].roomMb);
        };
        if (!best || rank(i) < rank(*best))
            best = i;
    };
    if (!need.cachedAt.empty()) {
        for (const std::size_t i : need.cachedAt)
            consider(i);
        return best;
    }
    for (std::size_t i = 0; i < schedule.input.targets.size(); ++i)
        consider(i);
    return best;
}

/** @return Earliest start of the next load from the store under its rate limit. */
Duration rateStart(const Schedule &schedule)
{
    const double missing = static_cast<double>(schedule.storeLoads) + 1 - schedule.input.loadTokens;
    if (schedule.input.loadsPerSecond <= 0 || missing <= 0)
        return Duration::zero();
    return fromSeconds(missing / schedule.input.loadsPerSecond);
}

/** Adds the load of a need on a target. */
void place(Schedule &schedule, const ForecastNeed &need, std::size_t target)
{
    Duration start = std::max(schedule.busyUntil[target], schedule.input.ordersIn);
    Duration work = need.work;
    if (need.cachedAt.empty()) {
        start = std::max({start, schedule.storeSlots.top(), rateStart(schedule)});
        work = fromSeconds(toSeconds(work) * schedule.input.slowness);
        schedule.storeSlots.pop();
        schedule.storeSlots.push(start + work + FORECAST_OVERHEAD);
        ++schedule.storeLoads;
    }
    const Duration end = start + work + FORECAST_OVERHEAD;
    schedule.busyUntil[target] = end;
    schedule.input.targets[target].roomMb -= need.memoryMb;
    schedule.result.loads.push_back({need.variant, end, true});
}

/** Gives the needs without a target a time after all others. */
void addUnplaced(ForecastResult &result, const std::vector<const ForecastNeed *> &unplaced)
{
    if (unplaced.empty())
        return;
    Duration last = Duration::zero();
    for (const ExpectedLoad &load : result.loads)
        last = std::max(last, load.left);
    const Duration roomAt = last + ROOM_WAIT;
    for (const ForecastNeed *need : unplaced)
        result.loads.push_back({need->variant, roomAt + need->work, false});
    result.storeFreeIn = std::max(result.storeFreeIn, roomAt);
}

/** @return The list for hosts: the earliest ends, by time. */
std::vector<PublishedForecast> makeList(const ForecastResult &result, TimePoint now)
{
    std::vector<PublishedForecast> list;
    list.reserve(result.loads.size());
    for (const ExpectedLoad &load : result.loads)
        list.push_back({load.variant, now + load.left});
    std::stable_sort(
        list.begin(), list.end(),
        [](const PublishedForecast &a, const PublishedForecast &b) { return a.at < b.at; });
    return list;
}

bool hasMoved(TimePoint known, TimePoint present, TimePoint now)
{
    const Duration moved = known > present ? known - present : present - known;
    const double left = toSeconds(std::max(known, present) - now);
    return moved > MIN_PUBLISHED_CHANGE && toSeconds(moved) > MIN_PUBLISHED_FRACTION * left;
}

/** @return Whether hosts need @p next instead of the published list. */
bool isChanged(const LoadForecasts &forecasts, const std::vector<PublishedForecast> &next,
               TimePoint unlistedFrom, TimePoint now)
{
    // A time that has passed says the same as the present.
    const auto atLeastNow = [&](TimePoint at) { return std::max(at, now); };
    if (forecasts.version == 0 || next.size() != forecasts.published.size()
        || hasMoved(atLeastNow(forecasts.unlistedFrom), atLeastNow(unlistedFrom), now))
        return true;
    std::map<Variant, TimePoint> known;
    for (const PublishedForecast &item : forecasts.published)
        known[item.variant] = item.at;
    return std::any_of(next.begin(), next.end(), [&](const PublishedForecast &item) {
        const auto before = known.find(item.variant);
        return before == known.end() || hasMoved(atLeastNow(before->second), item.at, now);
    });
}

} // namespace

ForecastResult forecastLoads(ForecastInput input)
{
    input.parallelism = std::max(input.parallelism, 1);
    Schedule schedule{std::move(input)};
    for (const ForecastTarget &target : schedule.input.targets)
        schedule.busyUntil.push_back(target.busyFor);
    addLoads(schedule);
    std::vector<const ForecastNeed *> unplaced;
    for (const ForecastNeed &need : schedule.input.needs) {
        if (const std::optional<std::size_t> target = firstFree(schedule, need))
            place(schedule, need, *target);
        else
            unplaced.push_back(&need);
    }
    schedule.result.storeFreeIn
        = std::max({schedule.storeSlots.top(), rateStart(schedule), schedule.input.ordersIn});
    addUnplaced(schedule.result, unplaced);
    return std::move(schedule.result);
}

void publishForecast(LoadForecasts &forecasts, const ForecastResult &result, TimePoint now)
{
    std::vector<PublishedForecast> list = makeList(result, now);
    TimePoint unlistedFrom = now + result.storeFreeIn;
    // One entry of the list for hosts states the time of the variants that are not in it.
    if (list.size() >= MAX_FORECASTS) {
        unlistedFrom = std::max(unlistedFrom, list[MAX_FORECASTS - 1].at);
        list.resize(MAX_FORECASTS - 1);
    }
    if (!isChanged(forecasts, list, unlistedFrom, now))
        return;
    ++forecasts.version;
    forecasts.published = std::move(list);
    forecasts.unlistedFrom = unlistedFrom;
}

std::vector<LoadForecast> listForecasts(const LoadForecasts &forecasts, TimePoint now)
{
    std::vector<LoadForecast> list;
    list.reserve(forecasts.published.size() + 1);
    for (const PublishedForecast &item : forecasts.published)
        list.push_back({item.variant, std::max<Duration>(item.at - now, Duration::zero())});
    if (forecasts.unlistedFrom > now)
        list.push_back({{}, forecasts.unlistedFrom - now});
    return list;
}

} // namespace bilberry
