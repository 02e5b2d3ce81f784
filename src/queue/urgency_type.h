/** @file urgency_type.h Rank and time left of requests that compete for targets. */
#pragma once

#include "core/time_type.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace bilberry {

/** Latest useful times to dispatch a request. */
struct StartLimits
{
    TimePoint goal; ///< Latest dispatch that meets the objective; never after @c last.
    TimePoint last; ///< Latest dispatch that meets the deadline.

    friend bool operator==(const StartLimits &, const StartLimits &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartLimits, goal, last)

/** What the time left says of a request; in the order in which requests of one rank are served. */
enum class Standing {
    Pressing, ///< Meets its objective only if it is dispatched soon.
    Patient, ///< Can wait and still meet its objective.
    Late, ///< Can no longer meet its objective.
};

/** Place of a request among requests of all ranks; the lowest is served first. */
struct Place
{
    bool late = false; ///< The request can no longer meet its objective.
    TimePoint at; ///< Latest useful dispatch, put off by the rank.

    friend auto operator<=>(const Place &, const Place &) = default;
};

/** Priority of a request: that of its account comes first, and that of its route decides between
 * requests of accounts with the same one. */
struct Priority
{
    int account = 0; ///< Of the account; of the route if the account has none.
    int route = 0;

    friend auto operator<=>(const Priority &, const Priority &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Priority, account, route)

/** Priorities in use, ascending, by service; only of services with at least two. The index of a
 * priority in the list is the rank. */
using RankTable = std::map<std::string, std::vector<Priority>>;

} // namespace bilberry
