/** @file head_memory_base.h Bounds of the heads of requests that a process holds while they are
 * received. */
#pragma once

#include <atomic>
#include <cstddef>

namespace bilberry {

/** Largest head of a request, unless the configuration names another limit. */
constexpr std::size_t DEFAULT_HEAD_BYTES = 16 << 10;

/** Bounds of the limit that a configuration names. */
constexpr std::size_t MIN_HEAD_LIMIT_BYTES = 1 << 10;
constexpr std::size_t MAX_HEAD_LIMIT_BYTES = 256 << 10;

/** Count of the bytes of heads that are being received, or wait for their turn on a connection.
 * Thread-safe. */
class HeadMemory
{
public:
    /** @param limit Of all heads together; 0: no bound. */
    explicit HeadMemory(std::size_t limit)
        : limit(limit)
    {
    }

    /** @return Whether there was room. */
    bool reserve(std::size_t bytes)
    {
        const std::size_t now = this->heldBytes.fetch_add(bytes) + bytes;
        if (this->limit == 0 || now <= this->limit)
            return true;
        this->heldBytes -= bytes;
        return false;
    }

    void release(std::size_t bytes) { this->heldBytes -= bytes; }
    std::size_t held() const { return this->heldBytes.load(); }

    /** Bound of the fields of one head. */
    std::atomic<std::size_t> maxHeadBytes{DEFAULT_HEAD_BYTES};
    const std::size_t limit;

private:
    std::atomic<std::size_t> heldBytes{0};
};

} // namespace bilberry
