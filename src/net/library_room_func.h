/** @file library_room_func.h Memory that libmicrohttpd has for one connection, and what is left of
 * it for the head of an answer. */
#pragma once

#include <cstddef>
#include <microhttpd.h>

namespace bilberry {

/** Memory of libmicrohttpd for one connection: what is being received, and the head of the answer.
 * The head of a request takes little of it, see RequestStream. */
constexpr std::size_t CONNECTION_MEMORY_BYTES = 16 << 10;

/** What a request takes of its connection's memory. */
struct LibraryUse
{
    std::size_t headBytes = 0; ///< Of the request's head.
    std::size_t entries = 0; ///< Fields, trailer fields, arguments of the query and cookies.
    std::size_t copiedBytes = 0; ///< Fields of which libmicrohttpd has made a copy, and trailers.
};

/** @return What the request that is being answered on the connection takes. */
LibraryUse libraryUse(MHD_Connection *connection);

/** @return Bytes that are certainly left for the head of the answer, whatever else the client has
 * sent. */
std::size_t libraryRoom(const LibraryUse &use);

} // namespace bilberry
