/** @file leadership_end_test.cpp What a leader logs when its leadership ends. */
#include "control/leadership_end_func.h"
#include "control_group.h"

#include <criterion/criterion.h>

using namespace bilberry;

namespace {

constexpr Duration SETTLE_TIME = 5s; ///< Time in which the group elects a leader that stays.
constexpr Duration CUT_TIME = 1s; ///< More than a lease, less than the time to replace a voter.
/** Longest age of the last answer of a member that answers each heartbeat, in simulated time. */
constexpr Duration MAX_ANSWER_AGE = HEARTBEAT_INTERVAL + 3 * GROUP_STEP;

/** Group of five voters with a leader; records the ends of leaderships. */
struct ObservedGroup
{
    ObservedGroup()
        : group(GROUP_VOTERS)
    {
        this->group.onLogEvent = [this](GroupDaemon &daemon, const ControlLogEvent &note) {
            if (note.event == LEADERSHIP_ENDED_EVENT)
                this->ends.push_back({daemon.member, this->group.now, note.fields});
        };
        this->group.runFor(SETTLE_TIME);
        this->leader = this->group.leader();
        cr_assert(this->leader != nullptr);
        this->term = this->leader->control->replica.hardState.term;
        this->electedAt = this->leader->control->replica.leaderSince;
        this->ends.clear();
        this->group.runFor(SETTLE_TIME);
        cr_assert(this->ends.empty(), "a leadership has ended without a fault");
    }

    /** Cuts off @p count members that do not lead. @return Their ids. */
    std::set<MemberId> isolateFollowers(std::size_t count)
    {
        std::set<MemberId> cut;
        for (GroupDaemon &daemon : this->group.daemons) {
            if (&daemon == this->leader || cut.size() == count)
                continue;
            daemon.isolated = true;
            cut.insert(daemon.member);
        }
        return cut;
    }

    struct End
    {
        MemberId member;
        TimePoint at;
        nlohmann::json fields;
    };

    /** Checks that exactly the leader's leadership has ended. @return Fields of the log event. */
    nlohmann::json onlyEnd() const
    {
        cr_assert(this->ends.size() == 1, "%zu leaderships have ended", this->ends.size());
        const End &end = this->ends.front();
        cr_assert(end.member == this->leader->member);
        cr_assert(end.fields["term"] == this->term);
        cr_assert(end.fields["lastedMs"] == toMilliseconds(end.at - this->electedAt));
        cr_assert(end.fields["members"].size() == GROUP_VOTERS - 1);
        cr_assert(!end.fields["members"].contains(this->leader->member.value));
        return end.fields;
    }

    ControlGroup group;
    GroupDaemon *leader = nullptr;
    Term term = 0;
    TimePoint electedAt;
    std::vector<End> ends;
};

/** Checks that the event names the members in @p cut, and no other, as not answering. */
void checkLateVoters(const nlohmann::json &fields, const std::set<MemberId> &cut)
{
    cr_assert(fields["reason"] == "leaseNotRenewed");
    cr_assert(fields["lateVoters"].get<std::set<MemberId>>() == cut);
    for (const auto &[member, answers] : fields["members"].items()) {
        cr_assert(answers["voter"] == true);
        const Duration answered = answers["answeredMsAgo"].get<std::int64_t>() * 1ms;
        const Duration request = answers["answeredRequestMsAgo"].get<std::int64_t>() * 1ms;
        cr_assert(answered <= request);
        if (cut.contains(MemberId(member))) {
            cr_assert(request >= LEADER_LEASE);
            cr_assert(answered > MAX_ANSWER_AGE);
        } else {
            cr_assert(answered <= MAX_ANSWER_AGE, "%s", fields.dump().c_str());
        }
    }
}

} // namespace

Test(leadership_end, names_the_members_that_did_not_answer)
{
    ObservedGroup observed;
    const std::set<MemberId> cut = observed.isolateFollowers(3);
    observed.group.runFor(CUT_TIME);
    checkLateVoters(observed.onlyEnd(), cut);
}

Test(leadership_end, names_all_members_if_the_leader_is_cut_off)
{
    ObservedGroup observed;
    std::set<MemberId> others;
    for (const GroupDaemon &daemon : observed.group.daemons) {
        if (&daemon != observed.leader)
            others.insert(daemon.member);
    }
    observed.leader->isolated = true;
    observed.group.runFor(CUT_TIME);
    checkLateVoters(observed.onlyEnd(), others);
}

Test(leadership_end, two_members_cut_off_end_nothing)
{
    ObservedGroup observed;
    observed.isolateFollowers(2);
    observed.group.runFor(CUT_TIME);
    cr_assert(observed.ends.empty());
}

Test(leadership_end, a_handover_is_no_lost_lease)
{
    ObservedGroup observed;
    observed.group.deliverEvent(*observed.leader, ControlShutdownEvent{});
    observed.group.runFor(100ms);
    const nlohmann::json fields = observed.onlyEnd();
    cr_assert(fields["reason"] == "handedOver");
    cr_assert(fields["lateVoters"].empty());
}

Test(leadership_end, a_higher_term_is_named)
{
    ObservedGroup observed;
    const auto other
        = std::find_if(observed.group.daemons.begin(), observed.group.daemons.end(),
                       [&](const GroupDaemon &daemon) { return &daemon != observed.leader; });
    const Term higher = observed.term + 1;
    observed.group.deliverEvent(
        *observed.leader,
        ReplicaMessageEvent{other->member, AppendReply{higher, false, 0, observed.group.now}});
    const nlohmann::json fields = observed.onlyEnd();
    cr_assert(fields["reason"] == "higherTerm");
    cr_assert(fields["knownTerm"] == higher);
    cr_assert(fields["lateVoters"].empty());
}
