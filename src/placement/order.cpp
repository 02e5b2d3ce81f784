/** @file order.cpp Orders that carry committed decisions out. */
#include "placement/planner_func.h"

#include "state/view_func.h"

#include <algorithm>
#include <map>
#include <optional>

namespace bilberry {

namespace {

constexpr Duration FAILED_TARGET_PAUSE = 5s;
constexpr Duration FAILED_VARIANT_PAUSE = 1s;
constexpr int MOST_UNSENT = 3; ///< In a row; then the target is taken for unreachable.

constexpr Duration REPORT_LAG = 700ms; ///< A target's word on itself is older than its answer.
constexpr Duration INSPECTION_PAUSE = 500ms;

bool isFenced(const PlacementView &input, const TargetId &target)
{
    const auto policy = input.view.targets.find(target);
    return policy != input.view.targets.end() && policy->second.checksFencing;
}

OutstandingOrder makeOrder(const Replica &replica, TimePoint now)
{
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
    return order;
}

using PendingReplica = std::pair<const std::string *, const Replica *>;

/** @return The order under way for a pending replica, if there is one. */
const OutstandingOrder *orderOf(const Planner &planner, const PendingReplica &pending)
{
    const auto known = planner.orders.find(*pending.first);
    const bool same
        = known != planner.orders.end() && known->second.order.fencing == pending.second->fencing;
    return same ? &known->second : nullptr;
}

/**
 * A target that ignores fencing carries out one order at a time and refuses others meanwhile.
 * @param pending Pending replicas of one target by number.
 * @return The next one to be ordered, if any.
 */
std::optional<PendingReplica> nextOf(const Planner &planner,
                                     const std::vector<PendingReplica> &pending)
{
    for (const PendingReplica &item : pending) {
        if (orderOf(planner, item) != nullptr)
            return std::nullopt;
    }
    return pending.front();
}

/** Pending replicas whose order may go out; at most one for each unfenced target. */
std::vector<PendingReplica> nextReplicas(const Planner &planner, const PlacementView &input)
{
    std::vector<PendingReplica> out;
    std::map<TargetId, std::vector<PendingReplica>> unfenced;
    for (const auto &[id, replica] : input.view.replicas) {
        if (replica.state == ReplicaState::Ready
            || !input.registry.targets.contains(replica.target))
            continue;
        if (isFenced(input, replica.target))
            out.emplace_back(&id, &replica);
        else
            unfenced[replica.target].emplace_back(&id, &replica);
    }
    for (auto &[target, pending] : unfenced) {
        std::sort(pending.begin(), pending.end(),
                  [](const PendingReplica &a, const PendingReplica &b) {
                      return a.second->fencing < b.second->fencing;
                  });
        if (const auto next = nextOf(planner, pending))
            out.push_back(*next);
    }
    return out;
}

/** @return The accepted orders of the present start. */
AcceptedOrders &acceptedBy(Planner &planner, const TargetId &target, StartNumber start)
{
    AcceptedOrders &accepted = planner.accepted[target];
    if (accepted.start != start) {
        accepted = {};
        accepted.start = start;
    }
    return accepted;
}

/** @return Whether the count is known; otherwise the target is asked when that is of use. */
bool knowsCount(Planner &planner, const Replica &replica, DueOrders &due, TimePoint now)
{
    AcceptedOrders &accepted = acceptedBy(planner, replica.target, replica.start);
    if (accepted.count)
        return true;
    const bool settled = now >= accepted.uncertainSince + REPORT_LAG;
    const bool asked = now < accepted.askedAt + INSPECTION_PAUSE;
    if (settled && !asked) {
        accepted.askedAt = now;
        due.inspections.push_back(replica.target);
    }
    return false;
}

void forgetCount(Planner &planner, const OutstandingOrder &order, TimePoint now)
{
    AcceptedOrders &accepted = acceptedBy(planner, order.target, order.order.start);
    accepted.count.reset();
    accepted.uncertainSince = now;
}

} // namespace

DueOrders dueOrders(Planner &planner, const PlacementView &input,
                    const std::function<bool(const Replica &)> &drained, TimePoint now)
{
    DueOrders due;
    for (const auto &[id, replica] : nextReplicas(planner, input)) {
        const auto known = planner.orders.find(*id);
        const bool ordered
            = known != planner.orders.end() && known->second.order.fencing == replica->fencing;
        if (ordered || planner.repeats.contains(*id))
            continue;
        const bool fenced = isFenced(input, replica->target);
        if (!fenced && now < planner.ordersFrom)
            continue;
        if (replica->state == ReplicaState::Unloading && !drained(*replica))
            continue;
        const bool inherited = replica->fencing <= planner.inherited;
        const bool counts = planner.tuning.countsOrders && !fenced;
        const bool overtaken = counts
            && replica->fencing < acceptedBy(planner, replica->target, replica->start).sent;
        const bool loads = replica->state == ReplicaState::Loading;
        const bool foreign = inherited && !fenced && (counts || !loads);
        if (foreign || overtaken) {
            // An earlier leader may have used this number, or a higher one has gone out already.
            planner.repeats.insert(*id);
            continue;
        }
        if (counts && !knowsCount(planner, *replica, due, now))
            continue;
        OutstandingOrder order = makeOrder(*replica, now);
        if (counts) {
            AcceptedOrders &accepted = planner.accepted[replica->target];
            order.order.precondition = accepted.count;
            accepted.sent = replica->fencing;
        }
        planner.orders[*id] = order;
        // An earlier leader may have sent this load to a target that would carry it out twice; its
        // inventory settles what became of it.
        if (inherited && !fenced && loads)
            continue;
        due.orders.push_back(order);
    }
    return due;
}

std::vector<std::string> noteOrderReply(Planner &planner, const std::string &replica,
                                        FencingNumber fencing, OrderReply reply, TimePoint now)
{
    const auto it = planner.orders.find(replica);
    if (it == planner.orders.end() || it->second.order.fencing != fencing)
        return {};
    const bool counts = it->second.order.precondition.has_value();
    if (reply == OrderReply::Accepted) {
        it->second.answered = true;
        if (counts)
            planner.accepted[it->second.target].count = *it->second.order.precondition + 1;
        return {};
    }
    AcceptedOrders &accepted = acceptedBy(planner, it->second.target, it->second.order.start);
    accepted.unsent = reply == OrderReply::Unsent ? accepted.unsent + 1 : 0;
    if (reply == OrderReply::Unsent && accepted.unsent < MOST_UNSENT) {
        // The same number may still go out.
        planner.orders.erase(it);
        return {};
    }
    if (counts && (reply == OrderReply::Unknown || reply == OrderReply::Busy)) {
        // The number of orders makes a repeat safe: only one of the two can be accepted.
        forgetCount(planner, it->second, now);
        planner.orders.erase(it);
        planner.repeats.insert(replica);
        return {};
    }
    if (reply == OrderReply::Unknown)
        return {};
    planner.refusedUntil[it->second.target] = now + FAILED_TARGET_PAUSE;
    planner.failedUntil[it->second.order.variant] = now + FAILED_VARIANT_PAUSE;
    const bool wasLoad = it->second.order.action == OrderAction::Load;
    if (counts)
        forgetCount(planner, it->second, now);
    planner.orders.erase(it);
    return wasLoad ? std::vector<std::string>{replica} : std::vector<std::string>{};
}

void noteInspection(Planner &planner, const TargetId &target, StartNumber start,
                    const std::optional<TargetInspection> &inspection, TimePoint now)
{
    AcceptedOrders &accepted = acceptedBy(planner, target, start);
    accepted.askedAt = now;
    if (inspection && !inspection->busy)
        accepted.count = inspection->accepted;
}

} // namespace bilberry
