/** @file urgency.cpp Place of a request by rank and time left. */
#include "queue/urgency_func.h"

#include <algorithm>
#include <optional>
#include <set>

namespace bilberry {

namespace {

/** A request of a rank is served like one of the next rank that has so much less time left. */
constexpr Duration RANK_STEP = 2s;
/** With less time than this left until its objective, a request is pressing within its rank. */
constexpr Duration PRESSING_TIME = 2s;
/** Fraction of the capacity kept for the lowest rank. */
constexpr double LOWEST_RANK_SHARE = 0.1;
/** Least share of a rank as a fraction of its part in the competing requests. Where unserved
 * requests accumulate until their deadlines, a rank then gets at least a quarter of the mean. */
constexpr double MIN_LEAST_PART = 0.3;
/** Bound that prevails over LOWEST_RANK_SHARE: below 1, a rank that is served by its least share
 * alone is served less often than the mean. */
constexpr double MAX_LEAST_PART = 0.6;

/** Priorities of the accounts that may use something; empty: an account without own priority. */
using Priorities = std::set<std::optional<int>>;

bool allowsAll(const std::vector<std::string> &names)
{
    return std::find(names.begin(), names.end(), "*") != names.end();
}

/** Adds the ranks of a route's requests to its services. */
void addRoute(const Route &route, const Priorities &accounts,
              std::map<std::string, std::set<Priority>> &found)
{
    std::set<Priority> own;
    if (route.open)
        own.insert(makePriority(std::nullopt, route.priority));
    for (const std::optional<int> &priority : accounts) {
        if (!route.open)
            own.insert(makePriority(priority, route.priority));
    }
    if (route.split.empty())
        found[route.service].merge(std::set<Priority>(own));
    for (const RouteShare &share : route.split) {
        if (share.weight > 0)
            found[share.service].merge(std::set<Priority>(own));
    }
}

} // namespace

StartLimits makeStartLimits(TimePoint goalAt, TimePoint lastStart, Duration untilGoal)
{
    StartLimits limits;
    limits.last = lastStart;
    limits.goal
        = goalAt == TimePoint{} ? lastStart : std::min<TimePoint>(goalAt - untilGoal, lastStart);
    return limits;
}

Standing standingOf(const StartLimits &limits, TimePoint now)
{
    if (now > limits.goal)
        return Standing::Late;
    return limits.goal - now < PRESSING_TIME ? Standing::Pressing : Standing::Patient;
}

Place placeOf(int rank, const StartLimits &limits, TimePoint now)
{
    const bool late = now > limits.goal;
    return {late, (late ? limits.last : limits.goal) + rank * RANK_STEP};
}

int engineUrgency(int rank, std::size_t ranks, const StartLimits &limits, TimePoint now)
{
    const int values = std::max((LEAST_URGENT + 1) / std::max(static_cast<int>(ranks), 1), 1);
    const int withinRank = std::min(static_cast<int>(standingOf(limits, now)), values - 1);
    return std::min(rank * values + withinRank, LEAST_URGENT);
}

double leastPart(double lowest, double all)
{
    if (lowest <= 0)
        return MIN_LEAST_PART;
    return std::clamp(LOWEST_RANK_SHARE * all / lowest, MIN_LEAST_PART, MAX_LEAST_PART);
}

Priority makePriority(std::optional<int> account, int route)
{
    return {account.value_or(route), route};
}

RankTable makeRankTable(const ClusterView &view)
{
    // Most accounts may use all routes; those that name routes are looked at one by one.
    Priorities everywhere;
    Priorities ofModels;
    std::map<RouteId, Priorities> named;
    for (const auto &[id, account] : view.accounts) {
        if (!account.models.empty())
            ofModels.insert(account.priority);
        if (allowsAll(account.routes)) {
            everywhere.insert(account.priority);
            continue;
        }
        for (const std::string &route : account.routes)
            named[RouteId(route)].insert(account.priority);
    }
    std::map<std::string, std::set<Priority>> found;
    for (const auto &[id, route] : view.routes) {
        Priorities accounts = named[id];
        accounts.insert(everywhere.begin(), everywhere.end());
        addRoute(route, accounts, found);
    }
    for (const std::optional<int> &priority : ofModels) {
        if (!view.models.empty())
            found[""].insert(makePriority(priority, 0));
    }
    RankTable table;
    for (const auto &[service, priorities] : found) {
        if (priorities.size() > 1)
            table[service].assign(priorities.begin(), priorities.end());
    }
    return table;
}

} // namespace bilberry
