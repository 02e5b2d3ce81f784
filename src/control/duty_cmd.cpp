/** @file duty_cmd.cpp Grants singleton duties to the leader and makes their calls. */
#include "control/control_internal.h"

#include "duty/call_pacer_func.h"
#include "duty/duty_grant_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** @return The grant of the duty to this leader; null if there is none. */
const DutyGrant *ownGrant(const Control &control, const DutyKey &duty)
{
    return findGrant(control.cluster.duties, duty, control.replica.self.value,
                     control.leadership->term);
}

void proposeGrant(Control &control, const DutyKey &duty, ControlEffects &effects, TimePoint now)
{
    if (!control.leadership->dutyCalls.proposed.insert(duty).second)
        return;
    const GrantDuty grant{duty, control.replica.self.value, control.host, control.leadership->term};
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::Duty;
    const bool proposed = static_cast<bool>(proposeCommand(control, grant, pending, effects, now));
    if (!proposed && control.leadership)
        control.leadership->dutyCalls.proposed.erase(duty);
}

void logGrant(Control &control, const DutyKey &duty, ControlEffects &effects)
{
    control.leadership->dutyCalls.proposed.erase(duty);
    const DutyGrant *grant = ownGrant(control, duty);
    if (grant == nullptr)
        return; // It was proposed in an earlier term of this member.
    const Duration wait = control.leadership->planner.ordersAllowedFrom - control.now;
    effects.logEvents.push_back(
        {"dutyGranted",
         {{"duty", duty.kind},
          {"service", duty.service},
          {"zone", duty.zone},
          {"fencing", grant->fencing},
          {"member", grant->member},
          {"term", grant->term},
          {"callsInMs", toMilliseconds(std::max(wait, Duration::zero()))}}});
}

} // namespace

std::optional<FencingToken> holdDuty(Control &control, const DutyKey &duty, ControlEffects &effects,
                                     TimePoint now)
{
    if (!control.leadership || !control.leadership->active || !isActiveLeader(control.replica, now))
        return std::nullopt;
    const DutyGrant *grant = ownGrant(control, duty);
    if (grant == nullptr) {
        proposeGrant(control, duty, effects, now);
        return std::nullopt;
    }
    if (now < control.leadership->planner.ordersAllowedFrom)
        return std::nullopt;
    return grant->fencing;
}

std::optional<std::uint64_t> makeDutyCall(Control &control, const DutyKey &duty,
                                          FencingToken fencing,
                                          std::variant<UsageReport, TargetCountOrder> body,
                                          ControlEffects &effects, TimePoint now)
{
    if (holdDuty(control, duty, effects, now) != fencing)
        return std::nullopt;
    DutyCalls &calls = control.leadership->dutyCalls;
    const TimePoint sendBy = std::min(leaseEnd(control.replica), now + LEADER_LEASE);
    if (sendBy <= now)
        return std::nullopt;
    if (!calls.pacer)
        calls.pacer = makeCallPacer(control.duties.callsPerSecond, now);
    if (!tryTakeCall(*calls.pacer, now))
        return std::nullopt;
    const std::uint64_t id = ++control.lastDutyCall;
    calls.outstanding[id] = duty;
    effects.dutyCalls.push_back({id, duty, fencing, std::move(body), sendBy});
    return id;
}

void onDutyReply(Control &control, const DutyReplyEvent &reply, ControlEffects &effects,
                 TimePoint now)
{
    // The next leader repeats the calls of an earlier one, whatever became of them.
    if (!control.leadership)
        return;
    DutyCalls &calls = control.leadership->dutyCalls;
    const auto call = calls.outstanding.find(reply.id);
    if (call == calls.outstanding.end())
        return;
    const DutyKind kind = call->second.kind;
    calls.outstanding.erase(call);
    recordCallReply(*calls.pacer, reply.reply, now);
    if (kind == DutyKind::Usage)
        onUsageReply(control, reply, effects, now);
    else
        onTargetCountReply(control, reply, effects, now);
}

void onDutyCommandApplied(Control &control, const CommandBody &body, ControlEffects &effects)
{
    if (const auto *grant = std::get_if<GrantDuty>(&body))
        logGrant(control, grant->duty, effects);
    else
        onUsageCommandApplied(control, body, effects);
}

nlohmann::json describeDuties(const Control &control, TimePoint now)
{
    const Duration clock = clusterTime(control, now);
    nlohmann::json out = nlohmann::json::array();
    for (const auto &[duty, grant] : control.cluster.duties)
        out.push_back({{"duty", duty.kind},
                       {"service", duty.service},
                       {"zone", duty.zone},
                       {"holder", grant.host},
                       {"member", grant.member},
                       {"term", grant.term},
                       {"fencing", grant.fencing},
                       {"heldMs", toMilliseconds(clock - grant.grantedAt)}});
    return out;
}

} // namespace bilberry
