/** @file crash_cmd.cpp Parts of prompts that may crash targets: evidence, trials and refusals. */
#include "host/host_internal.h"

#include "quarantine/part_evidence_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** A target that is lost sooner after a response began may have been crashed by that request. */
constexpr Duration SURVIVAL_TIME = 300ms;
constexpr std::size_t MAX_HELD_LOSSES = 128; ///< Maximum size of Host::heldLosses.
constexpr std::size_t MAX_REPORTED_LOSSES = 32; ///< Maximum number of losses in one report.
constexpr std::size_t MAX_ANSWERED_PARTS = 4'096; ///< Maximum size of Host::answeredParts.
constexpr std::size_t MAX_TRIALS_WANTED = 16; ///< Maximum size of HostReport::trialsWanted.

/** @return Whether the target has begun the response and was not lost at once. */
bool hasBegun(const Request &request, TimePoint now)
{
    return request.begunAt != TimePoint{} && now - request.begunAt >= SURVIVAL_TIME;
}

bool isRestricted(const Host &host, const PromptPart &part)
{
    const auto it = host.suspectedParts.find(part);
    return it != host.suspectedParts.end() && it->second;
}

bool hasTrial(const Host &host, const PromptPart &part, TimePoint now)
{
    const auto it = host.trials.find(part);
    return it != host.trials.end() && now < it->second;
}

/** Makes room for another part; responses that no loss can precede any more are forgotten. */
void makeRoom(std::map<PromptPart, TimePoint> &answered, TimePoint now)
{
    if (answered.size() < MAX_ANSWERED_PARTS)
        return;
    std::erase_if(answered, [&](const auto &item) { return now - item.second > LOSS_RETENTION; });
    if (answered.size() >= MAX_ANSWERED_PARTS)
        answered.erase(answered.begin());
}

void countResponse(Host &host, Request &request, TimePoint begunAt, TimePoint now)
{
    request.beginCounted = true;
    for (const PromptPart &part : request.asked.promptParts) {
        makeRoom(host.answeredParts, now);
        TimePoint &latest = host.answeredParts[part];
        latest = std::max(latest, begunAt);
    }
}

/** Counts the responses that began long enough ago and are still under way. */
void countBegunResponses(Host &host, TimePoint now)
{
    for (auto &[attempt, id] : host.attempts) {
        Request &request = host.requests.at(id);
        if (!request.beginCounted && hasBegun(request, now))
            countResponse(host, request, request.begunAt, now);
    }
}

/** @return Restricted parts of queued requests for which this host has no trial. */
std::vector<PromptPart> trialsWanted(const Host &host, TimePoint now)
{
    std::set<PromptPart> wanted;
    const bool any = std::any_of(host.suspectedParts.begin(), host.suspectedParts.end(),
                                 [](const auto &item) { return item.second; });
    if (!any)
        return {};
    for (const auto &[id, request] : host.requests) {
        if (request.state != RequestState::Queued || wanted.size() >= MAX_TRIALS_WANTED)
            continue;
        for (const PromptPart &part : request.asked.promptParts) {
            if (isRestricted(host, part) && !hasTrial(host, part, now))
                wanted.insert(part);
        }
    }
    return {wanted.begin(), wanted.end()};
}

/** Forgets the losses that the leader has, and that count against no part any more. */
void removeSettledLosses(Host &host)
{
    std::erase_if(host.heldLosses, [&](const HeldLoss &held) {
        const std::vector<PromptPart> &parts = held.lost.parts;
        return held.knownToTerm == host.term
            && std::none_of(parts.begin(), parts.end(), [&](const PromptPart &part) {
                   return host.suspectedParts.contains(part);
               });
    });
}

} // namespace

void onResponseBegan(Host &host, AttemptId attempt, TimePoint now)
{
    const auto it = host.attempts.find(attempt);
    if (it == host.attempts.end())
        return;
    Request &request = host.requests.at(it->second);
    request.begunAt = now;
    countBegun(host, request, now);
}

void recordResponse(Host &host, Request &request, TimePoint now)
{
    const bool begun = request.begunAt != TimePoint{};
    countResponse(host, request, begun ? request.begunAt : request.dispatchedAt, now);
}

void recordLostRequest(Host &host, Request &request, TimePoint now)
{
    const bool trial = request.trialUntil != TimePoint{};
    request.trialUntil = {};
    if (request.asked.promptParts.empty() || hasBegun(request, now))
        return;
    ++host.counters.lostUnanswered;
    if (host.heldLosses.size() >= MAX_HELD_LOSSES)
        host.heldLosses.pop_front();
    HeldLoss held;
    held.lost = {request.asked.request,     request.target, request.targetStart, {},
                 request.asked.promptParts, trial};
    held.lostAt = now;
    host.heldLosses.push_back(std::move(held));
    host.earlyReportRequested = true;
}

