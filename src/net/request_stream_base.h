/** @file request_stream_base.h Bytes of a client's connection, followed as a strict reader does. */
#pragma once

#include "net/grammar_type.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/**
 * Follows the requests on one connection byte by byte and finds what libmicrohttpd 0.9.75 hides: it
 * ends lines of chunks at a bare LF, takes control bytes in their extensions, and writes NUL over
 * the ends of lines, so that NUL LF looks like CR LF afterwards. All other faults of a head are
 * left to readRequestHead(), which refuses the request and closes the connection. Not thread-safe.
 */
class RequestStream
{
public:
    /** Adds the next bytes that were received. */
    void add(std::string_view bytes);

    /** @return Number of the request whose head begins next for libmicrohttpd; counts up. */
    std::size_t beginRequest() { return this->begun++; }

    /** @return Fault of a request, as far as its bytes have been received. */
    std::optional<GrammarFault> faultOf(std::size_t request) const;

    /** @return Whether the ends of all requests so far are known. */
    bool isFollowed() const { return this->receivedAny && this->state != State::Lost; }

private:
    enum class State {
        BeforeHead, ///< Empty lines may stand before a request line.
        Head,
        Body, ///< Of known length.
        ChunkSize,
        ChunkExtension,
        ChunkLineEnd, ///< The LF of a chunk's line.
        ChunkData,
        ChunkDataCr, ///< The CR behind the data of a chunk.
        ChunkDataLf,
        Trailer,
        Lost, ///< A fault, or a line that is too long to tell whether it frames the body.
    };

    std::size_t skipData(std::string_view bytes);
    void addByte(char byte);
    void addHeadByte(char byte);
    void endHeadLine();
    void endHead();
    void addTrailerByte(char byte);
    void addChunkSizeByte(char byte);
    void endChunkLine();
    void endRequest();
    void fail(GrammarRule rule);

    State state = State::BeforeHead;
    std::string line; ///< Begin of the current line of a head, for the fields that frame the body.
    std::size_t lineBytes = 0; ///< Of the current line of a head or trailer, without its end.
    char last = 0; ///< Byte before the current one, in the same line.
    bool chunked = false;
    std::uint64_t left = 0; ///< Bytes of the body or the chunk that follow.
    std::size_t digits = 0; ///< Of the size of the current chunk.
    std::size_t number = 0; ///< Of the request that the next byte belongs to.
    std::size_t begun = 0; ///< Requests that libmicrohttpd has begun.
    bool receivedAny = false;
    std::optional<std::size_t> faulty; ///< Number of the request with the fault.
    GrammarFault fault;
};

/** Request on a followed connection. */
struct FollowedRequest
{
    std::shared_ptr<RequestStream> stream; ///< Null: the connection is not followed.
    std::size_t number = 0;

    std::optional<GrammarFault> fault() const
    {
        return this->stream ? this->stream->faultOf(this->number) : std::nullopt;
    }
    /** @return Whether a strict reader ends the requests where libmicrohttpd does. */
    bool isFollowed() const { return this->stream && this->stream->isFollowed(); }
};

/**
 * Follows what this process receives on a connection from now on. libmicrohttpd has no callback for
 * received bytes; the definition of recv() in request_stream.cpp takes the place of the system's
 * for all libraries of the process, and passes on what it receives on such sockets.
 */
void followSocket(int socket);
/** Ends followSocket(); must be called before the descriptor is closed. */
void unfollowSocket(int socket);
/** @return The next request on a connection, counted as begun. */
FollowedRequest beginFollowedRequest(int socket);

} // namespace bilberry
