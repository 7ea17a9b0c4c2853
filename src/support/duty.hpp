#pragma once

#include "chicorylift/core/bounded_ring.hpp"
#include "chicorylift/core/time.hpp"

#include <functional>
#include <thread>
#include <vector>

namespace chicorylift::support
{

/// One thread with one job, fed through a bounded ring.
///
/// Everything that belongs to a duty is touched on its thread only.
class duty
{
public:
    using task = std::function<void()>;

    /// @param on_tick called on the duty's thread about once each @p interval.
    duty(std::size_t capacity, core::milliseconds interval, task on_tick);
    ~duty();
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;

    /// Queues work for the duty's thread.
    /// @return false when the ring is full or the duty has ended; the work is dropped then.
    [[nodiscard]] bool post(task work);
    /// Ends the duty after the work that is queued, and waits for it.
    void stop();

private:
    void run();

    core::bounded_ring<task> ring;
    core::milliseconds interval;
    task on_tick;
    std::thread thread;
};

/// Several threads that do blocking work from one bounded ring.
class duty_pool
{
public:
    duty_pool(std::size_t threads, std::size_t capacity);
    ~duty_pool();
    duty_pool(const duty_pool&) = delete;
    duty_pool& operator=(const duty_pool&) = delete;

    /// Queues blocking work.
    /// @return false when the ring is full or closed; the work is dropped then.
    [[nodiscard]] bool post(duty::task work);
    /// Ends the threads after the work that is queued, and waits for them.
    void stop();

private:
    core::bounded_ring<duty::task> ring;
    std::vector<std::thread> threads;
};

} // namespace chicorylift::support
