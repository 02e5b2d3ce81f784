/** @file request_memory.cpp Bounds of the bodies of requests that a process holds, and of its
 * connections. */
#include "net/request_memory_base.h"

#include "config/settings_type.h"
#include "core/log_func.h"
#include "net/head_memory_base.h"
#include "net/library_memory_type.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <bit>
#include <cerrno>
#include <sys/resource.h>
#include <sys/socket.h>
#include <utility>

namespace bilberry {

namespace {

constexpr std::size_t MIB = 1 << 20;
constexpr std::size_t DEFAULT_LARGE_BODIES = 24; ///< Bodies of the largest size, without memoryMb.
constexpr std::size_t MIN_LARGE_BYTES = 16 * MIB; ///< Without memoryMb.
constexpr std::size_t DEFAULT_SMALL_BYTES = 64 * MIB; ///< Without memoryMb.
/** Shares of the machine's memory. Answers (MAX_ANSWER_MEMORY_BYTES), the program and the buffers
 * of connections take the rest. */
constexpr std::size_t LARGE_SHARE = 4;
constexpr std::size_t SMALL_SHARE = 16;
constexpr std::size_t CONNECTION_SHARE = 4;
/** Of a connection, on average: the library's memory and one head. */
constexpr std::size_t CONNECTION_BYTES = CONNECTION_MEMORY_BYTES + DEFAULT_HEAD_BYTES;
constexpr std::size_t RECEIVE_SHARE = 8;
constexpr std::size_t PORT_RECEIVE_SHARE = 32; ///< Of each HTTP port but the callers'.
constexpr std::size_t MAX_RECEIVE_BUFFER_BYTES = 128 << 10;
/** A connection gets this part of what is left, so that the last ones still get some. */
constexpr std::size_t RECEIVE_PART = 64;
constexpr std::size_t MAX_CALLER_CONNECTIONS = 20'000;
constexpr std::size_t MIN_CALLER_CONNECTIONS = 16;
constexpr std::size_t MAX_PORT_CONNECTIONS = 256;
constexpr std::size_t MIN_PORT_CONNECTIONS = 16;
constexpr std::size_t MAX_POOLED_CONNECTIONS = 1'024;
constexpr std::size_t MIN_POOLED_CONNECTIONS = 16;
constexpr std::size_t MIN_CHUNKED_BYTES = 4 << 10; ///< First allocation for an unannounced body.

const char *nameOf(RequestEnd end)
{
    switch (end) {
    case RequestEnd::BodyYielded:
        return "body_yielded";
    case RequestEnd::NoRoom:
        return "no_room";
    case RequestEnd::BodyTooLarge:
        return "body_too_large";
    case RequestEnd::HeadTooLarge:
        return "head_too_large";
    case RequestEnd::ConnectionYielded:
        return "connection_yielded";
    case RequestEnd::NoConnection:
        return "no_connection";
    }
    return "";
}

void appendSample(std::string &out, std::string_view name, std::string_view label,
                  std::string_view value, std::uint64_t number)
{
    absl::StrAppend(&out, "bilberrybend_", std::string(name), "{", std::string(label), "=\"",
                    std::string(value), "\"} ", number, "\n");
}

} // namespace

RequestLimits requestLimits(const Settings &settings, std::size_t descriptorLimit)
{
    RequestLimits limits;
    limits.largeBytes = std::max(DEFAULT_LARGE_BODIES * settings.maxBodyBytes, MIN_LARGE_BYTES);
    limits.smallBytes = DEFAULT_SMALL_BYTES;
    std::size_t connections = MAX_CALLER_CONNECTIONS;
    if (settings.memoryMb > 0) {
        const std::size_t memory = settings.memoryMb * MIB;
        // One body of the largest size always has room.
        limits.largeBytes = std::max(memory / LARGE_SHARE, settings.maxBodyBytes);
        limits.smallBytes = std::max(memory / SMALL_SHARE, SMALL_BODY_BYTES);
        limits.receiveBytes = memory / RECEIVE_SHARE;
        connections = std::min(connections, memory / CONNECTION_SHARE / CONNECTION_BYTES);
    }
    const std::size_t descriptors = settings.maxDescriptors > 0
        ? std::min(settings.maxDescriptors, descriptorLimit)
        : descriptorLimit;
    // A caller's connection needs a second descriptor, to its target; the rest is left to peers,
    // files, other ports and idle connections to targets.
    limits.callerConnections = std::clamp(descriptors * 2 / 5, MIN_CALLER_CONNECTIONS,
                                          std::max(connections, MIN_CALLER_CONNECTIONS));
    limits.headBytes = limits.callerConnections * DEFAULT_HEAD_BYTES;
    limits.portConnections
        = std::clamp(descriptors / 16, MIN_PORT_CONNECTIONS, MAX_PORT_CONNECTIONS);
    limits.portHeadBytes = limits.portConnections * DEFAULT_HEAD_BYTES;
    if (settings.memoryMb > 0)
        limits.portReceiveBufferBytes
            = std::clamp(settings.memoryMb * MIB / PORT_RECEIVE_SHARE / limits.portConnections,
                         MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES);
    limits.pooledConnections
        = std::clamp(descriptors / 5, MIN_POOLED_CONNECTIONS, MAX_POOLED_CONNECTIONS);
    return limits;
}

std::size_t receiveBufferFor(const RequestLimits &limits, std::size_t granted)
{
    if (limits.receiveBytes == 0)
        return 0;
    const std::size_t left = limits.receiveBytes - std::min(granted, limits.receiveBytes);
    // Powers of two, so that the listening socket rarely needs another value.
    return std::clamp(std::bit_floor(left / RECEIVE_PART), MIN_RECEIVE_BUFFER_BYTES,
                      MAX_RECEIVE_BUFFER_BYTES);
}

void setReceiveBuffer(int socket, std::size_t bytes)
{
    if (bytes == 0)
        return;
    const int half = static_cast<int>(bytes / 2); // Linux doubles the value.
    if (::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &half, sizeof(half)) != 0)
        logEventRateLimited("receiveBufferNotSet", {{"bytes", bytes}, {"errno", errno}});
}

