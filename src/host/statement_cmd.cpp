/** @file statement_cmd.cpp Applies what targets state about themselves in their answers. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "target/statement_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** A request that counts towards a rate must leave soon, lest it adds to the following ones. */
constexpr Duration MAX_SEND_DELAY_WITHIN_RATE = 250ms;
/** Callers that have to wait longer are told to come after this time. */
constexpr Duration MAX_RATE_RETRY_AFTER = 30s;

/** Keeps the later of the known observation and that of the answer. */
void observeRate(Host &host, KnownTarget &target, const TargetStated &stated, HostEffects &effects,
                 TimePoint now)
{
    const std::optional<double> &rate = stated.statement.requestRate;
    if (!rate && !target.requestRate && !target.observedRate)
        return;
    const RateObservation next{rate, stated.sentAt, stated.receivedAt};
    const RateObservation latest
        = target.observedRate ? mergeObservations(*target.observedRate, next) : next;
    const bool changed = !target.observedRate || latest.rate != target.observedRate->rate;
    target.observedRate = latest;
    host.unconfirmedRates[stated.target] = false;
    host.earlyReportRequested = host.earlyReportRequested || changed;
    host.promptReportRequested = host.promptReportRequested || changed;
    // Only the leader ends a limit: another host may have got a later answer.
    if (latest.rate)
        setRequestRate(target, latest.rate, effects, now);
}

/** Stops all requests to a target that leaves. */
void noteLeaving(Host &host, KnownTarget &target, HostEffects &effects)
{
    if (target.statedLeaving)
        return;
    target.statedLeaving = true;
    effects.push_back(CallBackAttempts{target.announcement.id});
    host.earlyReportRequested = true;
    host.promptReportRequested = true;
}

/** Stops this host's requests to a target for @p period, and refuses what waits for it too long. */
void beginQuietPeriod(Host &host, KnownTarget &target, Duration period, HostEffects &effects,
                      TimePoint now)
{
    target.quietUntil = std::max(target.quietUntil, now + period);
    effects.push_back(CallBackAttempts{target.announcement.id});
    std::vector<RequestId> queued;
    for (const auto &[id, request] : host.requests) {
        if (request.state == RequestState::Queued && !hasEligibleTarget(host, request.group, now))
            queued.push_back(id);
    }
    for (const RequestId id : queued)
        refuseUnlessServedInTime(host, host.requests.at(id), effects, now);
}

} // namespace

void onTargetStated(Host &host, const TargetStated &stated, HostEffects &effects, TimePoint now)
{
    const TargetStatement &statement = stated.statement;
    host.counters.leavingStated += statement.leaving ? 1 : 0;
    host.counters.quietStated += statement.quietFor ? 1 : 0;
    host.counters.rateStated += statement.requestRate ? 1 : 0;
    const auto target = host.targets.find(stated.target);
    if (target == host.targets.end() || target->second.announcement.start != stated.start)
        return;
    if (statement.leaving)
        noteLeaving(host, target->second, effects);
    if (statement.quietFor)
        beginQuietPeriod(host, target->second, *statement.quietFor, effects, now);
    observeRate(host, target->second, stated, effects, now);
}

void setRequestRate(KnownTarget &target, std::optional<double> rate, HostEffects &effects,
                    TimePoint now)
{
    const bool begins = rate && !target.requestRate;
    target.requestRate = rate;
    target.rateKnownAt = now;
    if (begins)
        effects.push_back(CallBackAttempts{target.announcement.id});
}

bool hasRequest(const KnownTarget &target, TimePoint now)
{
    return !target.requestRate || (now < target.requests.expires && target.requests.balance() > 0);
}

Duration maxSendDelay(const KnownTarget &target)
{
    return target.requestRate ? MAX_SEND_DELAY_WITHIN_RATE : Duration::max();
}

