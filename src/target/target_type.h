/** @file target_type.h What targets say of themselves and what is known of them. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace bilberry {

enum class TargetKind {
    Engine, ///< Loads models on orders.
    Service, ///< Plain service with a fixed name.
};
NLOHMANN_JSON_SERIALIZE_ENUM(TargetKind,
                             {{TargetKind::Engine, "engine"}, {TargetKind::Service, "service"}})

/** Where a checkpoint is cached; the order is that of load speed. */
enum class CacheTier {
    Memory,
    Disk,
    Remote,
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
    std::int64_t memoryMb = 0;

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

/** A variant whose load is under way; added by the leader, never announced. */
struct LoadingVariant
{
    Variant variant;
    Duration left{}; ///< Until it is expected to serve, when that was said.

    friend bool operator==(const LoadingVariant &, const LoadingVariant &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LoadingVariant, variant, left)

/** What a target announces, as documented in docs/API.md. */
struct TargetAnnouncement
{
    TargetId id;
    std::string address; ///< "ip:port".
    TargetKind kind = TargetKind::Engine;
    ZoneId zone;
    std::string service; ///< Name of the service; empty for engines.
    std::int64_t memoryMb = 0; ///< Accelerator memory; 0 for services.
    int maxConcurrent = 8; ///< Requests it can run at once when warm.
    StartNumber start; ///< Grows with each start of the target.
    std::vector<LoadedVariant> loaded;
    std::vector<CachedModel> cached;
    std::vector<LoadingVariant> loading;
    bool failing = false; ///< Fails often; found by the leader, never announced.
    bool leaving = false; ///< Wants no new work.
    FencingNumber lastOrder; ///< Highest fencing number it has carried out.
    std::vector<FencingNumber> failedOrders; ///< Latest orders that it could not carry out.
    Duration coldFor{}; ///< How much longer it bears only few requests, when it said so.
    std::uint64_t sequence = 0; ///< Grows with each announcement of a start; 0: not numbered.

    friend bool operator==(const TargetAnnouncement &, const TargetAnnouncement &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetAnnouncement, id, address, kind, zone,
                                                service, memoryMb, maxConcurrent, start, loaded,
                                                cached, loading, failing, leaving, lastOrder,
                                                failedOrders, coldFor, sequence)

/** @return Whether two announcements say the same, whatever their sequence numbers. */
inline bool sameContent(const TargetAnnouncement &a, TargetAnnouncement b)
{
    b.sequence = a.sequence;
    return a == b;
}

/** Kind of an order to an engine. */
enum class OrderAction {
    Load,
    Unload,
};
NLOHMANN_JSON_SERIALIZE_ENUM(OrderAction,
                             {{OrderAction::Load, "load"}, {OrderAction::Unload, "unload"}})

/** An order as sent to POST /orders of an engine. */
struct Order
{
    FencingNumber fencing;
    OrderAction action = OrderAction::Load;
    Variant variant;
    Version version;
    std::int64_t memoryMb = 0;
    StartNumber start; ///< Start that the order is meant for.
    TargetId target; ///< Whom it is meant for.
    std::optional<std::uint64_t> precondition; ///< Orders that the target has accepted so far.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Order, fencing, action, variant, version, memoryMb,
                                                start, target, precondition)

/** What a target says of itself when it is asked. */
struct TargetInspection
{
    std::uint64_t accepted = 0; ///< Orders that it has accepted since its start.
    bool busy = false; ///< An order is being carried out.
};

} // namespace bilberry
