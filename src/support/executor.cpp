#include "support/executor.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::support
{

namespace
{

constexpr core::milliseconds pool_poll_interval{500};

} // namespace

serial_executor::serial_executor(std::size_t capacity, core::milliseconds interval, task on_tick)
    : queue(capacity), tick_interval(interval), on_tick(std::move(on_tick)),
      thread([this] { this->run(); })
{
}

serial_executor::~serial_executor()
{
    this->stop();
}

bool serial_executor::post(task work)
{
    return this->queue.try_push(std::move(work));
}

void serial_executor::stop()
{
    this->queue.close();
    if (this->thread.joinable())
    {
        this->thread.join();
    }
}

void serial_executor::run()
{
    core::instant next_tick = core::boot_clock::now();
    for (;;)
    {
        const core::milliseconds left = next_tick - core::boot_clock::now();
        std::optional<task> work = this->queue.try_pop_for(std::max(left, core::milliseconds{0}));
        if (work.has_value())
        {
            (*work)();
        }
        else if (this->queue.is_closed())
        {
            return;
        }
        if (core::boot_clock::now() >= next_tick)
        {
            this->on_tick();
            next_tick = core::boot_clock::now() + this->tick_interval;
        }
    }
}

thread_pool::thread_pool(std::size_t thread_count, std::size_t capacity) : queue(capacity)
{
    this->threads.reserve(thread_count);
    for (std::size_t index = 0; index < thread_count; ++index)
    {
        this->threads.emplace_back(
            [this]
            {
                while (true)
                {
                    std::optional<serial_executor::task> work =
                        this->queue.try_pop_for(pool_poll_interval);
                    if (work.has_value())
                    {
                        (*work)();
                    }
                    else if (this->queue.is_closed())
                    {
                        return;
                    }
                }
            });
    }
}

thread_pool::~thread_pool()
{
    this->stop();
}

bool thread_pool::post(serial_executor::task work)
{
    return this->queue.try_push(std::move(work));
}

void thread_pool::stop()
{
    this->queue.close();
    for (std::thread& thread : this->threads)
    {
        if (thread.joinable())
        {
            thread.join();
        }
    }
}

} // namespace chicorylift::support
