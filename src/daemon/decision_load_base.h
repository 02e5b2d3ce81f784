/** @file decision_load_base.h What takes the time of the decision thread of a control member. */
#pragma once

#include "control/control_type.h"

#include <map>
#include <string>

namespace bilberry {

/** Time that the decision thread has spent on the events of one kind. */
struct DecisionTime
{
    std::int64_t events = 0;
    Duration deciding{}; ///< Time in step().
    Duration sending{}; ///< Time to hand over the effects.
};

/** Times by kind of event since @c since. */
struct DecisionLoad
{
    TimePoint since;
    std::map<std::string, DecisionTime> times;
};

/** @return Name of the kind of event, for logs. */
std::string kindOf(const ControlEvent &event);

/** Adds an event that began at @p began, was decided at @p decided and handed over at @p sent. */
void recordDecision(DecisionLoad &load, const std::string &kind, TimePoint began, TimePoint decided,
                    TimePoint sent);

/**
 * Writes the times to the log and resets them, once per LOAD_LOG_INTERVAL.
 * @param waiting Number of messages of hosts that wait in the inbox.
 */
void logDecisionLoad(DecisionLoad &load, std::size_t waiting, TimePoint now);

} // namespace bilberry
