/** @file control_internal.h Parts of the control member's decisions; only for src/control. */
#pragma once

#include "control/control_func.h"

namespace bilberry {

/** Adds what the replica wants done to @p effects and applies what it committed. */
void absorb(Control &control, ReplicaEffects replicaEffects, ControlEffects &effects,
            TimePoint now);

/** Proposes a command. @return Errc::NotLeader if that is not possible now. */
Result<void> proposeCommand(Control &control, CommandBody body, const PendingCommand &pending,
                            ControlEffects &effects, TimePoint now);

/** Handles a report of a host: renews its lease and answers with grants. */
void onHostReport(Control &control, const HostReport &report, ControlEffects &effects,
                  TimePoint now);

/**
 * Notes a holder's use of a pool and grants what it wants, as far as there is any.
 * @param sameTerm Whether the totals refer to this leader's grants.
 * @return Total granted to the holder.
 */
std::int64_t exchange(LeasedPool &pool, const HolderId &holder, const PoolUse &use, bool sameTerm,
                      TimePoint expires, TimePoint now);

/** Answers the slot part of a report. */
void grantSlots(Control &control, const HostReport &report, HostGrant &grant, TimePoint now);

/** Quarantines requests that crashed targets repeatedly. */
void judgeSuspects(Control &control, ControlEffects &effects, TimePoint now);

/** Handles an operator's request. */
void onOperatorCall(Control &control, const OperatorCall &call, ControlEffects &effects,
                    TimePoint now);

/** Runs placement when due. */
void runPlacement(Control &control, ControlEffects &effects, TimePoint now);

/** Promotes a learner that has caught up. */
void continueMemberChange(Control &control, ControlEffects &effects, TimePoint now);

/** Lets reporting control members take part and replaces those that are gone. */
void maintainMembers(Control &control, ControlEffects &effects, TimePoint now);

/** @return Cluster time by the leader's estimate. */
Duration clusterTime(const Control &control, TimePoint now);

/** @return The address of the leader, empty if unknown. */
std::string leaderAddress(const Control &control);

/** @return Summary of the state for operators. */
nlohmann::json statusOf(const Control &control, TimePoint now);

/** Tells hosts that joined a call what became of it. */
void notifyJoined(Control &control, const std::vector<CallId> &calls, ControlEffects &effects);

} // namespace bilberry
