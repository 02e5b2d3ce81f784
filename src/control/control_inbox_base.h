/** @file control_inbox_base.h Order in which a control member takes what has come in. */
#pragma once

#include "control/control_func.h"

#include <deque>
#include <optional>

namespace bilberry {

constexpr std::size_t MAX_WAITING_HOST_MESSAGES
    = 4'096; ///< Hosts send again what was not answered.

/**
 * Messages of the group, the disk and targets go before those of hosts: a leader that answers a
 * thousand hosts late still leads, one that is late to its group does not.
 */
struct ControlInbox
{
    std::deque<ControlEvent> first;
    std::deque<ControlEvent> fromHosts;
    std::uint64_t dropped = 0; ///< Messages of hosts for which there was no room.
};

/** Adds an event; the oldest message of a host makes room if there are too many. */
void put(ControlInbox &inbox, ControlEvent event);

/** @return The event to handle next, or nothing. */
std::optional<ControlEvent> takeNext(ControlInbox &inbox);

} // namespace bilberry
