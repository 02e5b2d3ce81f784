/** @file config_cmd.cpp Takes in configurations at the leader, and writes the newest one. */
#include "control/control_internal.h"

#include <algorithm>

namespace bilberry {

namespace {

void addCaller(ConfigIntake &intake, const OperatorCall &call, Version number, TimePoint expires)
{
    const bool resent = std::any_of(
        intake.callers.begin(), intake.callers.end(), [&](const ConfigCaller &caller) {
            return caller.holder == call.holder && caller.call == call.id;
        });
    if (!resent && intake.callers.size() < MAX_CONFIG_CALLERS)
        intake.callers.push_back({call.holder, call.id, number, expires});
}

/** Acknowledges what is in force or overtaken, and forgets callers that have given up. */
void answerCallers(Control &control, ControlEffects &effects, TimePoint now)
{
    std::vector<ConfigCaller> left;
    for (ConfigCaller &caller : control.leadership->configs.callers) {
        if (caller.number <= control.cluster.number)
            effects.toHosts.push_back(
                {caller.holder,
                 OperatorAnswer{caller.call,
                                Errc::Ok,
                                {{"version", control.cluster.version}, {"error", Errc::Ok}}}});
        else if (now < caller.expires)
            left.push_back(std::move(caller));
    }
    control.leadership->configs.callers = std::move(left);
}

void dropNewest(ConfigIntake &intake)
{
    intake.newest.reset();
    intake.room.reset();
}

void proposeNewest(Control &control, ControlEffects &effects, TimePoint now)
{
    ConfigIntake &intake = control.leadership->configs;
    intake.proposed = intake.newest->number;
    ReplaceConfig config = std::move(*intake.newest);
    dropNewest(intake);
    if (proposeCommand(control, std::move(config), {}, effects, now) || !control.leadership)
        return;
    intake.proposed = Version(0);
    for (const ConfigCaller &caller : intake.callers)
        effects.toHosts.push_back({caller.holder, NotLeader{leaderAddress(control)}});
    intake.callers.clear();
}

} // namespace

void takeInConfig(Control &control, const OperatorCall &call, const ReplaceConfig &config,
                  const CallArrival &arrival, ControlEffects &effects, TimePoint now)
{
    ConfigIntake &intake = control.leadership->configs;
    const Version highest = std::max({control.cluster.number, intake.proposed,
                                      intake.newest ? intake.newest->number : Version(0)});
    if (config.number > highest) {
        intake.newest = config;
        intake.room = arrival.room;
    }
    addCaller(intake, call, config.number, arrival.expires);
    continueConfigs(control, effects, now);
}

void continueConfigs(Control &control, ControlEffects &effects, TimePoint now)
{
    if (!control.leadership)
        return;
    ConfigIntake &intake = control.leadership->configs;
    if (intake.callers.empty() && !intake.newest)
        return;
    answerCallers(control, effects, now);
    const bool isApplied = intake.proposed <= control.cluster.number;
    if (!intake.newest || !isApplied)
        return;
    if (!intake.callers.empty()) {
        proposeNewest(control, effects, now);
        return;
    }
    effects.logEvents.push_back({"configurationGivenUp", {{"number", intake.newest->number}}});
    dropNewest(intake);
}

} // namespace bilberry
