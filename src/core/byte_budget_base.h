/** @file byte_budget_base.h Bound of the bytes that the holders of one kind of data hold together.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace bilberry {

/** Bytes taken from a ByteBudget; given back when the last copy of the pointer to it ends. */
class HeldRoom
{
public:
    ~HeldRoom();
    HeldRoom(const HeldRoom &) = delete;
    HeldRoom &operator=(const HeldRoom &) = delete;

    const std::size_t bytes;

private:
    friend class ByteBudget;
    HeldRoom(std::shared_ptr<std::atomic<std::size_t>> held, std::size_t bytes);

    const std::shared_ptr<std::atomic<std::size_t>> held;
};

/** Thread-safe count of bytes with a bound. */
class ByteBudget
{
public:
    /** @param limit In bytes; 0: not bounded. */
    explicit ByteBudget(std::size_t limit)
        : limit(limit)
    {
    }

    /** @return Room for so many bytes; null if they are beyond the bound. What is too large for the
     * bound finds room while nothing else is held. */
    std::shared_ptr<const HeldRoom> tryTake(std::size_t bytes);

    /** @return Bytes that are taken now. */
    std::size_t held() const { return this->taken->load(); }

    const std::size_t limit;

private:
    const std::shared_ptr<std::atomic<std::size_t>> taken
        = std::make_shared<std::atomic<std::size_t>>(0); ///< Rooms may outlive the budget.
};

} // namespace bilberry
