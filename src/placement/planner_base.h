/** @file planner_base.h The leader's knowledge of demand and orders, from which it places replicas.
 */
#pragma once

#include "link/link_type.h"
#include "target/registry_base.h"

#include <map>
#include <set>
#include <vector>

namespace bilberry {

/** Limits and prices of placement; defaults fit both first sites. */
struct PlannerTuning
{
    int storeLoadsAtOnce = 4; ///< Model loads in flight at full speed of the weight store.
    double storeLoadsPerSecond = 4; ///< Model loads begun per second.
    int adapterLoadsAtOnce = 30; ///< Adapter loads in flight over all targets.
    Duration keepWarmLeast = 30s; ///< A replica idle for less is not unloaded to save idle hours.
    Duration keepWarmMost = 15min; ///< Nor is any idle replica kept longer.
    double keepWarmQuantile = 0.9; ///< Share of a variant's own gaps that the window covers.
    Duration victimIdle = 2s; ///< Idle time before a replica may make room for another.
    Duration orderTimeout = 60s; ///< After that an order with unknown outcome is undone.
    Duration loadTimeout = 600s; ///< After that an accepted load is undone.
    Duration orderSeparation = 3s; ///< Between orders of two leaders to a target without fencing.
    bool countsOrders = false; ///< Orders name how many the target has accepted before.
    bool ranksByDemand = false; ///< Most wanted first, in place of fewest loads and deadline.
    bool prefetches = false; ///< Spare loads bring models to targets that no target has at hand.
    int requestsPerReplica = 6; ///< Waiting and running requests that call for one more replica.
};

constexpr std::size_t MAX_GAPS_KEPT = 32;

/** @return Tuning for targets that keep copies of many models and load them within seconds. */
inline PlannerTuning makeSwapTuning()
{
    PlannerTuning tuning;
    tuning.countsOrders = true;
    tuning.victimIdle = 300ms;
    tuning.ranksByDemand = true;
    tuning.requestsPerReplica = 24;
    return tuning;
}

/** What is known of one variant's use; totals over the latest reports of all hosts. */
struct VariantHistory
{
    int waiting = 0;
    int running = 0;
    int returning = 0; ///< Callers who were told to come back about now.
    TimePoint lastUse; ///< Last time it was in use or asked for.
    std::vector<Duration> gaps; ///< Latest gaps between uses, oldest first.
    std::map<HostId, TimePoint> deadlines; ///< Earliest of what waits at each host.
    std::map<AccountId, int> accounts; ///< Waiting requests by account.
};

/** An order that is under way or has an unknown outcome. */
struct OutstandingOrder
{
    Order order;
    TargetId target;
    TimePoint sentAt;
    bool answered = false; ///< The target accepted it.
};

/** Room on a target that only one variant may take for a while. */
struct RoomReservation
{
    Variant variant;
    TimePoint until;
};

/** How many orders one start of a target has accepted, as far as that is known. */
struct AcceptedOrders
{
    StartNumber start;
    std::optional<std::uint64_t> count; ///< Nothing: the target must be asked.
    FencingNumber sent; ///< Highest number that has gone out.
    TimePoint uncertainSince; ///< When an order may have been on its way last.
    TimePoint askedAt; ///< When the target was asked last.
    int unsent = 0; ///< Orders in a row that could not be sent in time.
};

/** Soft state of the planner; a new leader starts with an empty one. */
struct Planner
{
    PlannerTuning tuning;
    TimePoint since; ///< Start of the leadership.
    TimePoint ordersFrom; ///< Before that, targets without fencing get no order.
    FencingNumber inherited; ///< Highest number that an earlier leader may have used.
    std::map<Variant, VariantHistory> history;
    std::map<HostId, std::vector<VariantUse>> hostUses; ///< Latest report of each host.
    std::set<Variant> active; ///< Variants with waiting or running requests.
    std::map<std::string, OutstandingOrder> orders; ///< By replicaId().
    std::map<TargetId, AcceptedOrders> accepted;
    std::set<std::string> repeats; ///< Replicas whose order is to be given anew.
    std::map<Variant, TimePoint> wantedSince; ///< Since when a variant lacks a replica.
    std::map<TargetId, RoomReservation> rooms; ///< Room that was made for a variant.
    std::set<std::string> cachedLoads; ///< Replicas loading without the weight store.
    double storeCredit = 0; ///< Loads that may begin now.
    TimePoint storeCreditAt;
    std::size_t idleTurn = 0; ///< Where the next look at idle replicas begins.
    Version reconciled; ///< Registry version whose inventories were compared.
    std::uint64_t reconciledEpoch = 0;
    std::map<AccountId, double> loadsByAccount; ///< Recent loads charged to each account.
    std::map<TargetId, TimePoint> refusedUntil; ///< Targets that failed an order are left alone.
    std::map<Variant, TimePoint> failedUntil; ///< Variants whose load failed wait before a retry.
};

} // namespace bilberry
