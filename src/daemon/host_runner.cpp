/** @file host_runner.cpp Decision thread of a host and its connections to callers, targets and the
 * control group. */
#include "daemon/host_runner_base.h"

#include "config/settings_func.h"
#include "core/log_func.h"
#include "duty/usage_counter_func.h"
#include "net/grammar_log_func.h"
#include "stream/stream_progress_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bilberry {

namespace {

constexpr std::size_t QUEUE_CAPACITY = 65'536;
constexpr Duration TICK_INTERVAL = 5ms; ///< Interval of TickEvent.
constexpr Duration PROBE_INTERVAL = 100ms; ///< Interval of the checks for disconnected callers.

/**
 * @return Number of this run of the daemon: Unix time in microseconds. It increases with each start
 * and depends on no stored data, so it also increases after the disk was replaced.
 */
std::uint64_t runNumber()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

/** Appends one sample in the Prometheus text format; no label is written if @p label is empty. */
void appendCounter(std::string &out, const std::string &name, const std::string &label,
                   const std::string &value, std::uint64_t count)
{
    absl::StrAppend(&out, "bilberrybend_", name);
    if (!label.empty())
        absl::StrAppend(&out, "{", label, "=\"", value, "\"}");
    absl::StrAppend(&out, " ", count, "\n");
}

/** Appends a histogram in the Prometheus text format, with cumulative buckets in seconds. */
void appendHistogram(std::string &out, const std::string &name, const LatencyHistogram &histogram)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
        total += histogram.counts[i];
        const std::string bound = i < LATENCY_BUCKET_BOUNDS.size()
            ? absl::StrCat(toSeconds(LATENCY_BUCKET_BOUNDS[i]))
            : "+Inf";
        appendCounter(out, name + "_bucket", "le", bound, total);
    }
    absl::StrAppend(&out, "bilberrybend_", name, "_sum ", toSeconds(histogram.sum), "\n");
    appendCounter(out, name + "_count", "", "", total);
}

std::string formatMetrics(const Host &host, TimePoint now)
{
    const HostCounters &counters = host.counters;
    std::string out;
    appendCounter(out, "requests_total", "", "", counters.requests);
    appendCounter(out, "answered_total", "", "", counters.answered);
    appendCounter(out, "retries_total", "", "", counters.retries);
    appendCounter(out, "resumed_streams_total", "", "", counters.resumed);
    appendCounter(out, "streams_recorded_total", "", "", counters.streamsRecorded);
    appendCounter(out, "streams_taken_up_total", "", "", counters.streamsTakenUp);
    appendCounter(out, "reports_total", "", "", counters.reports);
    appendCounter(out, "calls_replayed_total", "", "", counters.callsReplayed);
    appendCounter(out, "calls_joined_total", "", "", counters.callsJoined);
    appendCounter(out, "callers_gone_total", "", "", counters.callerGone);
    appendCounter(out, "lost_unanswered_total", "", "", counters.lostUnanswered);
    appendCounter(out, "part_trials_total", "", "", counters.trials);
    appendCounter(out, "target_statements_total", "kind", "leaving", counters.leavingStated);
    appendCounter(out, "target_statements_total", "kind", "quiet", counters.quietStated);
    appendCounter(out, "target_statements_total", "kind", "requestRate", counters.rateStated);
    appendCounter(out, "requests_held_by_rate_total", "", "", counters.heldByRate);
    appendCounter(out, "attempts_called_back_total", "", "", counters.calledBack);
    appendCounter(out, "operator_requests_dropped_total", "why", "expired",
                  counters.operatorRequestsExpired);
    appendCounter(out, "operator_requests_dropped_total", "why", "operatorGone",
                  counters.operatorRequestsAbandoned);
    appendCounter(out, "changes_overtaken_total", "", "", counters.changesOvertaken);
    appendCounter(out, "load_forecast_lists_total", "", "", counters.forecastLists);
    appendCounter(out, "refused_by_forecast_total", "", "", counters.refusedByForecast);
    for (const auto &[type, count] : counters.refusals)
        appendCounter(out, "refusals_total", "type", type, count);
    for (const auto &[rank, count] : counters.answeredByRank)
        appendCounter(out, "ranked_answered_total", "rank", absl::StrCat(rank), count);
    for (const auto &[rank, count] : counters.refusedByRank)
        appendCounter(out, "ranked_refused_total", "rank", absl::StrCat(rank), count);
    for (const auto &[result, count] : counters.attempts)
        appendCounter(out, "attempts_total", "result", result, count);
    for (const auto &[bound, count] : counters.bounds)
        appendCounter(out, "answers_without_end_total", "bound", bound, count);
    if (host.settings.usageWindow > Duration::zero()) {
        const auto unconfirmed = static_cast<std::uint64_t>(unconfirmedUsage(host.usage));
        appendCounter(out, "usage_requests_total", "", "", host.usage.counted);
        appendCounter(out, "usage_late_requests_total", "", "", host.usage.late);
        appendCounter(out, "usage_unrecorded_requests", "", "", unconfirmed);
        appendCounter(out, "usage_fixed_up_to", "", "",
                      static_cast<std::uint64_t>(host.usage.fixedUpTo));
        appendCounter(out, "usage_time_known", "", "", host.usage.clockOffset ? 1 : 0);
    }
    appendHistogram(out, "wait_seconds", counters.waits);
    appendHistogram(out, "answer_seconds", counters.answers);
    appendHistogram(out, "refusal_seconds", counters.refusalTimes);
    appendHistogram(out, "budget_wait_seconds", counters.budgetWaits);
    appendHistogram(out, "slot_wait_seconds", counters.slotWaits);
    appendHistogram(out, "grant_seconds", counters.grantDelays);
    appendCounter(out, "suspected_parts", "", "", host.suspectedParts.size());
    appendCounter(out, "quarantines", "", "", host.view.quarantines.size());
    appendCounter(out, "open_requests", "", "", host.requests.size());
    appendCounter(out, "known_targets", "", "", host.targets.size());
    appendCounter(out, "table_version", "", "", host.table.value);
    appendCounter(out, "ready", "", "", isReady(host, now) ? 1 : 0);
    return out;
}

