/** @file member_cmd.cpp Automatic changes of the control group's membership. */
#include "control/control_internal.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr Duration CANDIDATE_TIMEOUT
    = 1500ms; ///< A member whose host has not reported for this long is not added.
constexpr Duration VOTER_TIMEOUT
    = 2s; ///< A voter that has not answered the leader for longer may be replaced.
constexpr Duration LEARNER_TIMEOUT
    = 10s; ///< A learner that has not answered the leader for longer is removed.

/** @return Members that their hosts reported within CANDIDATE_TIMEOUT, by host id. */
std::vector<ControlCandidate> recentCandidates(const Leadership &leadership, TimePoint now)
{
    std::vector<ControlCandidate> out;
    for (const auto &[id, host] : leadership.hosts) {
        if (host.member && !host.leaving && now - host.lastReportAt < CANDIDATE_TIMEOUT)
            out.push_back(*host.member);
    }
    return out;
}

/**
 * @return Whether @p limit has passed both since the send time of the last request that the member
 * has answered and since the start of this leadership.
 */
bool isUnresponsive(const LogReplica &replica, const MemberId &member, Duration limit,
                    TimePoint now)
{
    if (member == replica.self)
        return false;
    const auto progress = replica.progress.find(member);
    if (progress == replica.progress.end())
        return true;
    return now - std::max(progress->second.lastAcknowledgedSendTime, replica.leaderSince) > limit;
}

/**
 * @return Another member at the candidate's address. Its data folder is gone, since a daemon gets a
 * new member id only with a new data folder.
 */
std::optional<MemberId> predecessor(const LogReplica &replica, const ControlCandidate &candidate)
{
    const Membership &membership = replica.membership;
    for (const auto &[member, address] : membership.addresses) {
        if (address == candidate.address && member.value != candidate.member)
            return member;
    }
    return std::nullopt;
}

/**
 * @return Voter that the candidate replaces; nothing if it can be added without a replacement; the
 * candidate's own id if it cannot become a voter.
 */
std::optional<MemberId> voterToReplace(const Control &control, const ControlCandidate &candidate,
                                       TimePoint now)
{
    const LogReplica &replica = control.replica;
    const std::set<MemberId> &voters = replica.membership.voters;
    if (auto old = predecessor(replica, candidate); old && voters.contains(*old))
        return old;
    if (static_cast<int>(voters.size()) < control.desiredVoterCount)
        return std::nullopt;
    for (const MemberId &voter : voters) {
        if (isUnresponsive(replica, voter, VOTER_TIMEOUT, now))
            return voter;
    }
    return MemberId(candidate.member);
}

/**
 * @return Membership with the candidate as a learner or, if it is a learner, as a voter; nothing if
 * the candidate is a voter or cannot become one.
 */
std::optional<Membership> nextMembership(const Control &control, const ControlCandidate &candidate,
                                         TimePoint now)
{
    const LogReplica &replica = control.replica;
    const MemberId member(candidate.member);
    Membership next = replica.membership;
    if (next.voters.contains(member))
        return std::nullopt;
    if (!next.learners.contains(member)) {
        next.learners.insert(member);
        next.addresses[member] = candidate.address;
        return next;
    }
    const std::optional<MemberId> replaced = voterToReplace(control, candidate, now);
    if (replaced == member)
        return std::nullopt;
    next.learners.erase(member);
    next.voters.insert(member);
    if (replaced)
        next.voters.erase(*replaced);
    if (const auto old = predecessor(replica, candidate))
        next.learners.erase(*old);
    return next;
}

/** @return Membership without the first unresponsive learner; nothing if all learners respond. */
std::optional<Membership> withoutUnresponsiveLearner(const LogReplica &replica, TimePoint now)
{
    Membership next = replica.membership;
    for (const MemberId &learner : replica.membership.learners) {
        if (!isUnresponsive(replica, learner, LEARNER_TIMEOUT, now))
            continue;
        next.learners.erase(learner);
        next.addresses.erase(learner);
        return next;
    }
    return std::nullopt;
}

/** Starts a change of membership. @return Whether the replica accepted it. */
bool startMembershipChange(Control &control, const Membership &next, ControlEffects &effects,
                           TimePoint now)
{
    Result<ReplicaEffects> changed = changeMembership(control.replica, next, now);
    if (!changed)
        return false; // The learner lags or a change is in progress: retried on the next tick.
    effects.logEvents.push_back({"membersChanged", {{"members", next}}});
    applyReplicaEffects(control, std::move(changed).value(), effects, now);
    return true;
}

} // namespace

void maintainMembers(Control &control, ControlEffects &effects, TimePoint now)
{
    if (control.desiredVoterCount == 0 || control.leadership->memberChange)
        return;
    for (const ControlCandidate &candidate : recentCandidates(*control.leadership, now)) {
        const std::optional<Membership> next = nextMembership(control, candidate, now);
        if (next && startMembershipChange(control, *next, effects, now))
            return;
    }
    if (const std::optional<Membership> next = withoutUnresponsiveLearner(control.replica, now))
        startMembershipChange(control, *next, effects, now);
}

} // namespace bilberry
