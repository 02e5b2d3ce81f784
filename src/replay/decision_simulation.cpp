/** @file decision_simulation.cpp Discrete-event simulation of the decision code. */
#include "replay/decision_simulation_base.h"

#include "state/cluster_func.h"

#include <utility>

namespace bilberry {

namespace {

constexpr Duration TICK_INTERVAL = 5ms;
constexpr Duration ANNOUNCE_INTERVAL = 1s;
constexpr const char *KEY_SECRET = "loop-secret";

void persist(DurableState &disk, const JournalWrite &write)
{
    if (write.snapshot) {
        disk.latestSnapshot = *write.snapshot;
        disk.log.clear();
    }
    if (write.hardState)
        disk.hardState = *write.hardState;
    for (const LogEntry &entry : write.append) {
        while (!disk.log.empty() && disk.log.back().index >= entry.index)
            disk.log.pop_back();
        disk.log.push_back(entry);
    }
}

} // namespace

PresentedKey DecisionSimulation::keyOf(const AccountId &account)
{
    return {KeyId("k-" + account.value), digestOf({KEY_SECRET})};
}

DecisionSimulation::DecisionSimulation(int hosts, const FolderConfig &folder, unsigned seed)
    : seed(seed)
{
    const MemberId member("solo");
    Cluster cluster;
    apply(cluster, {Duration::zero(), ApplyConfig{"folder", Version(0), folder}});
    for (const auto &[id, account] : folder.accounts) {
        const PresentedKey key = keyOf(id);
        apply(cluster,
              {Duration::zero(),
               GrantKey{"grant-" + id.value,
                        {key.id, id, "salt", digestOf({"salt", key.secret.value})}}});
    }
    this->disk.latestSnapshot.membership.voters = {member};
    this->disk.latestSnapshot.membership.addresses[member] = "127.0.0.1:1";
    this->disk.latestSnapshot.state = encode(cluster);
    this->startControl();
    for (int i = 0; i < hosts; ++i) {
        this->hosts.emplace_back();
        this->hostIncarnations.push_back(0);
        this->restartHost(i);
    }
    this->tickAll();
    this->announceAll();
}

void DecisionSimulation::startControl()
{
    this->control = makeControl(MemberId("solo"), this->disk, this->seed, this->time).value();
    this->controlDown = false;
}

void DecisionSimulation::schedule(TimePoint at, std::function<void()> action)
{
    this->pending.push({at, ++this->sequence, std::move(action)});
}

void DecisionSimulation::runUntil(TimePoint end)
{
    while (!this->pending.empty() && this->pending.top().at <= end) {
        const ScheduledEvent item = this->pending.top();
        this->pending.pop();
        this->time = std::max(this->time, item.at);
        item.action();
        ++this->events;
        if (this->afterEvent)
            this->afterEvent();
    }
    this->time = end;
}

void DecisionSimulation::tickAll()
{
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        if (!this->hosts[i].down)
            this->stepHost(static_cast<int>(i),
                           TickEvent{this->timeOfDay ? this->timeOfDay(static_cast<int>(i)) : 0});
    }
    if (!this->controlDown)
        this->stepControl(ControlTickEvent{});
    this->schedule(this->time + TICK_INTERVAL, [this]() { this->tickAll(); });
}

void DecisionSimulation::announceAll()
{
    std::size_t next = 0;
    for (auto &[id, target] : this->targets) {
        const std::size_t host = next++ % this->hosts.size();
        if (!target.down && !this->hosts[host].down)
            this->stepHost(static_cast<int>(host), TargetAnnounced{target.announcement});
    }
    this->schedule(this->time + ANNOUNCE_INTERVAL, [this]() { this->announceAll(); });
}

void DecisionSimulation::addTarget(SimulatedTarget target)
{
    const TargetId id = target.announcement.id;
    this->targets[id] = std::move(target);
}

RequestId DecisionSimulation::send(int host, CallerRequest request, TimePoint at)
{
    request.request = RequestId(++this->lastRequest);
    const RequestId id = request.request;
    this->schedule(at, [this, host, request = std::move(request)]() {
        if (!this->hosts[static_cast<std::size_t>(host)].down)
            this->stepHost(host, request);
    });
    return id;
}