void reportRate(Host &host, KnownTarget &target, std::int64_t waiting, HostReport &report,
                TimePoint now)
{
    const auto unconfirmed = host.unconfirmedRates.find(target.announcement.id);
    const bool isUnconfirmed = unconfirmed != host.unconfirmedRates.end();
    if (!target.requestRate && !isUnconfirmed && target.requests.balance() == 0)
        return;
    if (isUnconfirmed)
        unconfirmed->second = true;
    forfeitExpired(target.requests, now);
    const std::int64_t wanted = target.requestRate && !host.leaving ? waiting : 0;
    target.requests.returned += std::max<std::int64_t>(target.requests.balance() - wanted, 0);
    RateUse use;
    use.target = target.announcement.id;
    use.start = target.announcement.start;
    use.requests = makePoolUse(target.requests,
                               std::max<std::int64_t>(wanted - target.requests.balance(), 0));
    use.observed
        = target.observedRate && (isUnconfirmed || target.observedRate->rate == target.requestRate);
    const RateObservation known = use.observed
        ? *target.observedRate
        : RateObservation{target.requestRate, target.rateKnownAt, target.rateKnownAt};
    use.rate = known.rate;
    use.madeAfterAge = now - known.madeAfter;
    use.madeBeforeAge = now - known.madeBefore;
    report.rates.push_back(std::move(use));
}

void confirmRates(Host &host)
{
    std::erase_if(host.unconfirmedRates, [](const auto &item) { return item.second; });
}

void reportRatesAgain(Host &host)
{
    for (auto &[id, target] : host.targets) {
        resetForNewTerm(target.requests);
        // What another host has observed later is known from the former leader.
        if (target.observedRate && target.observedRate->rate == target.requestRate)
            host.unconfirmedRates[id] = false;
    }
}

void applyRateGrants(Host &host, const HostGrant &grant, TimePoint expires, TimePoint now)
{
    for (const RateGrant &item : grant.rates) {
        const auto target = host.targets.find(item.target);
        if (target == host.targets.end() || target->second.announcement.start != item.start)
            continue;
        renewLease(target->second.requests, item.requests, expires);
        target->second.turnAt = now + item.wait;
        target->second.turnInterval = item.interval;
    }
}

std::optional<Duration> rateWait(const Host &host, const WorkGroup &group, std::size_t position,
                                 TimePoint now)
{
    double turnsPerSecond = 0;
    Duration wait = Duration::max();
    std::int64_t held = 0;
    for (const TargetId &id : eligibleTargets(host, group, now)) {
        const KnownTarget &target = host.targets.at(id);
        if (!target.requestRate)
            return std::nullopt;
        held += hasRequest(target, now) ? target.requests.balance() : 0;
        wait = std::min(wait, std::max<Duration>(target.turnAt - now, Duration::zero()));
        const Duration interval
            = std::max(target.turnInterval, fromSeconds(1 / *target.requestRate));
        turnsPerSecond += 1 / toSeconds(interval);
    }
    if (turnsPerSecond == 0)
        return std::nullopt;
    const auto later = static_cast<std::int64_t>(position) - held;
    return later < 0 ? Duration::zero()
                     : wait + fromSeconds(static_cast<double>(later) / turnsPerSecond);
}

void refuseForRate(Host &host, RequestId id, Duration wait, HostEffects &effects, TimePoint now)
{
    // Callers that were told the same time would all come back at once.
    const WorkGroup &group = host.requests.at(id).group;
    std::deque<TimePoint> &returns = host.groups[group].returns;
    const std::optional<Duration> next = rateWait(host, group, 1, now);
    const std::optional<Duration> first = rateWait(host, group, 0, now);
    const Duration interval = next && first ? *next - *first : Duration::zero();
    TimePoint at = now + wait;
    if (!returns.empty())
        at = std::max(at, returns.back() + interval);
    at = std::min(at, now + MAX_RATE_RETRY_AFTER);
    expectReturn(host, group, at);
    refuse(host, id, RefusalCode::TargetRateLimited, effects, now, at - now);
}

void refuseLateTurns(Host &host, HostEffects &effects, TimePoint now)
{
    std::map<WorkGroup, std::size_t> positions;
    std::vector<std::pair<RequestId, Duration>> late;
    for (const auto &[id, request] : host.requests) {
        if (request.state != RequestState::Queued || !request.heldByRate || request.relayed.begun)
            continue;
        std::size_t &position = positions[request.group];
        const std::optional<Duration> wait = rateWait(host, request.group, position, now);
        if (wait && now + *wait > latestDispatch(request))
            late.emplace_back(id, *wait);
        else
            ++position;
    }
    for (const auto &[id, wait] : late)
        refuseForRate(host, id, wait, effects, now);
}

} // namespace bilberry