/** Adds to a log line what its request has waited for, in ms. */
void addWaits(nlohmann::json &line, const RequestWaits &waits)
{
    line["budgetMs"] = toMilliseconds(waits.budget);
    line["slotMs"] = toMilliseconds(waits.slot);
    line["targetMs"] = toMilliseconds(waits.target);
}

/** Adds to a log line the rank of its request, if ranks are in use. */
void addRank(nlohmann::json &line, const RankNote &ranking)
{
    if (ranking.rank)
        line["rank"] = *ranking.rank;
    if (ranking.toGoal)
        line["msToGoal"] = toMilliseconds(*ranking.toGoal);
}

} // namespace

HostRunner::HostRunner(const Settings &settings, const Edge &edge)
    : settings(settings)
    , edge(edge)
    , exchanges(std::make_shared<ExchangeTable>())
    , bodies(std::make_shared<RequestMemory>(requestLimits(settings, systemDescriptorLimit())))
    , tasks(QUEUE_CAPACITY)
{
    HostSettings own;
    own.holder = {settings.host, runNumber()};
    own.zone = settings.zone;
    own.entry = settings.entry;
    own.maxWaiting = settings.maxWaiting;
    own.freshnessLease = settings.freshnessLease;
    own.retryBurst = settings.retryBurst;
    own.retryShare = settings.retryShare;
    own.reportInterval = settings.reportInterval;
    own.drain = settings.drain;
    own.grace = settings.grace;
    if (settings.reportsUsage)
        own.usageWindow = settings.usageWindow;
    this->host = makeHost(own, MonotonicClock::now());
    this->controlAddresses = initialControlAddresses(settings);
    this->seeds = this->controlAddresses;
    // The hash of the host id spreads the first connections of the hosts over the control hosts.
    this->nextAddress = std::hash<std::string>{}(settings.host.value);
    if (!settings.traceFile.empty()) {
        this->trace.open(settings.traceFile, std::ios::app);
        this->trace << nlohmann::json{{"settings", own}}.dump() << "\n";
    }
}

Result<std::unique_ptr<HostRunner>> HostRunner::start(const Settings &settings, const Edge &edge,
                                                      TargetClient::OnControlEvent onControlEvent)
{
    std::unique_ptr<HostRunner> runner(new HostRunner(settings, edge));
    HostRunner *self = runner.get();
    runner->targets = std::make_unique<TargetClient>(
        runner->exchanges, edge, settings.host.value,
        [self](HostEvent &&event) { self->tasks.push(Task(std::move(event))); },
        std::move(onControlEvent), MAX_ANSWER_MEMORY_BYTES,
        runner->bodies->limits.pooledConnections);
    if (settings.entry) {
        BOOST_OUTCOME_TRY(callers,
                          CallerServer::start(
                              settings, edge, runner->exchanges,
                              [self](HostEvent &&event) { return self->post(std::move(event)); },
                              runner->bodies));
        runner->callers = std::move(callers);
    }
    runner->thread = std::thread([self]() { self->runDecisions(); });
    return runner;
}

