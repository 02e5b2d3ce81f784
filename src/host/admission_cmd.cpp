/** @file admission_cmd.cpp Validates new requests, then admits or refuses them. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "queue/urgency_func.h"
#include "state/view_func.h"

#include <absl/strings/match.h>
#include <algorithm>

namespace bilberry {

namespace {

constexpr std::int64_t DEFAULT_MAX_TOKENS = 512; ///< Token limit of requests that state none.
/** Time after the drain in which new requests on open connections are still admitted; not applied
 * to requests with CallerRequest::byRoute. */
constexpr Duration SHUTDOWN_GRACE = 5s;
/** Assumed time from the dispatch of a request to the first byte of its response. */
constexpr Duration FIRST_BYTE_ALLOWANCE = 300ms;
/** Maximum time for which a request waits for a budget that is known to be short. Meanwhile, other
 * hosts may return unused budget to the leader. */
constexpr Duration MAX_BUDGET_WAIT = 400ms;
/** What a leader has said of the budgets counts for so long; it may be late, or gone. */
constexpr Duration LATE_LEADER_TIME = 200ms;

/** Outcome of the admission checks: the admitted request, or the reason for the refusal. */
struct AdmissionCheck
{
    std::optional<RefusalCode> refusal;
    Request request;
};

/**
 * Authenticates the caller.
 * @param account Receives the account of the presented key, or null if the key is unknown.
 * @return Refusal if the key is missing or unknown.
 */
std::optional<RefusalCode> checkKey(const Host &host, const CallerRequest &asked,
                                    const Account *&account)
{
    if (!asked.key)
        return RefusalCode::KeyMissing;
    account = authenticateKey(host.view, asked.key->id, asked.key->secret);
    return account == nullptr ? std::optional(RefusalCode::KeyUnknown) : std::nullopt;
}

/** @return Route with the longest matching path prefix on the requested virtual host, or null. */
const Route *findRoute(const ClusterView &view, const CallerRequest &asked)
{
    const std::string &path = asked.path;
    const Route *best = nullptr;
    for (const auto &[id, route] : view.routes) {
        const bool matches = (route.host.empty() || route.host == asked.virtualHost)
            && absl::StartsWith(path, route.path)
            && (path.size() == route.path.size() || path[route.path.size()] == '/'
                || route.path.back() == '/');
        if (matches && (best == nullptr || route.path.size() > best->path.size()))
            best = &route;
    }
    return best;
}

/** @return Tokens to reserve: the average of the work group, at most the request's token limit; the
 * limit if no average is known. */
std::int64_t estimateTokens(const Host &host, const Request &request)
{
    const std::int64_t limit
        = request.asked.maxTokens > 0 ? request.asked.maxTokens : DEFAULT_MAX_TOKENS;
    const auto statistics = host.groups.find(request.group);
    if (statistics == host.groups.end() || statistics->second.tokens <= 0)
        return limit;
    return std::clamp<std::int64_t>(static_cast<std::int64_t>(statistics->second.tokens), 1, limit);
}

/** Sets the request's deadline from the shorter of the caller's and the configured time limit. */
void setDeadline(Request &request, int configuredLimitMs, TimePoint now)
{
    const Duration configured = std::chrono::milliseconds(configuredLimitMs);
    request.deadline = now + std::min(request.asked.timeLimit.value_or(configured), configured);
}

/** Checks a request that is admitted by its model, not by a route. @return Refusal, if any. */
std::optional<RefusalCode> checkModel(const Host &host, AdmissionCheck &check, TimePoint now)
{
    const Variant &variant = *check.request.asked.variant;
    const Account *account = nullptr;
    if (const auto refusal = checkKey(host, check.request.asked, account))
        return refusal;
    const auto model = host.view.models.find(variant.model);
    if (model == host.view.models.end())
        return RefusalCode::UnknownModel;
    const auto &adapters = model->second.adapters;
    if (!variant.adapter.value.empty()
        && std::find(adapters.begin(), adapters.end(), variant.adapter) == adapters.end())
        return RefusalCode::UnknownModel;
    if (!mayCallVariant(*account, variant))
        return RefusalCode::Forbidden;
    check.request.account = account->id;
    check.request.group = {variant, ""};
    check.request.workClass = model->second.workClass;
    check.request.priority = makePriority(account->priority, 0);
    check.request.estimate = estimateTokens(host, check.request);
    setDeadline(check.request, model->second.timeLimitMs, now);
    return std::nullopt;
}