std::uint64_t DecisionSimulation::sendOperatorRequest(int host, OperatorBody body,
                                                      Duration timeLimit)
{
    const std::uint64_t id = ++this->lastOperator;
    const bool limited = timeLimit < TimePoint::max() - this->time;
    const TimePoint deadline = limited ? this->time + timeLimit : TimePoint::max();
    this->stepHost(host, OperatorRequest{id, false, std::move(body), deadline});
    return id;
}

void DecisionSimulation::disconnect(int host, RequestId request)
{
    this->stepHost(host, CallerDisconnected{request});
}

void DecisionSimulation::resume(int host)
{
    SimulatedHost &resumed = this->hosts[static_cast<std::size_t>(host)];
    resumed.frozen = resumed.stalled = false;
    for (const auto &[from, event] : std::exchange(this->heldEvents, {})) {
        if (from == host)
            this->stepHost(from, event);
        else
            this->heldEvents.emplace_back(from, event);
    }
    for (const auto &[from, message] : std::exchange(this->stalledMessages, {})) {
        if (from == host)
            this->sendToControl(from, message);
        else
            this->stalledMessages.emplace_back(from, message);
    }
}

void DecisionSimulation::restartHost(int host)
{
    SimulatedHost &simulatedHost = this->hosts[static_cast<std::size_t>(host)];
    ++this->hostIncarnations[static_cast<std::size_t>(host)];
    HostSettings settings;
    settings.holder = {HostId("h" + std::to_string(host)), ++this->lastRun};
    settings.zone = ZoneId("z" + std::to_string(host % 3));
    simulatedHost.host = makeHost(settings, this->time);
    simulatedHost.down = false;
    this->schedule(this->time, [this, host]() {
        if (!this->hosts[static_cast<std::size_t>(host)].down)
            this->stepHost(host, ControlLinkEvent{true});
    });
}

void DecisionSimulation::restartControl(Duration downFor)
{
    ++this->controlIncarnation;
    this->controlDown = true;
    this->schedule(this->time + downFor, [this]() { this->startControl(); });
}

void DecisionSimulation::stepHost(int host, const HostEvent &event)
{
    if (this->hosts[static_cast<std::size_t>(host)].frozen) {
        // A process that stood still sees one tick, not all that it has missed.
        if (!std::holds_alternative<TickEvent>(event))
            this->heldEvents.emplace_back(host, event);
        return;
    }
    Host &state = this->hosts[static_cast<std::size_t>(host)].host;
    for (const HostEffect &effect : step(state, event, this->time))
        this->execute(host, effect);
}

void DecisionSimulation::execute(int host, const HostEffect &effect)
{
    if (this->dropEffect && this->dropEffect(effect))
        return;
    if (const auto *refusal = std::get_if<RefuseCaller>(&effect)) {
        this->outcomes[{host, refusal->request}]
            = {refusal->request, this->time, false, false, *refusal};
    } else if (const auto *replayed = std::get_if<ReplayAnswer>(&effect)) {
        this->outcomes[{host, replayed->request}] = {replayed->request, this->time, true, true, {}};
    } else if (const auto *attempt = std::get_if<StartAttempt>(&effect)) {
        this->startAttempt(host, *attempt);
    } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
        AttemptEnded ended;
        ended.attempt = cancel->attempt;
        ended.result = AttemptResult::Cancelled;
        const auto running = this->attempts.find({host, cancel->attempt});
        if (running != this->attempts.end()) {
            --this->targets.at(running->second).running;
            this->attempts.erase(running);
        }
        this->schedule(this->time, [this, host, ended]() { this->stepHost(host, ended); });
    } else if (const auto *message = std::get_if<SendControl>(&effect)) {
        if (this->hosts[static_cast<std::size_t>(host)].stalled)
            this->stalledMessages.emplace_back(host, message->message);
        else
            this->sendToControl(host, message->message);
    } else if (const auto *check = std::get_if<CheckOperator>(&effect)) {
        const bool waits = !this->operatorWaits || this->operatorWaits(host, check->id);
        this->schedule(this->time, [this, host, id = check->id, waits]() {
            this->stepHost(host, OperatorPresence{id, waits});
        });
    } else if (const auto *answer = std::get_if<AnswerOperator>(&effect)) {
        if (this->onOperatorAnswer)
            this->onOperatorAnswer(host, answer->answer);
    } else if (std::holds_alternative<SwitchControlHost>(effect)) {
        // There is only one control group member, so the host opens a new stream to the same
        // member.
        this->schedule(this->time + 5ms, [this, host]() {
            if (!this->hosts[static_cast<std::size_t>(host)].down)
                this->stepHost(host, ControlLinkEvent{true});
        });
    }
}

