#include "net/event_loop.hpp"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace chicorylift::net
{

namespace
{

constexpr int max_events_per_wait = 256;
// Upper bound of one epoll_wait. The boot clock advances while the machine is suspended and the
// wait does not, so timers are checked again at least this often.
constexpr core::milliseconds max_wait{1000};

} // namespace

event_loop::event_loop()
    : epoll_fd(::epoll_create1(EPOLL_CLOEXEC)), wake_fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    this->watch(this->wake_fd, EPOLLIN,
                [this](std::uint32_t)
                {
                    std::uint64_t count = 0;
                    static_cast<void>(::read(this->wake_fd, &count, sizeof count));
                });
}

event_loop::~event_loop()
{
    ::close(this->wake_fd);
    ::close(this->epoll_fd);
}

void event_loop::run()
{
    std::array<epoll_event, max_events_per_wait> ready{};
    while (!this->stopping)
    {
        const int count = ::epoll_wait(this->epoll_fd, ready.data(), max_events_per_wait,
                                       this->poll_timeout_ms());
        this->iteration_start = core::boot_clock::now();
        for (int index = 0; index < count; ++index)
        {
            const epoll_event& event = ready[static_cast<std::size_t>(index)];
            const int descriptor = static_cast<int>(event.data.u64 & 0xffffffffU);
            const std::uint64_t generation = event.data.u64 >> 32U;
            const auto found = this->descriptors.find(descriptor);
            // A handler of this batch may have closed the descriptor and its number been reused.
            if (found == this->descriptors.end() ||
                (found->second.generation & 0xffffffffU) != generation)
            {
                continue;
            }
            const readiness_handler handler = found->second.on_ready;
            handler(event.events);
        }
        this->run_posted();
        this->run_timers();
    }
}

void event_loop::stop()
{
    this->post([this] { this->stopping = true; });
}

void event_loop::post(task work)
{
    bool was_empty = false;
    {
        const std::lock_guard lock(this->guard);
        was_empty = this->posted.empty();
        this->posted.push_back(std::move(work));
    }
    // The loop drains wake_fd before it takes the tasks, so one wake-up covers all that wait.
    if (was_empty)
    {
        const std::uint64_t one = 1;
        static_cast<void>(::write(this->wake_fd, &one, sizeof one));
    }
}

void event_loop::watch(int descriptor, std::uint32_t events, readiness_handler on_ready)
{
    const std::uint64_t generation = this->next_generation++;
    this->descriptors[descriptor] = {generation, std::move(on_ready)};
    epoll_event event{};
    event.events = events;
    event.data.u64 = (generation << 32U) | static_cast<std::uint32_t>(descriptor);
    ::epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, descriptor, &event);
}

void event_loop::update_watch(int descriptor, std::uint32_t events)
{
    const auto found = this->descriptors.find(descriptor);
    if (found == this->descriptors.end())
    {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.u64 = (found->second.generation << 32U) | static_cast<std::uint32_t>(descriptor);
    ::epoll_ctl(this->epoll_fd, EPOLL_CTL_MOD, descriptor, &event);
}

void event_loop::unwatch(int descriptor)
{
    if (this->descriptors.erase(descriptor) > 0)
    {
        ::epoll_ctl(this->epoll_fd, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

event_loop::timer_id event_loop::run_after(core::milliseconds delay, task work)
{
    const timer_id id = this->next_timer++;
    const core::instant due = core::boot_clock::now() + delay;
    this->timers.emplace(std::pair{due, id}, std::move(work));
    this->timer_times.emplace(id, due);
    return id;
}

void event_loop::cancel(timer_id timer)
{
    const auto found = this->timer_times.find(timer);
    if (found != this->timer_times.end())
    {
        this->timers.erase({found->second, timer});
        this->timer_times.erase(found);
    }
}

void event_loop::run_posted()
{
    std::vector<task> batch;
    {
        const std::lock_guard lock(this->guard);
        batch.swap(this->posted);
    }
    for (const task& work : batch)
    {
        work();
    }
}

void event_loop::run_timers()
{
    while (!this->timers.empty() && this->timers.begin()->first.first <= this->iteration_start)
    {
        const auto first = this->timers.begin();
        const task work = std::move(first->second);
        this->timer_times.erase(first->first.second);
        this->timers.erase(first);
        work();
    }
}

int event_loop::poll_timeout_ms() const
{
    if (this->timers.empty())
    {
        return static_cast<int>(max_wait.count());
    }
    const core::milliseconds left = this->timers.begin()->first.first - core::boot_clock::now();
    // Adds 1 ms: a wait that ends before the timer is due would make the loop spin.
    return static_cast<int>(std::clamp(left + core::milliseconds{left.count() > 0 ? 1 : 0},
                                       core::milliseconds{0}, max_wait)
                                .count());
}

} // namespace chicorylift::net
