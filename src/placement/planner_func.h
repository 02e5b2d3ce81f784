/** @file planner_func.h Decides which replicas are loaded and unloaded, and issues the orders. */
#pragma once

#include "placement/planner_base.h"

namespace bilberry {

/** Input of the planner. The references must outlive each call that uses the input. */
struct PlacementInput
{
    const ClusterView &view;
    const TargetRegistry &registry;
    FencingToken lastFencing; ///< Highest fencing token in the committed state.
    /** Takes an order or an inspection out of the target's request rate. Returns whether the rate
     * allows it now; null: no target limits its rate. */
    std::function<bool(const TargetId &)> takeForOrder{};
};

/** Result of one pass. The caller commits the changes before issueDueOrders() issues orders for
 * them. */
struct PlacementDecision
{
    std::vector<Replica> put; ///< New and changed replicas.
    std::vector<std::string> gone; ///< Ids of replicas to remove.

    bool empty() const { return this->put.empty() && this->gone.empty(); }
};

/** Replaces the demand recorded for a host with its latest report. */
void recordVariantUses(Planner &planner, const HostId &host, const std::vector<VariantUse> &uses,
                       TimePoint now);

/** Removes the demand recorded for a host, e.g. after the host was lost. */
void removeHostUses(Planner &planner, const HostId &host);

/** Runs one placement pass over replicas and demand. @pre All earlier decisions are committed. */
PlacementDecision decidePlacement(Planner &planner, const PlacementInput &input, TimePoint now);

/** Orders to send now, and targets to inspect before they can get an order. */
struct DueOrders
{
    std::vector<OutstandingOrder> orders;
    std::vector<TargetId> inspections;
    std::vector<std::string> withoutRoom; ///< Ids of loading replicas for which the target has no
                                          ///< room; their records must be removed.
};

/**
 * Issues orders for committed replicas that are loading or unloading and have no outstanding order.
 * A target without fencing gets one order at a time, by ascending fencing token.
 * @param drained Returns whether all hosts have stopped sending new work to the replica; an unload
 * is ordered only then.
 */
DueOrders issueDueOrders(Planner &planner, const PlacementInput &input,
                         const std::function<bool(const Replica &)> &drained, TimePoint now);

/** Outcome of the HTTP call that carried an order. */
enum class OrderReply {
    Accepted,
    Refused, ///< The target answered that it did not carry out the order.
    Busy, ///< The target did not carry out the order because another order was in progress.
    Unknown, ///< The target may or may not have accepted the order.
    Unsent, ///< No byte of the order was sent before the leader's lease ended.
};

/**
 * Handles the reply to an order; a reply to a superseded order is ignored.
 * @param done Whether an accepted order is already carried out.
 * @return Id of the replica if its load has definitely failed, so that the record can be removed.
 */
std::vector<std::string> handleOrderReply(Planner &planner, const std::string &replica,
                                          FencingToken fencing, OrderReply reply, bool done,
                                          TimePoint now);

/** Handles the reply to an inspection; @p inspection is empty if the target did not answer. */
void handleInspection(Planner &planner, const TargetId &target, Incarnation start,
                      const std::optional<TargetInspection> &inspection, TimePoint now);

/**
 * @param replica Id of a replica that is being loaded.
 * @param configured Time of the load at full speed.
 * @param sentAt Time of its order.
 * @return Expected time left of the load, at the learnt pace of the weight store.
 */
Duration loadTimeLeft(const Planner &planner, const std::string &replica, Duration configured,
                      TimePoint sentAt, TimePoint now);

/** @return How long an idle replica of the variant is kept loaded, from its recorded idle gaps. */
Duration keepWarmWindow(const Planner &planner, const Variant &variant);

} // namespace bilberry
