/** @file config_intake_base.h Configurations that wait at the leader to be written. */
#pragma once

#include "core/byte_budget_base.h"
#include "link/link_type.h"

#include <memory>
#include <optional>
#include <vector>

namespace bilberry {

/** Callers that may wait for a configuration at once; further ones get no answer and ask again. */
constexpr std::size_t MAX_CONFIG_CALLERS = 256;

/** A host that waits for the acknowledgement of a configuration. */
struct ConfigCaller
{
    HolderId holder;
    std::uint64_t call = 0; ///< OperatorCall::id.
    Version number; ///< Of the configuration; acknowledged once this or a higher one is in force.
    TimePoint expires; ///< The host has given the call up then.
};

/**
 * One configuration at a time is written: the highest that is asked for. Those below it need not be
 * written, as it overtakes them; so however many are asked for in quick succession, the leader
 * keeps one that waits and has one in its log that is not applied.
 */
struct ConfigIntake
{
    Version proposed; ///< Number of the last proposed configuration; it may not be applied yet.
    std::optional<ReplaceConfig> newest; ///< Highest number that waits to be proposed.
    std::shared_ptr<const HeldRoom> room; ///< Of @c newest.
    std::vector<ConfigCaller> callers;
};

} // namespace bilberry
