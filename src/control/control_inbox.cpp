/** @file control_inbox.cpp Event queues of a control member with priority over host messages. */
#include "control/control_inbox_base.h"

namespace bilberry {

void enqueueEvent(ControlInbox &inbox, ControlEvent event)
{
    if (!std::holds_alternative<HostMessageEvent>(event)) {
        inbox.priority.push_back(std::move(event));
        return;
    }
    if (inbox.hostMessages.size() >= MAX_QUEUED_HOST_MESSAGES) {
        inbox.hostMessages.pop_front();
        ++inbox.dropped;
    }
    inbox.hostMessages.push_back(std::move(event));
}

std::optional<ControlEvent> dequeueEvent(ControlInbox &inbox)
{
    std::deque<ControlEvent> &queue = inbox.priority.empty() ? inbox.hostMessages : inbox.priority;
    if (queue.empty())
        return std::nullopt;
    std::optional<ControlEvent> event(std::move(queue.front()));
    queue.pop_front();
    return event;
}

} // namespace bilberry
