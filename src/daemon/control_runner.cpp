/** @file control_runner.cpp Decision thread and journal thread of a control member. */
#include "daemon/control_runner_base.h"

#include "control/journal_backlog_func.h"
#include "control/leadership_end_func.h"

#include "core/log_func.h"

#include <absl/strings/str_cat.h>
#include <absl/synchronization/notification.h>
#include <random>

namespace bilberry {

namespace {

constexpr std::size_t QUEUE_CAPACITY = 65'536;
constexpr Duration TICK_INTERVAL = 10ms; ///< Interval of ControlTickEvent.
constexpr Duration MEMORY_LOG_INTERVAL = 500ms; ///< Of "controlMemory"; one line at most.
constexpr std::size_t BYTES_PER_MB = 1 << 20;
/** Part of the memory for calls of operators that wait, as received. While one is decoded, its tree
 * takes nine times its bytes beside it. */
constexpr std::size_t CALL_ROOM_DIVISOR = 16;
constexpr Duration JOURNAL_RETRY_DELAY = 500ms; ///< Delay before a failed write is repeated.

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/** @return Both clocks of the calling thread. */
DecisionClock readClocks()
{
    timespec processor{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &processor);
    return {MonotonicClock::now(),
            std::chrono::duration_cast<Duration>(std::chrono::seconds(processor.tv_sec)
                                                 + std::chrono::nanoseconds(processor.tv_nsec))};
}

/** Writes an event to the log; the end of a leadership with what kept the thread before it. */
void logNote(const ControlLogEvent &note, const DecisionLoad &load)
{
    if (note.event != LEADERSHIP_ENDED_EVENT) {
        logEventRateLimited(note.event, note.fields);
        return;
    }
    nlohmann::json fields = note.fields;
    fields["lastSecond"] = toLogFields(longestRecentSpans(load));
    logEvent(note.event, fields);
}

/** @return Event for the last log entry that @p write makes durable; empty without entries. */
std::optional<SyncedEvent> lastSyncedEntry(const JournalWrite &write)
{
    if (!write.append.empty())
        return SyncedEvent{write.append.back().index, write.append.back().term};
    return std::nullopt;
}

/** @return The duties of the deployment; none without an address of the infrastructure. */
DutySettings toDutySettings(const Settings &settings)
{
    DutySettings duties;
    if (settings.infrastructure.port == 0)
        return duties;
    duties.address = settings.infrastructure.text();
    duties.callsPerSecond = settings.infrastructureCallsPerSecond;
    duties.reportsUsage = settings.reportsUsage;
    duties.ordersTargets = settings.ordersTargets;
    duties.window = settings.usageWindow;
    duties.usageDue = settings.usageDue;
    return duties;
}

std::vector<JournalBatch> toBatches(const std::vector<JournalWrite> &writes)
{
    std::vector<JournalBatch> batches;
    batches.reserve(writes.size());
    for (const JournalWrite &write : writes)
        batches.push_back({write.hardState, write.append, write.snapshot});
    return batches;
}

} // namespace

ControlRunner::ControlRunner(const Settings &settings, OrderChannel orders)
    : settings(settings)
    , orders(std::move(orders))
    , tasks(QUEUE_CAPACITY)
    , callRoom(settings.memoryMb * BYTES_PER_MB / CALL_ROOM_DIVISOR)
    , writes(QUEUE_CAPACITY)
{
}

Result<std::unique_ptr<ControlRunner>> ControlRunner::start(const Settings &settings,
                                                            OrderChannel orders)
{
    std::unique_ptr<ControlRunner> runner(new ControlRunner(settings, std::move(orders)));
    Journal::Content content;
    BOOST_OUTCOME_TRY(journal, Journal::open(settings.dataFolder, content));
    runner->journal = std::move(journal);
    runner->memberId = content.member;
    logEvent("journalOpened",
             {{"member", content.member},
              {"snapshotIndex", content.state.latestSnapshot.index},
              {"entries", content.state.log.size()},
              {"tornBytes", content.tornBytes}});
    Result<Control> control = makeControl(content.member, std::move(content.state), randomSeed(),
                                          MonotonicClock::now());
    if (!control)
        return control.error();
    runner->control = std::move(control).value();
    runner->control.desiredVoterCount = settings.voters;
    runner->control.host = settings.host;
    if (settings.edge == EdgeKind::Platform)
        runner->control.tuning = makeFastLoadTuning();
    // Grants may use half of the tolerated excess over the accounts' limits. The other half covers
    // the budgets that hosts still hold after they have lost contact with the control group.
    runner->control.leeway = {settings.rateLeeway / 2, settings.burstLeeway / 2};
    runner->control.tuning.prefetches = settings.prefetch;
    runner->control.tuning.forecastsLoads = settings.loadForecasts;
    runner->control.tuning.orderSeparation = settings.orderSeparation;
    runner->control.duties = toDutySettings(settings);
    ControlRunner *self = runner.get();
    BOOST_OUTCOME_TRY(
        server, PeerServer::start(settings.peers, [self](PeerFrame &&frame, std::size_t bytes) {
            return self->handleFrame(std::move(frame), bytes);
        }));
    runner->server = std::move(server);
    runner->decisionThread = std::thread([self]() { self->runDecisions(); });
    runner->journalThread = std::thread([self]() { self->runJournal(); });
    return runner;
}

ControlRunner::~ControlRunner()
{
    this->stop();
}

void ControlRunner::stop()
{
    this->tasks.close();
    this->writes.close();
    if (this->decisionThread.joinable())
        this->decisionThread.join();
    if (this->journalThread.joinable())
        this->journalThread.join();
    if (this->server)
        this->server->shutdown();
}

bool ControlRunner::post(ControlEvent event)
{
    return this->tasks.tryPush(Task(std::move(event)));
}

bool ControlRunner::handleFrame(PeerFrame &&frame, std::size_t bytes)
{
    if (auto *member = std::get_if<MemberFrame>(&frame)) {
        if (member->to != this->memberId)
            return true;
        {
            absl::MutexLock lock(&this->linksMutex);
            this->selfReportedAddresses[member->from] = member->fromAddress;
        }
        return this->post(ReplicaMessageEvent{member->from, std::move(member->message)});
    }
    auto *message = std::get_if<HostMessage>(&frame);
    if (message == nullptr)
        return true;
    HostMessageEvent event{std::move(*message), MonotonicClock::now(), {}};
    if (const auto *call = std::get_if<OperatorCall>(&event.message)) {
        event.room = this->callRoom.tryTake(bytes);
        if (!event.room)
            return this->refuseCall(*call, bytes);
    }
    return this->post(std::move(event));
}

bool ControlRunner::refuseCall(const OperatorCall &call, std::size_t bytes)
{
    logEventRateLimited("operatorCallRefused",
                        {{"host", call.holder.host},
                         {"bytes", bytes},
                         {"held", this->callRoom.held()},
                         {"limit", this->callRoom.limit}});
    const OutgoingControlMessage answer{call.holder, OperatorAnswer{call.id, Errc::QueueFull, {}}};
    return this->tasks.tryPush(Task(StateQuery([this, answer](const Control &) {
        this->server->sendToHost(answer.holder, answer.message);
    })));
}

nlohmann::json ControlRunner::dumpState()
{
    auto result = std::make_shared<nlohmann::json>();
    auto done = std::make_shared<absl::Notification>();
    const bool posted = this->tasks.tryPush(Task(StateQuery([result, done](const Control &control) {
        *result = dump(control, MonotonicClock::now());
        done->Notify();
    })));
    if (!posted || !done->WaitForNotificationWithTimeout(absl::Seconds(5)))
        return nullptr;
    return *result;
}

std::string ControlRunner::metrics()
{
    auto result = std::make_shared<std::string>();
    auto done = std::make_shared<absl::Notification>();
    const bool posted = this->tasks.tryPush(Task(StateQuery([=, this](const Control &control) {
        *result = formatPlacementMetrics(control) + formatMetrics(this->readMemory());
        if (control.duties.reportsUsage || control.duties.ordersTargets)
            *result += formatDutyMetrics(control, MonotonicClock::now());
        done->Notify();
    })));
    if (!posted || !done->WaitForNotificationWithTimeout(absl::Seconds(5)))
        return "";
    const DutySettings &duties = this->control.duties; // Constant after construction.
    const bool makesCalls = duties.reportsUsage || duties.ordersTargets;
    return makesCalls ? *result + this->formatCallCounters() : *result;
}

void ControlRunner::runDecisions()
{
    TimePoint tickDue = MonotonicClock::now();
    while (!this->tasks.isClosed()) {
        const bool handled = this->handleNext();
        this->receiveTasks(handled ? Duration::zero() : TICK_INTERVAL);
        const TimePoint now = MonotonicClock::now();
        if (now < tickDue)
            continue;
        tickDue = now + TICK_INTERVAL;
        this->handle(ControlTickEvent{});
        this->logMemoryIfDue(now);
        if (this->isLeader())
            logDecisionLoad(this->load, this->inbox.hostMessages.size(), now);
        absl::MutexLock lock(&this->linksMutex);
        for (const auto &[address, link] : this->links)
            link->openIfDue(now);
    }
}

void ControlRunner::receiveTasks(Duration timeout)
{
    for (Task &task : this->tasks.popAll(timeout)) {
        if (const auto *query = std::get_if<StateQuery>(&task))
            (*query)(this->control);
        else
            enqueueEvent(this->inbox, std::get<ControlEvent>(std::move(task)));
    }
    if (this->inbox.dropped == this->lastLoggedDrops)
        return;
    logEventRateLimited("hostMessagesDropped",
                        {{"count", this->inbox.dropped - this->lastLoggedDrops}});
    this->lastLoggedDrops = this->inbox.dropped;
}

bool ControlRunner::handleNext()
{
    if (hasCommittedBacklog(this->control.replica)) {
        // A member that applies a long log still answers its control group after each batch.
        for (std::size_t left = this->inbox.priority.size(); left > 0; --left)
            this->handle(*dequeueEvent(this->inbox));
        this->handle(ApplyCommittedEvent{});
        return true;
    }
    const std::optional<ControlEvent> event = dequeueEvent(this->inbox);
    if (event)
        this->handle(*event);
    return event.has_value();
}

std::string ControlRunner::formatCallCounters() const
{
    std::string out;
    for (std::size_t i = 0; i < this->dutyReplies.size(); ++i)
        absl::StrAppend(&out, "bilberrybend_duty_calls_total{reply=\"",
                        nlohmann::json(static_cast<DutyReply>(i)).get<std::string>(), "\"} ",
                        this->dutyReplies[i].load(), "\n");
    return out;
}

ControlMemory ControlRunner::readMemory()
{
    ControlMemory memory;
    memory.operatorCalls = this->callRoom.held();
    memory.callLimit = this->callRoom.limit;
    memory.log = logBytes(this->control.replica);
    memory.snapshot = this->control.replica.latestSnapshot.state.size();
    memory.hostFrames = this->server->queuedBytes();
    memory.process = readProcessMemory();
    absl::MutexLock lock(&this->linksMutex);
    for (const auto &[address, link] : this->links)
        memory.memberFrames[address] = link->queuedBytes();
    return memory;
}

/** Logs what the memory holds while the process has more than half of what its machine allows. */
void ControlRunner::logMemoryIfDue(TimePoint now)
{
    if (this->settings.memoryMb == 0 || now < this->memoryLoggedAt + MEMORY_LOG_INTERVAL)
        return;
    this->memoryLoggedAt = now;
    if (readProcessMemory().resident > this->settings.memoryMb * BYTES_PER_MB / 2)
        logEventRateLimited("controlMemory", toLogFields(this->readMemory()));
}

void ControlRunner::handle(const ControlEvent &event)
{
    if (const auto *reply = std::get_if<DutyReplyEvent>(&event))
        ++this->dutyReplies[static_cast<std::size_t>(reply->reply)];
    const DecisionClock began = readClocks();
    recordPause(this->load, began);
    ControlEffects effects = step(this->control, event, began.wall);
    const DecisionClock decided = readClocks();
    this->execute(std::move(effects));
    recordDecision(this->load, kindOf(event), began, decided, readClocks());
}

void ControlRunner::execute(ControlEffects effects)
{
    if (this->control.replica.membership.addresses != this->addresses) {
        absl::MutexLock lock(&this->linksMutex);
        this->addresses = this->control.replica.membership.addresses;
    }
    for (const OutgoingMessage &message : effects.toMembers)
        this->sendToMember(message);
    for (JournalWrite &write : effects.journal)
        this->writes.push(std::move(write));
    for (const OutgoingControlMessage &item : effects.toHosts)
        this->server->sendToHost(item.holder, item.message);
    for (const ControlLogEvent &note : effects.logEvents)
        logNote(note, this->load);
    for (SendOrder &order : effects.orders) {
        logEventRateLimited("orderDecided",
                            {{"replica", order.replica},
                             {"action", order.order.action},
                             {"fencing", order.order.fencing},
                             {"term", order.term},
                             {"leaseMs", toMilliseconds(order.sendBy - order.decidedAt)},
                             {"accepted", order.order.precondition.value_or(0)}});
        const OrderReplyEvent unsent{order.replica, order.order.fencing, OrderReply::Unsent};
        if (!this->orders.send(std::move(order)))
            this->post(unsent);
    }
    for (InspectTarget &item : effects.inspections) {
        const InspectionEvent unanswered{item.target, item.start, {}};
        if (!this->orders.inspect(std::move(item)))
            this->post(unanswered);
    }
    for (DutyCall &call : effects.dutyCalls) {
        const DutyReplyEvent unsent{call.id, DutyReply::Unsent, 0};
        if (!this->orders.callInfrastructure(std::move(call)))
            this->post(unsent);
    }
    if (effects.roleChanged)
        this->updateLeadership();
}

void ControlRunner::updateLeadership()
{
    const LogReplica &replica = this->control.replica;
    const bool isLeader = replica.role == ReplicaRole::Leader;
    // The end of a leadership is among the effects, with its reason.
    if (isLeader != this->leading.exchange(isLeader) && isLeader)
        logEvent("leadershipWon", {{"term", replica.hardState.term}, {"commit", replica.commit}});
}

void ControlRunner::sendToMember(const OutgoingMessage &message)
{
    absl::MutexLock lock(&this->linksMutex);
    const std::string address = this->addressOf(message.to);
    if (address.empty())
        return;
    std::unique_ptr<PeerClient> &link = this->links[address];
    if (!link) {
        link = std::make_unique<PeerClient>(
            address, [](PeerFrame &&) {}, [](bool) {});
        link->openIfDue(MonotonicClock::now());
    }
    link->send(
        MemberFrame{this->memberId, this->settings.peers.text(), message.to, message.message});
}

std::string ControlRunner::addressOf(const MemberId &member)
{
    const auto known = this->addresses.find(member);
    if (known != this->addresses.end())
        return known->second;
    const auto selfReported = this->selfReportedAddresses.find(member);
    return selfReported == this->selfReportedAddresses.end() ? "" : selfReported->second;
}

void ControlRunner::runJournal()
{
    while (!this->writes.isClosed()) {
        std::vector<JournalWrite> pending = this->writes.popAll(1s);
        if (pending.empty())
            continue;
        // A batch is acknowledged only after it is durable; a failed write is repeated until it
        // succeeds or the thread is stopped. Meanwhile the queue is emptied, since the decision
        // thread waits for room in it.
        while (!this->journal->write(toBatches(pending)) && !this->writes.isClosed()) {
            if (this->journalWritable.exchange(false))
                logEvent("journalUnwritable", {{"folder", this->settings.dataFolder}});
            absl::SleepFor(absl::Microseconds(JOURNAL_RETRY_DELAY.count()));
            for (JournalWrite &write : this->writes.popAll(Duration::zero()))
                pending.push_back(std::move(write));
            compactBacklog(pending);
        }
        if (this->writes.isClosed())
            return;
        if (!this->journalWritable.exchange(true))
            logEvent("journalWritable");
        for (JournalWrite &write : pending) {
            if (const auto synced = lastSyncedEntry(write))
                this->tasks.push(Task(ControlEvent(*synced)));
            for (const OutgoingMessage &message : write.afterSync)
                this->sendToMember(message);
        }
    }
}

} // namespace bilberry
