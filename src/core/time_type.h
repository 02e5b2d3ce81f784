/** @file time_type.h Monotonic time as an argument, never read below the duties. */
#pragma once

#include <chrono>
#include <ctime>
#include <nlohmann/json.hpp>

namespace bilberry {

using Duration = std::chrono::microseconds;

/**
 * Clock of one process: monotonic, with no relation to other processes' clocks. It counts the time
 * in which the machine was suspended, so that leases run out meanwhile.
 */
struct MonotonicClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true;

    /** @return Present time; only duties with a thread call this. */
    static time_point now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

using TimePoint = MonotonicClock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""min;

/** Largest rate difference assumed between two hosts' monotonic clocks, in percent. */
constexpr int CLOCK_DRIFT_PERCENT = 1;

/** @return The length after which a lease of @p length, granted elsewhere, has surely run out. */
constexpr Duration withDriftMargin(Duration length)
{
    return length + length * CLOCK_DRIFT_PERCENT / 100;
}

/** @return @p d in seconds. */
constexpr double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/** @return @p d in whole milliseconds, rounded towards zero; for log lines. */
constexpr std::int64_t toMilliseconds(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/** @return @p seconds as a duration, rounded towards zero. */
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace bilberry

namespace nlohmann {

template <> struct adl_serializer<bilberry::Duration>
{
    static void to_json(json &j, const bilberry::Duration &d) { j = d.count(); }
    static void from_json(const json &j, bilberry::Duration &d)
    {
        d = bilberry::Duration(j.get<bilberry::Duration::rep>());
    }
};

template <> struct adl_serializer<bilberry::TimePoint>
{
    static void to_json(json &j, const bilberry::TimePoint &t) { j = t.time_since_epoch().count(); }
    static void from_json(const json &j, bilberry::TimePoint &t)
    {
        t = bilberry::TimePoint(bilberry::Duration(j.get<bilberry::Duration::rep>()));
    }
};

} // namespace nlohmann
