/** @file target_count_cmd.cpp Orders the number of targets of services. */
#include "control/control_internal.h"

#include "duty/target_count_func.h"
#include "state/view_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr Duration TARGET_COUNT_INTERVAL = 250ms; ///< Shortest interval of the hosts' reports.
constexpr Duration DEMAND_MAX_AGE = 2s; ///< Older demand is that of a host that has ended.
/** Longer than any call takes: its reply was lost in a full queue of this process. */
constexpr Duration REPLY_TIMEOUT = 5s;

using Inputs = std::map<DutyKey, TargetCountInput>;

/** @return The bounds for the service's number of targets; null if it has none. */
const TargetCountBounds *findBounds(const Control &control, const std::string &service)
{
    const auto policy = control.cluster.view.services.find(service);
    const bool bounded
        = policy != control.cluster.view.services.end() && policy->second.targetCount;
    return bounded ? &*policy->second.targetCount : nullptr;
}

/** @return Requests that run or wait at the target, by the latest reports of the hosts. */
double demandAt(const Leadership &leadership, const TargetId &target, TimePoint now)
{
    const auto slots = leadership.slots.find(target);
    if (slots == leadership.slots.end())
        return 0;
    double sum = 0;
    for (const auto &[holder, item] : slots->second.demands) {
        if (now > item.reportedAt + DEMAND_MAX_AGE)
            continue;
        for (const AccountDemand &account : item.demand)
            sum += account.demand;
    }
    return sum;
}

/** @return Refused requests that are expected back about now, by service of their models. */
std::map<std::string, double> countReturning(const Control &control)
{
    std::map<std::string, double> returning;
    const Planner &planner = control.leadership->planner;
    for (const Variant &variant : planner.activeVariants) {
        const auto model = control.cluster.view.models.find(variant.model);
        const auto history = planner.history.find(variant);
        if (model != control.cluster.view.models.end() && history != planner.history.end())
            returning[model->second.service] += history->second.returning;
    }
    return returning;
}

/** Adds the requests that come back; the zones of a service share them like its places. */
void addReturning(const Control &control, Inputs &inputs)
{
    const std::map<std::string, double> returning = countReturning(control);
    std::map<std::string, double> places;
    for (const auto &[key, input] : inputs)
        places[key.service] += static_cast<double>(input.places);
    for (auto &[key, input] : inputs) {
        const auto count = returning.find(key.service);
        if (count != returning.end() && input.places > 0)
            input.demand += count->second * static_cast<double>(input.places) / places[key.service];
    }
}

/** @return What this leader sees of each subject; subjects that it has seen before are among them
 * also while they have no target. */
Inputs collectInputs(const Control &control, TimePoint now)
{
    const Leadership &leadership = *control.leadership;
    Inputs inputs;
    for (const auto &[key, duty] : leadership.targetCounts)
        inputs[key] = {};
    for (const auto &[id, entry] : leadership.registry.targets) {
        const TargetAnnouncement &target = entry.announcement;
        if (findBounds(control, target.service) == nullptr)
            continue;
        TargetCountInput &input = inputs[{DutyKind::TargetCount, target.service, target.zone}];
        input.demand += demandAt(leadership, id, now);
        if (entry.left || target.leaving || !acceptsWork(control.cluster.view, target))
            continue;
        ++input.targets;
        input.places += target.maxConcurrent;
    }
    addReturning(control, inputs);
    for (auto &[key, input] : inputs) {
        const auto zone = control.cluster.view.zones.find(key.zone);
        input.held = zone != control.cluster.view.zones.end() && zone->second.out;
    }
    return inputs;
}

/** Takes the present decision over, unless an earlier order may have been accepted. */
void updateWanted(const DutyKey &key, TargetCountDuty &duty, std::optional<int> decided,
                  const TargetCountInput &input, ControlEffects &effects)
{
    if (duty.uncertain || decided == duty.wanted)
        return;
    duty.wanted = decided;
    effects.logEvents.push_back({"targetCountDecided",
                                 {{"service", key.service},
                                  {"zone", key.zone},
                                  {"desired", duty.wanted},
                                  {"ordered", duty.state.ordered},
                                  {"targets", input.targets},
                                  {"places", input.places},
                                  {"demand", duty.state.recentDemand},
                                  {"smoothDemand", duty.state.smoothDemand}}});
}

/** Sends the order that is due, once this leader holds the duty. */
void sendOrder(Control &control, const DutyKey &key, TargetCountDuty &duty, ControlEffects &effects,
               TimePoint now)
{
    const std::optional<FencingToken> fencing = holdDuty(control, key, effects, now);
    if (!fencing)
        return;
    duty.call = makeDutyCall(control, key, *fencing,
                             TargetCountOrder{key.service, key.zone, *duty.wanted}, effects, now);
    if (duty.call)
        duty.calledAt = now;
}

void runDuty(Control &control, const DutyKey &key, TargetCountDuty &duty,
             const TargetCountInput &input, ControlEffects &effects, TimePoint now)
{
    const std::optional<int> decided
        = decideTargetCount(duty.state, *findBounds(control, key.service), input, now);
    if (duty.call && now < duty.calledAt + REPLY_TIMEOUT)
        return;
    if (duty.call) {
        effects.logEvents.push_back({"targetCountReplyLost", {{"call", *duty.call}}});
        duty.call.reset();
        duty.uncertain = true;
    }
    updateWanted(key, duty, decided, input, effects);
    if (duty.wanted)
        sendOrder(control, key, duty, effects, now);
}

} // namespace

void runTargetCounts(Control &control, ControlEffects &effects, TimePoint now)
{
    Leadership &leadership = *control.leadership;
    // The first reports of the hosts name the targets that live; until then there seem to be few.
    const bool knowsTargets = now >= leadership.electedAt + TARGET_HEARTBEAT_TIMEOUT;
    if (!control.duties.ordersTargets || !knowsTargets || now < leadership.targetCountsDue)
        return;
    leadership.targetCountsDue = now + TARGET_COUNT_INTERVAL;
    std::erase_if(leadership.targetCounts, [&](const auto &item) {
        return findBounds(control, item.first.service) == nullptr;
    });
    for (const auto &[key, input] : collectInputs(control, now))
        runDuty(control, key, leadership.targetCounts[key], input, effects, now);
}

void onTargetCountReply(Control &control, const DutyReplyEvent &reply, ControlEffects &effects,
                        TimePoint now)
{
    if (!control.leadership)
        return;
    auto &duties = control.leadership->targetCounts;
    const auto it = std::find_if(duties.begin(), duties.end(),
                                 [&](const auto &item) { return item.second.call == reply.id; });
    if (it == duties.end())
        return;
    TargetCountDuty &duty = it->second;
    duty.call.reset();
    duty.uncertain = duty.uncertain || reply.reply == DutyReply::Unknown;
    const bool accepted = reply.reply == DutyReply::Accepted;
    if (!accepted && reply.reply != DutyReply::Refused)
        return;
    effects.logEvents.push_back({accepted ? "targetCountOrdered" : "targetCountRefused",
                                 {{"service", it->first.service},
                                  {"zone", it->first.zone},
                                  {"desired", duty.wanted},
                                  {"status", reply.status}}});
    if (accepted)
        recordTargetCountAccepted(duty.state, *duty.wanted, now);
    else
        recordTargetCountRefused(duty.state, *duty.wanted);
    duty.wanted.reset();
    duty.uncertain = false;
}

} // namespace bilberry
