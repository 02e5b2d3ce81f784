/** @file planner_base.h Planner state of the leader: demand, outstanding orders and limits. */
#pragma once

#include "link/link_type.h"
#include "placement/load_forecast_type.h"
#include "placement/store_pace_base.h"
#include "placement/unmet_need_type.h"
#include "target/registry_base.h"

#include <map>
#include <set>
#include <vector>

namespace bilberry {

/** Limits and policies of placement. The defaults suit the first two sites of the system. */
struct PlannerTuning
{
    int maxConcurrentStoreLoads = 4; ///< The weight store serves this many loads at full speed.
    double storeLoadsPerSecond = 4; ///< Loads from the weight store that may begin per second.
    int maxConcurrentAdapterLoads = 30; ///< Adapter loads in flight, all targets together.
    Duration keepWarmMin = 30s; ///< Minimum result of keepWarmWindow().
    Duration keepWarmMax = 15min; ///< Maximum result of keepWarmWindow().
    double keepWarmQuantile = 0.9; ///< Quantile of a variant's idle gaps covered by its window.
    Duration evictionIdleTime = 2s; ///< Minimum idle time before a replica may be evicted.
    Duration orderTimeout = 60s; ///< An order without a known outcome is undone after this time.
    Duration loadTimeout = 600s; ///< An accepted load that is not ready after this time is undone.
    /** Added delay between the orders of two leaders to a target without fencing. */
    Duration orderSeparation = 3s;
    /** An order to a target without fencing carries the number of orders accepted before it. */
    bool usesOrderPrecondition = false;
    /** Sorts needs by demand and waiting time instead of loads per account and deadline. */
    bool prioritizesByDemand = false;
    /** Spare loads of the weight store prefetch models that no target holds or has cached. */
    bool prefetches = false;
    /** Learns the parallelism of the weight store, forecasts loads, and orders needs by the
     * requests that can still be served in time. */
    bool forecastsLoads = false;
    int requestsPerReplica = 6; ///< Waiting, running and returning requests per desired replica.
};

constexpr std::size_t MAX_IDLE_GAPS = 32; ///< Recorded per variant.

/** @return Tuning for targets that cache many checkpoints and load them within seconds. */
inline PlannerTuning makeFastLoadTuning()
{
    PlannerTuning tuning;
    tuning.usesOrderPrecondition = true;
    tuning.evictionIdleTime = 300ms;
    tuning.prioritizesByDemand = true;
    tuning.requestsPerReplica = 24;
    return tuning;
}

/** Waiting requests of one host with about the same latest useful dispatch. */
struct WaitingUntil
{
    TimePoint until; ///< Latest useful dispatch.
    int waiting = 0;
    double weight = 0; ///< Sum of the weights of the requests.
};

/** Use of one variant; the request counts are totals over the latest reports of all hosts. */
struct VariantHistory
{
    int waiting = 0;
    int running = 0;
    int returning = 0; ///< Refused requests whose advised retry time is about now.
    TimePoint lastUse; ///< Latest report of a use or a request.
    std::vector<Duration> idleGaps; ///< Latest idle times between uses, oldest first.
    std::map<HostId, TimePoint> deadlines; ///< Earliest deadline of waiting requests by host.
    std::map<AccountId, int> accounts; ///< Waiting requests by account.
    std::map<std::string, int> pinned; ///< Sums of VariantUse::pinned by software version.
    std::map<HostId, std::vector<WaitingUntil>> timeLeft; ///< VariantUse::timeLeft by host.
};

/** An order that is in flight or whose outcome is unknown. */
struct OutstandingOrder
{
    Order order;
    TargetId target;
    TimePoint sentAt; ///< Time at which the order was issued.
    bool answered = false; ///< The target has accepted the order.
    TimePoint acceptedAt; ///< Time of the answer; only if @c answered.
};

/** Memory on a target that is reserved for one variant until a given time. */
struct MemoryReservation
{
    Variant variant;
    TimePoint until;
};

/** Orders that one incarnation of a target has accepted. */
struct AcceptedOrders
{
    Incarnation start;
    std::optional<std::uint64_t> count; ///< Unknown if empty: the target must be inspected.
    FencingToken highestSent; ///< Highest fencing token sent.
    TimePoint uncertainSince; ///< Last time at which an order may have been in flight.
    TimePoint inspectedAt; ///< Time of the last inspection request or reply.
    int consecutiveUnsent = 0; ///< Consecutive orders that were not sent before the lease ended.
    /**
     * Variants that the target holds after the first @c count orders, or more than these; nothing
     * if the target does not list them. Announcements can be older than the latest orders.
     */
    std::optional<std::set<Variant>> held;
    bool acceptedSinceInspection = false; ///< An order was accepted after the latest inspection.
};

/** Soft state of the planner; each leader starts with an empty planner. */
struct Planner
{
    PlannerTuning tuning;
    TimePoint since; ///< Start of this leadership.
    TimePoint ordersAllowedFrom; ///< Targets without fencing get no orders before this time.
    FencingToken inheritedFencing; ///< Highest token that an earlier leader may have used.
    std::map<Variant, VariantHistory> history;
    std::map<HostId, std::vector<VariantUse>> usesByHost; ///< Latest report of each host.
    std::set<Variant> activeVariants; ///< Variants with waiting, running or returning requests.
    std::map<std::string, OutstandingOrder> orders; ///< By replicaId().
    std::map<TargetId, AcceptedOrders> acceptedOrders; ///< For orders with a precondition.
    std::set<std::string> reissues; ///< Ids of replicas whose order needs a new fencing token.
    std::map<Variant, TimePoint> unmetSince; ///< Time since when a variant has too few replicas.
    UnmetNeeds unmet; ///< Of the latest pass.
    /** Needs for which evictions were searched in vain since all needs last had their turn. */
    std::set<Variant> searchedInVain;
    std::map<TargetId, MemoryReservation> memoryReservations; ///< Memory freed for one variant.
    std::set<std::string> loadsFromCache; ///< Replicas loading from a cache of their target, by id.
    double storeLoadTokens = 0; ///< Token bucket: loads from the weight store that may begin now.
    TimePoint storeLoadTokensAt; ///< Time of the last refill of the token bucket.
    std::size_t idleScanPosition = 0; ///< Round-robin position of unloadIdle() among the targets.
    Version reconciledVersion; ///< Registry version of the last reconcile().
    std::uint64_t reconciledEpoch = 0; ///< Registry epoch of the last reconcile().
    std::map<AccountId, double> loadChargeByAccount; ///< Decaying count of loads for each account.
    StorePace storePace; ///< Only with PlannerTuning::forecastsLoads.
    LoadForecasts forecasts; ///< Only with PlannerTuning::forecastsLoads.
    std::map<TargetId, TimePoint> targetBackoffUntil; ///< No new orders after a failed one.
    std::map<Variant, TimePoint> variantBackoffUntil; ///< No new loads after a failed one.
};

} // namespace bilberry
