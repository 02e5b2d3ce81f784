/** @file control_inbox.cpp Event queues of a control member with priority over host messages. */
#include "control/control_inbox_base.h"

#include "control/report_merge_func.h"

#include <algorithm>

namespace bilberry {

namespace {

void enqueueOperatorCall(ControlInbox &inbox, HostMessageEvent event)
{
    const auto &call = std::get<OperatorCall>(event.message);
    const bool resent = std::any_of(inbox.operatorCalls.begin(), inbox.operatorCalls.end(),
                                    [&](const HostMessageEvent &waiting) {
                                        const auto &queued
                                            = std::get<OperatorCall>(waiting.message);
                                        return queued.holder == call.holder && queued.id == call.id;
                                    });
    if (resent)
        return;
    if (inbox.operatorCalls.size() >= MAX_QUEUED_OPERATOR_CALLS) {
        ++inbox.dropped;
        return;
    }
    inbox.operatorCalls.push_back(std::move(event));
}

/** Replaces the queued report of the same host at its place. @return False if there is none. */
bool replaceReport(ControlInbox &inbox, HostReport &report)
{
    const auto queued = inbox.reports.find(report.holder);
    if (queued == inbox.reports.end())
        return false;
    auto &earlier = std::get<HostReport>(*queued->second);
    // Reports of one host may overtake each other after it has connected anew.
    if (earlier.sequence > report.sequence)
        std::swap(earlier, report);
    mergeIntoLater(earlier, report);
    earlier = std::move(report);
    return true;
}

void forgetReport(ControlInbox &inbox, const HostMessage &message)
{
    if (const auto *report = std::get_if<HostReport>(&message))
        inbox.reports.erase(report->holder);
}

HostMessage popHostMessage(ControlInbox &inbox)
{
    HostMessage message = std::move(inbox.hostMessages.front());
    forgetReport(inbox, message);
    inbox.hostMessages.pop_front();
    return message;
}

void enqueueHostMessage(ControlInbox &inbox, HostMessage message)
{
    auto *report = std::get_if<HostReport>(&message);
    if (report != nullptr && replaceReport(inbox, *report))
        return;
    if (inbox.hostMessages.size() >= MAX_QUEUED_HOST_MESSAGES) {
        popHostMessage(inbox);
        ++inbox.dropped;
    }
    const auto at = inbox.hostMessages.insert(inbox.hostMessages.end(), std::move(message));
    if (const auto *queued = std::get_if<HostReport>(&*at))
        inbox.reports[queued->holder] = at;
}

} // namespace

void enqueueEvent(ControlInbox &inbox, ControlEvent event)
{
    auto *host = std::get_if<HostMessageEvent>(&event);
    if (host == nullptr)
        inbox.priority.push_back(std::move(event));
    else if (std::holds_alternative<OperatorCall>(host->message))
        enqueueOperatorCall(inbox, std::move(*host));
    else
        enqueueHostMessage(inbox, std::move(host->message));
}

std::optional<ControlEvent> dequeueEvent(ControlInbox &inbox)
{
    if (!inbox.priority.empty()) {
        ControlEvent event = std::move(inbox.priority.front());
        inbox.priority.pop_front();
        return event;
    }
    if (!inbox.operatorCalls.empty()) {
        HostMessageEvent event = std::move(inbox.operatorCalls.front());
        inbox.operatorCalls.pop_front();
        return event;
    }
    if (inbox.hostMessages.empty())
        return std::nullopt;
    return HostMessageEvent{popHostMessage(inbox), {}, {}};
}

} // namespace bilberry