HostRunner::~HostRunner()
{
    this->stop();
}

void HostRunner::stop()
{
    this->tasks.close();
    if (this->thread.joinable())
        this->thread.join();
    if (this->callers)
        this->callers->stop();
    if (this->targets)
        this->targets->stop();
}

bool HostRunner::post(HostEvent event)
{
    return this->tasks.tryPush(Task(std::move(event)));
}

void HostRunner::beginShutdown()
{
    this->tasks.push(Task(HostEvent(ShutdownEvent{})));
}

template <class T> T HostRunner::queryState(std::function<T(const Host &)> read)
{
    auto result = std::make_shared<T>();
    auto done = std::make_shared<absl::Notification>();
    const bool posted
        = this->tasks.tryPush(Task(StateQuery([result, done, read](const Host &state) {
              *result = read(state);
              done->Notify();
          })));
    if (posted && done->WaitForNotificationWithTimeout(absl::Seconds(5)))
        return *result;
    return T{};
}

nlohmann::json HostRunner::dumpState()
{
    return this->queryState<nlohmann::json>(
        [](const Host &state) { return dump(state, MonotonicClock::now()); });
}

std::string HostRunner::metrics()
{
    return this->queryState<std::string>([](const Host &state) {
        return formatMetrics(state, MonotonicClock::now());
    }) + formatGrammarFaults()
        + this->bodies->formatMetrics() + (this->callers ? this->callers->formatMetrics() : "");
}

OperatorAnswer HostRunner::callLeader(LeaderCall call)
{
    auto pending = std::make_shared<PendingOperator>();
    pending->operatorWaits = std::move(call.operatorWaits);
    std::uint64_t id = 0;
    {
        absl::MutexLock lock(&this->operatorMutex);
        id = ++this->lastOperatorId;
        this->pendingOperators[id] = pending;
    }
    OperatorAnswer answer;
    answer.error = Errc::Timeout;
    const bool posted
        = this->post(OperatorRequest{id, call.dryRun, std::move(call.body), call.deadline});
    const Duration wait = std::max(call.deadline - MonotonicClock::now(), Duration::zero());
    if (posted && pending->done.WaitForNotificationWithTimeout(absl::Microseconds(wait.count())))
        answer = pending->answer;
    absl::MutexLock lock(&this->operatorMutex);
    this->pendingOperators.erase(id);
    return answer;
}

std::string HostRunner::uniqueName()
{
    const HolderId &holder = this->host.settings.holder; // Constant after construction.
    return absl::StrCat(holder.host.value, "-", holder.run, "-", ++this->lastName);
}

void HostRunner::runDecisions()
{
    TimePoint tickDue = MonotonicClock::now();
    TimePoint probeDue = tickDue;
    this->connectTo("", {});
    while (!this->tasks.isClosed()) {
        for (Task &task : this->tasks.popAll(TICK_INTERVAL)) {
            if (const auto *query = std::get_if<StateQuery>(&task))
                (*query)(this->host);
            else
                this->handle(std::get<HostEvent>(task));
        }
        const TimePoint now = MonotonicClock::now();
        if (now < tickDue)
            continue;
        tickDue = now + TICK_INTERVAL;
        this->handle(TickEvent{WallClock::unixMs()});
        this->link->openIfDue(now);
        const bool isNowReady = isReady(this->host, now);
        // Callers' connections are refused until the host knows API keys and targets, so that a
        // load balancer connects to another host.
        if (isNowReady && this->callers && !this->callers->open())
            logEvent("callersPortFailed", {{"address", this->settings.callers.text()}});
        if (isNowReady != this->readyNow.exchange(isNowReady))
            logEvent(isNowReady ? "ready" : "notReady", {{"table", this->host.table}});
        this->advanceShutdown(now);
        this->limitHeads();
        this->drainedNow = isDrained(this->host, now) && this->exchanges->size() == 0;
        if (now >= probeDue && this->callers) {
            probeDue = now + PROBE_INTERVAL;
            this->callers->detectDisconnectedCallers();
        }
    }
}

void HostRunner::limitHeads()
{
    if (!this->callers || this->headsLimitedAt == this->host.table)
        return;
    this->headsLimitedAt = this->host.table;
    std::size_t most = 0; // The service is known only once the head has been read.
    for (const auto &[name, service] : this->host.view.services)
        most = std::max(most, service.maxHeaderBytes);
    this->callers->limitHeads(most);
}

