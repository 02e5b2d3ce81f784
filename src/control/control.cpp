/** @file control.cpp Event handling of a control member. */
#include "control/assumption_func.h"
#include "control/control_internal.h"
#include "control/leadership_end_func.h"

#include "state/change_func.h"
#include "state/cluster_func.h"
#include "state/view_func.h"
#include "stream/stream_func.h"
#include "target/registry_func.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

namespace {

constexpr Duration EXPIRE_INTERVAL = 10s; ///< Time between two RemoveExpired commands.
constexpr Duration ADAPTER_LOAD_TIME
    = 40ms; ///< Assumed time from the acceptance of a load order until the adapter is loaded.
constexpr Duration LOST_HOST_CHECK_INTERVAL = 500ms; ///< Time between two checks for expired hosts.

/**
 * @return Earliest time at which this leader may send orders to targets without fencing. Orders of
 * an earlier leader can be sent until its lease ends, even after a transfer of the leadership, and
 * can take MAX_ORDER_TRANSIT_TIME to reach the target. At the target, orders of two leaders must be
 * orderSeparation apart.
 */
TimePoint earliestOrderTime(const Control &control, TimePoint now)
{
    if (control.replica.hardState.term == 1)
        return now; // There was no earlier leader.
    return now
        + withDriftMargin(LEADER_LEASE + MAX_ORDER_TRANSIT_TIME + control.tuning.orderSeparation);
}

void startLeadership(Control &control, TimePoint now)
{
    Leadership leadership;
    leadership.term = control.replica.hardState.term;
    leadership.electedAt = now;
    leadership.earlierGrantsUntil = now + withDriftMargin(BUDGET_LEASE);
    leadership.clockAtElection = control.cluster.clock;
    leadership.registry.epoch = leadership.term;
    leadership.planner.since = now;
    leadership.planner.tuning = control.tuning;
    leadership.planner.ordersAllowedFrom = earliestOrderTime(control, now);
    leadership.planner.storeLoadTokensAt = now;
    leadership.placementDue = now;
    leadership.expireDue = now + EXPIRE_INTERVAL;
    control.leadership = std::move(leadership);
}

/**
 * Creates the soft state when the replica becomes leader. Drops it, and logs why, when the replica
 * steps down.
 */
void syncLeadershipWithRole(Control &control, ControlEffects &effects, TimePoint now)
{
    const bool leads = control.replica.role == ReplicaRole::Leader;
    const std::optional<Leadership> &leadership = control.leadership;
    if (leadership && (!leads || leadership->term != control.replica.hardState.term)) {
        effects.logEvents.push_back(
            makeLeadershipEnded(control.replica, leadership->term, leadership->electedAt, now));
        control.leadership.reset();
    }
    if (leads && !control.leadership)
        startLeadership(control, now);
}

void answerCallBegin(Control &control, const PendingCommand &pending, const BeginCall &command,
                     const CommandOutcome &outcome, ControlEffects &effects)
{
    if (outcome.verdict == CallVerdict::Join)
        control.leadership->joined[command.id].emplace_back(pending.holder, pending.request);
    effects.toHosts.push_back(
        {pending.holder, CallAnswer{pending.request, command.id, outcome.verdict, outcome.answer}});
}

/** Answers with the origin and the version of the registry, without whose targets the host cannot
 * tell whether the origin is gone. */
void answerStreamQuery(const Leadership &leadership, const HolderId &holder, RequestId request,
                       const std::optional<StreamOrigin> &origin, std::uint64_t revision,
                       ControlEffects &effects)
{
    effects.toHosts.push_back({holder,
                               StreamAnswer{request, origin, revision, leadership.registry.epoch,
                                            leadership.registry.version}});
}

/** Logs a change that was refused since a newer change of the same record had been accepted. */
void logIfOvertaken(const PendingCommand &pending, const Command &command,
                    const CommandOutcome &outcome, ControlEffects &effects)
{
    if (!pending.base || outcome.error != Errc::VersionConflict)
        return;
    std::visit(
        [&](const auto &body) {
            if constexpr (ChangesRecord<std::decay_t<decltype(body)>>)
                effects.logEvents.push_back({"changeOvertaken",
                                             {{"changeId", body.changeId},
                                              {"record", recordOf(body).id},
                                              {"base", *pending.base},
                                              {"present", outcome.version},
                                              {"by", pending.holder.host}}});
        },
        command.body);
}

void answerPending(Control &control, const PendingCommand &pending, const Command &command,
                   const CommandOutcome &outcome, ControlEffects &effects)
{
    switch (pending.kind) {
    case PendingCommand::Kind::Internal:
        return;
    case PendingCommand::Kind::Placement:
        control.leadership->placementPending = false;
        return;
    case PendingCommand::Kind::CallBegin:
        answerCallBegin(control, pending, std::get<BeginCall>(command.body), outcome, effects);
        return;
    case PendingCommand::Kind::CallEnd:
        effects.toHosts.push_back({pending.holder, CallReportAck{pending.request}});
        return;
    case PendingCommand::Kind::Stream:
        answerStreamQuery(*control.leadership, pending.holder, pending.request, outcome.origin,
                          std::get<RecordStream>(command.body).revision, effects);
        return;
    case PendingCommand::Kind::Lending:
        adoptLending(control, std::get<RecordLending>(command.body), effects);
        return;
    case PendingCommand::Kind::Duty:
        onDutyCommandApplied(control, command.body, effects);
        return;
    case PendingCommand::Kind::Operator:
        logIfOvertaken(pending, command, outcome, effects);
        effects.toHosts.push_back(
            {pending.holder,
             OperatorAnswer{pending.operatorCallId,
                            outcome.error,
                            {{"version", outcome.version}, {"error", outcome.error}}}});
        return;
    }
}

void applyEntry(Control &control, const LogEntry &entry, ControlEffects &effects)
{
    if (entry.kind != EntryKind::Command)
        return;
    const Result<Command> command = decode<Command>(entry.payload);
    assert(command); // Only members append commands, and log records are checksummed.
    const CommandOutcome outcome = apply(control.cluster, command.value());
    if (!control.leadership)
        return;
    const auto pending = control.leadership->pending.find(entry.index);
    if (pending != control.leadership->pending.end()) {
        answerPending(control, pending->second, command.value(), outcome, effects);
        control.leadership->pending.erase(pending);
    }
    answerJoinedRequests(control, outcome.ended, effects);
}

void onCallQuery(Control &control, const CallQuery &query, ControlEffects &effects, TimePoint now)
{
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::CallBegin;
    pending.holder = query.holder;
    pending.request = query.request;
    const CallOwner owner{query.holder.host, query.holder.run, query.request};
    if (!proposeCommand(control, BeginCall{query.id, query.body, owner}, pending, effects, now))
        effects.toHosts.push_back({query.holder, NotLeader{leaderAddress(control)}});
}

void onCallReport(Control &control, const CallReport &report, ControlEffects &effects,
                  TimePoint now)
{
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::CallEnd;
    pending.holder = report.holder;
    pending.request = report.request;
    const CallOwner owner{report.holder.host, report.holder.run, report.request};
    if (!proposeCommand(control, EndCall{report.id, owner, report.end, report.answer}, pending,
                        effects, now))
        effects.toHosts.push_back({report.holder, NotLeader{leaderAddress(control)}});
}

void onStreamQuery(Control &control, const StreamQuery &query, ControlEffects &effects,
                   TimePoint now)
{
    // Until the entries of earlier leaders are applied, a missing record proves nothing; the host
    // asks again.
    if (!control.leadership->active)
        return;
    if (!query.begin) {
        answerStreamQuery(*control.leadership, query.holder, query.request,
                          findStream(control.cluster.streams, query.id), query.revision, effects);
        return;
    }
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::Stream;
    pending.holder = query.holder;
    pending.request = query.request;
    const StreamOwner owner{query.holder.host, query.holder.run, query.request};
    if (!proposeCommand(control, RecordStream{query.id, *query.begin, owner, query.revision},
                        pending, effects, now))
        effects.toHosts.push_back({query.holder, NotLeader{leaderAddress(control)}});
}

CallArrival arrivalOf(const HostMessageEvent &event, const OperatorCall &call, TimePoint now)
{
    CallArrival arrival{TimePoint::max(), event.room};
    const TimePoint receivedAt = event.receivedAt == TimePoint{} ? now : event.receivedAt;
    if (call.timeLeftMs)
        arrival.expires = receivedAt + std::chrono::milliseconds(*call.timeLeftMs);
    return arrival;
}

void onHostMessage(Control &control, const HostMessageEvent &event, ControlEffects &effects,
                   TimePoint now)
{
    const HostMessage &message = event.message;
    if (!control.leadership || !isActiveLeader(control.replica, now)) {
        const HolderId holder = std::visit([](const auto &m) { return m.holder; }, message);
        effects.toHosts.push_back({holder, NotLeader{leaderAddress(control)}});
        return;
    }
    if (const auto *report = std::get_if<HostReport>(&message))
        onHostReport(control, *report, effects, now);
    else if (const auto *query = std::get_if<CallQuery>(&message))
        onCallQuery(control, *query, effects, now);
    else if (const auto *callReport = std::get_if<CallReport>(&message))
        onCallReport(control, *callReport, effects, now);
    else if (const auto *streamQuery = std::get_if<StreamQuery>(&message))
        onStreamQuery(control, *streamQuery, effects, now);
    else if (const auto *call = std::get_if<OperatorCall>(&message))
        onOperatorCall(control, *call, arrivalOf(event, *call, now), effects, now);
}

/**
 * Proposes EndHostRun for each host run whose lease has expired. The command marks the running
 * calls of the run as undetermined.
 */
void declareLostHosts(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    for (auto &[id, host] : leadership.hosts) {
        if (host.lossProposed || now < host.leaseEnds)
            continue;
        if (!proposeCommand(control, EndHostRun{id, host.run}, {}, effects, now))
            return;
        host.lossProposed = true;
        removeHostUses(leadership.planner, id);
    }
    // Once all leases of earlier leaders have expired, a running call whose owner has no host entry
    // belongs to a host run that ended before this leadership.
    if (now < leadership.earlierGrantsUntil)
        return;
    std::set<std::pair<HostId, std::uint64_t>> orphans;
    for (const auto &[id, record] : control.cluster.calls.records) {
        if (record.status != CallStatus::Running)
            continue;
        const auto host = leadership.hosts.find(record.owner.host);
        if (host == leadership.hosts.end() || host->second.run > record.owner.run)
            orphans.emplace(record.owner.host, record.owner.run);
    }
    for (const auto &[host, run] : orphans) {
        if (!proposeCommand(control, EndHostRun{host, run}, {}, effects, now))
            return;
    }
}

/** Starts to lead once all entries that earlier leaders committed are applied. */
void activate(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    leadership.active = true;
    leadership.planner.inheritedFencing = control.cluster.lastFencing;
    checkRecordedLending(control, now);
    effects.logEvents.push_back(
        {"leadershipActive",
         {{"term", leadership.term},
          {"electedMsAgo", toMilliseconds(now - leadership.electedAt)},
          {"ordersInMs", toMilliseconds(leadership.planner.ordersAllowedFrom - now)},
          {"inheritedFencing", leadership.planner.inheritedFencing}}});
}

void onLeaderTick(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    if (!leadership.active)
        activate(control, effects, now);
    for (const TargetId &target : removeTimedOutTargets(leadership.registry, now)) {
        leadership.slots.erase(target);
        leadership.rates.erase(target);
        leadership.descriptions.erase(target);
        effects.logEvents.push_back({"targetSilent", {{"target", target}}});
    }
    if (now >= leadership.lostHostsCheckDue) {
        leadership.lostHostsCheckDue = now + LOST_HOST_CHECK_INTERVAL;
        declareLostHosts(control, effects, now);
    }
    if (now >= leadership.expireDue) {
        leadership.expireDue = now + EXPIRE_INTERVAL;
        const bool due = !control.cluster.calls.records.empty()
            || !control.cluster.view.quarantines.empty()
            || !control.cluster.streams.records.empty();
        if (due)
            (void)proposeCommand(control, RemoveExpired{}, {}, effects, now);
        removeObsoleteLending(control, effects, now);
    }
    recordLending(control, effects, now);
    quarantineSuspects(control, effects, now);
    continueMemberChange(control, effects, now);
    maintainMembers(control, effects, now);
    runPlacement(control, effects, now);
    runUsage(control, effects, now);
    runTargetCounts(control, effects, now);
}

void onTick(Control &control, ControlEffects &effects, TimePoint now)
{
    applyReplicaEffects(control, tick(control.replica, now), effects, now);
    if (control.leadership && isActiveLeader(control.replica, now))
        onLeaderTick(control, effects, now);
    if (isCompactionDue(control.replica))
        applyReplicaEffects(
            control, compact(control.replica, control.replica.applied, encode(control.cluster)),
            effects, now);
}

/**
 * Updates the assumptions if the target has accepted an order that carries a precondition. An
 * accepted order for a model ends what an earlier inspection has shown: an announcement follows.
 */
void recordAcceptedOrder(Leadership &leadership, const OrderReplyEvent &event, TimePoint now)
{
    const auto known = leadership.planner.orders.find(event.replica);
    const bool accepted = known != leadership.planner.orders.end()
        && known->second.order.fencing == event.fencing && event.reply == OrderReply::Accepted
        && known->second.order.precondition;
    if (!accepted)
        return;
    const Order &order = known->second.order;
    dropAssumption(leadership, order.target, order.variant);
    if (order.variant.adapter.value.empty())
        return;
    // An adapter in use is unloaded later, and the target then announces the unload.
    if (order.action == OrderAction::Unload && !event.done)
        return;
    const bool loads = order.action == OrderAction::Load;
    addAssumption(leadership,
                  {now + (loads ? ADAPTER_LOAD_TIME : Duration::zero()), order.target, order.start,
                   order.variant, order.version, loads});
}

void onInspection(Control &control, const InspectionEvent &event, TimePoint now)
{
    if (!control.leadership)
        return;
    Leadership &leadership = *control.leadership;
    handleInspection(leadership.planner, event.target, event.start, event.inspection, now);
    if (event.inspection && !event.inspection->busy && event.inspection->held)
        assumeInventory(leadership, event.target, event.start, *event.inspection->held, now);
}

void onOrderReply(Control &control, const OrderReplyEvent &event, ControlEffects &effects,
                  TimePoint now)
{
    if (!control.leadership)
        return;
    recordAcceptedOrder(*control.leadership, event, now);
    const std::vector<std::string> gone = handleOrderReply(
        control.leadership->planner, event.replica, event.fencing, event.reply, event.done, now);
    if (!gone.empty())
        (void)proposeCommand(control, UpdateReplicas{{}, gone}, {}, effects, now);
}

} // namespace

