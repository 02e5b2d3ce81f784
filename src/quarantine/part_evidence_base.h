/** @file part_evidence_base.h The leader's evidence on which parts of prompts crash targets. */
#pragma once

#include "account/leased_pool_base.h"
#include "quarantine/crash_type.h"

#include <map>
#include <set>

namespace bilberry {

/** Loss of one incarnation of a target. */
struct TargetLoss
{
    TimePoint lostAt; ///< Earliest time reported.
    std::map<std::pair<HolderId, RequestId>, LostRequest> requests;
};

/** Losses that count against one part. */
struct PartSuspicion
{
    int losses = 0;
    TimePoint firstLossAt; ///< Time of the earliest of these losses.
    int trialScore = 0; ///< Weight of the losses in which all trials were trials of this part.
};

/** Permission of one host to dispatch one request with a restricted part. */
struct PartTrial
{
    HolderId holder;
    TimePoint until; ///< End of the lease.
};

/**
 * Evidence on parts. A loss counts against the parts of the requests that the target had not begun
 * to answer, unless a response on the part has begun later anywhere.
 */
struct PartEvidence
{
    std::map<std::pair<TargetId, Incarnation>, TargetLoss> losses;
    std::map<PromptPart, TimePoint> answeredAt; ///< Only parts of @c losses.
    std::map<PromptPart, PartSuspicion> suspicions; ///< Derived from the members above.
    std::map<PromptPart, PartTrial> trials; ///< Trials whose outcome is not known.
    /** Parts to quarantine, with the time of the verdict; restricted without trials until all hosts
     * have the quarantine. */
    std::map<PromptPart, TimePoint> verdicts;
    std::uint64_t version
        = 0; ///< Grows when a part becomes or ceases to be suspected or restricted.
};

} // namespace bilberry