std::size_t systemDescriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return SIZE_MAX / 2;
    return limit.rlim_cur;
}

std::optional<std::uint64_t> chooseYielding(const std::map<std::uint64_t, ReceivedBody> &bodies,
                                            std::uint64_t asking, bool small, TimePoint now)
{
    std::optional<std::uint64_t> chosen;
    TimePoint oldest = now - MIN_IDLE_TO_YIELD;
    for (const auto &[id, body] : bodies) {
        const bool mayYield = id != asking && body.yield && body.bytes > 0
            && (body.bytes <= SMALL_BODY_BYTES) == small;
        if (mayYield && body.lastProgress <= oldest) {
            chosen = id;
            oldest = body.lastProgress;
        }
    }
    return chosen;
}

HeldBody RequestMemory::add(std::function<void()> yield, TimePoint now)
{
    absl::MutexLock lock(&this->mutex);
    const std::uint64_t id = ++this->lastId;
    this->bodies[id] = {0, now, 0, std::move(yield)};
    return {this->shared_from_this(), id};
}

void RequestMemory::count(RequestEnd end)
{
    absl::MutexLock lock(&this->mutex);
    ++this->ends[end];
}

std::size_t RequestMemory::heldLarge() const
{
    absl::MutexLock lock(&this->mutex);
    return this->large;
}

std::size_t RequestMemory::heldSmall() const
{
    absl::MutexLock lock(&this->mutex);
    return this->small;
}

std::string RequestMemory::formatMetrics() const
{
    absl::MutexLock lock(&this->mutex);
    std::string out;
    appendSample(out, "request_body_bytes", "kind", "large", this->large);
    appendSample(out, "request_body_bytes", "kind", "small", this->small);
    appendSample(out, "request_body_limit_bytes", "kind", "large", this->limits.largeBytes);
    appendSample(out, "request_body_limit_bytes", "kind", "small", this->limits.smallBytes);
    for (const auto &[end, number] : this->ends)
        appendSample(out, "requests_ended_by_limit_total", "why", nameOf(end), number);
    return out;
}

std::size_t &RequestMemory::heldOf(std::size_t bytes)
{
    return bytes <= SMALL_BODY_BYTES ? this->small : this->large;
}

void RequestMemory::replace(ReceivedBody &body, std::size_t bytes)
{
    this->heldOf(body.bytes) -= body.bytes;
    body.bytes = bytes;
    this->heldOf(body.bytes) += body.bytes;
}

