/** @file decision_load.cpp What takes the time of the decision thread of a control member. */
#include "daemon/decision_load_base.h"

#include "core/log_func.h"

namespace bilberry {

namespace {

constexpr Duration LOAD_LOG_INTERVAL = 1s;

struct KindOf
{
    std::string operator()(const ReplicaMessageEvent &) const { return "member"; }
    std::string operator()(const HostMessageEvent &event) const
    {
        return std::holds_alternative<HostReport>(event.message) ? "report" : "hostMessage";
    }
    std::string operator()(const SyncedEvent &) const { return "synced"; }
    std::string operator()(const OrderReplyEvent &) const { return "orderReply"; }
    std::string operator()(const InspectionEvent &) const { return "inspection"; }
    std::string operator()(const ControlTickEvent &) const { return "tick"; }
    std::string operator()(const ApplyCommittedEvent &) const { return "apply"; }
    std::string operator()(const ControlShutdownEvent &) const { return "shutdown"; }
};

std::int64_t toMicroseconds(Duration d)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

} // namespace

std::string kindOf(const ControlEvent &event)
{
    return std::visit(KindOf{}, event);
}

void recordDecision(DecisionLoad &load, const std::string &kind, TimePoint began, TimePoint decided,
                    TimePoint sent)
{
    DecisionTime &time = load.times[kind];
    ++time.events;
    time.deciding += decided - began;
    time.sending += sent - decided;
}

void logDecisionLoad(DecisionLoad &load, std::size_t waiting, TimePoint now)
{
    if (now < load.since + LOAD_LOG_INTERVAL)
        return;
    nlohmann::json fields
        = {{"forMs", toMilliseconds(now - load.since)}, {"reportsWaiting", waiting}};
    for (const auto &[kind, time] : load.times)
        fields[kind] = {{"events", time.events},
                        {"decidingUs", toMicroseconds(time.deciding)},
                        {"sendingUs", toMicroseconds(time.sending)}};
    logEventRateLimited("decisionLoad", fields);
    load = {now, {}};
}

} // namespace bilberry
