/** @file fair_queue_base.h Queued requests by scheduling class and client account. */
#pragma once

#include "queue/ranked_queue_base.h"
#include "queue/work_group_type.h"

#include <deque>
#include <map>

namespace bilberry {

/** Queued requests of one client account in one scheduling class. */
struct Flow
{
    double virtualTime = 0; ///< Charged work divided by the weight; the lowest is served next.
    std::map<WorkGroup, std::deque<RequestId>> waiting; ///< Queued requests in dispatch order.
    std::size_t count = 0; ///< Queued requests in all groups.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Flow, virtualTime, waiting, count)

/** All flows of one scheduling class. */
struct FlowClass
{
    std::map<AccountId, Flow> flows;
    /**
     * Highest virtual time of a served flow. A flow that was empty starts at this value or above,
     * so that idle flows do not accumulate credit.
     */
    double virtualTime = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FlowClass, flows, virtualTime)

/** After this many interactive picks in a row, queued bulk requests are picked first once. */
constexpr int INTERACTIVE_PICKS_BEFORE_BULK = 8;

/** Queue of all requests that wait for a target slot on one host. */
struct FairQueue
{
    FlowClass interactive;
    FlowClass bulk;
    int picks = 0; ///< Interactive requests picked since the last bulk request.
    std::map<WorkGroup, std::size_t> groupCounts; ///< Queued requests by group, without zeros.
    std::map<std::string, RankedQueue> ranked; ///< Requests with a rank, by service.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FairQueue, interactive, bulk, picks, groupCounts,
                                                ranked)

} // namespace bilberry
