/** @file crash_report.cpp Handles reports of lost targets: suspects, trials and quarantines. */
#include "control/control_internal.h"

#include "quarantine/part_evidence_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr std::size_t QUARANTINE_MIN_LOSSES
    = 2; ///< A request is quarantined if it was the only suspect on this many lost targets.
constexpr Duration QUARANTINE_DELAY = 300ms; ///< Time for other hosts to report the same loss.
constexpr Duration CRASH_RECORD_RETENTION
    = 10min; ///< Counted from the latest report on the request.
constexpr Duration QUARANTINE_DURATION = 10min;
constexpr std::size_t MAX_CRASH_RECORDS = 10'000;
/** Suspects are cleared one by one, and each new list goes to all hosts. */
constexpr Duration SUSPECTS_REMOVAL_INTERVAL = 1s;
/** A host has the quarantine this long after the verdict, or its freshness lease has ended. */
constexpr Duration VERDICT_RETENTION = 2 * FRESHNESS_LEASE;
/** Limit of quarantined requests and parts; beyond it, suspected parts stay restricted. */
constexpr std::size_t MAX_QUARANTINES = 10'000;

/** Number of suspects that ran alone, by lost target. */
using LoneSuspects = std::map<std::pair<TargetId, Incarnation>, int>;

LoneSuspects countLoneSuspects(const Leadership &leadership)
{
    LoneSuspects suspects;
    for (const auto &[request, record] : leadership.crashRecords) {
        for (const auto &[target, alone] : record.targets)
            suspects[target] += alone ? 1 : 0;
    }
    return suspects;
}

/** @return Number of lost targets on which @p record is the only suspect that ran alone. */
std::size_t countUnambiguousLosses(const LoneSuspects &suspects, const CrashRecord &record)
{
    const auto count
        = std::count_if(record.targets.begin(), record.targets.end(), [&](const auto &item) {
              return item.second && suspects.at(item.first) == 1;
          });
    return static_cast<std::size_t>(count);
}

/** @return Whether the record may be judged now, and suffices for a quarantine if no other request
 * is suspected for the same losses. */
bool mayBeQuarantined(const CrashRecord &record, TimePoint now)
{
    return now - record.lastReportedAt >= QUARANTINE_DELAY
        && record.targets.size() >= QUARANTINE_MIN_LOSSES;
}

/** @return Requests that crash targets. */
std::vector<Digest> findCrashingRequests(const Leadership &leadership, TimePoint now)
{
    std::vector<Digest> found;
    LoneSuspects suspects;
    for (const auto &[request, record] : leadership.crashRecords) {
        if (!mayBeQuarantined(record, now))
            continue;
        if (suspects.empty())
            suspects = countLoneSuspects(leadership);
        if (countUnambiguousLosses(suspects, record) >= QUARANTINE_MIN_LOSSES)
            found.push_back(request);
    }
    return found;
}

nlohmann::json describe(const LostRequest &lost)
{
    return {{"target", lost.target},
            {"start", lost.start},
            {"parts", lost.parts},
            {"trial", lost.trial},
            {"ageMs", toMilliseconds(lost.age)}};
}

/** Logs which parts became suspected or restricted, and which ceased to be. */
void logSuspicionChanges(const std::map<PromptPart, PartSuspicion> &before,
                         const std::map<PromptPart, PartSuspicion> &after, ControlEffects &effects)
{
    for (const auto &[part, suspicion] : after) {
        const auto known = before.find(part);
        if (known != before.end() && known->second.losses == suspicion.losses)
            continue;
        effects.logEvents.push_back({"partSuspected",
                                     {{"part", part},
                                      {"losses", suspicion.losses},
                                      {"trialScore", suspicion.trialScore},
                                      {"restricted", isRestricted(suspicion)}}});
    }
    for (const auto &[part, suspicion] : before) {
        if (!after.contains(part))
            effects.logEvents.push_back({"partCleared", {{"part", part}}});
    }
}

/** Takes over the report's evidence on parts of prompts. */
void recordPartEvidence(Leadership &leadership, const HostReport &report, ControlEffects &effects,
                        TimePoint now)
{
    if (report.lostRequests.empty() && report.answeredParts.empty())
        return;
    PartEvidence &evidence = leadership.partEvidence;
    const std::map<PromptPart, PartSuspicion> before = evidence.suspicions;
    for (const LostRequest &lost : report.lostRequests) {
        nlohmann::json line = describe(lost);
        line["host"] = report.holder.host;
        effects.logEvents.push_back({"requestLostUnanswered", std::move(line)});
        addLostRequest(evidence, report.holder, lost, now);
    }
    for (const AnsweredPart &answered : report.answeredParts)
        addAnsweredPart(evidence, answered, now);
    logSuspicionChanges(before, evidence.suspicions, effects);
}

