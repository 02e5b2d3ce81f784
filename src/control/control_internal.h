/** @file control_internal.h Functions shared by the files of src/control. */
#pragma once

#include "control/control_func.h"

namespace bilberry {

/** Moves the replica's writes and messages to @p effects and applies committed entries. */
void applyReplicaEffects(Control &control, ReplicaEffects replicaEffects, ControlEffects &effects,
                         TimePoint now);

/**
 * Proposes a command with the present cluster time.
 * @param pending Recipient of the answer once the command is applied.
 * @return Errc::NotLeader unless this member is the active leader.
 */
Result<void> proposeCommand(Control &control, CommandBody body, const PendingCommand &pending,
                            ControlEffects &effects, TimePoint now);

/** Renews the lease of the reporting host and answers with grants and deltas. */
void onHostReport(Control &control, const HostReport &report, ControlEffects &effects,
                  TimePoint now);

/**
 * @return Changes of the registry since version @p known, or the full registry if @p epoch is
 * another epoch. The descriptions of targets are shared with the deltas for other hosts.
 */
RegistryDelta describeChanges(Control &control, std::uint64_t epoch, Version known, TimePoint now);

/**
 * Records a holder's use of a pool and grants the wanted amount as far as the pool's level allows.
 * @param sameTerm Whether the totals in @p use refer to grants of this term; else they are ignored.
 * @param expires End of the holder's lease.
 * @param shortage Receives the part of the wanted amount that is not granted.
 * @return Total granted to the holder in this term.
 */
std::int64_t reportAndGrant(LeasedPool &pool, const HolderId &holder, const PoolUse &use,
                            bool sameTerm, TimePoint expires, std::int64_t &shortage,
                            TimePoint now);

/**
 * @param highestBound Highest capacity that a leader may give the pool.
 * @param recorded Limits of the pool in the replicated log.
 * @return Pool for budgets or slots that this leader has not lent yet: full if there was no earlier
 * leader, else with what earlier leaders have left of it for certain.
 */
LeasedPool makeLeaderPool(const Control &control, double rate, double bound, double highestBound,
                          const LendingLimits &recorded, TimePoint now);

/** @return The account's pools, created or resized to its present configuration. */
AccountPools &findOrCreatePools(Control &control, const Account &configured, TimePoint now);

/** Creates the pools of all accounts with recorded limits at the start of a leadership: their level
 * is at its limit, which is to be lowered before the first report. */
void checkRecordedLending(Control &control, TimePoint now);

/** @return Limits of an account's pools that the next leader may find: the recorded ones, or the
 * stricter ones while a change is in flight. */
AccountLending lendingInForce(const Control &control, const AccountId &account);

/** @return The same for the slots of a target's incarnation. */
SlotLending lendingInForce(const Control &control, const TargetId &target, Incarnation start);

/** Checks whether an account's pools still fit their limits. @param shortage What @p holder did not
 * get. */
void noteLending(Control &control, const AccountId &account, const HolderId &holder,
                 const BudgetShortage &shortage);

/** Checks whether the slots of a target still fit their limits. @param shortage Slots that @p
 * holder did not get. */
void noteLending(Control &control, const TargetId &target, const HolderId &holder,
                 std::int64_t shortage);

/** Proposes new limits for the pools that no longer fit theirs. */
void recordLending(Control &control, ControlEffects &effects, TimePoint now);

/** Lets the pools named in an applied change follow the record. Asks the holders to report that
 * did not get what they wanted. */
void adoptLending(Control &control, const RecordLending &change, ControlEffects &effects);

/** Asks hosts to report once more, since the leader can now answer better than before. */
void askToReport(const std::set<HolderId> &holders, ControlEffects &effects);

/** Proposes to remove the limits of accounts and targets that are gone. */
void removeObsoleteLending(Control &control, ControlEffects &effects, TimePoint now);

/** Logs the oldest unmet needs and the number of them by reason, at most once a second. */
void logUnmetNeeds(Leadership &leadership, ControlEffects &effects, TimePoint now);

/** Adds the forecasts of loads that the host lacks. */
void grantForecasts(const Leadership &leadership, const HostReport &report, HostGrant &grant,
                    TimePoint now);

/** @return Most slots that @p holder should hold; -1: no limit, as there are free slots. */
int shareLimit(const Control &control, TargetSlots &slots, const HolderId &holder, TimePoint now);

/** @return Hosts with requests of a higher rank than all of the reporter's, that hold less than
 * their share of the target's slots. Free slots are kept for them. */
std::vector<HolderId> claimantsOfHigherRanks(const TargetSlots &slots, const HolderId &reporter);

/** Asks one of the hosts to report, as a free slot is kept for it: its next report may come late.
 */
void askClaimant(const Leadership &leadership, const std::vector<HolderId> &claimants,
                 ControlEffects &effects, TimePoint now);

/** Logs who has the slots of a target at which a host gets none that it wants. */
void logShortage(Leadership &leadership, const TargetSlots &slots, const HostReport &report,
                 const SlotGrant &grant, ControlEffects &effects, TimePoint now);

/** Ends the claims of a host at targets that its report does not name: nothing runs or waits there
 * any more. */
void endUnnamedClaims(Leadership &leadership, const HostReport &report);

/** Prepares slots of a target that this leader did not know, before the first host asks for them,
 * and sees to it that hosts which have asked before ask again. */
void prepareSlots(Control &control, const TargetAnnouncement &target, TimePoint now);

/** Records the slot use in a report and adds slot grants to @p grant. */
void grantSlots(Control &control, const HostReport &report, HostGrant &grant,
                ControlEffects &effects, TimePoint now);

/**
 * Records the request rates that targets have stated to the host, and grants the host requests to
 * the targets with a limited rate.
 */
void grantRates(Control &control, const HostReport &report, HostGrant &grant,
                ControlEffects &effects, TimePoint now);

/** Asks the hosts that hold slots of a target, and so can send requests to it, to report, so that
 * they learn at once what the target has stated to @p reporter. */
void notifySlotHolders(const Leadership &leadership, const TargetId &target,
                       const HolderId &reporter, ControlEffects &effects);

/**
 * Takes an order or an inspection out of the target's request rate, if it is limited.
 * @return False if the rate does not allow one now.
 */
bool tryTakeForOrder(Leadership &leadership, const TargetId &target, TimePoint now);

/** Records which requests and parts of prompts ran on lost targets, for quarantineSuspects(). */
void recordSuspicions(Leadership &leadership, const HostReport &report, ControlEffects &effects,
                      TimePoint now);

/** Adds the suspected requests and parts to a grant, if the host lacks them. */
void addSuspects(const Leadership &leadership, const HostReport &report, HostGrant &grant);

/** Grants the host trials of suspected parts, as far as no other host has one. */
void grantTrials(Leadership &leadership, const HostReport &report, HostGrant &grant,
                 ControlEffects &effects, TimePoint now);

/** Quarantines requests and parts of prompts that repeatedly ran alone on targets that were lost.
 */
void quarantineSuspects(Control &control, ControlEffects &effects, TimePoint now);

/** What the leader knows of the arrival of a call. */
struct CallArrival
{
    TimePoint expires; ///< Nobody waits for the answer from then on.
    std::shared_ptr<const HeldRoom> room; ///< That the call takes; may be null.
};

/** Takes in a configuration. It is acknowledged once it or a newer one is in force. */
void takeInConfig(Control &control, const OperatorCall &call, const ReplaceConfig &config,
                  const CallArrival &arrival, ControlEffects &effects, TimePoint now);

/** Acknowledges configurations that are in force, and writes the newest that somebody waits for
 * once the one before is applied. Called after each event. */
void continueConfigs(Control &control, ControlEffects &effects, TimePoint now);

/** Handles an operator's request; the answer is sent at once or when the command is applied. A
 * request that nobody waits for any more is dropped. */
void onOperatorCall(Control &control, const OperatorCall &call, const CallArrival &arrival,
                    ControlEffects &effects, TimePoint now);

/** Sends due orders and, when a placement pass is due, proposes its decision. */
void runPlacement(Control &control, ControlEffects &effects, TimePoint now);

/** Completes an operator's member change once its learner has caught up. */
void continueMemberChange(Control &control, ControlEffects &effects, TimePoint now);

/**
 * Adds members that hosts report, replaces unresponsive voters and removes unresponsive learners.
 */
void maintainMembers(Control &control, ControlEffects &effects, TimePoint now);

/**
 * @return Cluster time: estimated on the leader, on other members that of the last applied command.
 */
Duration clusterTime(const Control &control, TimePoint now);

/** @return "ip:port" of the leader's peer port; empty if unknown. */
std::string leaderAddress(const Control &control);

/** @return Summary of the state for operators. */
nlohmann::json makeStatus(const Control &control, TimePoint now);

/** Sends the outcomes of @p calls to the holders that joined them. */
void answerJoinedRequests(Control &control, const std::vector<CallId> &calls,
                          ControlEffects &effects);

/**
 * Proposes to grant the duty to this leader unless it has been granted to it.
 * @return The fencing token of the grant; nothing until it is applied, and while calls of an
 * earlier leader may be on their way.
 */
std::optional<FencingToken> holdDuty(Control &control, const DutyKey &duty, ControlEffects &effects,
                                     TimePoint now);

/**
 * Makes a call of a duty that this leader holds, if the pace of the calls allows one now.
 * @return Id of the call, which its reply repeats; nothing if no call may be made now.
 */
std::optional<std::uint64_t> makeDutyCall(Control &control, const DutyKey &duty,
                                          FencingToken fencing,
                                          std::variant<UsageReport, TargetCountOrder> body,
                                          ControlEffects &effects, TimePoint now);

/** Follows an applied command of a duty that this leader has proposed. */
void onDutyCommandApplied(Control &control, const CommandBody &body, ControlEffects &effects);

/** @return Holders of the duties, as recorded, for operators. */
nlohmann::json describeDuties(const Control &control, TimePoint now);

/** Takes over the time of day and the usage in a report; states the true time and what is recorded
 * in @p grant. */
void noteUsage(Control &control, const HostReport &report, HostGrant &grant, TimePoint now);

/** Follows an applied command on usage windows. */
void onUsageCommandApplied(Control &control, const CommandBody &body, ControlEffects &effects);

/** Handles the reply to the report of a window. */
void onUsageReply(Control &control, const DutyReplyEvent &reply, ControlEffects &effects,
                  TimePoint now);

/** Handles the reply to an order of a number of targets. */
void onTargetCountReply(Control &control, const DutyReplyEvent &reply, ControlEffects &effects,
                        TimePoint now);

/** @return State of the usage windows, for operators. */
nlohmann::json describeUsage(const Control &control, TimePoint now);

/** Records, fixes and reports usage windows as they are due. */
void runUsage(Control &control, ControlEffects &effects, TimePoint now);

/** Orders the number of targets of services as it is due. */
void runTargetCounts(Control &control, ControlEffects &effects, TimePoint now);

/** Handles the infrastructure's reply to a call of a duty. */
void onDutyReply(Control &control, const DutyReplyEvent &reply, ControlEffects &effects,
                 TimePoint now);

} // namespace bilberry
