/** @file time_type.h Monotonic clock and durations. Only code that owns a thread reads the clock;
 * decision code gets the time as an argument, so that it can be replayed. */
#pragma once

#include "core/json_func.h"

#include <chrono>
#include <ctime>

namespace bilberry {

/** Duration in microseconds; serialized as their number. */
using Duration = std::chrono::microseconds;

/**
 * Monotonic clock of the local machine; its values are meaningless on other machines. Includes the
 * time during which the machine was suspended, so that leases expire during a suspend.
 */
struct MonotonicClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true;

    /** @return Current time; only code that owns a thread may call this. */
    static time_point now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

/** Time of day of the local machine; it can jump and differ from other machines' by minutes. */
struct WallClock
{
    /** @return Current Unix time in ms; only code that owns a thread may call this. */
    static std::int64_t unixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    /** @return Current Unix time in seconds; only code that owns a thread may call this. */
    static std::int64_t unixSeconds() { return unixMs() / 1000; }
};

/** Time on the local monotonic clock; serialized in microseconds since the clock's epoch. */
using TimePoint = MonotonicClock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""min;

/** Assumed maximum difference in rate between the monotonic clocks of two hosts, in percent. */
constexpr int CLOCK_DRIFT_PERCENT = 1;

/**
 * @param length Length of a lease, as measured by its holder's clock.
 * @return Duration on the local clock after which the lease has expired at a holder on another
 * host, even if that host's clock runs slower by CLOCK_DRIFT_PERCENT.
 */
constexpr Duration withDriftMargin(Duration length)
{
    return length + length * CLOCK_DRIFT_PERCENT / 100;
}

/** @return @p d in seconds. */
constexpr double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/** @return @p d in whole milliseconds, rounded towards zero. */
constexpr std::int64_t toMilliseconds(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/** @return @p seconds as a duration, rounded towards zero to microseconds. */
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
