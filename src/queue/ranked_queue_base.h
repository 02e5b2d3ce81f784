/** @file ranked_queue_base.h Queued requests of one service whose requests have ranks. */
#pragma once

#include "queue/urgency_type.h"
#include "queue/work_group_type.h"

#include <deque>
#include <map>

namespace bilberry {

/** A queued request with what its place depends on. */
struct RankedRequest
{
    RequestId request;
    WorkClass workClass = WorkClass::Interactive;
    StartLimits limits;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RankedRequest, request, workClass, limits)

/** Queued requests of one account for one work group. */
struct RankedWaiting
{
    std::deque<RankedRequest> inTime; ///< By StartLimits::goal, after requests put to the front.
    std::deque<RankedRequest> late; ///< Can no longer meet their goal; by StartLimits::last.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RankedWaiting, inTime, late)

/** Queued requests of one account in one rank. */
struct RankedFlow
{
    double virtualTime = 0; ///< Charged work divided by the weight; the lowest is served next.
    std::map<WorkGroup, RankedWaiting> waiting; ///< Without empty ones.
    std::size_t count = 0; ///< Queued requests in all groups.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RankedFlow, virtualTime, waiting, count)

/** Queued requests of one rank. */
struct RankClass
{
    std::map<AccountId, RankedFlow> flows;
    double virtualTime = 0; ///< As FlowClass::virtualTime.
    std::size_t count = 0; ///< Queued requests of all flows.
    /** Picks owed to the rank: grows by its least share with each pick while it waits, falls by 1
     * with each request picked from it. At 1 the rank is served next. */
    double owed = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RankClass, flows, virtualTime, count, owed)

/** Queued requests of one service by rank. */
struct RankedQueue
{
    std::map<int, RankClass> ranks;
    std::size_t count = 0; ///< Queued requests of all ranks.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RankedQueue, ranks, count)

} // namespace bilberry
