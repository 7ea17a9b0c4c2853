#include "support/duty.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::support
{

namespace
{

constexpr core::milliseconds pool_poll{500};

} // namespace

duty::duty(std::size_t capacity, core::milliseconds interval, task on_tick)
    : ring(capacity), interval(interval), on_tick(std::move(on_tick)),
      thread([this] { this->run(); })
{
}

duty::~duty()
{
    this->stop();
}

bool duty::post(task work)
{
    return this->ring.try_push(std::move(work));
}

void duty::stop()
{
    this->ring.close();
    if (this->thread.joinable())
    {
        this->thread.join();
    }
}

void duty::run()
{
    core::instant next_tick = core::boot_clock::now();
    for (;;)
    {
        const core::milliseconds left = next_tick - core::boot_clock::now();
        std::optional<task> work = this->ring.pop_within(std::max(left, core::milliseconds{0}));
        if (work.has_value())
        {
            (*work)();
        }
        else if (this->ring.is_closed())
        {
            return;
        }
        if (core::boot_clock::now() >= next_tick)
        {
            this->on_tick();
            next_tick = core::boot_clock::now() + this->interval;
        }
    }
}

duty_pool::duty_pool(std::size_t thread_count, std::size_t capacity) : ring(capacity)
{
    this->threads.reserve(thread_count);
    for (std::size_t index = 0; index < thread_count; ++index)
    {
        this->threads.emplace_back(
            [this]
            {
                while (true)
                {
                    std::optional<duty::task> work = this->ring.pop_within(pool_poll);
                    if (work.has_value())
                    {
                        (*work)();
                    }
                    else if (this->ring.is_closed())
                    {
                        return;
                    }
                }
            });
    }
}

duty_pool::~duty_pool()
{
    this->stop();
}

bool duty_pool::post(duty::task work)
{
    return this->ring.try_push(std::move(work));
}

void duty_pool::stop()
{
    this->ring.close();
    for (std::thread& thread : this->threads)
    {
        if (thread.joinable())
        {
            thread.join();
        }
    }
}

} // namespace chicorylift::support
