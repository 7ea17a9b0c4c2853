#pragma once

#include "chicorylift/core/time.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace chicorylift::net
{

/// One thread that waits for sockets, timers and work posted by other threads.
///
/// All members but post() and stop() belong to the loop's thread.
class event_loop
{
public:
    using task = std::function<void()>;
    using readiness_handler = std::function<void(std::uint32_t epoll_events)>;
    /// Names a pending timer; 0 names none.
    using timer_id = std::uint64_t;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called.
    void run();
    /// Ends run() from any thread.
    void stop();
    /// Queues work for the loop from any thread.
    void post(task work);

    /// Watches a descriptor; @p events are those of epoll.
    void watch(int descriptor, std::uint32_t events, readiness_handler on_ready);
    /// Changes the events that a descriptor is watched for.
    void update_watch(int descriptor, std::uint32_t events);
    /// Watches a descriptor no longer; call it before closing.
    void unwatch(int descriptor);

    /// Calls @p work once after @p delay.
    timer_id run_after(core::milliseconds delay, task work);
    /// Cancels a timer that has not fired.
    void cancel(timer_id timer);

    /// @return the moment at which the present round of work began.
    [[nodiscard]] core::instant now() const noexcept { return this->iteration_start; }

private:
    struct watched
    {
        std::uint64_t generation{};
        readiness_handler on_ready;
    };

    void run_posted();
    void run_timers();
    [[nodiscard]] int poll_timeout_ms() const;

    int epoll_fd;
    int wake_fd;
    std::atomic<bool> stopping = false;
    core::instant iteration_start = core::boot_clock::now();
    std::uint64_t next_generation = 1;
    timer_id next_timer = 1;
    std::unordered_map<int, watched> descriptors;
    std::map<std::pair<core::instant, timer_id>, task> timers;
    std::unordered_map<timer_id, core::instant> timer_times;
    std::mutex guard;
    std::vector<task> posted;
};

} // namespace chicorylift::net