void reportCrashEvidence(Host &host, HostReport &report, TimePoint now)
{
    countBegunResponses(host, now);
    std::erase_if(host.heldLosses,
                  [&](const HeldLoss &held) { return now - held.lostAt > LOSS_RETENTION; });
    for (HeldLoss &held : host.heldLosses) {
        if (held.knownToTerm == host.term || report.lostRequests.size() >= MAX_REPORTED_LOSSES)
            continue;
        held.reportedIn = report.sequence;
        report.lostRequests.push_back(held.lost);
        report.lostRequests.back().age = now - held.lostAt;
    }
    for (const auto &[part, restricted] : host.suspectedParts) {
        const auto answered = host.answeredParts.find(part);
        if (answered != host.answeredParts.end())
            report.answeredParts.push_back({part, now - answered->second});
    }
    report.trialsWanted = trialsWanted(host, now);
}

void applySuspicions(Host &host, const HostGrant &grant, bool changed)
{
    for (HeldLoss &held : host.heldLosses) {
        if (held.reportedIn == grant.sequence)
            held.knownToTerm = grant.term;
    }
    if (changed) {
        host.suspectedParts.clear();
        for (const SuspectedPart &suspected : grant.suspectedParts)
            host.suspectedParts[suspected.part] = suspected.restricted;
    }
    removeSettledLosses(host);
    for (const PromptPart &part : grant.trials)
        host.trials[part] = grant.sentAt + PART_TRIAL_LEASE;
}

bool needsTrial(const Host &host, const Request &request)
{
    const std::vector<PromptPart> &parts = request.asked.promptParts;
    return !host.suspectedParts.empty()
        && std::any_of(parts.begin(), parts.end(),
                       [&](const PromptPart &part) { return isRestricted(host, part); });
}

bool mayDispatchSuspectedParts(const Host &host, const Request &request, TimePoint now)
{
    if (host.suspectedParts.empty() || now < request.trialUntil)
        return true;
    const std::vector<PromptPart> &parts = request.asked.promptParts;
    return std::all_of(parts.begin(), parts.end(), [&](const PromptPart &part) {
        return !isRestricted(host, part) || hasTrial(host, part, now);
    });
}

bool isolatesTrials(const Host &host, const KnownTarget &target, const Request &request,
                    TimePoint now)
{
    if (!needsTrial(host, request))
        return true;
    return std::none_of(target.running.begin(), target.running.end(), [&](RequestId id) {
        const Request &other = host.requests.at(id);
        return other.trialUntil != TimePoint{} && !hasBegun(other, now);
    });
}

void beginTrial(Host &host, Request &request, TimePoint now)
{
    request.begunAt = {};
    request.beginCounted = false;
    if (now < request.trialUntil || !needsTrial(host, request))
        return;
    ++host.counters.trials;
    request.trialUntil = now + PART_TRIAL_LEASE;
    for (const PromptPart &part : request.asked.promptParts) {
        const auto trial = host.trials.find(part);
        if (trial == host.trials.end())
            continue;
        request.trialUntil = std::min(request.trialUntil, trial->second);
        host.trials.erase(trial);
    }
}

std::optional<Duration> partQuarantineLeft(const Host &host, const CallerRequest &asked,
                                           TimePoint now)
{
    if (host.view.quarantines.empty())
        return std::nullopt;
    const Duration clock = host.clock + (now - host.clockAt);
    for (const PromptPart &part : asked.promptParts) {
        const auto it = host.view.quarantines.find(quarantineDigest(part));
        if (it != host.view.quarantines.end() && clock < it->second.until)
            return it->second.until - clock;
    }
    return std::nullopt;
}

void refuseQuarantinedParts(Host &host, HostEffects &effects, TimePoint now)
{
    std::vector<std::pair<RequestId, Duration>> quarantined;
    for (const auto &[id, request] : host.requests) {
        if (request.state == RequestState::Running)
            continue;
        if (const std::optional<Duration> left = partQuarantineLeft(host, request.asked, now))
            quarantined.emplace_back(id, *left);
    }
    for (const auto &[id, left] : quarantined)
        refuse(host, id, RefusalCode::PartQuarantined, effects, now, left);
}

} // namespace bilberry
