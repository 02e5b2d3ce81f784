/** @file link_cmd.cpp A host's connection to the leader: received messages, due reports. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "queue/urgency_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr Duration MAX_GRANT_TIMEOUT = 500ms; ///< Maximum of Host::grantTimeout.
/** After this time without a message, the host connects to another control host. */
constexpr Duration LINK_TIMEOUT = 600ms;
static_assert(MAX_GRANT_TIMEOUT < LINK_TIMEOUT);
constexpr Duration RESEND_INTERVAL = 500ms; ///< Time between resends of unacknowledged messages.

/** Carries the held budgets and slots over to a new leader's term; resets the target counters. */
void changeTerm(Host &host, std::uint64_t term)
{
    if (host.term == term)
        return;
    host.term = term;
    for (auto &[id, held] : host.accounts) {
        resetForNewTerm(held.requests);
        resetForNewTerm(held.tokens);
        held.shortSince.reset();
        held.reported.reset();
        held.confirmed.reset();
    }
    for (auto &[id, target] : host.targets) {
        resetForNewTerm(target.slots);
        target.succeeded = target.overloaded = target.failed = 0;
    }
    reportRatesAgain(host);
    // The next leader counts the versions of its forecasts anew.
    host.forecasts.version = 0;
    for (auto &[id, local] : host.localTargets)
        local.changed = true;
    host.earlyReportRequested = true;
    // The leader's totals are complete once it knows what this host has carried over.
    host.promptReportRequested = true;
}

/** Removes a target from the index of targets by work group. */
void removeFromIndex(Host &host, const TargetId &id)
{
    for (auto it = host.targetsByGroup.begin(); it != host.targetsByGroup.end();) {
        it->second.erase(id);
        it = it->second.empty() ? host.targetsByGroup.erase(it) : std::next(it);
    }
}

/** Adds a target to the index of targets by work group, under all groups that it serves now. */
void addToIndex(Host &host, const TargetAnnouncement &announcement)
{
    removeFromIndex(host, announcement.id);
    if (announcement.kind == TargetKind::Service)
        host.targetsByGroup[{{}, announcement.service}].insert(announcement.id);
    for (const LoadedVariant &loaded : announcement.loaded)
        host.targetsByGroup[{loaded.variant, announcement.service}].insert(announcement.id);
}

void dropTarget(Host &host, const TargetId &id)
{
    host.unconfirmedRates.erase(id);
    removeFromIndex(host, id);
    host.targets.erase(id);
}

/** Applies a change of the target registry. */
void applyRegistry(Host &host, const RegistryDelta &delta, HostEffects &effects, TimePoint now)
{
    if (delta.full) {
        std::set<TargetId> listed;
        for (const auto &announcement : delta.changed)
            listed.insert(announcement->id);
        std::vector<TargetId> gone;
        for (const auto &[id, target] : host.targets) {
            if (!listed.contains(id))
                gone.push_back(id);
        }
        for (const TargetId &id : gone)
            dropTarget(host, id);
    }
    for (const TargetId &id : delta.removed)
        dropTarget(host, id);
    for (const auto &changed : delta.changed) {
        const TargetAnnouncement &announcement = *changed;
        KnownTarget &target = host.targets[announcement.id];
        // For a new incarnation of a target, slots, health and counters are reset.
        if (target.announcement.start != announcement.start
            || target.announcement.softwareVersion != announcement.softwareVersion)
            target = {};
        std::vector<CachedModel> cached = std::move(target.announcement.cached);
        target.announcement = announcement;
        if (announcement.cachedIsKnown)
            target.announcement.cached = std::move(cached);
        // The leader's word replaces the host's, unless the leader does not know the host's yet.
        if (!host.unconfirmedRates.contains(announcement.id) || !target.requestRate)
            setRequestRate(target, announcement.requestRate, effects, now);
        target.declinedUntil.clear();
        target.loadingUntil.clear();
        for (const LoadingVariant &loading : announcement.loading)
            target.loadingUntil[loading.variant] = now + loading.left;
        if (announcement.coldFor > Duration::zero())
            target.coldUntil = now + announcement.coldFor;
        addToIndex(host, announcement);
    }
    host.registryEpoch = delta.epoch;
    host.registry = delta.version;
}

/** Takes over the leader's forecasts. Those of an earlier leader hold until the next one has made
 * its own. @return Whether the grant contains new ones. */
bool applyForecasts(Host &host, const HostGrant &grant, TimePoint now)
{
    if (grant.forecastsVersion == 0)
        return false;
    host.forecasts.confirmedAt = now;
    if (!grant.forecasts)
        return false;
    host.forecasts.version = grant.forecastsVersion;
    host.forecasts.loadedAt.clear();
    host.forecasts.unlistedFrom.reset();
    for (const LoadForecast &forecast : *grant.forecasts) {
        if (forecast.variant.model.value.empty())
            host.forecasts.unlistedFrom = now + forecast.left;
        else
            host.forecasts.loadedAt[forecast.variant] = now + forecast.left;
    }
    ++host.counters.forecastLists;
    return true;
}

