#pragma once

#include "chicorylift/admit/part_table.hpp"
#include "support/executor.hpp"
#include "wire/wire.pb.h"

#include <functional>
#include <string>

namespace chicorylift::daemon
{

/// Local end of gangs: reserves, starts, watches and stops parts on the worker beside this agent.
///
/// All members run on the agent's duty; requests to the worker run on a duty of their own.
class part_manager
{
public:
    /// Queues work for the agent's duty.
    using poster = std::function<bool(support::serial_executor::task)>;
    /// Tells the lead what happened to a part.
    using reporter = std::function<void(const admit::part_key&, const std::string& state,
                                        const std::string& detail)>;

    part_manager(admit::part_settings settings, poster post, reporter report);
    ~part_manager();
    part_manager(const part_manager&) = delete;
    part_manager& operator=(const part_manager&) = delete;

    /// Takes in what the worker announced; its tasks are looked up once before parts are taken.
    void apply_announcement(const wire::announcement& worker);
    /// @return whether the worker's tasks are known, so that parts can be reserved.
    [[nodiscard]] bool is_ready() const noexcept { return this->ready; }
    /// Takes in a lead's epoch.
    [[nodiscard]] bool accept_epoch(std::uint32_t epoch);
    /// Renews the lease of all parts.
    void renew_leases() { this->table.renew_leases(core::boot_clock::now()); }

    void on_reserve(const wire::reserve_part& order, bool leaving);
    void on_start(const wire::part_order& order);
    void on_stop(const wire::part_order& order);
    /// Lets reservations and leases lapse and looks at the worker's tasks.
    void tick();

    /// @return all parts, as the lead wants to hear of them.
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
