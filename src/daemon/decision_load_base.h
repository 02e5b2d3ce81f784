/** @file decision_load_base.h What takes the time of the decision thread of a control member. */
#pragma once

#include "control/control_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace bilberry {

/** Period before the present whose longest step and pause are kept, whenever the log was written.
 */
constexpr Duration RECENT_LOAD_PERIOD = 1s;

/** Both clocks of the decision thread, read at one moment. */
struct DecisionClock
{
    TimePoint wall;
    Duration processor{}; ///< Processor time that the thread has used since its start.
};

/**
 * Length of a span by both clocks. What the wall time has more than the processor time was spent
 * waiting, for a processor or for something else.
 */
struct ElapsedTime
{
    Duration wall{};
    Duration processor{};
};

/** Time that the decision thread has spent on the events of one kind. */
struct DecisionTime
{
    std::int64_t events = 0;
    ElapsedTime deciding; ///< Time in step().
    ElapsedTime sending; ///< Time to hand over the effects.
};

/** One step of the decision thread, or a pause between two steps. */
struct DecisionSpan
{
    TimePoint endedAt;
    ElapsedTime time;
    std::string kind; ///< Kind of the event; empty for a pause.
};

/** Longest step and longest pause of a period; zero if it had none. */
struct LongestSpans
{
    DecisionSpan step; ///< From the begin of the decision until its effects are handed over.
    DecisionSpan pause; ///< From the end of a step to the begin of the next one. The wait of an
                        ///< idle thread counts, and so do queries of the state.
};

/** What took the time of the decision thread: since @c since, and in the last second. */
struct DecisionLoad
{
    TimePoint since; ///< Time of the last line in the log.
    std::map<std::string, DecisionTime> times; ///< By kind of event, since @c since.
    LongestSpans longest; ///< Since @c since.
    /** Steps of RECENT_LOAD_PERIOD, oldest first, without those that a later one exceeds: the first
     * is the longest. */
    std::deque<DecisionSpan> recentSteps;
    std::deque<DecisionSpan> recentPauses; ///< Pauses, kept as the steps are.
    std::optional<DecisionClock> lastStepEnded; ///< End of the last step, if there was one.
};

/** @return Name of the kind of event, for logs. */
std::string kindOf(const ControlEvent &event);

/** Records the pause that ends as a step begins at @p began. */
void recordPause(DecisionLoad &load, const DecisionClock &began);

/** Adds an event that began at @p began, was decided at @p decided and handed over at @p sent. */
void recordDecision(DecisionLoad &load, const std::string &kind, const DecisionClock &began,
                    const DecisionClock &decided, const DecisionClock &sent);

/** @return Longest step and pause of the RECENT_LOAD_PERIOD before the last recorded one. */
LongestSpans longestRecentSpans(const DecisionLoad &load);

/** @return Fields of a log line that state the longest step and the longest pause. */
nlohmann::json toLogFields(const LongestSpans &longest);

/**
 * Writes the times to the log and resets them, once per LOAD_LOG_INTERVAL.
 * @param waiting Number of messages of hosts that wait in the inbox.
 */
void logDecisionLoad(DecisionLoad &load, std::size_t waiting, TimePoint now);

} // namespace bilberry
