/** @file order.cpp Issues orders for committed placement decisions and handles the replies. */
#include "placement/planner_internal.h"

#include "state/view_func.h"

#include <algorithm>
#include <map>
#include <optional>

namespace bilberry {

namespace {

constexpr Duration FAILED_TARGET_BACKOFF = 5s; ///< No new order to a target after a failed one.
constexpr Duration FAILED_VARIANT_BACKOFF = 1s; ///< No new load of a variant after a failed order.
constexpr int MAX_CONSECUTIVE_UNSENT = 3; ///< After this many, the target counts as unreachable.

/**
 * The state in an inspection reply may be this much older than the reply. An inspection
 * therefore starts only when this time has passed since an order may last have been in flight.
 */
constexpr Duration MAX_INSPECTION_STALENESS = 700ms;
constexpr Duration INSPECTION_INTERVAL = 500ms; ///< Minimum time between inspections of a target.

/** @return Whether the target's request rate allows an order or an inspection, which is taken out
 * of it. */
bool tryTake(const PlacementInput &input, const TargetId &target)
{
    return !input.takeForOrder || input.takeForOrder(target);
}

/** @return Whether the target is configured to check fencing tokens. */
bool isFenced(const PlacementInput &input, const TargetId &target)
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

/** Id and record of a replica that is loading or unloading. */
using PendingReplica = std::pair<const std::string *, const Replica *>;

/** @return The outstanding order with the replica's current fencing token, or null. */
const OutstandingOrder *outstandingOrderFor(const Planner &planner, const PendingReplica &pending)
{
    const auto known = planner.orders.find(*pending.first);
    const bool same
        = known != planner.orders.end() && known->second.order.fencing == pending.second->fencing;
    return same ? &known->second : nullptr;
}

/**
 * Selects the next replica to order at a target without fencing. Such a target carries out one
 * order at a time and refuses others meanwhile.
 * @param pending Pending replicas of one target by ascending fencing token; not empty.
 * @return The first of @p pending, or nothing while an order for any of them is outstanding.
 */
std::optional<PendingReplica> nextPending(const Planner &planner,
                                          const std::vector<PendingReplica> &pending)
{
    for (const PendingReplica &item : pending) {
        if (outstandingOrderFor(planner, item) != nullptr)
            return std::nullopt;
    }
    return pending.front();
}

/** @return Pending replicas to order now; at most one for each target without fencing. */
std::vector<PendingReplica> replicasToOrder(const Planner &planner, const PlacementInput &input)
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
        if (const auto next = nextPending(planner, pending))
            out.push_back(*next);
    }
    return out;
}

/** @return The record of accepted orders of a target; reset if it is for another incarnation. */
AcceptedOrders &acceptedOrdersOf(Planner &planner, const TargetId &target, Incarnation start)
{
    AcceptedOrders &accepted = planner.acceptedOrders[target];
    if (accepted.start != start) {
        accepted = {};
        accepted.start = start;
    }
    return accepted;
}

/**
 * @return Whether the number of orders that the target has accepted is known. If not, an inspection
 * is added to @p due, unless its reply could be stale or the target was inspected recently.
 */
bool hasAcceptedCount(Planner &planner, const PlacementInput &input, const Replica &replica,
                      DueOrders &due, TimePoint now)
{
    AcceptedOrders &accepted = acceptedOrdersOf(planner, replica.target, replica.start);
    if (accepted.count)
        return true;
    const bool replyIsCurrent = now >= accepted.uncertainSince + MAX_INSPECTION_STALENESS;
    const bool recentlyInspected = now < accepted.inspectedAt + INSPECTION_INTERVAL;
    if (replyIsCurrent && !recentlyInspected && tryTake(input, replica.target)) {
        accepted.inspectedAt = now;
        due.inspections.push_back(replica.target);
    }
    return false;
}

/** Marks the number of accepted orders as unknown, since @p order may still reach the target. */
void invalidateAcceptedCount(Planner &planner, const OutstandingOrder &order, TimePoint now)
{
    AcceptedOrders &accepted = acceptedOrdersOf(planner, order.target, order.order.start);
    accepted.count.reset();
    accepted.uncertainSince = now;
}

