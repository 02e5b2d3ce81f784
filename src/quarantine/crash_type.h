/** @file crash_type.h What hosts report about the parts of prompts when a target is lost. */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <vector>

namespace bilberry {

/** A request that was lost with its target before the target had begun the response. */
struct LostRequest
{
    RequestId request; ///< Unique per run of the reporting host.
    TargetId target;
    Incarnation start; ///< Incarnation of @c target that was lost.
    Duration age{}; ///< Time since the loss.
    std::vector<PromptPart> parts; ///< Shared parts of the prompt, in their order.
    bool trial = false; ///< Whether the request was dispatched as a trial of its parts.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LostRequest, request, target, start, age, parts,
                                                trial)

/** A part on which a target has begun a response without being lost. */
struct AnsweredPart
{
    PromptPart part;
    Duration age{}; ///< Time since the latest such response began.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AnsweredPart, part, age)

/** A part that may be the cause of a target's loss. */
struct SuspectedPart
{
    PromptPart part;
    /** Whether requests with the part are dispatched only as trials that the leader has granted. */
    bool restricted = false;

    friend bool operator==(const SuspectedPart &, const SuspectedPart &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SuspectedPart, part, restricted)

} // namespace bilberry