/** @return Service for the request, chosen by weight if the route is split over several. */
const std::string &selectService(const Route &route, const CallerRequest &asked)
{
    std::int64_t total = 0;
    for (const RouteShare &share : route.split)
        total += share.weight;
    if (total <= 0)
        return route.service;
    // Hashes the id, so that consecutive ids do not cycle through the shares in order.
    std::uint64_t hash = asked.request.value * 0x9E3779B97F4A7C15ULL;
    hash ^= hash >> 32;
    auto remainder = static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(total));
    for (const RouteShare &share : route.split) {
        remainder -= share.weight;
        if (remainder < 0)
            return share.service;
    }
    return route.service;
}

/** Checks the model named by a request whose route leads to model engines, and sets the variant of
 * the request's work group. @return Refusal, if any. */
std::optional<RefusalCode> checkRoutedModel(const Host &host, AdmissionCheck &check)
{
    const std::optional<Variant> &variant = check.request.asked.variant;
    const auto service = host.view.services.find(check.request.group.service);
    const bool engines = service != host.view.services.end() && service->second.memoryMb > 0;
    if (!engines || !variant)
        return std::nullopt;
    if (!host.view.models.contains(variant->model))
        return RefusalCode::UnknownModel;
    check.request.group.variant = *variant;
    return std::nullopt;
}

/** Checks a request against its route. @return Refusal, if any. */
std::optional<RefusalCode> checkRoute(const Host &host, AdmissionCheck &check, TimePoint now)
{
    // Without routes, no configuration has been received yet: the path may still be valid.
    if (host.view.routes.empty() && check.request.asked.byRoute)
        return RefusalCode::ControlUnreachable;
    const Route *route = findRoute(host.view, check.request.asked);
    if (route == nullptr)
        return RefusalCode::UnknownRoute;
    check.request.priority = makePriority(std::nullopt, route->priority);
    if (!route->open) {
        const Account *account = nullptr;
        if (const auto refusal = checkKey(host, check.request.asked, account))
            return refusal;
        if (!mayCallRoute(*account, route->id))
            return RefusalCode::Forbidden;
        check.request.account = account->id;
        check.request.priority = makePriority(account->priority, route->priority);
        check.request.estimate
            = check.request.asked.declaredTokens.value_or(account->tokensOfPlainCall);
    }
    check.request.group = {{}, selectService(*route, check.request.asked)};
    if (const auto refusal = checkRoutedModel(host, check))
        return refusal;
    check.request.workClass = route->workClass;
    check.request.repeatable = route->repeatable;
    check.request.resumable = route->resumable;
    check.request.mostRuns = route->attempts;
    check.request.recorded = !route->repeatable && !check.request.asked.idempotencyKey.empty();
    setDeadline(check.request, route->timeLimitMs, now);
    if (route->answerGoalMs > 0)
        check.request.goalAt = now + std::chrono::milliseconds(route->answerGoalMs);
    if (route->patienceMs > 0)
        check.request.waitUntil
            = std::min(check.request.deadline,
                       now + std::chrono::milliseconds(route->patienceMs) - FIRST_BYTE_ALLOWANCE);
    return std::nullopt;
}

bool isQuarantined(const Host &host, const Digest &digest, TimePoint now)
{
    const auto it = host.view.quarantines.find(digest);
    const Duration clock = host.clock + (now - host.clockAt);
    return it != host.view.quarantines.end() && clock < it->second.until;
}

/** Runs all admission checks on a new request. */
AdmissionCheck checkRequest(const Host &host, const CallerRequest &asked, TimePoint now)
{
    AdmissionCheck check;
    check.request.asked = asked;
    check.request.arrived = now;
    const Duration grace = asked.byRoute ? Duration::zero() : SHUTDOWN_GRACE;
    if (host.leaving && now >= host.leavingSince + host.settings.drain + grace)
        check.refusal = RefusalCode::ShuttingDown;
    else if (!isFresh(host, now))
        check.refusal = RefusalCode::ControlUnreachable;
    else
        check.refusal = asked.variant && !asked.byRoute ? checkModel(host, check, now)
                                                        : checkRoute(host, check, now);
    if (!check.refusal && isQuarantined(host, asked.body, now))
        check.refusal = RefusalCode::Quarantined;
    if (!check.refusal && partQuarantineLeft(host, asked, now))
        check.refusal = RefusalCode::PartQuarantined;
    if (!check.refusal && host.requests.size() >= host.settings.maxWaiting)
        check.refusal = RefusalCode::Overloaded;
    return check;
}