Duration clusterTime(const Control &control, TimePoint now)
{
    if (!control.leadership)
        return control.cluster.clock;
    const Leadership &leadership = *control.leadership;
    return std::max(control.cluster.clock,
                    leadership.clockAtElection + (now - leadership.electedAt));
}

std::string leaderAddress(const Control &control)
{
    if (!control.replica.leader)
        return "";
    const auto &addresses = control.replica.membership.addresses;
    const auto it = addresses.find(*control.replica.leader);
    return it == addresses.end() ? "" : it->second;
}

void answerJoinedRequests(Control &control, const std::vector<CallId> &calls,
                          ControlEffects &effects)
{
    if (!control.leadership)
        return;
    auto &joined = control.leadership->joined;
    for (const CallId &call : calls) {
        const auto waiting = joined.find(call);
        if (waiting == joined.end())
            continue;
        const auto record = control.cluster.calls.records.find(call);
        CallAnswer answer;
        answer.id = call;
        // Without a record the call has not run: the holder may begin the call again.
        answer.verdict = CallVerdict::Join;
        if (record != control.cluster.calls.records.end()) {
            const bool done = record->second.status == CallStatus::Done;
            answer.verdict = done ? CallVerdict::Replay : CallVerdict::MayHaveRun;
            answer.answer = record->second.answer;
        }
        for (const auto &[holder, request] : waiting->second) {
            answer.request = request;
            effects.toHosts.push_back({holder, answer});
        }
        joined.erase(waiting);
    }
}

