/** @file control_type.h Events and effects of a control member. */
#pragma once

#include "consensus/replica_type.h"
#include "link/link_type.h"
#include "placement/planner_func.h"

#include <variant>

namespace bilberry {

/** Message of another member. */
struct ReplicaMessageEvent
{
    MemberId from;
    ReplicaMessage message;
};

/** Message of a host. */
struct HostMessageEvent
{
    HostMessage message;
};

/** Entries up to here are on the own disk. */
struct SyncedEvent
{
    LogIndex index = 0;
    Term term = 0;
};

/** Reply to an order, or its failure. */
struct OrderReplyEvent
{
    std::string replica; ///< replicaId().
    FencingNumber fencing;
    OrderReply reply = OrderReply::Unknown;
    bool done = false; ///< Accepted, and carried out already.
};

/** What a target said when it was asked; nothing if it did not answer. */
struct InspectionEvent
{
    TargetId target;
    StartNumber start;
    std::optional<TargetInspection> inspection;
};

struct ControlTickEvent
{
};

/** The daemon is shutting down: leadership is handed over. */
struct ControlLeaveEvent
{
};

using ControlEvent
    = std::variant<ReplicaMessageEvent, HostMessageEvent, SyncedEvent, OrderReplyEvent,
                   ControlTickEvent, ControlLeaveEvent, InspectionEvent>;

/** Records to write in order, then sync, then send. */
struct JournalWrite
{
    std::optional<HardState> hardState;
    std::vector<LogEntry> append;
    std::optional<Snapshot> snapshot;
    std::vector<OutgoingMessage> afterSync;
};

/** A message to a host run, if it is connected. */
struct ToHost
{
    HolderId holder;
    ControlMessage message;
};

/** Longest from the last moment at which an order may leave until its bytes are at the target. */
constexpr Duration ORDER_ARRIVAL_LIMIT = 1s;

/** An order to be sent to a target. */
struct SendOrder
{
    std::string replica; ///< replicaId().
    std::string address;
    Order order;
    Term term = 0; ///< Of the leader that gives it.
    TimePoint decidedAt;
    TimePoint sendBy; ///< End of the leader's lease: from then on it must not leave.
};

/** Asks a target for what it has accepted and does. */
struct InspectTarget
{
    TargetId target;
    StartNumber start;
    std::string address;
};

/** A change of what the member believes, for the log. */
struct ControlNote
{
    std::string event;
    nlohmann::json fields;
};

/** Everything that one event leads to. */
struct ControlEffects
{
    std::vector<JournalWrite> journal;
    std::vector<OutgoingMessage> toMembers;
    std::vector<ToHost> toHosts;
    std::vector<SendOrder> orders;
    std::vector<InspectTarget> inspections;
    std::vector<ControlNote> notes;
    bool roleChanged = false;
};

} // namespace bilberry
