/** @file operator_cmd.cpp Handles operators' requests to the leader. */
#include "control/control_internal.h"

#include "placement/store_pace_func.h"
#include "state/change_func.h"
#include "state/cluster_func.h"

#include <limits>

namespace bilberry {

namespace {

void answer(const OperatorCall &call, Errc error, nlohmann::json body, ControlEffects &effects)
{
    effects.toHosts.push_back({call.holder, OperatorAnswer{call.id, error, std::move(body)}});
}

/** Answers with the outcome that the command would have; changes nothing. */
void answerDryRun(Control &control, const OperatorCall &call, CommandBody body,
                  ControlEffects &effects, TimePoint now)
{
    const CommandOutcome outcome
        = dryRun(control.cluster, {clusterTime(control, now), std::move(body)});
    answer(call, outcome.error, {{"version", outcome.version}, {"error", outcome.error}}, effects);
}

void submit(Control &control, const OperatorCall &call, CommandBody body, ControlEffects &effects,
            TimePoint now)
{
    if (call.dryRun) {
        answerDryRun(control, call, std::move(body), effects, now);
        return;
    }
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::Operator;
    pending.holder = call.holder;
    pending.operatorCallId = call.id;
    pending.base = call.base;
    if (!proposeCommand(control, std::move(body), pending, effects, now))
        effects.toHosts.push_back({call.holder, NotLeader{leaderAddress(control)}});
}

/**
 * @return The shutdown with the incarnation that it is about: if neither the target nor the host
 * has named it, the one that the leader knows, or all if it knows none.
 */
RecordTargetShutdown resolveShutdown(const Control &control, RecordTargetShutdown shutdown)
{
    if (shutdown.start != Incarnation())
        return shutdown;
    const auto &targets = control.leadership->registry.targets;
    const auto known = targets.find(shutdown.target);
    shutdown.start = known != targets.end()
        ? known->second.announcement.start
        : Incarnation(std::numeric_limits<std::uint64_t>::max());
    return shutdown;
}

/** @return What a change of the body's kind is to be based on; a stale answer is refused later. */
template <class Body> ChangeBase baseOf(const Control &control, const Body &body)
{
    if constexpr (ChangesRecord<Body>)
        return {changeVersion(control.cluster, recordOf(body)), {}};
    else if constexpr (std::is_same_v<Body, ChangeMember>)
        return {Version(control.replica.membershipIndex), {}};
    else if constexpr (std::is_same_v<Body, RecordTargetShutdown>)
        return {{}, resolveShutdown(control, body).start};
    else
        return {};
}

/**
 * Acknowledges a change that was completed earlier and is resent. The membership is recorded again,
 * so that no other change that is based on the same index is carried out later.
 */
void confirmMembers(Control &control, const OperatorCall &call, ControlEffects &effects,
                    TimePoint now)
{
    const Membership present = control.replica.membership;
    if (call.base) {
        Result<ReplicaEffects> recorded = changeMembership(control.replica, present, now);
        if (!recorded) {
            answer(call, static_cast<Errc>(recorded.error().value()), nullptr, effects);
            return;
        }
        applyReplicaEffects(control, std::move(recorded).value(), effects, now);
    }
    answer(call, Errc::Ok, {{"members", present}}, effects);
}

/**
 * Adds the new member as a learner; continueMemberChange() makes it a voter in place of the removed
 * member once it has caught up. Removes a member at once if none is added.
 */
void changeMember(Control &control, const OperatorCall &call, const ChangeMember &change,
                  ControlEffects &effects, TimePoint now)
{
    const Version present(control.replica.membershipIndex);
    if (call.base && *call.base != present) {
        answer(call, Errc::VersionConflict, {{"version", present}}, effects);
        return;
    }
    Membership next = control.replica.membership;
    const MemberId added(change.add);
    const MemberId removed(change.remove);
    const bool addsKnown = !change.add.empty() && next.voters.contains(added);
    const bool removesUnknown = !change.remove.empty() && !next.voters.contains(removed)
        && !next.learners.contains(removed);
    if (addsKnown && (change.remove.empty() || removesUnknown)) {
        confirmMembers(control, call, effects, now);
        return;
    }
    if (removesUnknown || (change.add.empty() && change.remove.empty())) {
        answer(call, Errc::NotFound, nullptr, effects);
        return;
    }
    if (control.leadership->memberChange) {
        answer(call, Errc::MembershipBusy, nullptr, effects);
        return;
    }
    if (!change.add.empty() && !addsKnown) {
        next.learners.insert(added);
        next.addresses[added] = change.addAddress;
    } else {
        next.voters.erase(removed);
        next.learners.erase(removed);
    }
    Result<ReplicaEffects> changed = changeMembership(control.replica, next, now);
    if (!changed) {
        answer(call, static_cast<Errc>(changed.error().value()), nullptr, effects);
        return;
    }
    if (!change.add.empty() && !addsKnown)
        control.leadership->memberChange = change;
    answer(call, Errc::Ok, {{"members", next}}, effects);
    applyReplicaEffects(control, std::move(changed).value(), effects, now);
}

} // namespace

void continueMemberChange(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    if (!leadership.memberChange)
        return;
    const ChangeMember &change = *leadership.memberChange;
    const MemberId added(change.add);
    Membership next = control.replica.membership;
    if (!next.learners.contains(added)) {
        leadership.memberChange.reset();
        return;
    }
    next.learners.erase(added);
    next.voters.insert(added);
    if (!change.remove.empty()) {
        next.voters.erase(MemberId(change.remove));
        next.learners.erase(MemberId(change.remove));
    }
    Result<ReplicaEffects> changed = changeMembership(control.replica, next, now);
    if (!changed)
        return; // The learner lags or a change is in progress: retried on the next tick.
    leadership.memberChange.reset();
    applyReplicaEffects(control, std::move(changed).value(), effects, now);
}

Version inForce(const Control &control, TimePoint now)
{
    if (!control.leadership || now < control.leadership->earlierGrantsUntil)
        return Version(0);
    Version lowest = control.cluster.version;
    for (const auto &[id, host] : control.leadership->hosts) {
        if (now < host.leaseEnds)
            lowest = std::min(lowest, host.table);
    }
    return lowest;
}

nlohmann::json makeStatus(const Control &control, TimePoint now)
{
    nlohmann::json out{{"member", control.replica.self},
                       {"role", control.replica.role},
                       {"term", control.replica.hardState.term},
                       {"leader", control.replica.leader},
                       {"members", control.replica.membership},
                       {"lastIndex", lastIndex(control.replica)},
                       {"commit", control.replica.commit},
                       {"version", control.cluster.version},
                       {"configVersion", control.cluster.configVersion},
                       {"inForce", inForce(control, now)},
                       {"callRecords", control.cluster.calls.records.size()},
                       {"storedAnswerBytes", control.cluster.calls.totalStoredBytes}};
    if (!control.cluster.duties.empty())
        out["duties"] = describeDuties(control, now);
    if (control.duties.reportsUsage)
        out["usage"] = describeUsage(control, now);
    if (!control.leadership)
        return out;
    for (const auto &[id, host] : control.leadership->hosts)
        out["hosts"][id.value] = {{"run", host.run},
                                  {"zone", host.zone},
                                  {"table", host.table},
                                  {"live", now < host.leaseEnds},
                                  {"leaving", host.leaving}};
    for (const auto &[id, entry] : control.leadership->registry.targets)
        out["targets"][id.value] = entry.announcement;
    for (const auto &[id, replica] : control.cluster.view.replicas)
        out["replicas"][id] = replica;
    for (const auto &[key, duty] : control.leadership->targetCounts)
        out["targetCounts"].push_back({{"service", key.service},
                                       {"zone", key.zone},
                                       {"targets", duty.state.targets},
                                       {"demand", duty.state.recentDemand},
                                       {"ordered", duty.state.ordered},
                                       {"wanted", duty.wanted}});
    for (const auto &[id, slots] : control.leadership->slots)
        out["slots"][id.value] = {{"limit", slots.ramp.limit}, {"free", slots.pool.level}};
    const Planner &planner = control.leadership->planner;
    if (planner.tuning.forecastsLoads)
        out["store"]
            = {{"parallelism",
                storeParallelism(planner.storePace, planner.tuning.maxConcurrentStoreLoads)},
               {"slowness", planner.storePace.slowness},
               {"loads", planner.forecasts.loads},
               {"needs", planner.forecasts.needs},
               {"withoutRoom", planner.forecasts.unplaced},
               {"lastMs", toMilliseconds(planner.forecasts.last)}};
    for (const auto &[id, zone] : control.cluster.view.zones)
        out["zones"][id.value] = zone;
    return out;
}

nlohmann::json dump(const Control &control, TimePoint now)
{
    nlohmann::json out = makeStatus(control, now);
    out["cluster"] = control.cluster;
    if (control.leadership)
        out["accounts"] = control.leadership->accounts;
    return out;
}

void onOperatorCall(Control &control, const OperatorCall &call, const CallArrival &arrival,
                    ControlEffects &effects, TimePoint now)
{
    if (now >= arrival.expires) {
        effects.logEvents.push_back({"operatorCallExpired",
                                     {{"host", call.holder.host},
                                      {"call", call.id},
                                      {"lateMs", toMilliseconds(now - arrival.expires)}}});
        return;
    }
    if (call.asksForBase) {
        const ChangeBase base
            = std::visit([&](const auto &body) { return baseOf(control, body); }, call.body);
        answer(call, Errc::Ok, base, effects);
        return;
    }
    std::visit(
        [&](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, StatusQuery>)
                answer(call, Errc::Ok, body.full ? dump(control, now) : makeStatus(control, now),
                       effects);
            else if constexpr (std::is_same_v<Body, ConfigQuery>)
                answer(call, control.cluster.number.value == 0 ? Errc::NotFound : Errc::Ok,
                       {{"number", control.cluster.number}, {"document", control.cluster.document}},
                       effects);
            else if constexpr (std::is_same_v<Body, ChangeMember>)
                changeMember(control, call, body, effects, now);
            else if constexpr (std::is_same_v<Body, RecordTargetShutdown>)
                submit(control, call, resolveShutdown(control, body), effects, now);
            else if constexpr (std::is_same_v<Body, ReplaceConfig>)
                call.dryRun ? answerDryRun(control, call, body, effects, now)
                            : takeInConfig(control, call, body, arrival, effects, now);
            else
                submit(control, call, body, effects, now);
        },
        call.body);
}

} // namespace bilberry
