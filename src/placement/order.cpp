/** @file order.cpp Orders that carry committed decisions out. */
#include "placement/planner_func.h"

#include "state/view_func.h"

namespace bilberry {

namespace {

constexpr Duration FAILED_TARGET_PAUSE = 5s;
constexpr Duration FAILED_VARIANT_PAUSE = 1s;

} // namespace

std::vector<OutstandingOrder> dueOrders(Planner &planner, const PlacementView &input,
                                        const std::function<bool(const Replica &)> &drained,
                                        TimePoint now)
{
    std::vector<OutstandingOrder> due;
    for (const auto &[id, replica] : input.view.replicas) {
        const bool pending = replica.state != ReplicaState::Ready;
        const auto known = planner.orders.find(id);
        const bool ordered
            = known != planner.orders.end() && known->second.order.fencing == replica.fencing;
        if (!pending || ordered || !input.registry.targets.contains(replica.target))
            continue;
        const auto policy = input.view.targets.find(replica.target);
        const bool fenced = policy != input.view.targets.end() && policy->second.checksFencing;
        const Duration wait = fenced ? Duration::zero() : planner.tuning.inheritedOrderWait;
        if (now - planner.since < wait)
            continue;
        if (replica.state == ReplicaState::Unloading && !drained(replica))
            continue;
        OutstandingOrder order;
        order.order.fencing = replica.fencing;
        order.order.action
            = replica.state == ReplicaState::Loading ? OrderAction::Load : OrderAction::Unload;
        order.order.variant = replica.variant;
        order.order.version = replica.version;
        order.order.memoryMb = replica.memoryMb;
        order.order.start = replica.start;
        order.order.target = replica.target;
        order.target = replica.target;
        order.sentAt = now;
        planner.orders[id] = order;
        // An earlier leader may have sent this load to a target that would carry it out twice; its
        // inventory settles what became of it.
        const bool inherited = replica.fencing <= planner.inherited;
        if (inherited && !fenced && replica.state == ReplicaState::Loading)
            continue;
        due.push_back(order);
    }
    return due;
}

std::vector<std::string> noteOrderReply(Planner &planner, const std::string &replica,
                                        FencingNumber fencing, OrderReply reply, TimePoint now)
{
    const auto it = planner.orders.find(replica);
    if (it == planner.orders.end() || it->second.order.fencing != fencing)
        return {};
    if (reply == OrderReply::Accepted) {
        it->second.answered = true;
        return {};
    }
    if (reply == OrderReply::Unknown)
        return {};
    planner.refusedUntil[it->second.target] = now + FAILED_TARGET_PAUSE;
    planner.failedUntil[it->second.order.variant] = now + FAILED_VARIANT_PAUSE;
    const bool wasLoad = it->second.order.action == OrderAction::Load;
    planner.orders.erase(it);
    return wasLoad ? std::vector<std::string>{replica} : std::vector<std::string>{};
}

} // namespace bilberry
