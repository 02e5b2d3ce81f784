/** @file request_stream_base.h Bytes of a client's connection, read as a strict reader does. */
#pragma once

#include "net/grammar_type.h"
#include "net/request_head_func.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace bilberry {

class HeadMemory;

/** How the library waits for bytes. */
enum class ReadReadiness {
    Edge, ///< It waits for new bytes once it has got fewer than it asked for.
    Level, ///< It waits until bytes can be received.
};

/**
 * Reads the requests on one connection byte by byte and hands them to the HTTP library with a head
 * of its own making in place of each received one. libmicrohttpd 0.9.75 keeps an entry in a
 * connection's small memory for each field, argument and cookie, which leaves no room for an
 * answer; it answers some faults by itself or not at all; it ends lines at a bare LF. It gets
 * bodies as they were received; trailers are checked and left out. Not thread-safe.
 */
class RequestStream
{
public:
    RequestStream(ReadReadiness readiness, std::shared_ptr<HeadMemory> memory)
        : readiness(readiness)
        , memory(std::move(memory))
    {
    }
    ~RequestStream();
    RequestStream(const RequestStream &) = delete;
    RequestStream &operator=(const RequestStream &) = delete;

    /** Adds the next bytes that were received. */
    void add(std::string_view bytes);

    /** @return Whether all of @p bytes are data of a body and go to the library unchanged; if so,
     * they are added. */
    bool addData(std::string_view bytes);

    /** @return Number of bytes for the library. */
    std::size_t outputSize() const { return this->output.size() - this->outputTaken; }
    /** Copies bytes for the library. @return Their number. */
    std::size_t takeOutput(char *buffer, std::size_t size);

    /** Begins the next request for the library. @return Its number, which counts up. */
    std::size_t beginRequest(RequestHead &head);

    /** @return Fault of a request behind its head, as far as its bytes have been received. */
    std::optional<GrammarFault> faultOf(std::size_t request) const;

    /** @return Why the trailer of a request has not been read to its end, if so. */
    std::optional<HeadRefusal> refusalOf(std::size_t request) const;

    /** @return Whether nothing of what follows is read any more. */
    bool isRefused() const { return this->state == State::Refused; }

    const ReadReadiness readiness;

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
        Lost, ///< After a fault in a body: the library gets the rest as it is, and is closed.
        Refused, ///< After a fault in a head: the rest is discarded.
    };

    /** Head that the library has not begun. */
    struct UntakenHead
    {
        std::string bytes;
        std::optional<HeadRefusal> refusal;
    };

    std::size_t skipData(std::string_view bytes);
    void addByte(char byte);
    void addHeadByte(char byte);
    std::optional<HeadRefusal> collect(char byte);
    void dropCollected();
    void endHead(std::optional<HeadRefusal> refusal);
    void addTrailerByte(char byte);
    void addChunkByte(char byte);
    void addChunkSizeByte(char byte);
    void endChunkLine();
    void endRequest();
    void fail(GrammarRule rule);

    const std::shared_ptr<HeadMemory> memory;
    State state = State::BeforeHead;
    std::string collected; ///< Head or trailer that is being received.
    std::size_t reserved = 0; ///< In @c memory, for @c collected.
    std::deque<UntakenHead> untaken;
    std::size_t untakenBytes = 0; ///< Of @c untaken; reserved in @c memory.
    std::optional<RequestHead> parsed; ///< The only head in @c untaken.
    std::string output; ///< Bytes for the library.
    std::size_t outputTaken = 0; ///< Of @c output.
    std::size_t lineBytes = 0; ///< Of the current line of a head or trailer, without its LF.
    char last = 0; ///< Byte before the current one, in the same line.
    std::uint64_t left = 0; ///< Bytes of the body or the chunk that follow.
    std::size_t digits = 0; ///< Of the size of the current chunk.
    std::size_t number = 0; ///< Of the request that the next byte belongs to.
    std::size_t begun = 0; ///< Requests that the library has begun.
    std::optional<std::size_t> faulty; ///< Number of the request with the fault.
    GrammarFault fault;
    std::optional<HeadRefusal> trailerRefusal; ///< Of the request with the fault.
};

/** Request on a followed connection. */
struct FollowedRequest
{
    std::shared_ptr<RequestStream> stream; ///< Null: the connection is not followed.
    std::size_t number = 0;
    RequestHead head;

    /** @return Fault behind the head. */
    std::optional<GrammarFault> fault() const
    {
        return this->stream ? this->stream->faultOf(this->number) : std::nullopt;
    }
    /** @return Why the trailer has not been read to its end, if so. */
    std::optional<HeadRefusal> refusal() const
    {
        return this->stream ? this->stream->refusalOf(this->number) : std::nullopt;
    }
};

/**
 * Follows what this process receives on a connection from now on. libmicrohttpd has no callback for
 * received bytes; the definition of recv() in request_stream.cpp takes the place of the system's
 * for all libraries of the process, and hands over what RequestStream makes of the bytes.
 */
void followSocket(int socket, ReadReadiness readiness, std::shared_ptr<HeadMemory> memory);
/** Ends followSocket(); must be called before the descriptor is closed. */
void unfollowSocket(int socket);
/** @return The next request on a connection, counted as begun. */
FollowedRequest beginFollowedRequest(int socket);

} // namespace bilberry
