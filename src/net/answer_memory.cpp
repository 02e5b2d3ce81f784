/** @file answer_memory.cpp Bound of the bytes of all answers that a process holds. */
#include "net/answer_memory_base.h"

#include <algorithm>
#include <utility>

namespace bilberry {

std::size_t AnswerMemory::left() const
{
    return this->limit - std::min(this->limit, this->heldBytes.load());
}

void AnswerMemory::replace(std::size_t before, std::size_t after)
{
    if (after <= before) {
        this->heldBytes -= before - after;
        return;
    }
    const std::size_t held = this->heldBytes += after - before;
    std::size_t peak = this->peakBytes.load();
    while (peak < held && !this->peakBytes.compare_exchange_weak(peak, held))
        continue;
}

void HeldBytes::attach(std::shared_ptr<AnswerMemory> countedIn)
{
    if (!this->memory)
        this->memory = std::move(countedIn);
}

void HeldBytes::set(std::size_t now)
{
    if (!this->memory)
        return;
    this->memory->replace(this->bytes, now);
    this->bytes = now;
}

} // namespace bilberry
