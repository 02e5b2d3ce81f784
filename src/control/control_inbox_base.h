/** @file control_inbox_base.h Event queues of a control member with priority over host messages. */
#pragma once

#include "control/control_func.h"

#include <deque>
#include <list>
#include <map>
#include <optional>

namespace bilberry {

constexpr std::size_t MAX_QUEUED_HOST_MESSAGES
    = 4'096; ///< When the queue is full, the oldest message is dropped; hosts resend.
constexpr std::size_t MAX_QUEUED_OPERATOR_CALLS
    = 256; ///< Further calls are dropped; hosts resend them.

/**
 * Events from the control group, the disk and targets are handled before messages of hosts. A
 * leader that answers a thousand hosts late keeps its leadership; a leader that answers its control
 * group late loses it. Operators' calls are few and change what is in force, so they come before
 * other messages of hosts. A report takes the place of an earlier one of its host, which would be
 * answered too late to be used.
 */
struct ControlInbox
{
    std::deque<ControlEvent> priority; ///< All events but messages of hosts.
    std::deque<HostMessageEvent> operatorCalls; ///< Each with an OperatorCall.
    std::list<HostMessage> hostMessages; ///< All messages of hosts but operators' calls.
    std::map<HolderId, std::list<HostMessage>::iterator>
        reports; ///< Report in @c hostMessages of each host; at most one.
    std::uint64_t dropped = 0; ///< Host messages dropped because a queue was full.
};

/** Adds an event; if a queue of host messages is full, one of its messages is dropped. */
void enqueueEvent(ControlInbox &inbox, ControlEvent event);

/** Removes the event to handle next. @return The event; nothing if all queues are empty. */
std::optional<ControlEvent> dequeueEvent(ControlInbox &inbox);

} // namespace bilberry
