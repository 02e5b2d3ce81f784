/** @file link_type.h Messages between a host and the leader of the control group. */
#pragma once

#include "account/leased_pool_base.h"
#include "call/call_type.h"
#include "state/cluster_base.h"
#include "target/registry_base.h"

#include <variant>

namespace bilberry {

constexpr Duration BUDGET_LEASE = 1s; ///< Of rates and slots, from when the host sent its report.
constexpr Duration FRESHNESS_LEASE
    = 2s; ///< Of keys, zones and targets, from when the host sent its report.

/** A holder's totals in one pool and what it wants on top. */
struct PoolUse
{
    std::int64_t spent = 0;
    std::int64_t returned = 0;
    std::int64_t want = 0;
    std::int64_t carried = 0; ///< Held from an earlier term when this one began.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PoolUse, spent, returned, want, carried)

/** Use of one account's budgets. */
struct AccountUse
{
    AccountId account;
    PoolUse requests;
    PoolUse tokens;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountUse, account, requests, tokens)

/** One account's running and waiting requests that a target could serve. */
struct AccountDemand
{
    AccountId account;
    int demand = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountDemand, account, demand)

/** Use of one target's slots. */
struct SlotUse
{
    TargetId target;
    StartNumber start;
    PoolUse slots;
    std::int64_t succeeded = 0; ///< Total of this run.
    std::int64_t overloaded = 0; ///< Total of this run.
    std::int64_t failed = 0; ///< Total of this run: errors, lost and spoiled answers.
    int limit = 0; ///< Latest limit that a leader named; a new leader starts from it.
    Duration busyFor{}; ///< Until the last deadline of what runs there.
    std::vector<AccountDemand> demand;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotUse, target, start, slots, succeeded,
                                                overloaded, failed, limit, busyFor, demand)

/** Use of a model or adapter at one host since its last report. */
struct VariantUse
{
    Variant variant;
    int waiting = 0;
    int running = 0;
    int arrived = 0; ///< Since the last report.
    int returning = 0; ///< Turned away and told to come back about now.
    std::optional<Duration> earliestDeadlineIn; ///< Of the waiting requests.
    std::vector<AccountDemand> accounts; ///< Waiting requests by account.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(VariantUse, variant, waiting, running, arrived,
                                                returning, earliestDeadlineIn, accounts)

/** A request digest that a target was lost with. */
struct CrashSuspicion
{
    Digest request;
    TargetId target;
    StartNumber start;
    bool alone = false; ///< No other suspected request ran there.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CrashSuspicion, request, target, start, alone)

/** A control member that may vote, as its daemon reports it. */
struct ControlCandidate
{
    std::string member; ///< Member id.
    std::string address; ///< "ip:port" of its peers' port.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ControlCandidate, member, address)

/** Periodic report; also a request for everything the host lacks. */
struct HostReport
{
    HolderId holder;
    ZoneId zone;
    std::uint64_t sequence = 0;
    TimePoint sentAt; ///< Host's clock; echoed in the grant.
    std::uint64_t term = 0; ///< Term whose grants the totals refer to.
    Version table; ///< Table version in force on the host.
    std::uint64_t registryEpoch = 0;
    Version registry; ///< Registry version in force on the host.
    std::uint64_t membershipIndex = 0; ///< Of the control hosts that it knows.
    std::uint64_t suspectsVersion = 0; ///< Of the suspects that it knows.
    bool leaving = false; ///< Shutting down: everything is handed back.
    bool entry = true; ///< Serves callers.
    std::optional<ControlCandidate> member;
    std::vector<AccountUse> accounts;
    std::vector<SlotUse> slots;
    std::vector<VariantUse> variants;
    std::vector<TargetAnnouncement> targets; ///< Changed announcements.
    std::vector<std::pair<TargetId, StartNumber>>
        alive; ///< Unchanged targets heard since the last report.
    std::vector<TargetId> targetsLeft; ///< Said that they end.
    std::vector<CrashSuspicion> suspicions;
    std::vector<Digest> cleared; ///< Suspected requests that ran to their end.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostReport, holder, zone, sequence, sentAt, term,
                                                table, registryEpoch, registry, membershipIndex,
                                                suspectsVersion, leaving, entry, member, accounts,
                                                slots, variants, targets, alive, targetsLeft,
                                                suspicions, cleared)

/** Asks to record a call before its dispatch, or to learn its outcome. */
struct CallQuestion
{
    HolderId holder;
    RequestId request;
    CallId id;
    Digest body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallQuestion, holder, request, id, body)

/** Reports the end of a dispatched call; sent again until acknowledged. */
struct CallReport
{
    HolderId holder;
    RequestId request;
    CallId id;
    CallEnd end = CallEnd::Lost;
    StoredAnswer answer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallReport, holder, request, id, end, answer)

/** Reads the state of the system; answered by the leader. */
struct StatusQuery
{
    bool full = false; ///< Whole state instead of a summary.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StatusQuery, full)

/** Adds a learner, makes it a voter in place of another, or removes a member. */
struct ChangeMember
{
    std::string add; ///< Member id of a learner or new voter; empty: none.
    std::string addAddress; ///< "ip:port" of its peers' port.
    std::string remove; ///< Member id to remove; empty: none.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChangeMember, add, addAddress, remove)

/** Reads the configuration that is surely the newest one accepted by replacement. */
struct ConfigQuery
{
};
inline void to_json(nlohmann::json &j, const ConfigQuery &)
{
    j = nlohmann::json::object();
}
inline void from_json(const nlohmann::json &, ConfigQuery &) { }

using OperatorBody = std::variant<ApplyConfig, GrantKey, WithdrawKey, SetZone, SetTargetLeaving,
                                  StatusQuery, ChangeMember, ReplaceConfig, ConfigQuery>;

/** An operator's request, passed on by any host. */
struct OperatorCall
{
    HolderId holder;
    std::uint64_t id = 0; ///< Unique within the host run.
    bool dryRun = false;
    OperatorBody body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OperatorCall, holder, id, dryRun, body)

using HostMessage = std::variant<HostReport, CallQuestion, CallReport, OperatorCall>;

/** Totals granted from one account's pools. */
struct AccountGrant
{
    AccountId account;
    std::int64_t requests = 0; ///< Total of this term.
    std::int64_t tokens = 0; ///< Total of this term.
    Duration requestWait{}; ///< Until the next request is in the pool; 0 if there is one.
    Duration tokenWait{};
    bool settling = false; ///< The leader does not know yet what is out under an earlier one.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountGrant, account, requests, tokens,
                                                requestWait, tokenWait, settling)

/** Slots granted at one target. */
struct SlotGrant
{
    TargetId target;
    StartNumber start;
    std::int64_t slots = 0; ///< Total of this term.
    int limit = 0; ///< Of all hosts together.
    int share = 0; ///< Most slots that the host should hold while others wait; -1: no limit.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SlotGrant, target, start, slots, limit, share)

/** Answer to a report. */
struct HostGrant
{
    std::uint64_t sequence = 0; ///< Of the report.
    TimePoint sentAt; ///< Of the report; the leases count from here.
    std::uint64_t term = 0;
    std::shared_ptr<const TableDelta> table; ///< Shared by the hosts that lack all of it; or null.
    std::optional<RegistryDelta> registry;
    std::vector<AccountGrant> accounts;
    std::vector<SlotGrant> slots;
    std::uint64_t membershipIndex = 0;
    std::vector<std::string> controlHosts; ///< Addresses, if the host's are out of date.
    Duration clock{}; ///< Cluster time.
    std::uint64_t suspectsVersion = 0;
    std::vector<Digest>
        suspects; ///< Requests that ran on lost targets; with another version or term.
    std::vector<TargetId> unknownTargets; ///< Reported alive, but to be announced in full.
    int hostCount = 1; ///< Live hosts that serve callers.
    int hostRank = 0; ///< Place of the receiver among them.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostGrant, sequence, sentAt, term, table, registry,
                                                accounts, slots, membershipIndex, controlHosts,
                                                clock, suspectsVersion, suspects, unknownTargets,
                                                hostCount, hostRank)

/** Verdict on a call, or its outcome for a joined request. */
struct CallAnswer
{
    RequestId request;
    CallId id;
    CallVerdict verdict = CallVerdict::MayHaveRun;
    StoredAnswer answer; ///< With Replay.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallAnswer, request, id, verdict, answer)

/** A CallReport is committed. */
struct CallReportAck
{
    RequestId request;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallReportAck, request)

struct OperatorAnswer
{
    std::uint64_t id = 0;
    Errc error = Errc::Ok;
    nlohmann::json body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(OperatorAnswer, id, error, body)

/** Asks a host to hand back at once what it holds unspent of these accounts. */
struct Recall
{
    std::vector<AccountId> accounts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Recall, accounts)

/** The receiver is not the leader. */
struct NotLeader
{
    std::string leaderAddress; ///< Empty: unknown.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(NotLeader, leaderAddress)

using ControlMessage
    = std::variant<HostGrant, CallAnswer, CallReportAck, OperatorAnswer, NotLeader, Recall>;

} // namespace bilberry
