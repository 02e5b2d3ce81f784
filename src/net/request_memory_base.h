/** @file request_memory_base.h Bounds of the bodies of requests that a process holds, and of its
 * connections. */
#pragma once

#include "core/time_type.h"

#include <absl/synchronization/mutex.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

struct Settings;

/** Bodies up to this size have room of their own, so that large ones cannot displace them. */
constexpr std::size_t SMALL_BODY_BYTES = 64 << 10;
/** A body, or a connection, yields only if it has made no progress for this time: one that is being
 * received pauses for less, and clients that arrive together do not displace each other. */
constexpr Duration MIN_IDLE_TO_YIELD = 500ms;
/** Bytes that count as progress of a body: a client that sends single bytes does not keep its room
 * for long while others need it. */
constexpr std::size_t MIN_PROGRESS_BYTES = 4 << 10;
/** Retry-After of a request whose body finds no room; a body that stands still yields before. */
constexpr Duration ROOM_RETRY_AFTER = 1s;

/** Smallest receive buffer, as the kernel counts it; holds several segments of a usual link. */
constexpr std::size_t MIN_RECEIVE_BUFFER_BYTES = 8 << 10;

/** Bounds of what clients can make a process hold. */
struct RequestLimits
{
    std::size_t largeBytes = 0; ///< Of all bodies above SMALL_BODY_BYTES together, as reserved.
    std::size_t smallBytes = 0; ///< Of all other bodies together.
    std::size_t callerConnections = 0; ///< Open connections of callers.
    std::size_t portConnections = 0; ///< Open connections of each other HTTP port.
    /** Heads of callers' requests that are received or wait for their turn, together; 0: no bound.
     */
    std::size_t headBytes = 0;
    std::size_t portHeadBytes = 0; ///< The same for each other HTTP port.
    std::size_t pooledConnections = 0; ///< Connections to targets that are kept for reuse.
    /** Receive buffers of all callers' connections together, beyond MIN_RECEIVE_BUFFER_BYTES for
     * each. Unread bytes in them count as the process's memory. 0: no bound. */
    std::size_t receiveBytes = 0;
    /** Receive buffer of a connection to another HTTP port; 0: as large as the kernel makes it. */
    std::size_t portReceiveBufferBytes = 0;
};

/**
 * @param descriptorLimit Descriptors that the system allows the process.
 * @return Bounds for a machine of the size that the settings state.
 */
RequestLimits requestLimits(const Settings &settings, std::size_t descriptorLimit);

/**
 * @param granted Receive buffers of the open connections of callers, together.
 * @return Receive buffer of the next connection: the fewer bytes are left of the bound, the
 * smaller; 0: as large as the kernel makes it.
 */
std::size_t receiveBufferFor(const RequestLimits &limits, std::size_t granted);

/** Sets the receive buffer of a socket, and of the connections that it accepts from now on.
 * @param bytes As the kernel counts; 0: unchanged. */
void setReceiveBuffer(int socket, std::size_t bytes);

/** @return Descriptors that the system allows this process. */
std::size_t systemDescriptorLimit();

/** Body that is being received, for the choice of the one that yields. */
struct ReceivedBody
{
    std::size_t bytes = 0; ///< Reserved.
    TimePoint lastProgress;
    std::size_t newBytes = 0; ///< Bytes since lastProgress.
    /** Answers and ends the request of a body that yields. Called under the lock of RequestMemory:
     * must not block and not call it. Null: the body has been received and does not yield. */
    std::function<void()> yield;
};

/**
 * Chooses the body that yields: the one without progress for longest, of those of one kind.
 * @param asking Body that needs room; does not yield to itself.
 * @param small Whether a small body yields, or a large one.
 * @return Nothing if none has been without progress for MIN_IDLE_TO_YIELD.
 */
std::optional<std::uint64_t> chooseYielding(const std::map<std::uint64_t, ReceivedBody> &bodies,
                                            std::uint64_t asking, bool small, TimePoint now);

