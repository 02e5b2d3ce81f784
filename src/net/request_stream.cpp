/** @file request_stream.cpp Bytes of a client's connection, read as a strict reader does. */
#include "net/request_stream_base.h"

#include "net/edge_type.h"
#include "net/grammar_func.h"
#include "net/head_memory_base.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace bilberry {

namespace {

constexpr std::size_t MAX_SIZE_DIGITS = 16; ///< Hexadecimal digits of a 64-bit number.
constexpr int HEX_DIGIT_BITS = 4;
constexpr std::string_view LINE_END = "\r\n";
/** Room for collected bytes is reserved in such steps. */
constexpr std::size_t COLLECT_STEP_BYTES = 1 << 10;
/** For the request line, which a limit of fields may leave out. */
constexpr std::size_t HEAD_SLACK_BYTES = 1 << 10;
/** Heads of one connection that may wait for their turn, by the limit of one head. */
constexpr std::size_t UNTAKEN_HEADS = 2;
/** A head for the library is filled up to this size behind others, so that its buffer bounds the
 * number of heads that wait here. */
constexpr std::size_t MAX_FILLED_BYTES = 2 << 10;
/** Bytes behind a refused head that are discarded in one call, so that other connections get their
 * turn. */
constexpr std::size_t MAX_DISCARDED_BYTES = 64 << 10;

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

RequestStream::~RequestStream()
{
    this->memory->release(this->reserved + this->untakenBytes);
}

void RequestStream::add(std::string_view bytes)
{
    while (!bytes.empty() && this->state != State::Refused) {
        const std::size_t skipped = this->skipData(bytes);
        this->output.append(bytes.substr(0, skipped));
        bytes.remove_prefix(skipped);
        if (skipped > 0)
            continue;
        this->addByte(bytes.front());
        bytes.remove_prefix(1);
    }
}

bool RequestStream::addData(std::string_view bytes)
{
    const bool data = this->state == State::Body || this->state == State::ChunkData;
    if (!data || this->left < bytes.size() || this->outputSize() > 0)
        return false;
    this->skipData(bytes);
    return true;
}

std::size_t RequestStream::takeOutput(char *buffer, std::size_t size)
{
    const std::size_t taken = this->output.copy(buffer, size, this->outputTaken);
    this->outputTaken += taken;
    if (this->outputSize() == 0) {
        std::string().swap(this->output);
        this->outputTaken = 0;
    }
    return taken;
}

/** @return How many of @p bytes go to the library as they are. */
std::size_t RequestStream::skipData(std::string_view bytes)
{
    if (this->state == State::Lost)
        return bytes.size();
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
    if (this->state == State::BeforeHead || this->state == State::Head)
        return this->addHeadByte(byte);
    if (this->state == State::Trailer)
        return this->addTrailerByte(byte);
    this->output += byte;
    this->addChunkByte(byte);
}

void RequestStream::addChunkByte(char byte)
{
    switch (this->state) {
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
    default:
        return;
    }
}

/** Adds a byte to the head or trailer that is being received. @return Why there is no room. */
std::optional<HeadRefusal> RequestStream::collect(char byte)
{
    const std::size_t most = this->memory->maxHeadBytes.load() + HEAD_SLACK_BYTES;
    const std::size_t size = this->collected.size();
    if (size >= most || this->untakenBytes + size >= UNTAKEN_HEADS * most)
        return HeadRefusal::TooLarge;
    if (size == this->reserved) {
        if (!this->memory->reserve(COLLECT_STEP_BYTES))
            return HeadRefusal::NoRoom;
        this->reserved += COLLECT_STEP_BYTES;
    }
    this->collected += byte;
    return std::nullopt;
}

void RequestStream::dropCollected()
{
    std::string().swap(this->collected);
    this->memory->release(std::exchange(this->reserved, 0));
}

void RequestStream::addHeadByte(char byte)
{
    if (const std::optional<HeadRefusal> refusal = this->collect(byte))
        return this->endHead(refusal);
    if (byte != '\n') {
        ++this->lineBytes;
        this->last = byte;
        return;
    }
    const bool empty = this->lineBytes == 0 || (this->lineBytes == 1 && this->last == '\r');
    this->lineBytes = 0;
    this->last = 0;
    if (empty && this->state == State::BeforeHead)
        this->dropCollected();
    else if (empty)
        this->endHead(std::nullopt);
    else
        this->state = State::Head;
}

/** Makes a head for the library. @param refusal Why the rest of the received head is not read. */
void RequestStream::endHead(std::optional<HeadRefusal> refusal)
{
    RequestHead head = parseRequestHead(this->collected);
    if (refusal)
        head.refusal = refusal;
    std::string made = libraryHead(head);
    const std::size_t filled = std::min(this->collected.size(), MAX_FILLED_BYTES);
    constexpr std::string_view FILLER = "X: \r\n";
    if (!this->untaken.empty() && made.size() + FILLER.size() < filled) {
        made.resize(made.size() - LINE_END.size());
        const std::size_t more = filled - made.size() - FILLER.size() - LINE_END.size();
        made.append("X: ").append(more, '-').append("\r\n\r\n");
    }
    this->output += made;
    const std::optional<std::size_t> length = announcedLength(head.raw.headers);
    const bool chunked = !headerValue(head.raw.headers, "Transfer-Encoding").empty();
    const bool sound = head.isSound();
    this->collected.shrink_to_fit();
    this->memory->release(this->reserved - this->collected.size());
    this->untakenBytes += this->collected.size();
    this->reserved = 0;
    this->untaken.push_back({std::exchange(this->collected, {}), head.refusal});
    this->parsed.reset();
    if (this->untaken.size() == 1)
        this->parsed = std::move(head);
    this->left = chunked ? 0 : length.value_or(0);
    this->digits = 0;
    if (!sound)
        this->state = State::Refused;
    else if (chunked)
        this->state = State::ChunkSize;
    else if (this->left > 0)
        this->state = State::Body;
    else
        this->endRequest();
}

std::size_t RequestStream::beginRequest(RequestHead &head)
{
    if (this->untaken.empty()) {
        head.fault = GrammarFault{GrammarRule::StartLine, ""};
        return this->begun++;
    }
    UntakenHead taken = std::move(this->untaken.front());
    this->untaken.pop_front();
    this->untakenBytes -= taken.bytes.size();
    this->memory->release(taken.bytes.size());
    head
        = this->parsed ? *std::exchange(this->parsed, std::nullopt) : parseRequestHead(taken.bytes);
    head.refusal = taken.refusal;
    return this->begun++;
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

/** The library gets the empty line at the end of a trailer, and nothing of its fields. */
void RequestStream::addTrailerByte(char byte)
{
    const std::optional<HeadRefusal> refusal = this->collect(byte);
    if (refusal || byte == '\0' || (byte == '\n' && this->last != '\r')) {
        this->output += LINE_END;
        this->trailerRefusal = refusal;
        return this->fail(GrammarRule::Lines);
    }
    if (byte != '\n') {
        ++this->lineBytes;
        this->last = byte;
        return;
    }
    const bool empty = this->lineBytes == 1;
    this->lineBytes = 0;
    this->last = 0;
    if (!empty)
        return;
    this->output += LINE_END;
    const std::optional<GrammarFault> found = checkTrailer(this->collected);
    this->dropCollected();
    this->endRequest();
    if (found) {
        this->state = State::Lost;
        this->faulty = this->number - 1;
        this->fault = *found;
    }
}

void RequestStream::endRequest()
{
    this->state = State::BeforeHead;
    this->lineBytes = 0;
    this->last = 0;
    this->left = 0;
    ++this->number;
}

void RequestStream::fail(GrammarRule rule)
{
    this->dropCollected();
    this->state = State::Lost;
    this->faulty = this->number;
    this->fault = {rule, ""};
}

std::optional<HeadRefusal> RequestStream::refusalOf(std::size_t request) const
{
    return this->faulty == request ? this->trailerRefusal : std::nullopt;
}

std::optional<GrammarFault> RequestStream::faultOf(std::size_t request) const
{
    if (this->faulty != request)
        return std::nullopt;
    return this->fault;
}

void followSocket(int socket, ReadReadiness readiness, std::shared_ptr<HeadMemory> memory)
{
    FollowedSockets &all = followedSockets();
    absl::MutexLock lock(&all.mutex);
    all.streams[socket] = std::make_shared<RequestStream>(readiness, std::move(memory));
}

void unfollowSocket(int socket)
{
    FollowedSockets &all = followedSockets();
    absl::MutexLock lock(&all.mutex);
    all.streams.erase(socket);
}

FollowedRequest beginFollowedRequest(int socket)
{
    FollowedRequest request;
    request.stream = streamOf(socket);
    if (request.stream)
        request.number = request.stream->beginRequest(request.head);
    else
        request.head.fault = GrammarFault{GrammarRule::StartLine, ""};
    return request;
}

namespace {

/**
 * Receives bytes and hands over what the stream makes of them.
 * @return As recv(). With ReadReadiness::Edge, fewer than @p size bytes only if no more have
 * arrived; with ReadReadiness::Level, all that the stream has.
 */
ssize_t receiveFollowed(RequestStream &stream, int socket, char *buffer, std::size_t size,
                        int flags)
{
    const bool edge = stream.readiness == ReadReadiness::Edge;
    std::size_t discarded = 0;
    while (stream.outputSize() < size) {
        // What the library gets can be somewhat larger than what was received.
        const std::size_t asked
            = edge ? size - stream.outputSize() : std::max<std::size_t>(size / 2, 1);
        const ssize_t received = ::recvfrom(socket, buffer, asked, flags, nullptr, nullptr);
        if (received <= 0 && stream.outputSize() == 0)
            return received;
        if (received <= 0)
            break;
        const std::string_view bytes(buffer, static_cast<std::size_t>(received));
        if (stream.addData(bytes))
            return received;
        stream.add(bytes);
        discarded += stream.isRefused() ? bytes.size() : 0;
        const bool noMore = !edge || bytes.size() < asked || stream.isRefused();
        if (stream.outputSize() > 0 && noMore)
            break;
        if (discarded > MAX_DISCARDED_BYTES) {
            errno = EAGAIN;
            return -1;
        }
    }
    return static_cast<ssize_t>(stream.takeOutput(buffer, size));
}

} // namespace

} // namespace bilberry

/** Receives as the system's recv() does, but for the sockets that are followed. */
extern "C" ssize_t recv(int socket, void *buffer, std::size_t size, int flags)
{
    const auto stream = (flags & MSG_PEEK) != 0 ? nullptr : bilberry::streamOf(socket);
    if (!stream)
        return ::recvfrom(socket, buffer, size, flags, nullptr, nullptr);
    return bilberry::receiveFollowed(*stream, socket, static_cast<char *>(buffer), size, flags);
}