void HostRunner::advanceShutdown(TimePoint now)
{
    if (!this->host.leaving || !this->callers)
        return;
    this->callers->closeAfterAnswers();
    // After the drain time, load balancers have seen that the host is not ready. Refusing
    // connections makes a balancer that still connects choose another host.
    if (now >= this->host.leavingSince + this->host.settings.drain)
        this->callers->stopAccepting();
}

void HostRunner::handle(const HostEvent &event)
{
    const TimePoint now = MonotonicClock::now();
    if (this->trace.is_open())
        this->trace << nlohmann::json{{"at", now}, {"event", event}}.dump() << "\n";
    HostEffects effects = step(this->host, event, now);
    this->logDecisions(event, effects, now);
    for (HostEffect &effect : effects)
        this->execute(effect);
}

/** @return The caller's own id of the request; empty if the caller sent none or the request has
 * ended. */
std::string HostRunner::correlationIdOf(RequestId request) const
{
    const auto exchange = this->exchanges->find(request);
    return exchange ? exchange->forwarded.correlation : "";
}

/** @return Model and adapter that the request names; empty if it names none or has ended. */
std::string HostRunner::variantOf(RequestId request) const
{
    const auto exchange = this->exchanges->find(request);
    return exchange ? exchange->forwarded.variant : "";
}

/** @return Shared parts of the request's prompt; empty if it has ended. */
std::vector<PromptPart> HostRunner::promptPartsOf(RequestId request) const
{
    const auto it = this->host.requests.find(request);
    return it != this->host.requests.end() ? it->second.asked.promptParts
                                           : std::vector<PromptPart>();
}

/** @return Version of the target's software; empty if it states none or is not known any more. */
std::string HostRunner::softwareVersionOf(const TargetId &target) const
{
    const auto it = this->host.targets.find(target);
    return it != this->host.targets.end() ? it->second.announcement.softwareVersion : "";
}

void HostRunner::logDecisions(const HostEvent &event, const HostEffects &effects,
                              TimePoint now) const
{
    const auto inputs = [&](RequestId request) {
        return nlohmann::json{{"request", request},
                              {"tag", this->correlationIdOf(request)},
                              {"variant", this->variantOf(request)},
                              {"table", this->host.table},
                              {"registry", this->host.registry},
                              {"grantMs", toMilliseconds(this->host.grantDelay)},
                              {"freshMs", (this->host.freshUntil - now).count() / 1000}};
    };
    if (const auto *ended = std::get_if<AttemptEnded>(&event))
        logEventRateLimited("attemptEnded",
                            {{"attempt", ended->attempt},
                             {"result", ended->result},
                             {"bound", ended->bound},
                             {"status", ended->status},
                             {"events", ended->relayed.events},
                             {"connectionLost", ended->connectionLost}});
    if (const auto *stated = std::get_if<TargetStated>(&event))
        logEventRateLimited("targetStated",
                            {{"attempt", stated->attempt},
                             {"target", stated->target},
                             {"start", stated->start},
                             {"leaving", stated->statement.leaving},
                             {"quietFor", stated->statement.quietFor},
                             {"requestRate", stated->statement.requestRate}});
    for (const HostEffect &effect : effects) {
        if (const auto *refusal = std::get_if<RefuseCaller>(&effect)) {
            nlohmann::json line = inputs(refusal->request);
            line["type"] = refusalResponseOf(refusal->code).type;
            line["execution"] = refusal->execution;
            line["retryAfterMs"] = refusal->retryAfter.value_or(Duration::zero()).count() / 1000;
            addWaits(line, refusal->waits);
            addRank(line, refusal->ranking);
            if (!refusal->streamVersion.empty())
                line["streamVersion"] = refusal->streamVersion;
            logEventRateLimited("requestRefused", std::move(line));
        } else if (const auto *start = std::get_if<StartAttempt>(&effect)) {
            nlohmann::json line = inputs(start->request);
            line["attempt"] = start->attempt;
            line["target"] = start->target;
            line["targetVersion"] = this->softwareVersionOf(start->target);
            line["remainingMs"] = start->remaining.count() / 1000;
            line["begun"] = start->relayed.begun;
            if (const std::optional<EventId> last = continuesAfter(start->relayed))
                line["resumeAfter"] = last->text;
            line["parts"] = this->promptPartsOf(start->request);
            addWaits(line, start->waits);
            addRank(line, start->ranking);
            if (start->urgency)
                line["urgency"] = *start->urgency;
            const auto request = this->host.requests.find(start->request);
            if (request != this->host.requests.end() && request->second.heldByRate)
                line["heldByRate"] = true;
            logEventRateLimited("attemptStarted", std::move(line));
        } else if (const auto *ended = std::get_if<AnswerOperator>(&effect)) {
            if (ended->end != OperatorEnd::Answered)
                logEventRateLimited("operatorRequestDropped",
                                    {{"why", ended->end},
                                     {"request", ended->request},
                                     {"changeId", ended->changeId},
                                     {"base", ended->base},
                                     {"ageMs", toMilliseconds(ended->age)}});
        }
    }
}

