/** @file target_type.h Announcements of targets and orders to them. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <optional>
#include <vector>

namespace bilberry {

/** Kind of a target. */
enum class TargetKind {
    Engine, ///< Loads and unloads models on orders of the leader.
    Service, ///< Service with a fixed name; takes no orders.
};
NLOHMANN_JSON_SERIALIZE_ENUM(TargetKind,
                             {{TargetKind::Engine, "engine"}, {TargetKind::Service, "service"}})

/** Where a checkpoint is cached, from the fastest to the slowest load. */
enum class CacheTier {
    Memory, ///< In main memory at the target.
    Disk, ///< On a local disk of the target.
    Remote, ///< Not cached; loaded from the weight store.
};
NLOHMANN_JSON_SERIALIZE_ENUM(CacheTier,
                             {{CacheTier::Memory, "memory"},
                              {CacheTier::Disk, "disk"},
                              {CacheTier::Remote, "remote"}})

/** A variant that a target holds in accelerator memory. */
struct LoadedVariant
{
    Variant variant;
    Version version;
    std::int64_t memoryMb = 0; ///< Accelerator memory in use.

    friend bool operator==(const LoadedVariant &, const LoadedVariant &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadedVariant, variant, version, memoryMb)

/** A model's checkpoint in a cache of the target. */
struct CachedModel
{
    ModelId model;
    CacheTier tier = CacheTier::Remote;

    friend bool operator==(const CachedModel &, const CachedModel &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CachedModel, model, tier)

/** A variant that is being loaded; added by the leader, never announced by the target. */
struct LoadingVariant
{
    Variant variant;
    Duration left{}; ///< Expected time until the load is done, as of the grant that carries it.

    friend bool operator==(const LoadingVariant &, const LoadingVariant &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadingVariant, variant, left)

/** Announcement of a target, as documented in docs/API.md. */
struct TargetAnnouncement
{
    TargetId id;
    std::string address; ///< "ip:port" for requests and orders.
    TargetKind kind = TargetKind::Engine;
    ZoneId zone;
    std::string service; ///< Name of the service of the target; may be empty for engines.
    std::int64_t memoryMb = 0; ///< Accelerator memory; 0: none, or as in ServicePolicy.
    int maxConcurrent = 8; ///< Concurrent requests that the target can run when warm.
    Incarnation start; ///< Incarnation of the target; increases with each of its starts.
    std::vector<LoadedVariant> loaded; ///< Variants in accelerator memory.
    std::vector<CachedModel> cached; ///< Checkpoints in local caches.
    std::vector<LoadingVariant> loading; ///< Loads in progress; added by the leader.
    bool failing = false; ///< Fails often; set by the leader, never announced by the target.
    bool leaving = false; ///< The target accepts no new work.
    FencingToken lastOrder; ///< Highest fencing token of the orders carried out.
    std::vector<FencingToken> failedOrders; ///< Fencing tokens of the latest failed orders.
    Duration coldFor{}; ///< Remaining warm-up time with reduced capacity, as announced.
    std::uint64_t sequence = 0; ///< Per incarnation, increasing; 0: not numbered.
    /** Requests per second that the target takes from all hosts together; empty: no limit. Set by
     * the leader from answers of the target, never announced by it. */
    std::optional<double> requestRate;
    /** In a delta: the receiver knows @c cached already, and it is left out. Set by the leader. */
    bool cachedIsKnown = false;
    std::string softwareVersion; ///< Version of the target's software; empty if it states none.

    friend bool operator==(const TargetAnnouncement &, const TargetAnnouncement &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetAnnouncement, id, address, kind, zone,
                                                service, memoryMb, maxConcurrent, start, loaded,
                                                cached, loading, failing, leaving, lastOrder,
                                                failedOrders, coldFor, sequence, requestRate,
                                                cachedIsKnown, softwareVersion)

/** @return Whether two announcements are equal except for their sequence numbers. */
inline bool equalExceptSequence(const TargetAnnouncement &a, TargetAnnouncement b)
{
    b.sequence = a.sequence;
    return a == b;
}

/** Action that an order requests from an engine. */
enum class OrderAction {
    Load,
    Unload,
};
NLOHMANN_JSON_SERIALIZE_ENUM(OrderAction,
                             {{OrderAction::Load, "load"}, {OrderAction::Unload, "unload"}})

/** An order as sent to POST /orders of an engine. */
struct Order
{
    FencingToken fencing;
    OrderAction action = OrderAction::Load;
    Variant variant;
    Version version;
    std::int64_t memoryMb = 0; ///< Accelerator memory that the variant takes.
    Incarnation start; ///< Only this incarnation of the target may carry out the order.
    TargetId target;
    /** Number of orders accepted since the start; a target with another count refuses the order. */
    std::optional<std::uint64_t> precondition;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Order, fencing, action, variant, version, memoryMb,
                                                start, target, precondition)

/** Reply of a target to an inspection by the leader. */
struct TargetInspection
{
    std::uint64_t accepted = 0; ///< Number of orders accepted since the start of the target.
    bool busy = false; ///< The target is carrying out an order.
    /** Variants that the target holds or is loading; empty if the target does not list them. */
    std::optional<std::vector<LoadedVariant>> held;
};

} // namespace bilberry
