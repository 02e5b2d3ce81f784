/** @file stream_progress_type.h How much of a stream its caller has. */
#pragma once

#include "core/codec_func.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bilberry {

/** Longest event id that is compared and sent back to a target; no number needs as much. */
constexpr std::size_t MAX_EVENT_ID_BYTES = 32;

/** Id of a stream event that is a whole number; any number is legal, 0 and negative ones too. */
struct EventId
{
    std::int64_t number = 0; ///< What the id is compared by.
    std::string text; ///< As the target wrote it; sent back in this form.

    friend bool operator==(const EventId &, const EventId &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EventId, number, text)

/** What the caller of a stream has of it, over all attempts. */
struct StreamProgress
{
    bool begun = false; ///< The caller has the status and at least one byte of the stream.
    std::int64_t events = 0; ///< Number of relayed events; comments are none.
    std::optional<EventId> highest; ///< Highest id of a relayed event; empty if none had one.
    /** Whether the last relayed event has the id @c highest. Else the place in the stream cannot
     * be named to another target. */
    bool endsAtHighest = false;

    friend bool operator==(const StreamProgress &, const StreamProgress &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StreamProgress, begun, events, highest,
                                                endsAtHighest)

} // namespace bilberry