/** Notes what the leader knows of the accounts, as it has answered the last report. */
void confirmAccounts(Host &host)
{
    for (auto &[id, held] : host.accounts) {
        if (held.reported)
            held.confirmed = held.reported;
    }
}

/** @return Whether the host has brought nothing of the pool into the term. The leader's totals do
 * not include in the first grant of a term what the host has carried over or overrun. */
bool isNewToTerm(const HeldPool &pool)
{
    return pool.carried == 0 && pool.spent == 0;
}

/**
 * Takes over the leader's totals of budgets and slots; extends their leases.
 * @param firstOfTerm Whether the grant is the first one of its term.
 */
void applyGrants(Host &host, const HostGrant &grant, bool firstOfTerm, TimePoint now)
{
    const TimePoint expires = grant.sentAt + BUDGET_LEASE;
    for (const AccountGrant &item : grant.accounts) {
        AccountLease &held = host.accounts[item.account];
        if (firstOfTerm && !(isNewToTerm(held.requests) && isNewToTerm(held.tokens)))
            continue;
        renewLease(held.requests, item.requests, expires);
        renewLease(held.tokens, item.tokens, expires);
        held.requestWait = item.requestWait;
        held.tokenWait = item.tokenWait;
        const auto [requests, tokens] = waitingDemand(host, held);
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
        if (firstOfTerm && !isNewToTerm(target->second.slots))
            continue;
        renewLease(target->second.slots, item.slots, expires);
        target->second.limit = item.limit;
        target->second.share = item.share;
    }
    if (!firstOfTerm)
        applyRateGrants(host, grant, expires, now);
}

/** @return Whether the change has records that ranks depend on. */
bool changesRanks(const TableDelta &delta)
{
    return delta.full
        || std::any_of(delta.records.begin(), delta.records.end(), [](const Record &record) {
               return record.key.kind == RecordKind::Account || record.key.kind == RecordKind::Route
                   || record.key.kind == RecordKind::Model;
           });
}

/**
 * Applies the configuration and registry changes of a grant, and extends their freshness lease.
 * @param late Whether the grant answers an older report; its changes may be known already.
 * @return False if the configuration change could not be applied; the whole configuration is then
 *         requested again.
 */
bool applySharedState(Host &host, const HostGrant &grant, bool late, HostEffects &effects,
                      TimePoint now)
{
    // A partial change applies only to a host that has a version of the table already.
    const bool fits = grant.table && (grant.table->full || host.table.value != 0);
    if (grant.table && (!late || (fits && grant.table->version > host.table))) {
        const bool applied = static_cast<bool>(applyDelta(host.view, *grant.table));
        host.table = applied ? grant.table->version : Version(0);
        if (changesRanks(*grant.table))
            host.ranks = makeRankTable(host.view);
        if (!applied)
            return false;
    }
    const auto known = std::pair(host.registryEpoch, host.registry);
    if (grant.registry
        && (!late || std::pair(grant.registry->epoch, grant.registry->version) > known))
        applyRegistry(host, *grant.registry, effects, now);
    host.freshUntil = std::max(host.freshUntil, grant.sentAt + host.settings.freshnessLease);
    return true;
}

/** Handles the leader's answer to a report. */
void onGrant(Host &host, const HostGrant &grant, HostEffects &effects, TimePoint now)
{
    // The timeout follows the leader's response time. A shorter timeout would repeat the report
    // with a new sequence number before the answer arrives, and the answer would be discarded.
    host.grantTimeout
        = std::clamp<Duration>(2 * (now - grant.sentAt), MIN_GRANT_TIMEOUT, MAX_GRANT_TIMEOUT);
    host.grantDelay = now - grant.sentAt;
    recordDuration(host.counters.grantDelays, host.grantDelay);
    if (grant.term < host.term)
        return;
    host.lastGrantAt = now;
    applyUsageGrant(host, grant, now);
    // A grant that answers an older report: its configuration and registry are valid, but its
    // totals may not include the amounts in later reports.
    if (grant.sequence != host.reportSequence) {
        (void)applySharedState(host, grant, true, effects, now);
        return;
    }
    host.awaitingGrant = false;
    const bool sameTerm = host.term == grant.term;
    confirmRates(host);
    if (sameTerm)
        confirmAccounts(host);
    changeTerm(host, grant.term);
    if (!applySharedState(host, grant, false, effects, now))
        return;
    for (auto &[id, local] : host.localTargets)
        local.changed = local.changed && (!sameTerm || local.heard > host.reportSentAt);
    for (const TargetId &id : grant.unknownTargets) {
        const auto local = host.localTargets.find(id);
        if (local != host.localTargets.end())
            local->second.changed = true;
    }
    const bool suspectsChanged = !sameTerm || host.suspectsVersion != grant.suspectsVersion;
    if (suspectsChanged)
        host.suspects = {grant.suspects.begin(), grant.suspects.end()};
    host.suspectsVersion = grant.suspectsVersion;
    applySuspicions(host, grant, suspectsChanged);
    host.clock = grant.clock;
    host.clockAt = now;
    host.hostCount = std::max(grant.hostCount, 1);
    host.hostRank = grant.hostRank;
    if (grant.table && !host.view.quarantines.empty())
        refuseQuarantinedParts(host, effects, now);
    if (grant.membershipIndex != host.membershipIndex && !grant.controlHosts.empty()) {
        host.membershipIndex = grant.membershipIndex;
        effects.push_back(SwitchControlHost{"", grant.controlHosts});
    }
    if (grant.registry)
        refuseGoneVersions(host, effects, now);
    if (applyForecasts(host, grant, now))
        refuseLateLoads(host, effects, now);
    applyGrants(host, grant, !sameTerm, now);
    if (sameTerm)
        refuseLateTurns(host, effects, now);
    // Confirms the new versions to the leader at once, in small clusters only: in large ones, some
    // target changes all the time, and each change would cause an early report from every host.
    if ((grant.table || grant.registry) && host.hostCount <= SMALL_CLUSTER_HOSTS)
        host.earlyReportRequested = true;
    std::vector<AccountId> accounts;
    for (const auto &[id, held] : host.accounts) {
        if (!held.waiting.empty())
            accounts.push_back(id);
    }
    for (const AccountId &id : accounts)
        admitWaiting(host, id, effects, now);
}

