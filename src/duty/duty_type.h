/** @file duty_type.h Singleton duties: calls to the infrastructure that one daemon at a time makes.
 */
#pragma once

#include "core/codec_func.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <string>
#include <variant>

namespace bilberry {

/** Kind of a duty. */
enum class DutyKind {
    Usage, ///< Reports the requests of each client account per window.
    TargetCount, ///< Orders the number of targets of a service in an availability zone.
};
NLOHMANN_JSON_SERIALIZE_ENUM(DutyKind,
                             {{DutyKind::Usage, "usage"}, {DutyKind::TargetCount, "targetCount"}})

/** A duty and its subject; each pair has a holder and fencing tokens of its own. */
struct DutyKey
{
    DutyKind kind = DutyKind::Usage;
    std::string service; ///< Empty for DutyKind::Usage.
    ZoneId zone; ///< Empty for DutyKind::Usage.

    friend auto operator<=>(const DutyKey &, const DutyKey &) = default;
    friend bool operator==(const DutyKey &, const DutyKey &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DutyKey, kind, service, zone)

/** Number of a usage window: windows of equal length, counted from the start of 1970, true time. */
using WindowId = std::int64_t;

/** Requests of each client account that began to run in one window. */
struct UsageReport
{
    WindowId window = 0;
    std::map<AccountId, std::int64_t> counts;
};

/** Wanted number of targets of a service in an availability zone. */
struct TargetCountOrder
{
    std::string service;
    ZoneId zone;
    int desired = 0;
};

/** A call to the infrastructure's interface. */
struct DutyCall
{
    std::uint64_t id = 0; ///< Unique in the leader's run; echoed in DutyReplyEvent.
    DutyKey duty;
    FencingToken fencing;
    std::variant<UsageReport, TargetCountOrder> body;
    TimePoint sendBy; ///< End of the leader's lease: no byte of the call leaves from then on.
};

/** Outcome of a DutyCall. */
enum class DutyReply {
    Accepted, ///< Any 2xx answer.
    Throttled, ///< 429: more calls than the interface takes.
    Refused, ///< Any other 4xx answer; the call is not sent again.
    Unknown, ///< No answer, or a 5xx answer: the call may have been accepted.
    Unsent, ///< No byte of the call has left.
};

NLOHMANN_JSON_SERIALIZE_ENUM(DutyReply,
                             {{DutyReply::Accepted, "accepted"},
                              {DutyReply::Throttled, "throttled"},
                              {DutyReply::Refused, "refused"},
                              {DutyReply::Unknown, "unknown"},
                              {DutyReply::Unsent, "unsent"}})

/** Reply to a DutyCall. */
struct DutyReplyEvent
{
    std::uint64_t id = 0;
    DutyReply reply = DutyReply::Unknown;
    int status = 0; ///< HTTP status; 0: no answer.
};

/** Which duties a deployment has, from the settings of its control members. */
struct DutySettings
{
    std::string address; ///< "ip:port" of the infrastructure's interface; empty: no duties.
    double callsPerSecond = 0; ///< Calls that the interface takes from all daemons together.
    bool reportsUsage = false;
    bool ordersTargets = false;
    Duration window{}; ///< Length of a usage window.
    Duration usageDue{}; ///< Time after the end of a window at which its report is due.
};

} // namespace bilberry
