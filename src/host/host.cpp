/** @file host.cpp Entry points of a host's decision logic. */
#include "host/host_internal.h"

#include "target/registry_func.h"

namespace bilberry {

namespace {

constexpr std::size_t MAX_PREFIX_HINTS = 4'096; ///< Maximum number of prefixes with hints.

void onCacheHint(Host &host, const CacheHint &hint)
{
    auto &targets = host.prefixHints[hint.prefix];
    if (targets.empty())
        host.prefixHintOrder.push_back(hint.prefix);
    targets.insert(hint.target);
    if (host.prefixHintOrder.size() <= MAX_PREFIX_HINTS)
        return;
    host.prefixHints.erase(host.prefixHintOrder.front());
    host.prefixHintOrder.pop_front();
}

void onTargetAnnounced(Host &host, const TargetAnnouncement &announcement, TimePoint now)
{
    LocalTarget &local = host.localTargets[announcement.id];
    const bool late = announcement.start < local.announcement.start
        || (announcement.start == local.announcement.start && local.heard != TimePoint{}
            && !followsInSequence(local.announcement, announcement));
    if (late)
        return;
    local.changed = local.changed || !equalExceptSequence(local.announcement, announcement);
    local.announcement = announcement;
    local.heard = now;
    host.earlyReportRequested = host.earlyReportRequested || local.changed;
}

/** Handles the shutdown of a target. The shutdown is reported to the leader even if the target is
 * not in Host::localTargets, since its announcements may have gone to another host. */
void onTargetShuttingDown(Host &host, const TargetId &target)
{
    host.targetsLeft.push_back(target);
    host.earlyReportRequested = true;
}

void onShutdown(Host &host, TimePoint now)
{
    if (host.leaving)
        return;
    host.leaving = true;
    host.leavingSince = now;
    limitDeadlines(host);
    host.earlyReportRequested = true;
}

} // namespace

double weightOf(const Host &host, const AccountId &account)
{
    const auto it = host.view.accounts.find(account);
    return it == host.view.accounts.end() ? 1 : it->second.weight;
}

Host makeHost(const HostSettings &settings, TimePoint now)
{
    Host host;
    host.settings = settings;
    host.reportDue = now;
    host.freshUntil = now;
    host.silentSince = now;
    return host;
}

HostEffects step(Host &host, const HostEvent &event, TimePoint now)
{
    HostEffects effects;
    // Before the event: a process that stood still must not send what has expired meanwhile.
    expireOperatorRequests(host, effects, now);
    if (const auto *asked = std::get_if<CallerRequest>(&event))
        onCallerRequest(host, *asked, effects, now);
    else if (const auto *gone = std::get_if<CallerDisconnected>(&event))
        onCallerDisconnected(host, gone->request, effects, now);
    else if (const auto *ended = std::get_if<AttemptEnded>(&event))
        onAttemptEnded(host, *ended, effects, now);
    else if (const auto *message = std::get_if<ControlMessageEvent>(&event))
        onControlMessage(host, message->message, effects, now);
    else if (const auto *link = std::get_if<ControlLinkEvent>(&event))
        onControlLink(host, link->connected, effects, now);
    else if (const auto *announced = std::get_if<TargetAnnounced>(&event))
        onTargetAnnounced(host, announced->announcement, now);
    else if (const auto *hint = std::get_if<CacheHint>(&event))
        onCacheHint(host, *hint);
    else if (const auto *request = std::get_if<OperatorRequest>(&event))
        onOperatorRequest(host, *request, effects, now);
    else if (const auto *presence = std::get_if<OperatorPresence>(&event))
        onOperatorPresence(host, *presence, effects, now);
    else if (std::holds_alternative<ShutdownEvent>(event))
        onShutdown(host, now);
    else if (const auto *named = std::get_if<ControlMemberIdentified>(&event))
        host.settings.member = named->member;
    else if (const auto *left = std::get_if<TargetShuttingDown>(&event))
        onTargetShuttingDown(host, left->target);
    else if (const auto *began = std::get_if<ResponseBegan>(&event))
        onResponseBegan(host, began->attempt, now);
    else if (const auto *stated = std::get_if<TargetStated>(&event))
        onTargetStated(host, *stated, effects, now);
    else if (const auto *tick = std::get_if<TickEvent>(&event))
        noteTimeOfDay(host, *tick, now);
    if (std::holds_alternative<TickEvent>(event))
        refuseTooLate(host, effects, now);
    refuseExpired(host, effects, now);
    dispatchAll(host, effects, now);
    if (std::holds_alternative<TickEvent>(event)) {
        std::vector<AccountId> waiting;
        for (const auto &[id, held] : host.accounts) {
            if (!held.waiting.empty())
                waiting.push_back(id);
        }
        for (const AccountId &id : waiting)
            admitWaiting(host, id, effects, now);
    }
    reportIfDue(host, effects, now);
    return effects;
}

bool isReady(const Host &host, TimePoint now)
{
    return !host.leaving && isFresh(host, now);
}

bool isDrained(const Host &host, TimePoint now)
{
    return host.leaving && now >= host.leavingSince + host.settings.drain && host.requests.empty()
        && host.callReports.empty() && !keepsUsage(host, now);
}

nlohmann::json dump(const Host &host, TimePoint now)
{
    nlohmann::json requests = nlohmann::json::array();
    for (const auto &[id, request] : host.requests) {
        nlohmann::json item = request;
        item["asked"].erase("key");
        requests.push_back(std::move(item));
    }
    nlohmann::json targets;
    for (const auto &[id, target] : host.targets)
        targets[id.value] = target;
    nlohmann::json accounts;
    for (const auto &[id, held] : host.accounts)
        accounts[id.value] = held;
    nlohmann::json local;
    for (const auto &[id, target] : host.localTargets)
        local[id.value] = target;
    nlohmann::json out{{"settings", host.settings},   {"ready", isReady(host, now)},
                       {"connected", host.connected}, {"term", host.term},
                       {"table", host.table},         {"registry", host.registry},
                       {"requests", requests},        {"queue", host.queue},
                       {"targets", targets},          {"accounts", accounts},
                       {"localTargets", local},       {"callReports", host.callReports.size()},
                       {"counters", host.counters}};
    if (host.settings.usageWindow > Duration::zero())
        out["usage"] = host.usage;
    return out;
}

} // namespace bilberry