/** @return Accelerator memory of a variant in MB, see memoryOf(). */
std::int64_t memoryOfVariant(const PlacementInput &input, const Variant &variant)
{
    Replica replica;
    replica.variant = variant;
    return memoryOf(input.view, replica);
}

/** @return Whether the target has room for the replica beside @p held. */
bool hasRoom(const PlacementInput &input, const std::set<Variant> &held, const Replica &replica)
{
    const TargetAnnouncement &target = input.registry.targets.at(replica.target).announcement;
    const auto service = input.view.services.find(target.service);
    const bool described = service != input.view.services.end();
    std::set<Variant> after = held;
    after.insert(replica.variant);
    std::int64_t memoryMb = 0;
    int adapters = 0;
    for (const Variant &variant : after) {
        memoryMb += memoryOfVariant(input, variant);
        adapters += variant.adapter.value.empty() ? 0 : 1;
    }
    const std::int64_t capacityMb
        = described && target.memoryMb == 0 ? service->second.memoryMb : target.memoryMb;
    const bool limitsAdapters = described && service->second.adapterSlots > 0;
    return memoryMb <= capacityMb && (!limitsAdapters || adapters <= service->second.adapterSlots);
}

/**
 * Checks a load against the inventory that belongs to the accepted count. A target that crashes
 * when it is ordered to load more than it can hold must not get a load that was decided from an
 * outdated announcement.
 * @return Whether the load can be sent. If not, the replica is added to @p due or, if the
 * inventory may contain variants that are unloaded by now, the target is inspected again.
 */
bool checkRoom(Planner &planner, const PlacementInput &input, const std::string &id,
               const Replica &replica, DueOrders &due, TimePoint now)
{
    AcceptedOrders &accepted = acceptedOrdersOf(planner, replica.target, replica.start);
    if (!accepted.held || hasRoom(input, *accepted.held, replica))
        return true;
    if (accepted.acceptedSinceInspection) {
        accepted.count.reset();
        accepted.uncertainSince = now;
        return false;
    }
    due.withoutRoom.push_back(id);
    planner.orders.erase(id);
    planner.variantBackoffUntil[replica.variant] = now + FAILED_VARIANT_BACKOFF;
    return false;
}

/** Updates the record of a target that has accepted @p order. */
void recordAccepted(AcceptedOrders &accepted, const Order &order, bool done, TimePoint now)
{
    accepted.count = *order.precondition + 1;
    accepted.acceptedSinceInspection = true;
    const bool isAdapter = !order.variant.adapter.value.empty();
    if (order.action == OrderAction::Load) {
        if (accepted.held)
            accepted.held->insert(order.variant);
    } else if (done) {
        recordUnloaded(accepted, order.variant);
    } else if (isAdapter && accepted.held) {
        // The adapter is in use and is unloaded at an unknown time; no announcement follows.
        accepted.count.reset();
        accepted.uncertainSince = now;
    }
}

} // namespace

void recordUnloaded(AcceptedOrders &accepted, const Variant &variant)
{
    if (!accepted.held)
        return;
    const bool isModel = variant.adapter.value.empty();
    std::erase_if(*accepted.held, [&](const Variant &held) {
        return held == variant || (isModel && held.model == variant.model);
    });
}

