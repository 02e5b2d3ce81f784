/** @file bounded_ring.h Bounded queue between the threads of two duties. */
#pragma once

#include "core/time_type.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <cassert>
#include <cstddef>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace bilberry {

/** Many producers, one consumer; a full ring refuses, it never drops. */
template <class T> class BoundedRing
{
public:
    /** @param capacity Most elements held at once. @pre capacity > 0. */
    explicit BoundedRing(std::size_t capacity)
        : capacity(capacity)
    {
        assert(capacity > 0);
    }

    /** @param callback Called after each push that finds the ring empty; set before any use. */
    void setWakeup(const std::function<void()> &callback) { this->wakeup = callback; }

    /** @return False if the ring is full or closed; @p element is then left as it was. */
    bool tryPush(T &&element)
    {
        bool wasEmpty = false;
        {
            absl::MutexLock lock(&this->mutex);
            if (this->closed || this->elements.size() >= this->capacity)
                return false;
            wasEmpty = this->elements.empty();
            this->elements.push_back(std::move(element));
        }
        if (wasEmpty && this->wakeup)
            this->wakeup();
        return true;
    }

    /** Waits for room. @return False if the ring was closed. */
    bool push(T &&element)
    {
        bool wasEmpty = false;
        {
            absl::MutexLock lock(&this->mutex);
            auto hasRoom
                = [this]() { return this->closed || this->elements.size() < this->capacity; };
            this->mutex.Await(absl::Condition(&hasRoom));
            if (this->closed)
                return false;
            wasEmpty = this->elements.empty();
            this->elements.push_back(std::move(element));
        }
        if (wasEmpty && this->wakeup)
            this->wakeup();
        return true;
    }

    /** @return All elements present after waiting at most @p timeout for the first. */
    std::vector<T> popAll(Duration timeout)
    {
        absl::MutexLock lock(&this->mutex);
        auto ready = [this]() { return this->closed || !this->elements.empty(); };
        this->mutex.AwaitWithTimeout(absl::Condition(&ready), absl::Microseconds(timeout.count()));
        std::vector<T> out(std::make_move_iterator(this->elements.begin()),
                           std::make_move_iterator(this->elements.end()));
        this->elements.clear();
        return out;
    }

    /** Wakes the consumer and refuses all further elements. */
    void close()
    {
        absl::MutexLock lock(&this->mutex);
        this->closed = true;
    }

    bool isClosed() const
    {
        absl::MutexLock lock(&this->mutex);
        return this->closed;
    }

private:
    const std::size_t capacity;
    mutable absl::Mutex mutex;
    std::deque<T> elements;
    bool closed = false;
    std::function<void()> wakeup;
};

} // namespace bilberry
