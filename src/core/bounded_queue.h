/** @file bounded_queue.h Bounded FIFO queue that passes elements to a thread. */
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

/**
 * Multi-producer, single-consumer FIFO queue. While the queue is full, tryPush() fails and push()
 * blocks; queued elements are never dropped.
 */
template <class T> class BoundedQueue
{
public:
    /** @param capacity Maximum number of queued elements. @pre capacity > 0. */
    explicit BoundedQueue(std::size_t capacity)
        : capacity(capacity)
    {
        assert(capacity > 0);
    }

    /**
     * Sets the notification for the consumer; must be called before the first push.
     * @param callback Called on the producer's thread, without the lock, after each push to an
     * empty queue.
     */
    void setWakeup(const std::function<void()> &callback) { this->wakeup = callback; }

    /**
     * Appends an element without waiting for free capacity.
     * @return False if the queue is full or closed; @p element is then unchanged.
     */
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

    /**
     * Appends an element; blocks while the queue is full.
     * @return False if the queue is or becomes closed; @p element is then unchanged.
     */
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

    /**
     * Removes all queued elements; if the queue is empty, first blocks until an element arrives,
     * the queue is closed or @p timeout has passed.
     * @return The removed elements in the order of their pushes; empty on a timeout or if the queue
     * is closed and empty.
     */
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

    /**
     * Makes all further pushes fail and unblocks waiting producers and the consumer. Elements that
     * are already queued can still be removed.
     */
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