/** Resends messages that have not been acknowledged; the leader may not have received them. */
void resendPending(Host &host, HostEffects &effects, TimePoint now)
{
    host.resendDue = now + RESEND_INTERVAL;
    for (const auto &[id, report] : host.callReports)
        effects.push_back(SendControl{report});
    resendOperatorRequests(host, effects, now);
    for (const auto &[id, request] : host.requests) {
        const bool open = request.state == RequestState::WaitingForVerdict
            || request.state == RequestState::Joined;
        if (open)
            requestCallVerdict(host, request, effects);
        if (request.state == RequestState::WaitingForOrigin)
            requestOrigin(host, request, effects);
    }
}

/** Connects to the leader that the message names. If it names none, the host stays connected until
 * the connection times out, which gives a running election time to end. */
void onNotLeader(const NotLeader &message, HostEffects &effects)
{
    if (!message.leaderAddress.empty())
        effects.push_back(SwitchControlHost{message.leaderAddress, {}});
}

/** Returns the unused budgets of the named accounts with an early report. If none is named, the
 * leader asks for a report that it can answer better than the last one. */
void onRecall(Host &host, const BudgetRecall &recall)
{
    if (recall.accounts.empty())
        host.promptReportRequested = true;
    for (const AccountId &id : recall.accounts) {
        const auto held = host.accounts.find(id);
        if (held == host.accounts.end() || !held->second.waiting.empty())
            continue;
        // Without expected demand, the next report returns the whole balance.
        held->second.requestDemand = 0;
        held->second.tokenDemand = 0;
    }
    host.earlyReportRequested = true;
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
        host.silentSince = now;
    if (const auto *grant = std::get_if<HostGrant>(&message))
        onGrant(host, *grant, effects, now);
    else if (const auto *answer = std::get_if<CallAnswer>(&message))
        onCallAnswer(host, *answer, effects, now);
    else if (const auto *ack = std::get_if<CallReportAck>(&message))
        host.callReports.erase(ack->request);
    else if (const auto *operatorAnswer = std::get_if<OperatorAnswer>(&message))
        onOperatorAnswer(host, *operatorAnswer, effects, now);
    else if (const auto *recall = std::get_if<BudgetRecall>(&message))
        onRecall(host, *recall);
    else if (const auto *stream = std::get_if<StreamAnswer>(&message))
        onStreamAnswer(host, *stream, effects, now);
    else
        onNotLeader(std::get<NotLeader>(message), effects);
}

void onControlLink(Host &host, bool connected, HostEffects &effects, TimePoint now)
{
    host.connected = connected;
    host.awaitingGrant = false;
    if (!connected)
        return;
    sendReport(host, effects, now);
    resendPending(host, effects, now);
}

void reportIfDue(Host &host, HostEffects &effects, TimePoint now)
{
    if (now >= host.silentSince + LINK_TIMEOUT) {
        host.silentSince = now;
        effects.push_back(SwitchControlHost{"", {}});
        return;
    }
    if (!host.connected)
        return;
    const bool awaiting = host.awaitingGrant && now < host.reportSentAt + host.grantTimeout;
    if (!awaiting && (isEarlyReportDue(host, now) || now >= host.reportDue)) {
        updateEarlyReportBackoff(host, now);
        sendReport(host, effects, now);
    }
    if (now >= host.resendDue)
        resendPending(host, effects, now);
}

} // namespace bilberry
