/** @file part_evidence.cpp Finds the parts of prompts that crash targets. */
#include "quarantine/part_evidence_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr int RESTRICTING_LOSSES
    = 2; ///< Losses from which requests with a part run as trials only.
constexpr int SINGLE_TRIAL_SCORE = 3; ///< For a lost trial of one restricted part.
constexpr int JOINT_TRIAL_SCORE = 2; ///< For the last of several parts that were tried together.
constexpr int CONVICTING_SCORE = 6; ///< A part with this score is quarantined.
constexpr std::size_t MAX_LOSSES = 256; ///< Further losses are ignored until old ones are removed.

/** @return Whether the loss counts against the part: no response on it has begun since. */
bool counts(const PartEvidence &evidence, const TargetLoss &loss, const PromptPart &part)
{
    const auto answered = evidence.answeredAt.find(part);
    return answered == evidence.answeredAt.end() || answered->second < loss.lostAt;
}

bool hasPart(const LostRequest &lost, const PromptPart &part)
{
    return std::find(lost.parts.begin(), lost.parts.end(), part) != lost.parts.end();
}

/** @return All parts of the requests of the loss. */
std::set<PromptPart> partsOf(const TargetLoss &loss)
{
    std::set<PromptPart> parts;
    for (const auto &[id, lost] : loss.requests)
        parts.insert(lost.parts.begin(), lost.parts.end());
    return parts;
}

/** @return Restricted parts of a request against which the loss counts, in their order. */
std::vector<PromptPart> testedParts(const PartEvidence &evidence,
                                    const std::map<PromptPart, PartSuspicion> &suspicions,
                                    const TargetLoss &loss, const LostRequest &lost)
{
    std::vector<PromptPart> tested;
    for (const PromptPart &part : lost.parts) {
        if (counts(evidence, loss, part) && isRestricted(suspicions.at(part)))
            tested.push_back(part);
    }
    return tested;
}

/** @return Parts that all trials of the loss have tested; empty if they differ. */
std::vector<PromptPart> testedByAllTrials(const PartEvidence &evidence,
                                          const std::map<PromptPart, PartSuspicion> &suspicions,
                                          const TargetLoss &loss)
{
    std::optional<std::vector<PromptPart>> common;
    for (const auto &[id, lost] : loss.requests) {
        if (!lost.trial)
            continue;
        std::vector<PromptPart> tested = testedParts(evidence, suspicions, loss, lost);
        if (common && *common != tested)
            return {};
        common = std::move(tested);
    }
    return common.value_or(std::vector<PromptPart>());
}

/**
 * Counts the trials of each loss. If several parts were tested together, the last one is the most
 * likely cause, since the fewest requests share it; a sound one is soon cleared by the others.
 */
void countTrials(const PartEvidence &evidence, std::map<PromptPart, PartSuspicion> &suspicions)
{
    for (const auto &[incarnation, loss] : evidence.losses) {
        const std::vector<PromptPart> tested = testedByAllTrials(evidence, suspicions, loss);
        if (!tested.empty())
            suspicions.at(tested.back()).trialScore
                += tested.size() == 1 ? SINGLE_TRIAL_SCORE : JOINT_TRIAL_SCORE;
    }
}

/** @return Suspicions by the present losses and answers. */
std::map<PromptPart, PartSuspicion> countLosses(const PartEvidence &evidence)
{
    std::map<PromptPart, PartSuspicion> suspicions;
    for (const auto &[incarnation, loss] : evidence.losses) {
        for (const PromptPart &part : partsOf(loss)) {
            if (!counts(evidence, loss, part))
                continue;
            PartSuspicion &suspicion = suspicions[part];
            const bool earliest = suspicion.losses == 0 || loss.lostAt < suspicion.firstLossAt;
            suspicion.firstLossAt = earliest ? loss.lostAt : suspicion.firstLossAt;
            ++suspicion.losses;
        }
    }
    countTrials(evidence, suspicions);
    return suspicions;
}

/** Removes the losses that count against no part any more, and the answers that no loss needs. */
void removeSettledLosses(PartEvidence &evidence)
{
    std::set<PromptPart> named;
    std::erase_if(evidence.losses, [&](const auto &item) {
        const std::set<PromptPart> parts = partsOf(item.second);
        const bool open = std::any_of(parts.begin(), parts.end(), [&](const PromptPart &part) {
            return counts(evidence, item.second, part);
        });
        if (open)
            named.insert(parts.begin(), parts.end());
        return !open;
    });
    std::erase_if(evidence.answeredAt,
                  [&](const auto &item) { return !named.contains(item.first); });
}

