#pragma once

#include "chicorylift/core/bounded_queue.hpp"
#include "chicorylift/core/time.hpp"

#include <functional>
#include <thread>
#include <vector>

namespace chicorylift::support
{

/// Runs queued tasks and a periodic callback on a single thread.
///
/// State that only these tasks access needs no lock.
class serial_executor
{
public:
    using task = std::function<void()>;

    /// @param capacity maximum number of queued tasks.
    /// @param on_tick called on the executor's thread about once per @p interval.
    serial_executor(std::size_t capacity, core::milliseconds interval, task on_tick);
    ~serial_executor();
    serial_executor(const serial_executor&) = delete;
    serial_executor& operator=(const serial_executor&) = delete;

    /// Queues a task.
    /// @return false when the queue is full or stopped; the task is then dropped.
    [[nodiscard]] bool post(task work);
    /// Rejects further tasks, runs those already queued and joins the thread.
    void stop();

private:
    void run();

    core::bounded_queue<task> queue;
    core::milliseconds tick_interval;
    task on_tick;
    std::thread thread;
};

/// Runs blocking tasks from one bounded queue on several threads.
class thread_pool
{
public:
    thread_pool(std::size_t threads, std::size_t capacity);
    ~thread_pool();
    thread_pool(const thread_pool&) = delete;
    thread_pool& operator=(const thread_pool&) = delete;

    /// Queues a blocking task.
    /// @return false when the queue is full or stopped; the task is then dropped.
    [[nodiscard]] bool post(serial_executor::task work);
    /// Rejects further tasks, runs those already queued and joins the threads.
    void stop();

private:
    core::bounded_queue<serial_executor::task> queue;
    std::vector<std::thread> threads;
};

} // namespace chicorylift::support
