#pragma once

#include "chicorylift/admit/part_table.hpp"
#include "support/executor.hpp"
#include "wire/wire.pb.h"

#include <functional>
#include <string>

namespace chicorylift::daemon
{

/// Manages the parts of gangs on the local worker: reserves, starts, monitors and stops them.
///
/// All member functions run on the agent's thread; HTTP requests to the worker run on a separate
/// thread pool.
class part_manager
{
public:
    /// Queues a task for the agent's thread; returns false when the task was dropped.
    using poster = std::function<bool(support::serial_executor::task)>;
    /// Reports the new state of a part to the cell leader.
    using reporter = std::function<void(const admit::part_key&, const std::string& state,
                                        const std::string& detail)>;

    part_manager(admit::part_settings settings, poster post, reporter report);
    ~part_manager();
    part_manager(const part_manager&) = delete;
    part_manager& operator=(const part_manager&) = delete;

    /// Applies the address and capacity that the worker announced, and polls the worker's tasks
    /// until the first poll has succeeded. No part is reserved before that.
    void apply_announcement(const wire::announcement& worker);
    /// @return whether the worker's tasks have been read once, so that parts can be reserved.
    [[nodiscard]] bool is_ready() const noexcept { return this->ready; }
    /// Records the epoch of a leader's message.
    /// @return false when a higher epoch has been seen; the message must be ignored.
    [[nodiscard]] bool accept_epoch(std::uint32_t epoch);
    /// Renews the lease of all parts.
    void renew_leases() { this->table.renew_leases(core::boot_clock::now()); }

    void on_reserve(const wire::reserve_part& order, bool leaving);
    void on_start(const wire::part_order& order);
    void on_stop(const wire::part_order& order);
    /// Expires reservations and leases, and polls the worker's tasks while parts are active.
    void tick();

    /// @return all parts, in the form of a full report to the leader.
    [[nodiscard]] std::vector<wire::held_part> list_parts() const;
    /// @return the highest epoch seen.
    [[nodiscard]] std::uint32_t epoch() const
    {
        return static_cast<std::uint32_t>(this->table.epoch());
    }
    /// @return the number of parts that hold resources.
    [[nodiscard]] std::size_t active_count() const { return this->table.active_count(); }

private:
    void poll_tasks();
    void apply_task_list(const wire::worker_task_list& listed);
    void on_poll_failed();
    void start_tasks(const admit::part_state& part);
    void stop_tasks(const admit::part_key& key, bool checkpoint_first);
    void end_part(const admit::part_key& key, admit::part_phase final, const std::string& detail);

    admit::part_table table;
    poster post;
    reporter report;
    std::string worker_address;
    bool ready = false;
    bool poll_in_flight = false;
    core::instant next_poll{};
    core::instant last_reached{};
    support::thread_pool request_pool;
};

} // namespace chicorylift::daemon
