/** @file control_inbox.cpp Order in which a control member takes what has come in. */
#include "control/control_inbox_base.h"

namespace bilberry {

void put(ControlInbox &inbox, ControlEvent event)
{
    if (!std::holds_alternative<HostMessageEvent>(event)) {
        inbox.first.push_back(std::move(event));
        return;
    }
    if (inbox.fromHosts.size() >= MAX_WAITING_HOST_MESSAGES) {
        inbox.fromHosts.pop_front();
        ++inbox.dropped;
    }
    inbox.fromHosts.push_back(std::move(event));
}

std::optional<ControlEvent> takeNext(ControlInbox &inbox)
{
    std::deque<ControlEvent> &queue = inbox.first.empty() ? inbox.fromHosts : inbox.first;
    if (queue.empty())
        return std::nullopt;
    std::optional<ControlEvent> event(std::move(queue.front()));
    queue.pop_front();
    return event;
}

} // namespace bilberry