void HostRunner::execute(HostEffect &effect)
{
    if (const auto *refusal = std::get_if<RefuseCaller>(&effect)) {
        if (const auto exchange = this->exchanges->find(refusal->request))
            answerRefusal(*exchange, *refusal, this->edge);
    } else if (auto *replay = std::get_if<ReplayAnswer>(&effect)) {
        if (const auto exchange = this->exchanges->find(replay->request))
            exchange->begin(replay->answer.status, replay->answer.contentType,
                            {{"X-Replayed", "true"}}, std::move(replay->answer.body), false);
    } else if (const auto *attempt = std::get_if<StartAttempt>(&effect)) {
        this->startAttempt(*attempt);
    } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
        this->targets->cancel(cancel->attempt);
    } else if (const auto *retireConnections = std::get_if<RetireConnections>(&effect)) {
        this->targets->retireConnections(retireConnections->address);
    } else if (const auto *callBack = std::get_if<CallBackAttempts>(&effect)) {
        this->targets->callBack(callBack->target);
    } else if (const auto *message = std::get_if<SendControl>(&effect)) {
        this->link->send(message->message);
    } else if (const auto *change = std::get_if<SwitchControlHost>(&effect)) {
        this->connectTo(change->address, change->known);
    } else if (const auto *check = std::get_if<CheckOperator>(&effect)) {
        this->handle(OperatorPresence{check->id, this->operatorWaits(check->id)});
    } else {
        this->answerOperator(std::get<AnswerOperator>(effect).answer);
    }
}

bool HostRunner::operatorWaits(std::uint64_t request)
{
    absl::MutexLock lock(&this->operatorMutex);
    const auto pending = this->pendingOperators.find(request);
    if (pending == this->pendingOperators.end())
        return false;
    return !pending->second->operatorWaits || pending->second->operatorWaits();
}

void HostRunner::answerOperator(const OperatorAnswer &answer)
{
    absl::MutexLock lock(&this->operatorMutex);
    const auto pending = this->pendingOperators.find(answer.id);
    if (pending == this->pendingOperators.end())
        return;
    pending->second->answer = answer;
    pending->second->done.Notify();
    this->pendingOperators.erase(pending);
}

void HostRunner::startAttempt(const StartAttempt &attempt)
{
    if (this->targets->start(attempt))
        return;
    AttemptEnded ended;
    ended.attempt = attempt.attempt;
    ended.result = AttemptResult::NotSent;
    this->post(std::move(ended));
}

void HostRunner::setSeeds(std::vector<std::string> addresses)
{
    absl::MutexLock lock(&this->seedsMutex);
    this->seeds = std::move(addresses);
}

/**
 * Round robin over the latest known control hosts and the seed addresses. The seeds are included
 * because all of the known control hosts may have been replaced.
 * @return Next address to connect to.
 */
std::string HostRunner::nextControlAddress()
{
    std::vector<std::string> all = this->controlAddresses;
    {
        absl::MutexLock lock(&this->seedsMutex);
        all.insert(all.end(), this->seeds.begin(), this->seeds.end());
    }
    return all[++this->nextAddress % all.size()];
}

void HostRunner::connectTo(std::string address, const std::vector<std::string> &known)
{
    if (!known.empty())
        this->controlAddresses = known;
    const bool keepsLink = this->link
        && (this->link->address() == address
            || (address.empty() && !known.empty()
                && std::count(known.begin(), known.end(), this->link->address()) > 0));
    if (keepsLink)
        return;
    if (address.empty())
        address = this->nextControlAddress();
    this->link = std::make_unique<PeerClient>(
        address,
        [this](PeerFrame &&frame) {
            if (auto *message = std::get_if<ControlMessage>(&frame))
                this->post(ControlMessageEvent{std::move(*message)});
        },
        [this](bool connected) { this->post(ControlLinkEvent{connected}); });
    this->link->openIfDue(MonotonicClock::now());
}

} // namespace bilberry
