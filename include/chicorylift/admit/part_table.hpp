#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/resources.hpp"
#include "chicorylift/core/time.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace chicorylift::admit
{

/// Phase of a part, the tasks of a gang that run on one worker.
enum class part_phase
{
    reserved,
    running,
    stopping,
    stopped,
    succeeded,
    failed,
};

/// @return the phase's name.
[[nodiscard]] std::string_view to_text(part_phase phase) noexcept;
/// @return whether the phase is stopped, succeeded or failed.
[[nodiscard]] bool is_final(part_phase phase) noexcept;

/// Identifies a part on this agent; every new attempt of a job has a higher number.
struct part_key
{
    core::job_id job;
    std::int64_t attempt{};
    friend auto operator<=>(const part_key&, const part_key&) = default;
};

/// One part of a gang on this agent.
struct part_state
{
    part_key key;
    std::int64_t tasks{};
    core::resources per_task;
    core::milliseconds run_time{};
    part_phase phase = part_phase::reserved;
    /// When the part was reserved, or started once it runs.
    core::instant since{};
    /// When a reservation expires, or when the record of an ended part is removed.
    core::instant expires_at{};
};

/// Capacity and timeouts of a part table.
struct part_settings
{
    /// Total resources of the worker.
    core::resources capacity;
    core::milliseconds reservation_timeout = std::chrono::seconds{10};
    /// A running part is stopped if no leader has renewed its lease for this long.
    core::milliseconds lease_timeout = std::chrono::seconds{12};
    /// How long the record of an ended part is kept.
    core::milliseconds retention = std::chrono::minutes{10};
};

/// Reserves, starts and stops the parts of gangs on one agent. Starts each attempt at most once,
/// rejects leaders with an old epoch and expires reservations and leases.
class part_table
{
public:
    explicit part_table(part_settings settings) : settings(settings) {}

    /// Sets the worker's total resources.
    void set_capacity(const core::resources& capacity) noexcept;
    /// Records a leader's epoch.
    /// @return stale_epoch if a higher epoch has been seen.
    [[nodiscard]] absl::Status accept_epoch(std::int64_t epoch);
    /// Renews the lease of all parts. Call only after accept_epoch() has succeeded.
    void renew_leases(core::instant now) noexcept { this->last_renewal = now; }

    /// Reserves resources for a part, or extends its reservation.
    /// @return upstream_full if the resources are not free, conflict if the part is past reserved.
    [[nodiscard]] absl::Status reserve(const part_key& key, std::int64_t tasks,
                                       const core::resources& per_task, core::milliseconds run_time,
                                       core::instant now);
    /// Turns a reservation into a running part.
    /// @return true if the worker must start the tasks now, false if they already run or have
    /// succeeded; not_found or conflict if there is no valid reservation.
    [[nodiscard]] absl::StatusOr<bool> start(const part_key& key, core::instant now);
    /// Records a part whose tasks the worker ran before this process started.
    void adopt(const part_key& key, std::int64_t tasks, const core::resources& per_task,
               part_phase phase, core::instant now);
    /// Ends a reservation or begins to stop a running part. Records an unknown attempt as stopped,
    /// so that it cannot start later.
    /// @return true if the worker must stop the tasks now.
    [[nodiscard]] bool stop(const part_key& key, core::instant now);
    /// Records the final phase of a part; ignored if the part is unknown or has ended.
    void mark_ended(const part_key& key, part_phase final, core::instant now);
    /// Ends expired reservations and removes the records of parts that ended long ago.
    /// @return the running parts whose lease has expired; the worker must stop them now.
    [[nodiscard]] std::vector<part_key> expire(core::instant now);

    /// @return the part, or nullptr if there is no record of it.
    [[nodiscard]] const part_state* find(const part_key& key) const noexcept;
    /// @return all parts, including ended ones within their retention.
    [[nodiscard]] std::vector<part_state> all() const;
    /// @return the highest epoch seen.
    [[nodiscard]] std::int64_t epoch() const noexcept { return this->highest_epoch; }
    /// @return the number of parts that hold resources.
    [[nodiscard]] std::size_t active_count() const noexcept;

private:
    [[nodiscard]] core::resources held_resources() const noexcept;
    void finish(part_state& part, part_phase final, core::instant now) const;

    part_settings settings;
    std::int64_t highest_epoch{};
    core::instant last_renewal{};
    std::map<part_key, part_state> parts;
};

} // namespace chicorylift::admit
