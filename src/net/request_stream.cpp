/** @file request_stream.cpp Bytes of a client's connection, followed as a strict reader does. */
#include "net/request_stream_base.h"

#include "net/edge_type.h"
#include "net/grammar_func.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <sys/socket.h>

namespace bilberry {

namespace {

/** Bytes of a line of a head that are kept: enough for a field that frames the body. */
constexpr std::size_t MAX_KEPT_LINE_BYTES = 128;
constexpr std::size_t MAX_SIZE_DIGITS = 16; ///< Hexadecimal digits of a 64-bit number.
constexpr int HEX_DIGIT_BITS = 4;

/** Streams of the sockets that are followed. */
struct FollowedSockets
{
    absl::Mutex mutex;
    absl::flat_hash_map<int, std::shared_ptr<RequestStream>> streams ABSL_GUARDED_BY(mutex);
};

FollowedSockets &followedSockets()
{
    static FollowedSockets &all = *new FollowedSockets; // Threads outlive static objects.
    return all;
}

std::shared_ptr<RequestStream> streamOf(int socket)
{
    FollowedSockets &all = followedSockets();
    absl::ReaderMutexLock lock(&all.mutex);
    const auto found = all.streams.find(socket);
    return found == all.streams.end() ? nullptr : found->second;
}

std::uint64_t hexValue(char digit)
{
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(digit));
    return static_cast<std::uint64_t>(lower <= '9' ? lower - '0' : lower - 'a' + 10);
}

bool isBlank(char byte)
{
    return byte == ' ' || byte == '\t';
}

} // namespace

void RequestStream::add(std::string_view bytes)
{
    this->receivedAny = this->receivedAny || !bytes.empty();
    while (!bytes.empty() && this->state != State::Lost) {
        const std::size_t skipped = this->skipData(bytes);
        bytes.remove_prefix(skipped);
        if (skipped > 0)
            continue;
        this->addByte(bytes.front());
        bytes.remove_prefix(1);
    }
}

/** @return How many of @p bytes are data of a body. */
std::size_t RequestStream::skipData(std::string_view bytes)
{
    if (this->state != State::Body && this->state != State::ChunkData)
        return 0;
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), this->left));
    this->left -= size;
    if (this->left > 0)
        return size;
    if (this->state == State::Body)
        this->endRequest();
    else
        this->state = State::ChunkDataCr;
    return size;
}

void RequestStream::addByte(char byte)
{
    switch (this->state) {
    case State::BeforeHead:
    case State::Head:
        return this->addHeadByte(byte);
    case State::ChunkSize:
        return this->addChunkSizeByte(byte);
    case State::ChunkExtension:
        if (byte == '\r')
            this->state = State::ChunkLineEnd;
        else if (!isFieldValue({&byte, 1}))
            this->fail(GrammarRule::Framing);
        return;
    case State::ChunkLineEnd:
        return byte == '\n' ? this->endChunkLine() : this->fail(GrammarRule::Framing);
    case State::ChunkDataCr:
        this->state = State::ChunkDataLf;
        return byte == '\r' ? void() : this->fail(GrammarRule::Framing);
    case State::ChunkDataLf:
        this->state = State::ChunkSize;
        this->digits = 0;
        this->left = 0;
        return byte == '\n' ? void() : this->fail(GrammarRule::Framing);
    case State::Trailer:
        return this->addTrailerByte(byte);
    case State::Body:
    case State::ChunkData:
    case State::Lost:
        return;
    }
}

void RequestStream::addHeadByte(char byte)
{
    if (byte == '\0')
        return this->fail(GrammarRule::Lines);
    if (byte == '\n') {
        // readRequestHead() refuses a head with a bare LF.
        if (this->last != '\r')
            this->state = State::Lost;
        else
            this->endHeadLine();
        return;
    }
    ++this->lineBytes;
    if (this->line.size() < MAX_KEPT_LINE_BYTES)
        this->line += byte;
    this->last = byte;
}

