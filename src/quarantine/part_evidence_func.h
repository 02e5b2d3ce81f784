/** @file part_evidence_func.h Finds the parts of prompts that crash targets. */
#pragma once

#include "quarantine/part_evidence_base.h"

#include <optional>

namespace bilberry {

/** Lease of a trial; counted from the host's report on the host, from its arrival on the leader. */
constexpr Duration PART_TRIAL_LEASE = 3s;
/** Time for which a loss counts. */
constexpr Duration LOSS_RETENTION = 60s;

/** Counts a loss against the parts of a lost request. Repeated reports change nothing. */
void addLostRequest(PartEvidence &evidence, const HolderId &holder, const LostRequest &lost,
                    TimePoint now);

/** Clears a part of all losses before the time at which a response on it began. */
void addAnsweredPart(PartEvidence &evidence, const AnsweredPart &answered, TimePoint now);

/** @return Whether requests with the part may be dispatched only as trials. */
bool isRestricted(const PartSuspicion &suspicion);

/** @return All suspected parts. */
std::vector<SuspectedPart> suspectedParts(const PartEvidence &evidence);

/**
 * Grants a trial of a restricted part, one at a time over all hosts.
 * @return Whether the holder may dispatch one request with the part.
 */
bool grantTrial(PartEvidence &evidence, const PromptPart &part, const HolderId &holder,
                TimePoint now);

/** @return The part whose trials show that it crashes targets, if there is one. */
std::optional<PromptPart> findCrashingPart(const PartEvidence &evidence);

/**
 * Records the verdict that @p part crashes targets. The losses that it explains no longer count
 * against other parts.
 */
void addVerdict(PartEvidence &evidence, const PromptPart &part, TimePoint now);

/** Removes a verdict, once all hosts have the quarantine. */
void removeVerdict(PartEvidence &evidence, const PromptPart &part);

/** Removes losses that are older than LOSS_RETENTION. */
void removeOldLosses(PartEvidence &evidence, TimePoint now);

/** @return Key of the part's quarantine; differs from the digest of every request. */
Digest quarantineDigest(const PromptPart &part);

} // namespace bilberry
