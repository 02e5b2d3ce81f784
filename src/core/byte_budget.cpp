/** @file byte_budget.cpp Bound of the bytes that the holders of one kind of data hold together. */
#include "core/byte_budget_base.h"

#include <utility>

namespace bilberry {

HeldRoom::HeldRoom(std::shared_ptr<std::atomic<std::size_t>> held, std::size_t bytes)
    : bytes(bytes)
    , held(std::move(held))
{
}

HeldRoom::~HeldRoom()
{
    *this->held -= this->bytes;
}

std::shared_ptr<const HeldRoom> ByteBudget::tryTake(std::size_t bytes)
{
    std::size_t before = this->taken->load();
    do {
        const bool fits = this->limit == 0 || before == 0
            || (before <= this->limit && bytes <= this->limit - before);
        if (!fits)
            return nullptr;
    } while (!this->taken->compare_exchange_weak(before, before + bytes));
    return std::shared_ptr<const HeldRoom>(new HeldRoom(this->taken, bytes));
}

} // namespace bilberry
