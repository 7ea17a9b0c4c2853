#pragma once

#include "chicorylift/core/bounded_queue.hpp"
#include "chicorylift/core/time.hpp"

#include <functional>
#include <thread>
#include <vector>

namespace chicorylift::support
{

/// One thread with one job, fed through a bounded ring.
///
/// Everything that belongs to a duty is touched on its thread only.
class serial_executor
{
public:
    using task = std::function<void()>;

    /// @param on_tick called on the duty's thread about once each @p interval.
    serial_executor(std::size_t capacity, core::milliseconds interval, task on_tick);
    ~serial_executor();
    serial_executor(const serial_executor&) = delete;
    serial_executor& operator=(const serial_executor&) = delete;

    /// Queues work for the duty's thread.
    /// @return false when the ring is full or the duty has ended; the work is dropped then.
    [[nodiscard]] bool post(task work);
    /// Ends the duty after the work that is queued, and waits for it.
    void stop();

private:
    void run();

    core::bounded_queue<task> queue;
    core::milliseconds tick_interval;
    task on_tick;
    std::thread thread;
};

/// Several threads that do blocking work from one bounded ring.
class thread_pool
{
public:
    thread_pool(std::size_t threads, std::size_t capacity);
    ~thread_pool();
    thread_pool(const thread_pool&) = delete;
    thread_pool& operator=(const thread_pool&) = delete;

    /// Queues blocking work.
    /// @return false when the ring is full or closed; the work is dropped then.
    [[nodiscard]] bool post(serial_executor::task work);
    /// Ends the threads after the work that is queued, and waits for them.
    void stop();

private:
    core::bounded_queue<serial_executor::task> queue;
    std::vector<std::thread> threads;
};

} // namespace chicorylift::support