/** Derives the suspicions again after a change of the losses or answers. */
void update(PartEvidence &evidence)
{
    removeSettledLosses(evidence);
    const std::vector<SuspectedPart> before = suspectedParts(evidence);
    evidence.suspicions = countLosses(evidence);
    std::erase_if(evidence.trials,
                  [&](const auto &item) { return !evidence.suspicions.contains(item.first); });
    evidence.version += before == suspectedParts(evidence) ? 0 : 1;
}

} // namespace

void addLostRequest(PartEvidence &evidence, const HolderId &holder, const LostRequest &lost,
                    TimePoint now)
{
    const std::pair incarnation(lost.target, lost.start);
    const bool known = evidence.losses.contains(incarnation);
    if (lost.parts.empty() || lost.age > LOSS_RETENTION
        || (!known && evidence.losses.size() >= MAX_LOSSES))
        return;
    TargetLoss &loss = evidence.losses[incarnation];
    const TimePoint lostAt = now - lost.age;
    loss.lostAt = known ? std::min(loss.lostAt, lostAt) : lostAt;
    if (!loss.requests.emplace(std::pair(holder, lost.request), lost).second)
        return;
    if (lost.trial) {
        for (const PromptPart &part : lost.parts)
            evidence.trials.erase(part);
    }
    update(evidence);
}

void addAnsweredPart(PartEvidence &evidence, const AnsweredPart &answered, TimePoint now)
{
    const auto suspicion = evidence.suspicions.find(answered.part);
    const TimePoint begunAt = now - answered.age;
    // Hosts repeat their latest response while a part is suspected; most are older than the losses.
    if (suspicion == evidence.suspicions.end() || begunAt < suspicion->second.firstLossAt)
        return;
    TimePoint &latest = evidence.answeredAt.try_emplace(answered.part, begunAt).first->second;
    latest = std::max(latest, begunAt);
    update(evidence);
}

bool isRestricted(const PartSuspicion &suspicion)
{
    return suspicion.losses >= RESTRICTING_LOSSES;
}

std::vector<SuspectedPart> suspectedParts(const PartEvidence &evidence)
{
    std::vector<SuspectedPart> parts;
    for (const auto &[part, suspicion] : evidence.suspicions) {
        if (!evidence.verdicts.contains(part))
            parts.push_back({part, isRestricted(suspicion)});
    }
    for (const auto &[part, at] : evidence.verdicts)
        parts.push_back({part, true});
    return parts;
}

bool grantTrial(PartEvidence &evidence, const PromptPart &part, const HolderId &holder,
                TimePoint now)
{
    const auto suspicion = evidence.suspicions.find(part);
    const bool testable = suspicion != evidence.suspicions.end() && isRestricted(suspicion->second)
        && !evidence.verdicts.contains(part);
    if (!testable)
        return false;
    const auto [trial, added] = evidence.trials.try_emplace(part);
    if (!added && now < trial->second.until)
        return false;
    trial->second = {holder, now + PART_TRIAL_LEASE};
    return true;
}

std::optional<PromptPart> findCrashingPart(const PartEvidence &evidence)
{
    std::optional<PromptPart> found;
    std::pair<int, int> best;
    for (const auto &[part, suspicion] : evidence.suspicions) {
        const std::pair rank(suspicion.trialScore, suspicion.losses);
        if (suspicion.trialScore < CONVICTING_SCORE || evidence.verdicts.contains(part)
            || rank <= best)
            continue;
        found = part;
        best = rank;
    }
    return found;
}

void addVerdict(PartEvidence &evidence, const PromptPart &part, TimePoint now)
{
    evidence.verdicts[part] = now;
    std::erase_if(evidence.losses, [&](const auto &item) {
        const auto &requests = item.second.requests;
        return counts(evidence, item.second, part)
            && std::any_of(requests.begin(), requests.end(),
                           [&](const auto &entry) { return hasPart(entry.second, part); });
    });
    update(evidence);
}

void removeVerdict(PartEvidence &evidence, const PromptPart &part)
{
    evidence.version += evidence.verdicts.erase(part);
}

void removeOldLosses(PartEvidence &evidence, TimePoint now)
{
    const std::size_t removed = std::erase_if(evidence.losses, [&](const auto &item) {
        return now - item.second.lostAt > LOSS_RETENTION;
    });
    if (removed > 0)
        update(evidence);
}

Digest quarantineDigest(const PromptPart &part)
{
    return digestOf({"prompt part", part.value});
}

} // namespace bilberry