void applyReplicaEffects(Control &control, ReplicaEffects replicaEffects, ControlEffects &effects,
                         TimePoint now)
{
    const bool writes = replicaEffects.hardState || !replicaEffects.append.empty()
        || replicaEffects.snapshot || !replicaEffects.sendAfterSync.empty();
    if (writes)
        effects.journal.push_back({replicaEffects.hardState, std::move(replicaEffects.append),
                                   std::move(replicaEffects.snapshot),
                                   std::move(replicaEffects.sendAfterSync)});
    for (OutgoingMessage &message : replicaEffects.sendNow)
        effects.toMembers.push_back(std::move(message));
    if (replicaEffects.restored) {
        Result<Cluster> restored = decodeCluster(replicaEffects.restored->state);
        assert(restored); // Encoded by a member and checksummed in transit.
        control.cluster = std::move(restored).value();
    }
    syncLeadershipWithRole(control, effects, now);
    for (const LogEntry &entry : replicaEffects.committed)
        applyEntry(control, entry, effects);
    effects.roleChanged = effects.roleChanged || replicaEffects.roleChanged;
}

Result<void> proposeCommand(Control &control, CommandBody body, const PendingCommand &pending,
                            ControlEffects &effects, TimePoint now)
{
    if (!control.leadership || !isActiveLeader(control.replica, now))
        return Errc::NotLeader;
    LogIndex index = 0;
    const Command command{clusterTime(control, now), std::move(body), pending.base};
    Result<ReplicaEffects> proposed = propose(control.replica, encode(command), index, now);
    if (!proposed)
        return proposed.error();
    control.leadership->pending[index] = pending;
    applyReplicaEffects(control, std::move(proposed).value(), effects, now);
    return boost::outcome_v2::success();
}