/** Lets bodies without progress yield until @p bytes of @p asking fit. */
bool RequestMemory::makeRoom(std::uint64_t asking, std::size_t bytes, TimePoint now)
{
    const bool isSmall = bytes <= SMALL_BODY_BYTES;
    const std::size_t limit = isSmall ? this->limits.smallBytes : this->limits.largeBytes;
    const std::size_t before = this->bodies[asking].bytes;
    const bool countedThere = (before <= SMALL_BODY_BYTES) == isSmall;
    const std::size_t more = countedThere ? bytes - std::min(bytes, before) : bytes;
    if (more > limit)
        return false;
    while (this->heldOf(bytes) + more > limit) {
        const std::optional<std::uint64_t> chosen
            = chooseYielding(this->bodies, asking, isSmall, now);
        if (!chosen)
            return false;
        ReceivedBody &yielding = this->bodies[*chosen];
        logEventRateLimited("requestBodyYielded",
                            {{"heldBytes", yielding.bytes},
                             {"idleMs", toMilliseconds(now - yielding.lastProgress)},
                             {"heldInAll", this->heldOf(bytes)},
                             {"limit", limit}});
        ++this->ends[RequestEnd::BodyYielded];
        yielding.yield();
        this->replace(yielding, 0);
        this->bodies.erase(*chosen);
    }
    return true;
}

bool RequestMemory::grow(std::uint64_t id, std::size_t bytes, TimePoint now)
{
    absl::MutexLock lock(&this->mutex);
    const auto body = this->bodies.find(id);
    if (body == this->bodies.end() || !this->makeRoom(id, bytes, now))
        return false;
    this->replace(body->second, bytes);
    return true;
}

bool RequestMemory::progress(std::uint64_t id, std::size_t bytes, TimePoint now)
{
    absl::MutexLock lock(&this->mutex);
    const auto body = this->bodies.find(id);
    if (body == this->bodies.end())
        return false;
    body->second.newBytes += bytes;
    if (body->second.newBytes >= MIN_PROGRESS_BYTES) {
        body->second.newBytes = 0;
        body->second.lastProgress = now;
    }
    return true;
}

bool RequestMemory::complete(std::uint64_t id)
{
    absl::MutexLock lock(&this->mutex);
    const auto body = this->bodies.find(id);
    if (body == this->bodies.end())
        return false;
    body->second.yield = nullptr;
    return true;
}

void RequestMemory::remove(std::uint64_t id)
{
    absl::MutexLock lock(&this->mutex);
    const auto body = this->bodies.find(id);
    if (body == this->bodies.end())
        return;
    this->replace(body->second, 0);
    this->bodies.erase(body);
}

HeldBody &HeldBody::operator=(HeldBody &&other) noexcept
{
    this->release();
    this->memory = std::move(other.memory);
    this->id = other.id;
    return *this;
}

bool HeldBody::grow(std::size_t bytes, TimePoint now)
{
    return this->memory && this->memory->grow(this->id, bytes, now);
}

bool HeldBody::progress(std::size_t bytes, TimePoint now)
{
    return this->memory && this->memory->progress(this->id, bytes, now);
}

bool HeldBody::complete()
{
    return !this->memory || this->memory->complete(this->id);
}

void HeldBody::release()
{
    if (this->memory)
        this->memory->remove(this->id);
    this->memory = nullptr;
}

BodyAppend appendBody(std::string &body, HeldBody &held, std::string_view bytes,
                      std::optional<std::size_t> announced, std::size_t limit, TimePoint now)
{
    if (!held.progress(bytes.size(), now))
        return BodyAppend::Yielded;
    const std::size_t needed = body.size() + bytes.size();
    if (needed > limit)
        return BodyAppend::TooLarge;
    const bool isReserved = body.capacity() >= std::max(needed, announced.value_or(0));
    if (!isReserved) {
        // Doubling keeps the copies of an unannounced body few; what is allocated counts.
        const std::size_t doubled = std::max({needed, 2 * body.capacity(), MIN_CHUNKED_BYTES});
        const std::size_t capacity
            = announced ? std::max(*announced, needed) : std::min(doubled, limit);
        if (!held.grow(capacity, now))
            return BodyAppend::NoRoom;
        body.reserve(capacity);
    }
    body.append(bytes);
    return BodyAppend::Appended;
}

void sendLastAnswer(int socket, std::string_view answer)
{
    (void)!::send(socket, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(socket, SHUT_WR);
}

} // namespace bilberry
