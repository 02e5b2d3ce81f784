/** @file membership.cpp Members of the group and their changes. */
#include "consensus/replica_internal.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

std::set<MemberId> allMembers(const Membership &membership)
{
    std::set<MemberId> all = membership.voters;
    all.insert(membership.outgoingVoters.begin(), membership.outgoingVoters.end());
    all.insert(membership.learners.begin(), membership.learners.end());
    return all;
}

bool isVoter(const LogReplica &replica, const MemberId &member)
{
    return replica.membership.voters.contains(member)
        || replica.membership.outgoingVoters.contains(member);
}

void refreshMembership(LogReplica &replica)
{
    replica.membership = replica.latestSnapshot.membership;
    replica.membershipIndex = replica.latestSnapshot.index;
    for (auto it = replica.log.rbegin(); it != replica.log.rend(); ++it) {
        if (it->kind != EntryKind::Membership)
            continue;
        auto decoded = decode<Membership>(it->payload);
        assert(decoded);
        replica.membership = std::move(decoded).value();
        replica.membershipIndex = it->index;
        return;
    }
}

void refreshProgress(LogReplica &replica, TimePoint now)
{
    const std::set<MemberId> members = allMembers(replica.membership);
    std::erase_if(replica.progress,
                  [&](const auto &item) { return !members.contains(item.first); });
    for (const MemberId &member : members) {
        if (member == replica.self || replica.progress.contains(member))
            continue;
        ReplicationProgress progress;
        progress.next = lastIndex(replica) + 1;
        progress.lastAcknowledgedSendTime = now - ELECTION_TIMEOUT_MIN;
        replica.progress.emplace(member, progress);
    }
}

void appendMembership(LogReplica &replica, const Membership &next, TimePoint now,
                      ReplicaEffects &effects)
{
    appendAsLeader(replica, EntryKind::Membership, encode(next), effects);
    refreshMembership(replica);
    refreshProgress(replica, now);
    broadcastAppend(replica, now, effects);
}

void finishMembershipChange(LogReplica &replica, TimePoint now, ReplicaEffects &effects)
{
    if (replica.role != ReplicaRole::Leader || replica.membershipIndex > replica.commit)
        return;
    if (!replica.membership.outgoingVoters.empty()) {
        Membership next = replica.membership;
        next.outgoingVoters.clear();
        const std::set<MemberId> members = allMembers(next);
        std::erase_if(next.addresses,
                      [&](const auto &item) { return !members.contains(item.first); });
        appendMembership(replica, next, now, effects);
        return;
    }
    if (!replica.membership.voters.contains(replica.self))
        setRole(replica, ReplicaRole::Follower, effects);
}

bool hasQuorum(const Membership &membership, const std::function<bool(const MemberId &)> &predicate)
{
    const auto majority = [&](const std::set<MemberId> &voters) {
        const auto count = std::count_if(voters.begin(), voters.end(), predicate);
        return 2 * static_cast<std::size_t>(count) > voters.size();
    };
    const bool outgoing = membership.outgoingVoters.empty() || majority(membership.outgoingVoters);
    return majority(membership.voters) && outgoing;
}

Result<ReplicaEffects> changeMembership(LogReplica &replica, Membership next, TimePoint now)
{
    if (!isActiveLeader(replica, now))
        return Errc::NotLeader;
    if (replica.membershipIndex > replica.commit || !replica.membership.outgoingVoters.empty())
        return Errc::MembershipBusy;
    if (next.voters.empty())
        return Errc::QuorumAtRisk;
    next.outgoingVoters.clear();
    const bool reachable = hasQuorum(next, [&](const MemberId &member) {
        const auto it = replica.progress.find(member);
        return member == replica.self
            || (it != replica.progress.end()
                && now - it->second.lastAcknowledgedSendTime < 2 * ELECTION_TIMEOUT_MIN);
    });
    for (const MemberId &member : next.voters) {
        const bool caughtUp
            = member == replica.self || matchIndexOf(replica, member) >= replica.commit;
        if (!replica.membership.voters.contains(member) && !caughtUp)
            return Errc::QuorumAtRisk;
    }
    if (!reachable)
        return Errc::QuorumAtRisk;
    if (next.voters != replica.membership.voters)
        next.outgoingVoters = replica.membership.voters;
    ReplicaEffects effects;
    appendMembership(replica, next, now, effects);
    return effects;
}

} // namespace bilberry
