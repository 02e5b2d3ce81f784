/** @file library_memory_type.h Memory that libmicrohttpd has for one connection. */
#pragma once

#include <cstddef>

namespace bilberry {

/** For what is being received, and the head of the answer. The head of a request takes little of
 * it, see RequestStream. */
constexpr std::size_t CONNECTION_MEMORY_BYTES = 16 << 10;

/** Buffer for received bytes, as libmicrohttpd 0.9.75 divides the memory. */
constexpr std::size_t RECEIVE_BUFFER_BYTES = CONNECTION_MEMORY_BYTES / 2;

/** What certainly remains for the head of an answer, whatever the client has sent: entries of the
 * few fields of a request, alignment, and the buffer for a chunk of a stream take 2 KiB at most.
 * libmicrohttpd closes the connection if a head does not fit. */
constexpr std::size_t ANSWER_HEAD_BYTES
    = CONNECTION_MEMORY_BYTES - RECEIVE_BUFFER_BYTES - (std::size_t{2} << 10);

} // namespace bilberry
