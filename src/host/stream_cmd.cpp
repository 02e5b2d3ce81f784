/** @file stream_cmd.cpp Keeps the events of a stream to the software version that began it. */
#include "host/host_internal.h"

#include "state/view_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr Duration MIN_LOAD_TIME = 1s; ///< No model is loaded in less.

/** @return Id under which the stream of the request is or was recorded. */
StreamId streamIdOf(const Request &request)
{
    const CallerRequest &asked = request.asked;
    return {request.account, asked.takesUp ? asked.resumes : asked.tag};
}

bool hasVersion(const KnownTarget &target, const StreamOrigin &origin)
{
    return target.announcement.service == origin.service
        && target.announcement.softwareVersion == origin.version;
}

bool isLeaving(const Host &host, const KnownTarget &target)
{
    return target.announcement.leaving || target.statedLeaving
        || !acceptsWork(host.view, target.announcement);
}

/** @return Whether a target of the origin holds the request's model, even if it is not eligible at
 * the moment. */
bool isServed(const Host &host, const Request &request)
{
    const auto serving = host.targetsByGroup.find(request.group);
    if (serving == host.targetsByGroup.end())
        return false;
    return std::any_of(serving->second.begin(), serving->second.end(), [&](const TargetId &id) {
        const KnownTarget &target = host.targets.at(id);
        return hasVersion(target, *request.origin) && !isLeaving(host, target);
    });
}

/** @return Whether a target of the origin may get the request now, if it has free slots. */
bool hasEligibleTarget(const Host &host, const Request &request, TimePoint now)
{
    const std::vector<TargetId> eligible = eligibleTargets(host, request.group, now);
    return std::any_of(eligible.begin(), eligible.end(), [&](const TargetId &id) {
        return hasVersion(host.targets.at(id), *request.origin);
    });
}

/** @return Whether any target of the origin stays, with the request's model or without. */
bool hasTargets(const Host &host, const StreamOrigin &origin)
{
    return std::any_of(host.targets.begin(), host.targets.end(), [&](const auto &item) {
        return hasVersion(item.second, origin) && !isLeaving(host, item.second);
    });
}

/** @return Whether no event of the stream can be with its caller, so that another version may begin
 * it. */
bool mayChangeOrigin(const Request &request)
{
    return !request.asked.takesUp && !request.relayed.begun;
}

/** @return Whether the leader knew a later registry than this host when it named the origin. */
bool isBehindOrigin(const Host &host, const Request &request)
{
    return std::pair(host.registryEpoch, host.registry)
        < std::pair(request.originEpoch, request.originRegistry);
}

/** Sets the origin of the request's stream, and goes on with the request. */
void applyOrigin(Host &host, Request &request, const StreamOrigin &origin, HostEffects &effects,
                 TimePoint now)
{
    request.origin = origin;
    request.proposedOrigin.reset();
    if (origin.service != request.group.service) {
        if (!routeLeadsTo(host.view, request.asked, origin.service)) {
            refuse(host, request.asked.request, RefusalCode::StreamVersionGone, effects, now);
            return;
        }
        request.group.service = origin.service;
        assignRank(host, request);
    }
    enqueueAdmitted(host, request, effects, now);
}

} // namespace

void requestOrigin(Host &host, const Request &request, HostEffects &effects)
{
    effects.push_back(
        SendControl{StreamQuery{host.settings.holder, request.asked.request, streamIdOf(request),
                                request.proposedOrigin, request.originRevision}});
}

bool awaitOriginOfTakeUp(Host &host, Request &request, HostEffects &effects, TimePoint now)
{
    if (!request.resumable || !request.asked.takesUp || request.origin)
        return false;
    if (request.asked.resumes.empty() || request.asked.resumes.size() > MAX_STREAM_ID_BYTES) {
        refuse(host, request.asked.request, RefusalCode::StreamUnknown, effects, now);
        return true;
    }
    request.state = RequestState::WaitingForOrigin;
    ++request.originRevision;
    requestOrigin(host, request, effects);
    return true;
}

bool awaitOriginOfDispatch(Host &host, Request &request, const KnownTarget &target,
                           HostEffects &effects)
{
    if (!request.resumable || request.origin)
        return false;
    const StreamOrigin origin{request.group.service, target.announcement.softwareVersion};
    const std::size_t idSize = request.asked.tag.size();
    if (idSize == 0 || idSize > MAX_STREAM_ID_BYTES) {
        request.origin = origin; // Without an id the caller cannot take up the stream.
        return false;
    }
    request.state = RequestState::WaitingForOrigin;
    request.proposedOrigin = origin;
    ++request.originRevision;
    requestOrigin(host, request, effects);
    return true;
}

void onStreamAnswer(Host &host, const StreamAnswer &answer, HostEffects &effects, TimePoint now)
{
    const auto it = host.requests.find(answer.request);
    if (it == host.requests.end())
        return;
    Request &request = it->second;
    if (request.state != RequestState::WaitingForOrigin
        || answer.revision != request.originRevision)
        return; // An answer to an earlier query.
    if (!answer.origin) {
        refuse(host, answer.request, RefusalCode::StreamUnknown, effects, now);
        return;
    }
    request.originEpoch = answer.registryEpoch;
    request.originRegistry = answer.registry;
    ++(request.asked.takesUp ? host.counters.streamsTakenUp : host.counters.streamsRecorded);
    applyOrigin(host, request, *answer.origin, effects, now);
}

bool fitsOrigin(const Request &request, const KnownTarget &target)
{
    return !request.origin || hasVersion(target, *request.origin);
}

bool refuseIfVersionGone(Host &host, Request &request, HostEffects &effects, TimePoint now)
{
    if (!request.origin)
        return false;
    if (mayChangeOrigin(request)) {
        if (!hasEligibleTarget(host, request, now))
            request.origin.reset();
        return false;
    }
    if (isServed(host, request))
        return false;
    // Its model can be loaded at a target of the version.
    const bool mayLoad = !request.relayed.begun && !request.group.variant.model.value.empty()
        && hasTargets(host, *request.origin) && now + MIN_LOAD_TIME < latestDispatch(request);
    if (mayLoad)
        return false;
    if (isBehindOrigin(host, request)) {
        host.promptReportRequested = host.earlyReportRequested = true;
        return false;
    }
    refuse(host, request.asked.request, RefusalCode::StreamVersionGone, effects, now);
    return true;
}

std::optional<std::string> lackedVersion(const Host &host, const Request &request)
{
    if (!request.origin || mayChangeOrigin(request) || isServed(host, request))
        return std::nullopt;
    return request.origin->version;
}

void refuseGoneVersions(Host &host, HostEffects &effects, TimePoint now)
{
    std::vector<RequestId> pinned;
    for (const auto &[id, request] : host.requests) {
        if (request.state == RequestState::Queued && request.origin)
            pinned.push_back(id);
    }
    for (const RequestId id : pinned)
        (void)refuseIfVersionGone(host, host.requests.at(id), effects, now);
}

} // namespace bilberry