/** Charges a request to its account's budgets at this host. @return False if a budget is short. */
bool chargeBudgets(const Host &host, AccountLease &held, Request &request, TimePoint now)
{
    forfeitExpired(held.requests, now);
    forfeitExpired(held.tokens, now);
    const auto account = host.view.accounts.find(request.account);
    const bool known = account != host.view.accounts.end();
    const bool limitsRequests = !known || account->second.limitsRequests;
    const bool limitsTokens = !known || account->second.limitsTokens;
    if (!limitsRequests && !limitsTokens)
        return true;
    if (limitsRequests && held.requests.balance() < 1)
        return false;
    if (limitsTokens && held.tokens.balance() < request.estimate)
        return false;
    if (limitsTokens && request.estimate == 0 && held.tokens.balance() < 0)
        return false; // A token overrun is repaid before new requests are admitted.
    held.requests.spent += 1;
    held.tokens.spent += request.estimate;
    held.usedRequests += 1;
    held.usedTokens += request.estimate;
    request.charged = true;
    return true;
}

/** @return Whether the leader has not answered for so long that its last word on budgets may be out
 * of date. */
bool isLeaderLate(const Host &host, TimePoint now)
{
    return now >= host.lastGrantAt + LATE_LEADER_TIME;
}

/** Refuses requests whose budgets have been short for longer than the maximum wait. */
void refuseOverdueBudgetWaits(Host &host, AccountLease &held, HostEffects &effects, TimePoint now)
{
    while (!held.waiting.empty()) {
        const RequestId id = held.waiting.front();
        const Request &request = host.requests.at(id);
        // The wait counts from the arrival of the request or from the grant that left the budgets
        // short, whichever is later. Before such a grant, the budgets are not known to be short.
        const bool mayWait = !held.shortSince || isLeaderLate(host, now)
            || now < std::max(request.arrived, *held.shortSince) + MAX_BUDGET_WAIT;
        if (mayWait)
            return;
        const auto account = host.view.accounts.find(request.account);
        const bool limitsRequests
            = account == host.view.accounts.end() || account->second.limitsRequests;
        const bool requestsShort = limitsRequests && held.requests.balance() < 1;
        held.requests.refused += 1;
        held.tokens.refused += request.estimate;
        refuse(host, id, requestsShort ? RefusalCode::RateLimited : RefusalCode::TokenRateLimited,
               effects, now,
               std::max<Duration>(requestsShort ? held.requestWait : held.tokenWait, 1ms));
    }
}

/** @return Delay before the caller should send a request again that was refused on arrival. */
std::optional<Duration> retryAfter(const Host &host, const CallerRequest &asked,
                                   RefusalCode refusal, TimePoint now)
{
    if (refusal == RefusalCode::Overloaded)
        return 1s;
    return refusal == RefusalCode::PartQuarantined ? partQuarantineLeft(host, asked, now)
                                                   : std::nullopt;
}

} // namespace

void onCallerRequest(Host &host, const CallerRequest &asked, HostEffects &effects, TimePoint now)
{
    ++host.counters.requests;
    AdmissionCheck check = checkRequest(host, asked, now);
    if (check.refusal) {
        ++host.counters.refusals[refusalResponseOf(*check.refusal).type];
        effects.push_back(RefuseCaller{asked.request,
                                       *check.refusal,
                                       Execution::NotRun,
                                       retryAfter(host, asked, *check.refusal, now),
                                       {},
                                       {}});
        return;
    }
    addRetryCredit(host.retries[check.request.group.service], host.settings.retryShare,
                   host.settings.retryBurst / host.hostCount);
    GroupStatistics &statistics = host.groups[check.request.group];
    ++statistics.arrived;
    const RequestId id = asked.request;
    Request &request = host.requests.emplace(id, std::move(check.request)).first->second;
    request.deadline = std::min(request.deadline, lastEnd(host).value_or(TimePoint::max()));
    assignRank(host, request);
    host.deadlines.emplace(request.deadline, id);
    if (request.waitUntil != TimePoint{})
        host.waitDeadlines.emplace(request.waitUntil, id);
    if (request.account.value.empty()) {
        enqueueAdmitted(host, request, effects, now);
        return;
    }
    // Copied, since the request may be removed while the account id is still in use.
    const AccountId account = request.account;
    AccountLease &held = host.accounts[account];
    const bool first = held.waiting.empty();
    held.waiting.push_back(id);
    held.lastUse = now;
    admitWaiting(host, account, effects, now);
    host.promptReportRequested = host.promptReportRequested || (first && !held.waiting.empty());
}

