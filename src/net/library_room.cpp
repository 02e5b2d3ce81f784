/** @file library_room.cpp Memory that libmicrohttpd has left for the head of an answer.
 *
 * libmicrohttpd 0.9.75 does not tell how much of a connection's memory is in use, takes any answer
 * from its user, and closes the connection if the head of the answer does not fit. The bounds here
 * err on the safe side. */
#include "net/library_room_func.h"

#include <algorithm>
#include <cstring>

namespace bilberry {

namespace {

/** Entry for one field, as libmicrohttpd aligns it. */
constexpr std::size_t ENTRY_BYTES = 8 * sizeof(void *);
/** Buffer for received bytes: half of the memory from the start, more only for a larger head. */
constexpr std::size_t RECEIVE_BUFFER_BYTES = CONNECTION_MEMORY_BYTES / 2;
/** The buffer grows by this part of what is free. */
constexpr std::size_t GROWTH_PART = 8;
/** Alignment, and the buffer for a chunk of a streamed answer. */
constexpr std::size_t MARGIN_BYTES = 1 << 10;

MHD_Result addTrailerBytes(void *sum, MHD_ValueKind, const char *name, const char *value)
{
    *static_cast<std::size_t *>(sum)
        += std::strlen(name) + (value == nullptr ? 0 : std::strlen(value));
    return MHD_YES;
}

} // namespace

LibraryUse libraryUse(MHD_Connection *connection)
{
    LibraryUse use;
    const MHD_ConnectionInfo *info
        = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    use.headBytes = info == nullptr ? 0 : info->header_size;
    for (const MHD_ValueKind kind :
         {MHD_HEADER_KIND, MHD_FOOTER_KIND, MHD_GET_ARGUMENT_KIND, MHD_COOKIE_KIND})
        use.entries += static_cast<std::size_t>(
            MHD_get_connection_values(connection, kind, nullptr, nullptr));
    const char *cookies
        = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_COOKIE);
    use.copiedBytes = cookies == nullptr ? 0 : std::strlen(cookies);
    MHD_get_connection_values(connection, MHD_FOOTER_KIND, &addTrailerBytes, &use.copiedBytes);
    return use;
}

std::size_t libraryRoom(const LibraryUse &use)
{
    const std::size_t grown = use.headBytes + use.copiedBytes + RECEIVE_BUFFER_BYTES / GROWTH_PART;
    const std::size_t received = std::max(RECEIVE_BUFFER_BYTES, grown);
    const std::size_t taken = received + use.copiedBytes + use.entries * ENTRY_BYTES + MARGIN_BYTES;
    return CONNECTION_MEMORY_BYTES - std::min(CONNECTION_MEMORY_BYTES, taken);
}

} // namespace bilberry