void DecisionSimulation::sendToControl(int host, const HostMessage &message)
{
    ++this->messages;
    const std::uint64_t incarnation = this->controlIncarnation;
    this->controlFreeAt
        = std::max(this->controlFreeAt, this->time + this->linkDelay) + this->controlServiceTime;
    this->schedule(this->controlFreeAt, [this, host, incarnation, message]() {
        const bool isDelivered = !this->hosts[static_cast<std::size_t>(host)].partitioned
            && !this->controlDown && incarnation == this->controlIncarnation;
        if (isDelivered)
            this->stepControl(HostMessageEvent{message});
    });
}

void DecisionSimulation::startAttempt(int host, const StartAttempt &attempt)
{
    const std::uint64_t incarnation = this->hostIncarnations[static_cast<std::size_t>(host)];
    SimulatedTarget &target = this->targets.at(attempt.target);
    const Incarnation start = target.announcement.start;
    ++target.running;
    if (!target.down)
        target.arrivals.push_back({this->time, host});
    if (!target.down && target.statement)
        this->scheduleStatement(host, attempt);
    this->attempts[{host, attempt.attempt}] = attempt.target;
    target.maxRunning = std::max(target.maxRunning, target.running);
    AttemptEnded ended;
    ended.attempt = attempt.attempt;
    ended.result = target.down ? AttemptResult::NotSent : AttemptResult::Answered;
    ended.status = 200;
    if (!target.down && target.answer)
        ended = target.answer(attempt);
    if (ended.result == AttemptResult::Answered && attempt.keepAnswer)
        ended.answer = StoredAnswer{200, "text/plain", "done", false};
    const TimePoint at = this->time + (target.down ? 1ms : target.serviceTime);
    if (!target.down && target.timeToFirstEvent > Duration::zero())
        this->scheduleFirstEvent(host, attempt);
    this->schedule(at, [this, host, incarnation, ended, start, id = attempt.target]() {
        if (this->attempts.erase({host, ended.attempt}) == 0)
            return; // The attempt was cancelled.
        SimulatedTarget &current = this->targets.at(id);
        if (current.announcement.start == start)
            --current.running;
        if (incarnation != this->hostIncarnations[static_cast<std::size_t>(host)])
            return;
        const auto request
            = this->hosts[static_cast<std::size_t>(host)].host.attempts.find(ended.attempt);
        const bool isOpen
            = request != this->hosts[static_cast<std::size_t>(host)].host.attempts.end();
        if (isOpen && ended.result == AttemptResult::Answered)
            this->outcomes[{host, request->second}]
                = {request->second, this->time, true, false, {}};
        this->stepHost(host, ended);
    });
}

void DecisionSimulation::scheduleStatement(int host, const StartAttempt &attempt)
{
    const SimulatedTarget &target = this->targets.at(attempt.target);
    const TargetStatement statement = target.statement(attempt);
    if (!statement.any() && !attempt.reportStatement)
        return;
    TargetStated stated;
    stated.attempt = attempt.attempt;
    stated.target = attempt.target;
    stated.start = attempt.targetStart;
    stated.statement = statement;
    stated.sentAt = this->time;
    stated.receivedAt = this->time + target.headDelay;
    const std::uint64_t incarnation = this->hostIncarnations[static_cast<std::size_t>(host)];
    this->schedule(stated.receivedAt, [this, host, incarnation, stated]() {
        if (incarnation == this->hostIncarnations[static_cast<std::size_t>(host)]
            && !this->hosts[static_cast<std::size_t>(host)].down)
            this->stepHost(host, stated);
    });
}

