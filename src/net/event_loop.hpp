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

/// Single-threaded epoll loop for descriptors, timers and tasks posted by other threads.
///
/// Only post() and stop() may be called from other threads.
class event_loop
{
public:
    using task = std::function<void()>;
    using readiness_handler = std::function<void(std::uint32_t epoll_events)>;
    /// Identifies a pending timer; 0 is never assigned.
    using timer_id = std::uint64_t;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current iteration. Thread-safe.
    void stop();
    /// Queues a task to run on the loop. Thread-safe.
    void post(task work);

    /// Calls @p on_ready when the descriptor has one of @p events (EPOLL* flags).
    void watch(int descriptor, std::uint32_t events, readiness_handler on_ready);
    /// Changes the events of a watched descriptor; ignored if it is not watched.
    void update_watch(int descriptor, std::uint32_t events);
    /// Stops watching a descriptor; call this before closing it.
    void unwatch(int descriptor);

    /// Calls @p work once after @p delay.
    timer_id run_after(core::milliseconds delay, task work);
    /// Cancels a timer; does nothing if it has fired or does not exist.
    void cancel(timer_id timer);

    /// @return the time at which the current loop iteration began.
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