void admitWaiting(Host &host, const AccountId &account, HostEffects &effects, TimePoint now)
{
    AccountLease &held = host.accounts[account];
    while (!held.waiting.empty()) {
        Request &request = host.requests.at(held.waiting.front());
        if (!chargeBudgets(host, held, request, now))
            break;
        held.waiting.pop_front();
        enqueueAdmitted(host, request, effects, now);
    }
    if (held.waiting.empty())
        return;
    host.earlyReportRequested = true;
    refuseOverdueBudgetWaits(host, held, effects, now);
}

void enqueueAdmitted(Host &host, Request &request, HostEffects &effects, TimePoint now)
{
    if (request.admittedAt == TimePoint{}) {
        request.admittedAt = now;
        recordDuration(host.counters.budgetWaits, now - request.arrived);
    }
    if (request.recorded && !request.recordOwned) {
        request.state = RequestState::WaitingForVerdict;
        requestCallVerdict(host, request, effects);
        return;
    }
    if (awaitOriginOfTakeUp(host, request, effects, now)
        || refuseIfVersionGone(host, request, effects, now))
        return;
    if (!eligibleTargets(host, request.group, now).empty()) {
        const std::optional<Duration> turn
            = rateWait(host, request.group, countQueued(host.queue, request.group), now);
        if (turn && now + *turn > latestDispatch(request)) {
            refuseForRate(host, request.asked.request, *turn, effects, now);
            return;
        }
        // For ranked requests the length of the whole queue decides, see refuseBeyondRoom().
        const std::optional<Duration> wait
            = request.ranked ? std::nullopt : estimatedCompletionTime(host, request);
        if (wait && now + *wait > request.deadline) {
            refuse(host, request.asked.request, RefusalCode::Overloaded, effects, now, *wait);
            return;
        }
    } else if (refuseUnlessServedInTime(host, request, effects, now)) {
        return;
    }
    request.state = RequestState::Queued;
    request.queuedAt = now;
    setStartLimits(host, request);
    if (countQueued(host.queue, request.group) == 0)
        host.groups[request.group].queuedSince = now;
    if (countQueued(host.queue, request.group) == 0
        || isFirstOfRank(host.queue, queueEntryOf(request)))
        host.newlyQueued.insert(request.group);
    enqueue(host.queue, queueEntryOf(request), request.attempts > 0 || request.origin);
    if (request.ranked)
        refuseBeyondRoom(host, WorkGroup(request.group), effects, now);
}

bool routeLeadsTo(const ClusterView &view, const CallerRequest &asked, const std::string &service)
{
    const Route *route = findRoute(view, asked);
    if (route == nullptr)
        return false;
    return route->service == service
        || std::any_of(route->split.begin(), route->split.end(), [&](const RouteShare &share) {
               return share.service == service && share.weight > 0;
           });
}

void onCallerDisconnected(Host &host, RequestId id, HostEffects &effects, TimePoint now)
{
    const auto it = host.requests.find(id);
    if (it == host.requests.end())
        return;
    Request &request = it->second;
    ++host.counters.callerGone;
    request.callerGone = true;
    // A recorded call continues: other requests may have joined it, and a later resend with the
    // same idempotency key needs its outcome.
    if (request.state == RequestState::Running && request.recorded)
        return;
    if (request.state == RequestState::Running)
        effects.push_back(CancelAttempt{request.attempt});
    else
        refuse(host, id, RefusalCode::Deadline, effects, now);
}

} // namespace bilberry
