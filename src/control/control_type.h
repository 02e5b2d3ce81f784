/** @file control_type.h Events and effects of a control member. */
#pragma once

#include "consensus/replica_type.h"
#include "core/byte_budget_base.h"
#include "duty/duty_type.h"
#include "link/link_type.h"
#include "placement/planner_func.h"

#include <variant>

namespace bilberry {

/** A message from another member of the control group. */
struct ReplicaMessageEvent
{
    MemberId from;
    ReplicaMessage message;
};

/** A message from a host. */
struct HostMessageEvent
{
    HostMessage message;
    /** Time at which this process received it; epoch: the time at which it is handled. */
    TimePoint receivedAt{};
    /** Room that the message takes; only for calls of operators. */
    std::shared_ptr<const HeldRoom> room{};
};

/** All log entries up to @c index, the last one of @c term, are synced to the local disk. */
struct SyncedEvent
{
    LogIndex index = 0;
    Term term = 0;
};

/** A target's reply to an order, or the lack of a reply. */
struct OrderReplyEvent
{
    std::string replica; ///< Replica that the order is about, see replicaId().
    FencingToken fencing; ///< Fencing token of the order.
    OrderReply reply = OrderReply::Unknown;
    bool done = false; ///< Whether the order was accepted and is already carried out.
};

/** A target's answer to InspectTarget; @c inspection is empty if the target did not answer. */
struct InspectionEvent
{
    TargetId target;
    Incarnation start;
    std::optional<TargetInspection> inspection;
};

/** Periodic timer: starts everything that is due. */
struct ControlTickEvent
{
};

/** Applies the next committed entries; handled after another event while there is a backlog. */
struct ApplyCommittedEvent
{
};

/** The daemon shuts down: a leader transfers its leadership to another voter. */
struct ControlShutdownEvent
{
};

using ControlEvent = std::variant<ReplicaMessageEvent, HostMessageEvent, SyncedEvent,
                                  OrderReplyEvent, ControlTickEvent, ControlShutdownEvent,
                                  InspectionEvent, ApplyCommittedEvent, DutyReplyEvent>;

/** Records to write in this order and sync; @c afterSync is sent after the sync. */
struct JournalWrite
{
    std::optional<HardState> hardState;
    std::vector<LogEntry>
        append; ///< Entries to write; the first one replaces the stored log from its index on.
    std::optional<Snapshot> snapshot;
    std::vector<OutgoingMessage> afterSync;
};

/** A message to a host run; dropped if the run is not connected. */
struct OutgoingControlMessage
{
    HolderId holder;
    ControlMessage message;
};

/** Longest time from SendOrder::sendBy until an order that was sent in time is at the target. */
constexpr Duration MAX_ORDER_TRANSIT_TIME = 1s;

/** An order to be sent to a target. */
struct SendOrder
{
    std::string replica; ///< Replica that the order is about, see replicaId().
    std::string address; ///< "ip:port" of the target.
    Order order;
    Term term = 0; ///< Term of the leader that decided the order.
    TimePoint decidedAt;
    TimePoint sendBy; ///< End of the leader's lease: the order must not be sent from then on.
};

/** Asks a target how many orders it has accepted and whether it is carrying out an order. */
struct InspectTarget
{
    TargetId target;
    Incarnation start;
    std::string address; ///< "ip:port" of the target.
};

/** An event for the log, such as a change in the targets that the leader knows. */
struct ControlLogEvent
{
    std::string event;
    nlohmann::json fields;
};

/** Actions that the caller carries out after one event. */
struct ControlEffects
{
    std::vector<JournalWrite> journal;
    std::vector<OutgoingMessage> toMembers;
    std::vector<OutgoingControlMessage> toHosts;
    std::vector<SendOrder> orders;
    std::vector<InspectTarget> inspections;
    std::vector<DutyCall> dutyCalls;
    std::vector<ControlLogEvent> logEvents;
    bool roleChanged = false;
};

} // namespace bilberry