Result<Control> makeControl(const MemberId &self, DurableState durable, std::uint64_t seed,
                            TimePoint now)
{
    Control control;
    if (!durable.latestSnapshot.state.empty()) {
        Result<Cluster> cluster = decodeCluster(durable.latestSnapshot.state);
        if (!cluster)
            return Errc::JournalCorrupt;
        control.cluster = std::move(cluster).value();
    }
    control.replica = makeReplica(self, std::move(durable), seed, now);
    control.now = now;
    return control;
}

ControlEffects step(Control &control, const ControlEvent &event, TimePoint now)
{
    ControlEffects effects;
    control.now = now;
    if (const auto *message = std::get_if<ReplicaMessageEvent>(&event))
        applyReplicaEffects(control, receive(control.replica, message->from, message->message, now),
                            effects, now);
    else if (const auto *host = std::get_if<HostMessageEvent>(&event))
        onHostMessage(control, *host, effects, now);
    else if (const auto *written = std::get_if<SyncedEvent>(&event))
        applyReplicaEffects(control, synced(control.replica, written->index, written->term, now),
                            effects, now);
    else if (const auto *order = std::get_if<OrderReplyEvent>(&event))
        onOrderReply(control, *order, effects, now);
    else if (const auto *inspection = std::get_if<InspectionEvent>(&event))
        onInspection(control, *inspection, now);
    else if (std::holds_alternative<ControlTickEvent>(event))
        onTick(control, effects, now);
    else if (std::holds_alternative<ApplyCommittedEvent>(event))
        applyReplicaEffects(control, applyCommitted(control.replica), effects, now);
    else if (const auto *reply = std::get_if<DutyReplyEvent>(&event))
        onDutyReply(control, *reply, effects, now);
    else
        applyReplicaEffects(control, transferLeadership(control.replica), effects, now);
    continueConfigs(control, effects, now);
    return effects;
}

} // namespace bilberry
