/** @file unmet_need_type.h Needs for a replica that the latest placement pass has not met. */
#pragma once

#include "core/ids_type.h"
#include "core/json_func.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace bilberry {

/** Why a pass has ordered no load for a need. */
enum class UnmetReason {
    AwaitsUnload, ///< An unload that is decided makes room for it.
    NoBaseReplica, ///< Adapter: no target has its base model ready.
    AdapterLoadsBusy, ///< Adapter: as many adapters are being loaded as may be.
    StoreBusy, ///< Model: no target has a copy, and the weight store takes no further load.
    NotSearched, ///< The pass has searched for evictions for other needs.
    NoRoom, ///< No target that may take an order has room, free or evictable.
};
NLOHMANN_JSON_SERIALIZE_ENUM(UnmetReason,
                             {{UnmetReason::AwaitsUnload, "awaitsUnload"},
                              {UnmetReason::NoBaseReplica, "noBaseReplica"},
                              {UnmetReason::AdapterLoadsBusy, "adapterLoadsBusy"},
                              {UnmetReason::StoreBusy, "storeBusy"},
                              {UnmetReason::NotSearched, "notSearched"},
                              {UnmetReason::NoRoom, "noRoom"}})

/** A variant that lacks a replica. */
struct UnmetNeed
{
    Variant variant;
    TimePoint since; ///< Time since when it has lacked one.
    UnmetReason reason = UnmetReason::NoRoom;
};

constexpr std::size_t MAX_OLDEST_UNMET = 4; ///< Needs that are told one by one.

/** The needs for a first replica that the latest pass has not met. */
struct UnmetNeeds
{
    std::map<UnmetReason, int> counts;
    std::vector<UnmetNeed> oldest; ///< At most MAX_OLDEST_UNMET, the oldest one first.
};

} // namespace bilberry
