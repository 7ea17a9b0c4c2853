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

/// Bounded queue that joins the threads of two duties.
///
/// A full ring refuses the new item, so that overload is seen where it enters.
template <class Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity) : items(capacity) {}

    /// Adds an item for the consumer.
    /// @return false when the ring is full or closed; the item is dropped then.
    [[nodiscard]] bool try_push(Item item)
    {
        const std::lock_guard lock(this->guard);
        if (this->closed || this->items.full())
        {
            return false;
        }
        this->items.push_back(std::move(item));
        this->ready.notify_one();
        return true;
    }

    /// Waits at most @p patience for an item.
    /// @return the oldest item, or nothing when time ran out or the ring is closed and empty.
    [[nodiscard]] std::optional<Item> try_pop_for(milliseconds patience)
    {
        std::unique_lock lock(this->guard);
        this->ready.wait_for(lock, patience,
                             [this] { return this->closed || !this->items.empty(); });
        if (this->items.empty())
        {
            return std::nullopt;
        }
        std::optional<Item> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

    /// Refuses further items and wakes the consumers.
    void close()
    {
        const std::lock_guard lock(this->guard);
        this->closed = true;
        this->ready.notify_all();
    }

    /// @return whether the ring refuses further items.
    [[nodiscard]] bool is_closed() const
    {
        const std::lock_guard lock(this->guard);
        return this->closed;
    }

private:
    mutable std::mutex guard;
    std::condition_variable ready;
    boost::circular_buffer<Item> items;
    bool closed = false;
};

} // namespace chicorylift::core
