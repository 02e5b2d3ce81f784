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
    std::string operator()(const DutyReplyEvent &) const { return "dutyReply"; }
};

std::int64_t toMicroseconds(Duration d)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
}

ElapsedTime between(const DecisionClock &from, const DecisionClock &to)
{
    return {to.wall - from.wall, to.processor - from.processor};
}

void add(ElapsedTime &sum, const ElapsedTime &time)
{
    sum.wall += time.wall;
    sum.processor += time.processor;
}

/** Removes the spans that ended before the RECENT_LOAD_PERIOD. */
void dropOldSpans(std::deque<DecisionSpan> &recent, TimePoint now)
{
    while (!recent.empty() && recent.front().endedAt + RECENT_LOAD_PERIOD < now)
        recent.pop_front();
}

/** Adds a span to the longest one since the last line, and to those of the RECENT_LOAD_PERIOD. */
void recordSpan(DecisionSpan &longest, std::deque<DecisionSpan> &recent, DecisionSpan span)
{
    if (span.time.wall > longest.time.wall)
        longest = span;
    // Until it is dropped, a later span that is no shorter hides the earlier ones.
    while (!recent.empty() && recent.back().time.wall <= span.time.wall)
        recent.pop_back();
    dropOldSpans(recent, span.endedAt);
    recent.push_back(std::move(span));
}

} // namespace

std::string kindOf(const ControlEvent &event)
{
    return std::visit(KindOf{}, event);
}

void recordPause(DecisionLoad &load, const DecisionClock &began)
{
    dropOldSpans(load.recentSteps, began.wall);
    if (load.lastStepEnded)
        recordSpan(load.longest.pause, load.recentPauses,
                   {began.wall, between(*load.lastStepEnded, began), ""});
}

void recordDecision(DecisionLoad &load, const std::string &kind, const DecisionClock &began,
                    const DecisionClock &decided, const DecisionClock &sent)
{
    DecisionTime &time = load.times[kind];
    ++time.events;
    add(time.deciding, between(began, decided));
    add(time.sending, between(decided, sent));
    recordSpan(load.longest.step, load.recentSteps, {sent.wall, between(began, sent), kind});
    load.lastStepEnded = sent;
}

LongestSpans longestRecentSpans(const DecisionLoad &load)
{
    LongestSpans longest;
    if (!load.recentSteps.empty())
        longest.step = load.recentSteps.front();
    if (!load.recentPauses.empty())
        longest.pause = load.recentPauses.front();
    return longest;
}

nlohmann::json toLogFields(const LongestSpans &longest)
{
    return {{"longestStepKind", longest.step.kind},
            {"longestStepUs", toMicroseconds(longest.step.time.wall)},
            {"longestStepProcessorUs", toMicroseconds(longest.step.time.processor)},
            {"longestPauseUs", toMicroseconds(longest.pause.time.wall)},
            {"longestPauseProcessorUs", toMicroseconds(longest.pause.time.processor)}};
}

void logDecisionLoad(DecisionLoad &load, std::size_t waiting, TimePoint now)
{
    if (now < load.since + LOAD_LOG_INTERVAL)
        return;
    nlohmann::json fields = toLogFields(load.longest);
    fields["forMs"] = toMilliseconds(now - load.since);
    fields["reportsWaiting"] = waiting;
    for (const auto &[kind, time] : load.times)
        fields[kind] = {{"events", time.events},
                        {"decidingUs", toMicroseconds(time.deciding.wall)},
                        {"decidingProcessorUs", toMicroseconds(time.deciding.processor)},
                        {"sendingUs", toMicroseconds(time.sending.wall)},
                        {"sendingProcessorUs", toMicroseconds(time.sending.processor)}};
    logEventRateLimited("decisionLoad", fields);
    load.since = now;
    load.times.clear();
    load.longest = {};
}

} // namespace bilberry
