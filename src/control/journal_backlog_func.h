/** @file journal_backlog_func.h Bounds what waits for a journal that cannot be written. */
#pragma once

#include "control/control_type.h"

#include <vector>

namespace bilberry {

/** Messages that are kept for the time after the sync. Members repeat what they get no answer to.
 */
constexpr std::size_t MAX_BACKLOG_MESSAGES = 256;

/**
 * Removes from @p writes what later writes replace, so that an outage of the disk of any length
 * leaves one snapshot and the log after it. The result leads to the same durable state.
 * @param writes Writes that were not synced, in the order in which they were decided.
 */
void compactBacklog(std::vector<JournalWrite> &writes);

} // namespace bilberry
