/** @file stream_progress_func.h Functions on how much of a stream its caller has. */
#pragma once

#include "stream/stream_progress_type.h"

#include <string_view>

namespace bilberry {

/** @return The id, or nothing if it is no whole number of 64 bits, so that its order is not known.
 */
std::optional<EventId> readEventId(std::string_view text);

/** Adds an event that is relayed to the caller. @param id Empty if its order is not known. */
void addEvent(StreamProgress &progress, const std::optional<EventId> &id);

/** @return Whether a target can continue the stream with neither a gap nor a repeat. */
bool canContinue(const StreamProgress &progress);

/** @return Id after which a target is to continue the stream; empty: from the first event on. */
std::optional<EventId> continuesAfter(const StreamProgress &progress);

/** @return Whether an event with id @p first may be the next one of the stream. */
bool mayFollow(const StreamProgress &progress, const std::optional<EventId> &first);

} // namespace bilberry