void DecisionSimulation::scheduleFirstEvent(int host, const StartAttempt &attempt)
{
    const Duration delay = this->targets.at(attempt.target).timeToFirstEvent;
    this->schedule(this->time + delay, [this, host, attempt]() {
        if (!this->attempts.contains({host, attempt.attempt}))
            return; // The attempt was cancelled or lost.
        const SimulatedTarget &target = this->targets.at(attempt.target);
        if (target.crashes && target.crashes(attempt))
            this->crashTarget(attempt.target);
        else if (attempt.reportBegin)
            this->stepHost(host, ResponseBegan{attempt.attempt});
    });
}

void DecisionSimulation::crashTarget(const TargetId &id)
{
    SimulatedTarget &target = this->targets.at(id);
    target.down = true;
    target.running = 0;
    std::vector<std::pair<int, AttemptId>> lost;
    for (const auto &[attempt, ranOn] : this->attempts) {
        if (ranOn == id)
            lost.push_back(attempt);
    }
    for (const auto &[host, attempt] : lost) {
        this->attempts.erase({host, attempt});
        AttemptEnded ended;
        ended.attempt = attempt;
        ended.result = AttemptResult::Lost;
        ended.connectionLost = true;
        if (!this->hosts[static_cast<std::size_t>(host)].down)
            this->stepHost(host, ended);
    }
    this->schedule(this->time + target.restartTime, [this, id]() {
        SimulatedTarget &restarted = this->targets.at(id);
        restarted.announcement.start = Incarnation(restarted.announcement.start.value + 1);
        restarted.down = false;
    });
}

void DecisionSimulation::stepControl(const ControlEvent &event)
{
    if (this->onControlStep)
        this->onControlStep(true);
    const ControlEffects effects = step(this->control, event, this->time);
    if (this->onControlStep)
        this->onControlStep(false);
    this->applyEffects(effects);
    if (hasCommittedBacklog(this->control.replica))
        this->stepControl(ApplyCommittedEvent{});
}

void DecisionSimulation::applyEffects(const ControlEffects &effects)
{
    const std::uint64_t incarnation = this->controlIncarnation;
    for (const JournalWrite &write : effects.journal) {
        this->schedule(this->time + this->syncDelay, [this, write, incarnation]() {
            if (incarnation != this->controlIncarnation)
                return; // The member stopped before the write was synced, so the write is lost.
            persist(this->disk, write);
            if (!write.append.empty())
                this->stepControl(SyncedEvent{write.append.back().index, write.append.back().term});
        });
    }
    for (const OutgoingControlMessage &item : effects.toHosts) {
        ++this->messages;
        if (const auto *grant = std::get_if<HostGrant>(&item.message); grant && this->onGrant)
            this->onGrant(*grant);
        this->schedule(this->time + this->linkDelay, [this, item, incarnation]() {
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                const SimulatedHost &host = this->hosts[i];
                const bool isDelivered = host.host.settings.holder == item.holder
                    && !host.partitioned && !host.down && incarnation == this->controlIncarnation;
                if (isDelivered)
                    this->stepHost(static_cast<int>(i), ControlMessageEvent{item.message});
            }
        });
    }
    for (const DutyCall &call : effects.dutyCalls) {
        if (this->onDutyCall)
            this->onDutyCall(call);
    }
    for (const SendOrder &order : effects.orders) {
        const auto target = this->targets.find(order.order.target);
        if (target != this->targets.end())
            target->second.arrivals.push_back({this->time, -1});
        this->schedule(this->time + 1ms, [this, order, incarnation]() {
            if (incarnation == this->controlIncarnation)
                this->stepControl(
                    OrderReplyEvent{order.replica, order.order.fencing, OrderReply::Accepted});
        });
    }
}

} // namespace bilberry
