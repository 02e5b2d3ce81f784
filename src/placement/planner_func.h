/** @file planner_func.h Decides which replicas to load and unload, and when. */
#pragma once

#include "placement/planner_base.h"

namespace bilberry {

/** What the planner decides from; all owned by the caller. */
struct PlacementView
{
    const View &view;
    const TargetRegistry &registry;
    FencingNumber lastFencing;
};

/** Outcome of one pass: to be committed before any order goes out. */
struct PlacementDecision
{
    std::vector<Replica> put;
    std::vector<std::string> gone;

    bool empty() const { return this->put.empty() && this->gone.empty(); }
};

/** Notes what a host reported of variants in use. */
void noteUses(Planner &planner, const HostId &host, const std::vector<VariantUse> &uses,
              TimePoint now);

/** Forgets what a host that is gone had reported. */
void forgetHost(Planner &planner, const HostId &host);

/** One pass over replicas and demand. @pre No earlier decision is still uncommitted. */
PlacementDecision decide(Planner &planner, const PlacementView &input, TimePoint now);

/** Orders that are to go out now, and targets that must be asked before they get one. */
struct DueOrders
{
    std::vector<OutstandingOrder> orders;
    std::vector<TargetId> inspections;
};

/**
 * Orders for committed replicas that have none yet. A target that does not check fencing gets them
 * one at a time in the order of their numbers.
 * @param drained Whether no host sends new work for the replica any more; needed to unload.
 */
DueOrders dueOrders(Planner &planner, const PlacementView &input,
                    const std::function<bool(const Replica &)> &drained, TimePoint now);

/** Outcome of the HTTP call that carried an order. */
enum class OrderReply {
    Accepted,
    Refused, ///< By the target's own word it was not carried out.
    Busy, ///< The same, because of another order.
    Unknown,
    Unsent, ///< No byte of it left before the end of the leader's lease.
};

/** Notes the reply to an order. @return Replica ids that are known not to be loaded now. */
std::vector<std::string> noteOrderReply(Planner &planner, const std::string &replica,
                                        FencingNumber fencing, OrderReply reply, TimePoint now);

/** Notes what a target said when it was asked; nothing if it did not answer. */
void noteInspection(Planner &planner, const TargetId &target, StartNumber start,
                    const std::optional<TargetInspection> &inspection, TimePoint now);

/** @return How long an idle replica of the variant is kept, from the variant's own gaps. */
Duration keepWarmWindow(const Planner &planner, const Variant &variant);

} // namespace bilberry