/** What was refused or closed, by counter name. */
enum class RequestEnd {
    BodyYielded, ///< A body without progress made room for another one.
    NoRoom, ///< A body or a head found no room.
    BodyTooLarge, ///< A body exceeds the limit of one body.
    HeadTooLarge, ///< A head or trailer exceeds its limit.
    ConnectionYielded, ///< A connection without progress made room for a new one.
    NoConnection, ///< A new connection found no room.
};

class HeldBody;

/** Count of the bytes of bodies that a process holds. Thread-safe. */
class RequestMemory : public std::enable_shared_from_this<RequestMemory>
{
public:
    explicit RequestMemory(const RequestLimits &limits)
        : limits(limits)
    {
    }

    /**
     * Begins the count of one body.
     * @param yield See ReceivedBody::yield.
     */
    HeldBody add(std::function<void()> yield, TimePoint now);
    /** Counts a request or connection that has ended for a limit. */
    void count(RequestEnd end);

    std::size_t heldLarge() const;
    std::size_t heldSmall() const;
    /** @return Samples in the Prometheus text format. */
    std::string formatMetrics() const;

    const RequestLimits limits;

private:
    friend class HeldBody;
    bool grow(std::uint64_t id, std::size_t bytes, TimePoint now);
    bool progress(std::uint64_t id, std::size_t bytes, TimePoint now);
    bool complete(std::uint64_t id);
    void remove(std::uint64_t id);
    std::size_t &heldOf(std::size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void replace(ReceivedBody &body, std::size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool makeRoom(std::uint64_t asking, std::size_t bytes, TimePoint now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    mutable absl::Mutex mutex;
    std::uint64_t lastId ABSL_GUARDED_BY(mutex) = 0;
    std::map<std::uint64_t, ReceivedBody> bodies ABSL_GUARDED_BY(mutex);
    std::size_t large ABSL_GUARDED_BY(mutex) = 0;
    std::size_t small ABSL_GUARDED_BY(mutex) = 0;
    std::map<RequestEnd, std::uint64_t> ends ABSL_GUARDED_BY(mutex);
};

/** Room of one body, given back when it ends. Not thread-safe. */
class HeldBody
{
public:
    HeldBody() = default;
    HeldBody(std::shared_ptr<RequestMemory> memory, std::uint64_t id)
        : memory(std::move(memory))
        , id(id)
    {
    }
    ~HeldBody() { this->release(); }
    HeldBody(HeldBody &&other) noexcept = default;
    HeldBody &operator=(HeldBody &&other) noexcept;

    bool isCounted() const { return this->memory != nullptr; }
    /** Reserves @p bytes in all, at the cost of bodies without progress. @return False if there is
     * no room, or this body has yielded. */
    bool grow(std::size_t bytes, TimePoint now);
    /** Records that @p bytes have arrived. @return False if the body has yielded. */
    bool progress(std::size_t bytes, TimePoint now);
    /** The body has been received and does not yield from now on. @return False if it has. */
    bool complete();
    void release();

private:
    std::shared_ptr<RequestMemory> memory;
    std::uint64_t id = 0;
};

/** Result of appendBody(). */
enum class BodyAppend {
    Appended,
    TooLarge, ///< The body exceeds its limit.
    NoRoom, ///< All bodies together reach the bound.
    Yielded, ///< The request has been ended to make room for another.
};

/**
 * Appends received bytes and reserves room for what the string allocates.
 * @param announced Length of the whole body; nothing if it is not known.
 * @param limit Of this body.
 */
BodyAppend appendBody(std::string &body, HeldBody &held, std::string_view bytes,
                      std::optional<std::size_t> announced, std::size_t limit, TimePoint now);

/**
 * Writes an answer straight to a socket, without blocking, and ends the sending direction. Only for
 * connections on which no other answer is under way: libmicrohttpd takes no answer while it
 * receives a body.
 */
void sendLastAnswer(int socket, std::string_view answer);

} // namespace bilberry
