/** @file stream_progress.cpp Functions on how much of a stream its caller has. */
#include "stream/stream_progress_func.h"

#include <charconv>

namespace bilberry {

std::optional<EventId> readEventId(std::string_view text)
{
    if (text.size() > MAX_EVENT_ID_BYTES)
        return std::nullopt;
    EventId id{0, std::string(text)};
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, id.number);
    if (error != std::errc() || parsed != end)
        return std::nullopt;
    return id;
}

void addEvent(StreamProgress &progress, const std::optional<EventId> &id)
{
    progress.begun = true;
    ++progress.events;
    progress.endsAtHighest = id && (!progress.highest || id->number > progress.highest->number);
    if (progress.endsAtHighest)
        progress.highest = id;
}

bool canContinue(const StreamProgress &progress)
{
    return progress.events == 0 || progress.endsAtHighest;
}

std::optional<EventId> continuesAfter(const StreamProgress &progress)
{
    return progress.endsAtHighest ? progress.highest : std::nullopt;
}

bool mayFollow(const StreamProgress &progress, const std::optional<EventId> &first)
{
    if (progress.events == 0)
        return true;
    return progress.endsAtHighest && first && first->number > progress.highest->number;
}

} // namespace bilberry
