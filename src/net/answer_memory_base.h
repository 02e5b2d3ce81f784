/** @file answer_memory_base.h Bound of the bytes of all answers that a process holds. */
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace bilberry {

/**
 * Bytes of answers of targets that a process holds at most: bodies and heads that are being
 * received, and buffers to callers. Strings that grow may need up to twice their bytes; a host has
 * 160 MB.
 */
constexpr std::size_t MAX_ANSWER_MEMORY_BYTES = 32 << 20;

/** Count of the bytes of answers that a process holds. Thread-safe; only one thread may check with
 * fits() and then add, other threads give back. */
class AnswerMemory
{
public:
    explicit AnswerMemory(std::size_t limit)
        : limit(limit)
    {
    }

    /** @return Bytes that may be added. */
    std::size_t left() const;
    bool fits(std::size_t bytes) const { return bytes <= this->left(); }
    std::size_t held() const { return this->heldBytes.load(); }
    /** @return The most bytes that were held at a time. */
    std::size_t peak() const { return this->peakBytes.load(); }

    const std::size_t limit; ///< In bytes.

private:
    friend class HeldBytes;
    void replace(std::size_t before, std::size_t after);

    std::atomic<std::size_t> heldBytes{0};
    std::atomic<std::size_t> peakBytes{0};
};

/** Bytes of one owner, given back when it ends. Not thread-safe. */
class HeldBytes
{
public:
    HeldBytes() = default;
    ~HeldBytes() { this->set(0); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /** Counts in @p countedIn from now on; no effect if it counts already. */
    void attach(std::shared_ptr<AnswerMemory> countedIn);
    /** Sets the number of bytes that the owner holds; no effect before attach(). */
    void set(std::size_t now);
    std::size_t get() const { return this->bytes; }

private:
    std::shared_ptr<AnswerMemory> memory;
    std::size_t bytes = 0;
};

} // namespace bilberry
