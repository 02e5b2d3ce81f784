/** @file event_stream_func.h Blocks and fields of a stream of server-sent events (HTML Living
 * Standard, section 9.2). */
#pragma once

#include <functional>
#include <optional>
#include <string_view>

namespace bilberry {

/** @return Offset just after the last complete block of @p bytes; npos if there is none.
 * @param searched Bytes at the start that are known to hold no end of a block. */
std::size_t endOfBlocks(std::string_view bytes, std::size_t searched);

/** Calls @p use for each complete block of @p blocks, without the empty line at its end. */
void forEachBlock(std::string_view blocks, const std::function<void(std::string_view)> &use);

/** @return Whether the block is an event; a block of comments alone is none. */
bool isEvent(std::string_view block);

/** @return Value of the event's last field "id"; nothing if it has none. */
std::optional<std::string_view> eventIdText(std::string_view event);

/** @return Offset just after the block whose line begins with the end marker "data: [DONE]"; npos
 * if there is none. */
std::size_t endOfMarkedBlock(std::string_view bytes);

} // namespace bilberry
