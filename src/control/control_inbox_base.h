/** @file control_inbox_base.h Event queues of a control member with priority over host messages. */
#pragma once

#include "control/control_func.h"

#include <deque>
#include <optional>

namespace bilberry {

constexpr std::size_t MAX_QUEUED_HOST_MESSAGES
    = 4'096; ///< When the queue is full, the oldest message is dropped; hosts resend.

/**
 * Events from the control group, the disk and targets are handled before messages of hosts. A
 * leader that answers a thousand hosts late keeps its leadership; a leader that answers its control
 * group late loses it.
 */
struct ControlInbox
{
    std::deque<ControlEvent> priority; ///< All events but messages of hosts.
    std::deque<ControlEvent> hostMessages;
    std::uint64_t dropped = 0; ///< Host messages dropped because the queue was full.
};

/**
 * Adds an event; if MAX_QUEUED_HOST_MESSAGES are queued, a new host message replaces the oldest.
 */
void enqueueEvent(ControlInbox &inbox, ControlEvent event);

/** Removes the event to handle next. @return The event; nothing if both queues are empty. */
std::optional<ControlEvent> dequeueEvent(ControlInbox &inbox);

} // namespace bilberry