/** Lets all hosts have a list of suspects without those that were removed since the last one. */
void publishRemovedSuspects(Leadership &leadership, TimePoint now)
{
    if (!leadership.suspectsRemoved || now < leadership.suspectsRemovalDue)
        return;
    leadership.suspectsRemoved = false;
    leadership.suspectsRemovalDue = now + SUSPECTS_REMOVAL_INTERVAL;
    ++leadership.suspectsVersion;
}

void quarantine(Control &control, const Digest &digest, ControlEffects &effects, TimePoint now)
{
    const Quarantine record{digest, clusterTime(control, now) + QUARANTINE_DURATION};
    (void)proposeCommand(control, SetQuarantine{record}, {}, effects, now);
}

/** Quarantines parts that crash targets; removes the verdicts that all hosts have. */
void quarantineParts(Control &control, ControlEffects &effects, TimePoint now)
{
    PartEvidence &evidence = control.leadership->partEvidence;
    const std::map<Digest, Quarantine> &quarantines = control.cluster.view.quarantines;
    removeOldLosses(evidence, now);
    const std::optional<PromptPart> found = findCrashingPart(evidence);
    if (found && quarantines.size() < MAX_QUARANTINES) {
        const PartSuspicion suspicion = evidence.suspicions.at(*found);
        addVerdict(evidence, *found, now);
        quarantine(control, quarantineDigest(*found), effects, now);
        effects.logEvents.push_back({"partQuarantined",
                                     {{"part", *found},
                                      {"losses", suspicion.losses},
                                      {"trialScore", suspicion.trialScore},
                                      {"forMs", toMilliseconds(QUARANTINE_DURATION)}}});
    }
    std::vector<PromptPart> known;
    for (auto &[part, since] : evidence.verdicts) {
        if (now < since + VERDICT_RETENTION)
            continue;
        if (quarantines.contains(quarantineDigest(part))) {
            known.push_back(part);
            continue;
        }
        since = now; // The entry was not committed.
        quarantine(control, quarantineDigest(part), effects, now);
    }
    for (const PromptPart &part : known)
        removeVerdict(evidence, part);
}

} // namespace

void recordSuspicions(Leadership &leadership, const HostReport &report, ControlEffects &effects,
                      TimePoint now)
{
    recordPartEvidence(leadership, report, effects, now);
    for (const Digest &cleared : report.cleared) {
        if (leadership.crashRecords.erase(cleared) > 0)
            leadership.suspectsRemoved = true;
    }
    for (const CrashSuspicion &suspicion : report.suspicions) {
        if (leadership.crashRecords.size() >= MAX_CRASH_RECORDS)
            return;
        const auto [it, added] = leadership.crashRecords.try_emplace(suspicion.request);
        leadership.suspectsVersion += added ? 1 : 0;
        CrashRecord &record = it->second;
        bool &alone = record.targets[{suspicion.target, suspicion.start}];
        alone = alone || suspicion.alone;
        record.lastReportedAt = now;
    }
}

void addSuspects(const Leadership &leadership, const HostReport &report, HostGrant &grant)
{
    grant.suspectsVersion = leadership.suspectsVersion + leadership.partEvidence.version;
    if (report.term == leadership.term && report.suspectsVersion == grant.suspectsVersion)
        return;
    for (const auto &[request, record] : leadership.crashRecords)
        grant.suspects.push_back(request);
    grant.suspectedParts = suspectedParts(leadership.partEvidence);
}

void grantTrials(Leadership &leadership, const HostReport &report, HostGrant &grant,
                 ControlEffects &effects, TimePoint now)
{
    for (const PromptPart &part : report.trialsWanted) {
        if (!grantTrial(leadership.partEvidence, part, report.holder, now))
            continue;
        grant.trials.push_back(part);
        effects.logEvents.push_back({"partTrial", {{"part", part}, {"host", report.holder.host}}});
    }
}

void quarantineSuspects(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    quarantineParts(control, effects, now);
    const std::size_t expired = std::erase_if(leadership.crashRecords, [&](const auto &item) {
        return now - item.second.lastReportedAt > CRASH_RECORD_RETENTION;
    });
    leadership.suspectsRemoved = leadership.suspectsRemoved || expired > 0;
    for (const Digest &request : findCrashingRequests(leadership, now)) {
        leadership.crashRecords.erase(request);
        leadership.suspectsRemoved = true;
        quarantine(control, request, effects, now);
    }
    publishRemovedSuspects(leadership, now);
}

} // namespace bilberry
