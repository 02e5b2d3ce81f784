/** @file link_cmd.cpp A host's side of the control link: reports, grants, deltas. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration GRANT_PATIENCE_MOST = 500ms;
constexpr Duration LINK_SILENCE = 600ms; ///< Without any message, another control host is tried.
static_assert(GRANT_PATIENCE_MOST < LINK_SILENCE);
constexpr Duration RESEND_INTERVAL = 500ms;

void changeTerm(Host &host, std::uint64_t term)
{
    if (host.term == term)
        return;
    host.term = term;
    for (auto &[id, held] : host.accounts) {
        beginTerm(held.requests);
        beginTerm(held.tokens);
    }
    for (auto &[id, target] : host.targets) {
        beginTerm(target.slots);
        target.succeeded = target.overloaded = target.failed = 0;
    }
    for (auto &[id, local] : host.local)
        local.changed = true;
    host.reportWanted = true;
}

void unindex(Host &host, const TargetId &id)
{
    for (auto it = host.serving.begin(); it != host.serving.end();) {
        it->second.erase(id);
        it = it->second.empty() ? host.serving.erase(it) : std::next(it);
    }
}

void index(Host &host, const TargetAnnouncement &announcement)
{
    unindex(host, announcement.id);
    if (announcement.kind == TargetKind::Service)
        host.serving[{{}, announcement.service}].insert(announcement.id);
    for (const LoadedVariant &loaded : announcement.loaded)
        host.serving[{loaded.variant, announcement.service}].insert(announcement.id);
}

void dropTarget(Host &host, const TargetId &id)
{
    unindex(host, id);
    host.targets.erase(id);
}

void applyRegistry(Host &host, const RegistryDelta &delta, TimePoint now)
{
    if (delta.full) {
        std::set<TargetId> named;
        for (const TargetAnnouncement &announcement : delta.changed)
            named.insert(announcement.id);
        std::vector<TargetId> gone;
        for (const auto &[id, target] : host.targets) {
            if (!named.contains(id))
                gone.push_back(id);
        }
        for (const TargetId &id : gone)
            dropTarget(host, id);
    }
    for (const TargetId &id : delta.removed)
        dropTarget(host, id);
    for (const TargetAnnouncement &announcement : delta.changed) {
        KnownTarget &target = host.targets[announcement.id];
        // Another start is another target: slots, health and counts begin anew.
        if (target.announcement.start != announcement.start)
            target = {};
        target.announcement = announcement;
        target.declinedUntil.clear();
        target.loadingUntil.clear();
        for (const LoadingVariant &loading : announcement.loading)
            target.loadingUntil[loading.variant] = now + loading.left;
        if (announcement.coldFor > Duration::zero())
            target.coldUntil = now + announcement.coldFor;
        index(host, announcement);
    }
    host.registryEpoch = delta.epoch;
    host.registry = delta.version;
}

void takeGrants(Host &host, const HostGrant &grant, TimePoint now)
{
    const TimePoint expires = grant.sentAt + BUDGET_LEASE;
    for (const AccountGrant &item : grant.accounts) {
        HeldAccount &held = host.accounts[item.account];
        renew(held.requests, item.requests, expires);
        renew(held.tokens, item.tokens, expires);
        held.requestWait = item.requestWait;
        held.tokenWait = item.tokenWait;
        const auto [requests, tokens] = waitingNeed(host, held);
        const bool isShort = held.requests.balance() < requests || held.tokens.balance() < tokens;
        if (!isShort || item.settling)
            held.shortSince.reset();
        else if (!held.shortSince)
            held.shortSince = now;
    }
    for (const SlotGrant &item : grant.slots) {
        const auto target = host.targets.find(item.target);
        if (target == host.targets.end() || target->second.announcement.start != item.start)
            continue;
        renew(target->second.slots, item.slots, expires);
        target->second.limit = item.limit;
        target->second.share = item.share;
    }
    (void)now;
}

/**
 * Takes over what is in force.
 * @param late The grant answers an older report: what it brings may be known already.
 * @return Whether it could be.
 */
bool takeFacts(Host &host, const HostGrant &grant, bool late, TimePoint now)
{
    // A part of a table is of use to a host that has the rest.
    const bool fits = grant.table && (grant.table->full || host.table.value != 0);
    if (grant.table && (!late || (fits && grant.table->version > host.table))) {
        const bool applied = static_cast<bool>(applyDelta(host.view, *grant.table));
        host.table = applied ? grant.table->version : Version(0);
        if (!applied)
            return false;
    }
    const auto known = std::pair(host.registryEpoch, host.registry);
    if (grant.registry
        && (!late || std::pair(grant.registry->epoch, grant.registry->version) > known))
        applyRegistry(host, *grant.registry, now);
    host.freshUntil = std::max(host.freshUntil, grant.sentAt + host.settings.freshnessLease);
    return true;
}

