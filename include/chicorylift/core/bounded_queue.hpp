#pragma once

#include "chicorylift/core/time.hpp"

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace chicorylift::core
{

/// Bounded blocking queue for any number of producer and consumer threads.
///
/// A full queue rejects the new item instead of blocking, so that the producer sees the overload.
template <class Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity) : items(capacity) {}

    /// Appends an item.
    /// @return false when the queue is full or closed; the item is then dropped.
    [[nodiscard]] bool try_push(Item item)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed || this->items.full())
        {
            return false;
        }
        this->items.push_back(std::move(item));
        this->ready.notify_one();
        return true;
    }

    /// Waits at most @p timeout for an item.
    /// @return the oldest item, or nothing on timeout or when the queue is closed and empty.
    [[nodiscard]] std::optional<Item> try_pop_for(milliseconds timeout)
    {
        std::unique_lock lock(this->mutex);
        this->ready.wait_for(lock, timeout,
                             [this] { return this->closed || !this->items.empty(); });
        if (this->items.empty())
        {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

    /// Rejects further items and wakes the consumers; queued items can still be popped.
    void close()
    {
        const std::lock_guard lock(this->mutex);
        this->closed = true;
        this->ready.notify_all();
    }

    /// @return whether the queue rejects further items.
    [[nodiscard]] bool is_closed() const
    {
        const std::lock_guard lock(this->mutex);
        return this->closed;
    }

private:
    mutable std::mutex mutex;
    std::condition_variable ready;
    boost::circular_buffer<Item> items;
    bool closed = false;
};

} // namespace chicorylift::core
