/** @file leadership_end.cpp Why a leadership of the control group has ended. */
#include "control/leadership_end_func.h"

namespace bilberry {

namespace {

bool isVoterOf(const Membership &membership, const MemberId &member)
{
    return membership.voters.contains(member) || membership.outgoingVoters.contains(member);
}

/** @return What the leader knew of another member's answers. */
nlohmann::json describeAnswers(const Membership &membership, const MemberId &member,
                               const ReplicationProgress &progress, TimePoint now)
{
    const auto address = membership.addresses.find(member);
    nlohmann::json fields
        = {{"address", address == membership.addresses.end() ? "" : address->second},
           {"voter", isVoterOf(membership, member)},
           {"answeredMsAgo", nullptr},
           {"answeredRequestMsAgo", nullptr}};
    if (progress.lastAnswerAt) {
        fields["answeredMsAgo"] = toMilliseconds(now - *progress.lastAnswerAt);
        fields["answeredRequestMsAgo"] = toMilliseconds(now - progress.lastAcknowledgedSendTime);
    }
    return fields;
}

} // namespace

LeadershipEndReason leadershipEndReason(const LogReplica &replica, Term term)
{
    if (replica.transferring)
        return LeadershipEndReason::HandedOver;
    if (replica.hardState.term > term)
        return LeadershipEndReason::HigherTerm;
    const bool left
        = !isVoterOf(replica.membership, replica.self) && replica.membershipIndex <= replica.commit;
    return left ? LeadershipEndReason::LeftVoters : LeadershipEndReason::LeaseNotRenewed;
}

ControlLogEvent makeLeadershipEnded(const LogReplica &replica, Term term, TimePoint electedAt,
                                    TimePoint now)
{
    nlohmann::json members = nlohmann::json::object();
    nlohmann::json late = nlohmann::json::array();
    // The progress of the members is kept until this member is elected again.
    for (const auto &[member, progress] : replica.progress) {
        members[member.value] = describeAnswers(replica.membership, member, progress, now);
        if (isVoterOf(replica.membership, member)
            && now - progress.lastAcknowledgedSendTime >= LEADER_LEASE)
            late.push_back(member);
    }
    return {LEADERSHIP_ENDED_EVENT,
            {{"term", term},
             {"lastedMs", toMilliseconds(now - electedAt)},
             {"reason", leadershipEndReason(replica, term)},
             {"knownTerm", replica.hardState.term},
             {"commit", replica.commit},
             {"applied", replica.applied},
             {"lateVoters", late},
             {"members", members}}};
}

} // namespace bilberry
