/** @file leadership_end_func.h Why a leadership of the control group has ended. */
#pragma once

#include "consensus/replica_base.h"
#include "control/control_type.h"

namespace bilberry {

/** Name of the log event that makeLeadershipEnded() returns. */
constexpr const char *LEADERSHIP_ENDED_EVENT = "leadershipEnded";

/** Reason why a leadership has ended. */
enum class LeadershipEndReason {
    HandedOver, ///< The leader has asked another voter to take over, which ends its lease.
    HigherTerm, ///< The leader has seen a higher term.
    LeaseNotRenewed, ///< No quorum has answered requests of the last LEADER_LEASE.
    LeftVoters, ///< A change of membership that leaves the leader out is committed.
};
NLOHMANN_JSON_SERIALIZE_ENUM(LeadershipEndReason,
                             {{LeadershipEndReason::HandedOver, "handedOver"},
                              {LeadershipEndReason::HigherTerm, "higherTerm"},
                              {LeadershipEndReason::LeaseNotRenewed, "leaseNotRenewed"},
                              {LeadershipEndReason::LeftVoters, "leftVoters"}})

/**
 * @param replica Member that led in @p term, as the event that ended the leadership has left it.
 * @param term Term of the leadership.
 */
LeadershipEndReason leadershipEndReason(const LogReplica &replica, Term term);

/**
 * Describes the end of a leadership for the log: term, duration, reason, and how long ago each
 * other member last answered.
 * @param replica Member that led in @p term, as the event that ended the leadership has left it.
 * @param term Term of the leadership.
 * @param electedAt Time at which it began.
 */
ControlLogEvent makeLeadershipEnded(const LogReplica &replica, Term term, TimePoint electedAt,
                                    TimePoint now);

} // namespace bilberry
