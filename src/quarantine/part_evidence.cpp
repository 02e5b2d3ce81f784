/** @file part_evidence.cpp Finds the parts of prompts that crash targets. */
#include "quarantine/part_evidence_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr int RESTRICTING_LOSSES
    = 2; ///< Losses from which requests with a part run as trials only.
constexpr int CONVICTING_TRIALS = 2; ///< Lost trials after which a part is quarantined.
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

/** @return Parts that all trials of the loss have in common; empty if no trial ran. */
std::set<PromptPart> partsOfAllTrials(const TargetLoss &loss)
{
    std::optional<std::set<PromptPart>> common;
    for (const auto &[id, lost] : loss.requests) {
        if (!lost.trial)
            continue;
        if (!common)
            common.emplace(lost.parts.begin(), lost.parts.end());
        std::erase_if(*common,
                      [&lost = lost](const PromptPart &part) { return !hasPart(lost, part); });
    }
    return common.value_or(std::set<PromptPart>());
}

/** @return The greatest index of each part in a request of the loss. */
std::map<PromptPart, std::size_t> positionsOf(const TargetLoss &loss)
{
    std::map<PromptPart, std::size_t> positions;
    for (const auto &[id, lost] : loss.requests) {
        for (std::size_t i = 0; i < lost.parts.size(); ++i)
            positions[lost.parts[i]] = std::max(positions[lost.parts[i]], i);
    }
    return positions;
}

/** @return Suspicions by the present losses and answers. */
std::map<PromptPart, PartSuspicion> countLosses(const PartEvidence &evidence)
{
    std::map<PromptPart, PartSuspicion> suspicions;
    for (const auto &[incarnation, loss] : evidence.losses) {
        const std::set<PromptPart> tried = partsOfAllTrials(loss);
        for (const auto &[part, position] : positionsOf(loss)) {
            if (!counts(evidence, loss, part))
                continue;
            PartSuspicion &suspicion = suspicions[part];
            ++suspicion.losses;
            suspicion.trialLosses += tried.contains(part) ? 1 : 0;
            suspicion.position = std::max(suspicion.position, position);
        }
    }
    return suspicions;
}

/** Removes the losses that count against no part any more, and the answers that no loss needs. */
void removeSettledLosses(PartEvidence &evidence)
{
    std::set<PromptPart> named;
    std::erase_if(evidence.losses, [&](const auto &item) {
        std::set<PromptPart> parts;
        bool open = false;
        for (const auto &[id, lost] : item.second.requests) {
            for (const PromptPart &part : lost.parts) {
                parts.insert(part);
                open = open || counts(evidence, item.second, part);
            }
        }
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
    if (!evidence.suspicions.contains(answered.part))
        return;
    const TimePoint begunAt = now - answered.age;
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
    std::tuple<int, std::size_t> best;
    for (const auto &[part, suspicion] : evidence.suspicions) {
        if (suspicion.trialLosses < CONVICTING_TRIALS || evidence.verdicts.contains(part))
            continue;
        const std::tuple rank(suspicion.losses, suspicion.position);
        if (found && rank <= best)
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
