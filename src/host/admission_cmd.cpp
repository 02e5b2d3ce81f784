/** @file admission_cmd.cpp Checks a request whole, then admits or refuses it. */
#include "host/host_internal.h"

#include "queue/fair_queue_func.h"
#include "state/view_func.h"

#include <absl/strings/match.h>
#include <algorithm>

namespace bilberry {

namespace {

constexpr std::int64_t DEFAULT_MAX_TOKENS = 512; ///< When the caller names no limit.
constexpr Duration LEAVING_GRACE
    = 5s; ///< After the drain, callers on open connections are still served.
constexpr Duration BEGIN_TIME = 300ms; ///< From the dispatch to the answer's beginning.
constexpr Duration BUDGET_PATIENCE = 400ms; ///< Wait for budgets that other hosts may hand back.

/** Outcome of the checks: a request ready to be stored, or a refusal. */
struct Check
{
    std::optional<RefusalCode> refusal;
    Request request;
};

/** @return The account whose key came with the request, or a refusal. */
std::optional<RefusalCode> checkKey(const Host &host, const CallerRequest &asked,
                                    const Account *&account)
{
    if (!asked.key)
        return RefusalCode::KeyMissing;
    account = accountOfKey(host.view, asked.key->id, asked.key->secret);
    return account == nullptr ? std::optional(RefusalCode::KeyUnknown) : std::nullopt;
}

/** @return The route of the caller's virtual host with the longest prefix of the path. */
const Route *routeOf(const View &view, const CallerRequest &asked)
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

std::int64_t estimateTokens(const Host &host, const Request &request)
{
    const std::int64_t most
        = request.asked.maxTokens > 0 ? request.asked.maxTokens : DEFAULT_MAX_TOKENS;
    const auto statistics = host.groups.find(request.group);
    if (statistics == host.groups.end() || statistics->second.tokens <= 0)
        return most;
    return std::clamp<std::int64_t>(static_cast<std::int64_t>(statistics->second.tokens), 1, most);
}

void limitTime(Request &request, int siteLimitMs, TimePoint now)
{
    const Duration site = std::chrono::milliseconds(siteLimitMs);
    request.deadline = now + std::min(request.asked.timeLimit.value_or(site), site);
}

std::optional<RefusalCode> checkModel(const Host &host, Check &check, TimePoint now)
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
    check.request.estimate = estimateTokens(host, check.request);
    limitTime(check.request, model->second.timeLimitMs, now);
    return std::nullopt;
}

/** @return The service that gets the request; requests are spread by weight over a split. */
const std::string &serviceOf(const Route &route, const CallerRequest &asked)
{
    std::int64_t total = 0;
    for (const RouteShare &share : route.split)
        total += share.weight;
    if (total <= 0)
        return route.service;
    // Neighbouring ids must not follow each other through the shares.
    std::uint64_t mixed = asked.request.value * 0x9E3779B97F4A7C15ULL;
    mixed ^= mixed >> 32;
    auto left = static_cast<std::int64_t>(mixed % static_cast<std::uint64_t>(total));
    for (const RouteShare &share : route.split) {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    return route.service;
}

/** A route that leads to engines names the model in the request. */
std::optional<RefusalCode> checkRoutedModel(const Host &host, Check &check)
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

std::optional<RefusalCode> checkService(const Host &host, Check &check, TimePoint now)
{
    // Before the first configuration nothing is known of any route.
    if (host.view.routes.empty() && check.request.asked.byRoute)
        return RefusalCode::Unreachable;
    const Route *route = routeOf(host.view, check.request.asked);
    if (route == nullptr)
        return RefusalCode::UnknownRoute;
    if (!route->open) {
        const Account *account = nullptr;
        if (const auto refusal = checkKey(host, check.request.asked, account))
            return refusal;
        if (!mayCallRoute(*account, route->id))
            return RefusalCode::Forbidden;
        check.request.account = account->id;
        check.request.estimate
            = check.request.asked.declaredTokens.value_or(account->tokensOfPlainCall);
    }
    check.request.group = {{}, serviceOf(*route, check.request.asked)};
    if (const auto refusal = checkRoutedModel(host, check))
        return refusal;
    check.request.workClass = route->workClass;
    check.request.repeatable = route->repeatable;
    check.request.resumable = route->resumable;
    check.request.mostRuns = route->attempts;
    check.request.recorded = !route->repeatable && !check.request.asked.idempotencyKey.empty();
    limitTime(check.request, route->timeLimitMs, now);
    if (route->patienceMs > 0)
        check.request.waitUntil
            = std::min(check.request.deadline,
                       now + std::chrono::milliseconds(route->patienceMs) - BEGIN_TIME);
    return std::nullopt;
}

bool isQuarantined(const Host &host, const Digest &digest, TimePoint now)
{
    const auto it = host.view.quarantines.find(digest);
    const Duration clock = host.clock + (now - host.clockAt);
    return it != host.view.quarantines.end() && clock < it->second.until;
}

Check checkRequest(const Host &host, const CallerRequest &asked, TimePoint now)
{
    Check check;
    check.request.asked = asked;
    check.request.arrived = now;
    const Duration grace = asked.byRoute ? Duration::zero() : LEAVING_GRACE;
    if (host.leaving && now >= host.leavingSince + host.settings.drain + grace)
        check.refusal = RefusalCode::ShuttingDown;
    else if (!isFresh(host, now))
        check.refusal = RefusalCode::Unreachable;
    else
        check.refusal = asked.variant && !asked.byRoute ? checkModel(host, check, now)
                                                        : checkService(host, check, now);
    if (!check.refusal && isQuarantined(host, asked.body, now))
        check.refusal = RefusalCode::Quarantined;
    if (!check.refusal && host.requests.size() >= host.settings.maxWaiting)
        check.refusal = RefusalCode::Overloaded;
    return check;
}

/** @return Whether the account's budgets at this host cover the request; takes them if so. */
bool takeBudgets(const Host &host, HeldAccount &held, Request &request, TimePoint now)
{
    lapse(held.requests, now);
    lapse(held.tokens, now);
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
        return false; // An overrun is repaid before new work is admitted.
    held.requests.spent += 1;
    held.tokens.spent += request.estimate;
    held.usedRequests += 1;
    held.usedTokens += request.estimate;
    request.charged = true;
    return true;
}

/** Refuses requests that have waited long enough for budgets that are not there. */
void refuseShort(Host &host, HeldAccount &held, HostEffects &effects, TimePoint now)
{
    while (!held.waiting.empty()) {
        const RequestId id = held.waiting.front();
        const Request &request = host.requests.at(id);
        // Only the leader's word makes it a refusal: budgets that are not known yet are waited for.
        const bool patient = !held.shortSince
            || now < std::max(request.arrived, *held.shortSince) + BUDGET_PATIENCE;
        if (patient)
            return;
        const auto account = host.view.accounts.find(request.account);
        const bool limitsRequests
            = account == host.view.accounts.end() || account->second.limitsRequests;
        const bool requestsShort = limitsRequests && held.requests.balance() < 1;
        refuse(host, id, requestsShort ? RefusalCode::RateLimited : RefusalCode::TokenRateLimited,
               effects, now,
               std::max<Duration>(requestsShort ? held.requestWait : held.tokenWait, 1ms));
    }
}

} // namespace

void onCallerRequest(Host &host, const CallerRequest &asked, HostEffects &effects, TimePoint now)
{
    ++host.counters.requests;
    Check check = checkRequest(host, asked, now);
    if (check.refusal) {
        const bool retry = *check.refusal == RefusalCode::Overloaded;
        ++host.counters.refusals[faceOf(*check.refusal).type];
        effects.push_back(RefuseCaller{asked.request, *check.refusal, Execution::NotRun,
                                       retry ? std::optional<Duration>(1s) : std::nullopt});
        return;
    }
    noteRequest(host.retries[check.request.group.service], host.settings.retryShare,
                host.settings.retryBurst / host.hostCount);
    GroupStatistics &statistics = host.groups[check.request.group];
    ++statistics.arrived;
    const RequestId id = asked.request;
    Request &request = host.requests.emplace(id, std::move(check.request)).first->second;
    host.deadlines.emplace(request.deadline, id);
    if (request.waitUntil != TimePoint{})
        host.waits.emplace(request.waitUntil, id);
    if (request.account.value.empty()) {
        proceed(host, request, effects, now);
        return;
    }
    // The request may be gone before the account's name was used for the last time.
    const AccountId account = request.account;
    host.accounts[account].waiting.push_back(id);
    host.accounts[account].lastUse = now;
    drainBudgets(host, account, effects, now);
}

void drainBudgets(Host &host, const AccountId &account, HostEffects &effects, TimePoint now)
{
    HeldAccount &held = host.accounts[account];
    while (!held.waiting.empty()) {
        Request &request = host.requests.at(held.waiting.front());
        if (!takeBudgets(host, held, request, now))
            break;
        held.waiting.pop_front();
        proceed(host, request, effects, now);
    }
    if (held.waiting.empty())
        return;
    host.reportWanted = true;
    refuseShort(host, held, effects, now);
}

void proceed(Host &host, Request &request, HostEffects &effects, TimePoint now)
{
    if (request.recorded && !request.recordOwned) {
        request.state = RequestState::WaitingVerdict;
        askVerdict(host, request, effects);
        return;
    }
    if (!openTargets(host, request.group, now).empty()) {
        const std::optional<Duration> wait = estimatedWait(host, request);
        if (wait && now + *wait > request.deadline) {
            refuse(host, request.asked.request, RefusalCode::Overloaded, effects, now, *wait);
            return;
        }
    } else if (request.waitUntil != TimePoint{} && request.eventsRelayed == 0) {
        const std::optional<Duration> load = expectedLoad(host, request.group, now);
        if (load && now + *load > request.waitUntil) {
            turnAway(host, request.asked.request, *load, effects, now);
            return;
        }
    }
    request.state = RequestState::Queued;
    request.queuedAt = now;
    enqueue(host.queue, {request.asked.request, request.account, request.group, request.workClass},
            request.attempts > 0);
}

void onCallerGone(Host &host, RequestId id, HostEffects &effects, TimePoint now)
{
    const auto it = host.requests.find(id);
    if (it == host.requests.end())
        return;
    Request &request = it->second;
    ++host.counters.callerGone;
    request.callerGone = true;
    // A recorded call goes on: others may have joined it, and a resend wants its outcome.
    if (request.state == RequestState::Running && request.recorded)
        return;
    if (request.state == RequestState::Running)
        effects.push_back(CancelAttempt{request.attempt});
    else
        refuse(host, id, RefusalCode::Deadline, effects, now);
}

} // namespace bilberry
