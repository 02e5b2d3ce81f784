/** @file event_stream.cpp Blocks and fields of a stream of server-sent events. */
#include "net/event_stream_func.h"

#include <algorithm>

namespace bilberry {

namespace {

constexpr std::string_view BLOCK_END = "\n\n";
constexpr std::string_view STREAM_END = "data: [DONE]";
constexpr std::string_view ID_FIELD = "id";

/** Removes the next line from @p rest. @return The line without its end. */
std::string_view takeLine(std::string_view &rest)
{
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

} // namespace

std::size_t endOfBlocks(std::string_view bytes, std::size_t searched)
{
    // The first byte of an end may be the last one that was searched.
    const std::size_t begin = searched > 0 ? searched - 1 : 0;
    const std::size_t end = bytes.substr(begin).rfind(BLOCK_END);
    return end == std::string_view::npos ? end : begin + end + BLOCK_END.size();
}

void forEachBlock(std::string_view blocks, const std::function<void(std::string_view)> &use)
{
    std::size_t begin = 0;
    for (std::size_t end = blocks.find(BLOCK_END); end != std::string_view::npos;
         end = blocks.find(BLOCK_END, begin)) {
        use(blocks.substr(begin, end - begin));
        begin = end + BLOCK_END.size();
    }
}

bool isEvent(std::string_view block)
{
    while (!block.empty()) {
        const std::string_view line = takeLine(block);
        if (!line.empty() && !line.starts_with(':'))
            return true;
    }
    return false;
}

std::optional<std::string_view> eventIdText(std::string_view event)
{
    std::optional<std::string_view> id;
    while (!event.empty()) {
        const std::string_view line = takeLine(event);
        const std::size_t colon = line.find(':');
        if (line.substr(0, colon) != ID_FIELD)
            continue;
        std::string_view value
            = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        id = value;
    }
    return id;
}

std::size_t endOfMarkedBlock(std::string_view bytes)
{
    std::size_t marker = bytes.find(STREAM_END);
    while (marker != std::string_view::npos && marker > 0 && bytes[marker - 1] != '\n')
        marker = bytes.find(STREAM_END, marker + 1); // A marker within a line is text.
    const std::size_t end
        = marker == std::string_view::npos ? marker : bytes.find(BLOCK_END, marker);
    return end == std::string_view::npos ? end : end + BLOCK_END.size();
}

} // namespace bilberry