void onGrant(Host &host, const HostGrant &grant, HostEffects &effects, TimePoint now)
{
    // With a leader that is late, a report given up too soon would make its answer useless.
    host.grantPatience
        = std::clamp<Duration>(2 * (now - grant.sentAt), GRANT_PATIENCE_LEAST, GRANT_PATIENCE_MOST);
    if (grant.term < host.term)
        return;
    // An answer to an older report: its facts hold, but its totals may be behind what was reported
    // since.
    if (grant.sequence != host.reportSequence) {
        (void)takeFacts(host, grant, true, now);
        return;
    }
    host.grantAwaited = false;
    const bool sameTerm = host.term == grant.term;
    changeTerm(host, grant.term);
    if (!takeFacts(host, grant, false, now))
        return;
    for (auto &[id, local] : host.local)
        local.changed = local.changed && local.heard > host.reportSentAt;
    for (const TargetId &id : grant.unknownTargets) {
        const auto local = host.local.find(id);
        if (local != host.local.end())
            local->second.changed = true;
    }
    if (!sameTerm || host.suspectsVersion != grant.suspectsVersion)
        host.suspects = {grant.suspects.begin(), grant.suspects.end()};
    host.suspectsVersion = grant.suspectsVersion;
    host.clock = grant.clock;
    host.clockAt = now;
    host.hostCount = std::max(grant.hostCount, 1);
    host.hostRank = grant.hostRank;
    if (grant.membershipIndex != host.membershipIndex && !grant.controlHosts.empty()) {
        host.membershipIndex = grant.membershipIndex;
        effects.push_back(SwitchControl{"", grant.controlHosts});
    }
    // Totals of a first grant of a term do not yet count what the host carries over.
    if (sameTerm)
        takeGrants(host, grant, now);
    // Tells the leader at once what is in force here. Among many hosts some target changes all the
    // time, and each change would be answered by a report of each of them.
    if ((grant.table || grant.registry) && host.hostCount <= FEW_HOSTS)
        host.reportWanted = true;
    std::vector<AccountId> accounts;
    for (const auto &[id, held] : host.accounts) {
        if (!held.waiting.empty())
            accounts.push_back(id);
    }
    for (const AccountId &id : accounts)
        drainBudgets(host, id, effects, now);
}

void onOperatorAnswer(Host &host, const OperatorAnswer &answer, HostEffects &effects)
{
    if (host.operatorCalls.erase(answer.id) > 0)
        effects.push_back(AnswerOperator{answer});
}

/** Sends again what the last control host may not have taken in. */
void resendOpen(Host &host, HostEffects &effects, TimePoint now)
{
    host.resendDue = now + RESEND_INTERVAL;
    for (const auto &[id, report] : host.callReports)
        effects.push_back(SendControl{report});
    for (const auto &[id, call] : host.operatorCalls)
        effects.push_back(SendControl{call});
    for (const auto &[id, request] : host.requests) {
        const bool open = request.state == RequestState::WaitingVerdict
            || request.state == RequestState::Joined;
        if (open)
            askVerdict(host, request, effects);
    }
}

/** Follows the hint; without one the silence limit decides, so that an election can end. */
void onNotLeader(const NotLeader &message, HostEffects &effects)
{
    if (!message.leaderAddress.empty())
        effects.push_back(SwitchControl{message.leaderAddress, {}});
}

void onRecall(Host &host, const Recall &recall)
{
    for (const AccountId &id : recall.accounts) {
        const auto held = host.accounts.find(id);
        if (held == host.accounts.end() || !held->second.waiting.empty())
            continue;
        // The demand estimate shrinks, so that the next report hands the rest back.
        held->second.requestDemand = 0;
        held->second.tokenDemand = 0;
    }
    host.reportWanted = true;
}

} // namespace

bool isFresh(const Host &host, TimePoint now)
{
    return now < host.freshUntil;
}

void onControlMessage(Host &host, const ControlMessage &message, HostEffects &effects,
                      TimePoint now)
{
    if (!std::holds_alternative<NotLeader>(message))
        host.linkProven = now;
    if (const auto *grant = std::get_if<HostGrant>(&message))
        onGrant(host, *grant, effects, now);
    else if (const auto *answer = std::get_if<CallAnswer>(&message))
        onCallAnswer(host, *answer, effects, now);
    else if (const auto *ack = std::get_if<CallReportAck>(&message))
        host.callReports.erase(ack->request);
    else if (const auto *operatorAnswer = std::get_if<OperatorAnswer>(&message))
        onOperatorAnswer(host, *operatorAnswer, effects);
    else if (const auto *recall = std::get_if<Recall>(&message))
        onRecall(host, *recall);
    else
        onNotLeader(std::get<NotLeader>(message), effects);
}

void onControlLink(Host &host, bool connected, HostEffects &effects, TimePoint now)
{
    host.connected = connected;
    host.grantAwaited = false;
    if (!connected)
        return;
    sendReport(host, effects, now);
    resendOpen(host, effects, now);
}

void reportIfDue(Host &host, HostEffects &effects, TimePoint now)
{
    if (now >= host.linkProven + LINK_SILENCE) {
        host.linkProven = now;
        effects.push_back(SwitchControl{"", {}});
        return;
    }
    if (!host.connected)
        return;
    const bool waits = host.grantAwaited && now < host.reportSentAt + host.grantPatience;
    const bool urgent = host.reportWanted && now >= host.reportSentAt + host.urgentPause;
    if (!waits && (urgent || now >= host.reportDue)) {
        noteUrgency(host, now);
        sendReport(host, effects, now);
    }
    if (now >= host.resendDue)
        resendOpen(host, effects, now);
}

} // namespace bilberry
