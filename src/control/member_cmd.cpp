/** @file member_cmd.cpp Control members that come and go without an operator. */
#include "control/control_internal.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr Duration CANDIDATE_SILENCE = 1500ms; ///< A member not reported for so long is not added.
constexpr Duration VOTER_SILENCE = 2s; ///< A voter that is silent for longer may be replaced.
constexpr Duration LEARNER_SILENCE = 10s;

/** @return Members whose daemons reported them lately, the one heard first in order. */
std::vector<ControlCandidate> candidates(const Leadership &leadership, TimePoint now)
{
    std::vector<ControlCandidate> out;
    for (const auto &[id, host] : leadership.hosts) {
        if (host.member && !host.leaving && now - host.heard < CANDIDATE_SILENCE)
            out.push_back(*host.member);
    }
    return out;
}

bool isSilent(const LogReplica &replica, const MemberId &member, Duration limit, TimePoint now)
{
    if (member == replica.self)
        return false;
    const auto progress = replica.progress.find(member);
    if (progress == replica.progress.end())
        return true;
    return now - std::max(progress->second.acknowledged, replica.leaderSince) > limit;
}

/** @return Another voter at the same address: its disk is gone, since its daemon has a new id. */
std::optional<MemberId> predecessor(const LogReplica &replica, const ControlCandidate &candidate)
{
    const Membership &membership = replica.membership;
    for (const auto &[member, address] : membership.addresses) {
        if (address == candidate.address && member.value != candidate.member)
            return member;
    }
    return std::nullopt;
}

/** @return The voter that makes place, nothing if there is place, or itself if there is none. */
std::optional<MemberId> makesPlace(const Control &control, const ControlCandidate &candidate,
                                   TimePoint now)
{
    const LogReplica &replica = control.replica;
    const std::set<MemberId> &voters = replica.membership.voters;
    if (auto old = predecessor(replica, candidate); old && voters.contains(*old))
        return old;
    if (static_cast<int>(voters.size()) < control.votersWanted)
        return std::nullopt;
    for (const MemberId &voter : voters) {
        if (isSilent(replica, voter, VOTER_SILENCE, now))
            return voter;
    }
    return MemberId(candidate.member);
}

/** @return The membership after the next step that brings a candidate in, if there is one. */
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
    const std::optional<MemberId> leaving = makesPlace(control, candidate, now);
    if (leaving == member)
        return std::nullopt;
    next.learners.erase(member);
    next.voters.insert(member);
    if (leaving)
        next.voters.erase(*leaving);
    if (const auto old = predecessor(replica, candidate))
        next.learners.erase(*old);
    return next;
}

/** @return The membership without a learner that is gone, if there is one. */
std::optional<Membership> withoutSilentLearner(const LogReplica &replica, TimePoint now)
{
    Membership next = replica.membership;
    for (const MemberId &learner : replica.membership.learners) {
        if (!isSilent(replica, learner, LEARNER_SILENCE, now))
            continue;
        next.learners.erase(learner);
        next.addresses.erase(learner);
        return next;
    }
    return std::nullopt;
}

bool change(Control &control, const Membership &next, ControlEffects &effects, TimePoint now)
{
    Result<ReplicaEffects> changed = changeMembership(control.replica, next, now);
    if (!changed)
        return false; // The learner lags or a change is open: tried again with the next tick.
    effects.notes.push_back({"membersChanged", {{"members", next}}});
    absorb(control, std::move(changed).value(), effects, now);
    return true;
}

} // namespace

void maintainMembers(Control &control, ControlEffects &effects, TimePoint now)
{
    if (control.votersWanted == 0 || control.leadership->memberChange)
        return;
    for (const ControlCandidate &candidate : candidates(*control.leadership, now)) {
        const std::optional<Membership> next = nextMembership(control, candidate, now);
        if (next && change(control, *next, effects, now))
            return;
    }
    if (const std::optional<Membership> next = withoutSilentLearner(control.replica, now))
        change(control, *next, effects, now);
}

} // namespace bilberry