void RequestStream::endHeadLine()
{
    const std::size_t bytes = this->lineBytes - 1; // Without the CR.
    const bool kept = this->lineBytes <= this->line.size();
    std::string_view text = this->line;
    if (kept)
        text.remove_suffix(1);
    if (bytes == 0) {
        if (this->state == State::Head)
            this->endHead();
    } else if (this->state == State::BeforeHead) {
        this->state = State::Head;
    } else {
        const std::size_t colon = std::min(text.find(':'), text.size());
        const std::string name(text.substr(0, colon));
        const std::string_view value = withoutBlanks(text.substr(std::min(colon + 1, text.size())));
        if (isFramed({{name, ""}})) {
            if (!kept)
                this->state = State::Lost;
            else if (!absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &this->left))
                this->chunked = true;
        }
    }
    this->line.clear();
    this->lineBytes = 0;
    this->last = 0;
}

void RequestStream::endHead()
{
    if (this->chunked) {
        this->state = State::ChunkSize;
        this->digits = 0;
        this->left = 0;
    } else if (this->left > 0) {
        this->state = State::Body;
    } else {
        this->endRequest();
    }
}

void RequestStream::addChunkSizeByte(char byte)
{
    if (absl::ascii_isxdigit(static_cast<unsigned char>(byte))) {
        this->left = (this->left << HEX_DIGIT_BITS) + hexValue(byte);
        if (++this->digits > MAX_SIZE_DIGITS)
            this->fail(GrammarRule::Framing);
        return;
    }
    if (this->digits == 0)
        return this->fail(GrammarRule::Framing);
    if (byte == '\r')
        this->state = State::ChunkLineEnd;
    else if (byte == ';' || isBlank(byte))
        this->state = State::ChunkExtension;
    else
        this->fail(GrammarRule::Framing);
}

void RequestStream::endChunkLine()
{
    this->state = this->left > 0 ? State::ChunkData : State::Trailer;
    this->lineBytes = 0;
    this->last = 0;
}

void RequestStream::addTrailerByte(char byte)
{
    if (byte == '\0' || (byte == '\n' && this->last != '\r'))
        return this->fail(GrammarRule::Lines);
    if (byte != '\n') {
        ++this->lineBytes;
        this->last = byte;
        return;
    }
    const bool empty = this->lineBytes == 1;
    this->lineBytes = 0;
    this->last = 0;
    if (empty)
        this->endRequest();
}

void RequestStream::endRequest()
{
    this->state = State::BeforeHead;
    this->line.clear();
    this->lineBytes = 0;
    this->last = 0;
    this->chunked = false;
    this->left = 0;
    ++this->number;
}

void RequestStream::fail(GrammarRule rule)
{
    this->state = State::Lost;
    this->faulty = this->number;
    this->fault = {rule, ""};
}

std::optional<GrammarFault> RequestStream::faultOf(std::size_t request) const
{
    if (this->faulty != request)
        return std::nullopt;
    return this->fault;
}

void followSocket(int socket)
{
    FollowedSockets &all = followedSockets();
    absl::MutexLock lock(&all.mutex);
    all.streams[socket] = std::make_shared<RequestStream>();
}

void unfollowSocket(int socket)
{
    FollowedSockets &all = followedSockets();
    absl::MutexLock lock(&all.mutex);
    all.streams.erase(socket);
}

FollowedRequest beginFollowedRequest(int socket)
{
    std::shared_ptr<RequestStream> stream = streamOf(socket);
    const std::size_t number = stream ? stream->beginRequest() : 0;
    return {std::move(stream), number};
}

} // namespace bilberry

/** Receives as the system's recv() does, and shows the bytes to the stream of the socket. */
extern "C" ssize_t recv(int socket, void *buffer, std::size_t size, int flags)
{
    const ssize_t received = ::recvfrom(socket, buffer, size, flags, nullptr, nullptr);
    if (received <= 0 || (flags & MSG_PEEK) != 0)
        return received;
    if (const auto stream = bilberry::streamOf(socket))
        stream->add({static_cast<const char *>(buffer), static_cast<std::size_t>(received)});
    return received;
}