DueOrders issueDueOrders(Planner &planner, const PlacementInput &input,
                         const std::function<bool(const Replica &)> &drained, TimePoint now)
{
    DueOrders due;
    for (const auto &[id, replica] : replicasToOrder(planner, input)) {
        const auto known = planner.orders.find(*id);
        const bool ordered
            = known != planner.orders.end() && known->second.order.fencing == replica->fencing;
        if (ordered || planner.reissues.contains(*id))
            continue;
        const bool fenced = isFenced(input, replica->target);
        if (!fenced && now < planner.ordersAllowedFrom)
            continue;
        if (replica->state == ReplicaState::Unloading && !drained(*replica))
            continue;
        const bool isInherited = replica->fencing <= planner.inheritedFencing;
        const bool usesPrecondition = planner.tuning.usesOrderPrecondition && !fenced;
        const bool superseded = usesPrecondition
            && replica->fencing
                < acceptedOrdersOf(planner, replica->target, replica->start).highestSent;
        const bool isLoad = replica->state == ReplicaState::Loading;
        const bool needsNewFencing = isInherited && !fenced && (usesPrecondition || !isLoad);
        if (needsNewFencing || superseded) {
            // An earlier leader may have sent this fencing token, or a higher one was sent
            // already: the next pass assigns a new number.
            planner.reissues.insert(*id);
            continue;
        }
        if (usesPrecondition && !hasAcceptedCount(planner, input, *replica, due, now))
            continue;
        if (usesPrecondition && isLoad && !checkRoom(planner, input, *id, *replica, due, now))
            continue;
        // An earlier leader may have sent this load, and the target would carry out a repeat. The
        // order is recorded but not sent; the target's inventory shows its outcome.
        const bool isRecordedOnly = isInherited && !fenced && isLoad;
        if (!isRecordedOnly && !tryTake(input, replica->target))
            continue;
        OutstandingOrder order = makeOrder(*replica, now);
        if (usesPrecondition) {
            AcceptedOrders &accepted = planner.acceptedOrders[replica->target];
            order.order.precondition = accepted.count;
            accepted.highestSent = replica->fencing;
        }
        planner.orders[*id] = order;
        if (isRecordedOnly)
            continue;
        due.orders.push_back(order);
    }
    return due;
}

std::vector<std::string> handleOrderReply(Planner &planner, const std::string &replica,
                                          FencingToken fencing, OrderReply reply, bool done,
                                          TimePoint now)
{
    const auto it = planner.orders.find(replica);
    if (it == planner.orders.end() || it->second.order.fencing != fencing)
        return {};
    const bool usesPrecondition = it->second.order.precondition.has_value();
    if (reply == OrderReply::Accepted) {
        it->second.answered = true;
        it->second.acceptedAt = now;
        if (usesPrecondition)
            recordAccepted(planner.acceptedOrders[it->second.target], it->second.order, done, now);
        return {};
    }
    AcceptedOrders &accepted = acceptedOrdersOf(planner, it->second.target, it->second.order.start);
    accepted.consecutiveUnsent = reply == OrderReply::Unsent ? accepted.consecutiveUnsent + 1 : 0;
    if (reply == OrderReply::Unsent && accepted.consecutiveUnsent < MAX_CONSECUTIVE_UNSENT) {
        // The target has not seen this fencing token, so it can be sent again.
        planner.orders.erase(it);
        return {};
    }
    if (usesPrecondition && (reply == OrderReply::Unknown || reply == OrderReply::Busy)) {
        // A repeat is safe: the precondition on the number of accepted orders lets the target
        // accept only one of the two.
        invalidateAcceptedCount(planner, it->second, now);
        planner.orders.erase(it);
        planner.reissues.insert(replica);
        return {};
    }
    if (reply == OrderReply::Unknown)
        return {};
    planner.targetBackoffUntil[it->second.target] = now + FAILED_TARGET_BACKOFF;
    planner.variantBackoffUntil[it->second.order.variant] = now + FAILED_VARIANT_BACKOFF;
    const bool wasLoad = it->second.order.action == OrderAction::Load;
    if (usesPrecondition)
        invalidateAcceptedCount(planner, it->second, now);
    planner.orders.erase(it);
    return wasLoad ? std::vector<std::string>{replica} : std::vector<std::string>{};
}

void handleInspection(Planner &planner, const TargetId &target, Incarnation start,
                      const std::optional<TargetInspection> &inspection, TimePoint now)
{
    AcceptedOrders &accepted = acceptedOrdersOf(planner, target, start);
    accepted.inspectedAt = now;
    if (!inspection || inspection->busy)
        return;
    accepted.count = inspection->accepted;
    accepted.acceptedSinceInspection = false;
    accepted.held.reset();
    if (!inspection->held)
        return;
    accepted.held.emplace();
    for (const LoadedVariant &item : *inspection->held)
        accepted.held->insert(item.variant);
}

} // namespace bilberry
