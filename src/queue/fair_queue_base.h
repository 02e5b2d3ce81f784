/** @file fair_queue_base.h Waiting requests by class and client account. */
#pragma once

#include "config/config_type.h"

#include <deque>
#include <map>

namespace bilberry {

/** What a waiting request needs: one variant, or one service. */
struct WorkGroup
{
    Variant variant; ///< Empty for a service.
    std::string service; ///< Empty for a variant.

    friend bool operator==(const WorkGroup &, const WorkGroup &) = default;
    friend auto operator<=>(const WorkGroup &, const WorkGroup &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkGroup, variant, service)

/** Requests of one account in one class. */
struct Flow
{
    double virtualTime = 0; ///< Work served so far per weight; the least goes next.
    std::map<WorkGroup, std::deque<RequestId>> waiting;
    std::size_t count = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Flow, virtualTime, waiting, count)

/** Flows of one class. */
struct FlowClass
{
    std::map<AccountId, Flow> flows;
    double virtualTime = 0; ///< Of the flow served last: idle flows save up no credit.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FlowClass, flows, virtualTime)

constexpr int BULK_TURN = 8; ///< Every so many picks, waiting bulk work goes first.

/** Fair queue of one host. */
struct FairQueue
{
    FlowClass interactive;
    FlowClass bulk;
    int picks = 0;
    std::map<WorkGroup, std::size_t> groupCounts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FairQueue, interactive, bulk, picks, groupCounts)

} // namespace bilberry
