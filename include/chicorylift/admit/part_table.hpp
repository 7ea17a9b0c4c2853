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

/// Phase of a gang's part on one agent.
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
/// @return whether the part has ended for good.
[[nodiscard]] bool is_final(part_phase phase) noexcept;

/// Names one part: a job is attempted anew with a higher attempt.
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
    core::instant since{};
    /// When a reservation expires, or when a final part is forgotten.
    core::instant expires_at{};
};

/// Times that bound what an agent does alone.
struct part_settings
{
    core::resources capacity;
    core::milliseconds reservation_timeout = std::chrono::seconds{10};
    /// A part stops by itself when no lead has renewed it for this long.
    core::milliseconds lease_timeout = std::chrono::seconds{12};
    core::milliseconds retention = std::chrono::minutes{10};
};

/// The single point where a part of a gang starts: epochs, reservations, leases, at most once.
class part_table
{
public:
    explicit part_table(part_settings settings) : settings(settings) {}

    /// Sets what the worker has.
    void set_capacity(const core::resources& capacity) noexcept;
    /// Takes in a lead's epoch.
    /// @return an error naming both epochs when a newer lead is known.
    [[nodiscard]] absl::Status accept_epoch(std::int64_t epoch);
    /// Renews the lease of all parts; the caller has accepted the lead's epoch.
    void renew_leases(core::instant now) noexcept { this->last_renewal = now; }

    /// Sets room aside for a part.
    /// @return an error when the room is taken or the attempt has been seen before.
    [[nodiscard]] absl::Status reserve(const part_key& key, std::int64_t tasks,
                                       const core::resources& per_task, core::milliseconds run_time,
                                       core::instant now);
    /// Turns a reservation into a running part, once.
    /// @return true when the worker must start the tasks now, false when they already run.
    [[nodiscard]] absl::StatusOr<bool> start(const part_key& key, core::instant now);
    /// Takes in tasks that the worker ran before this process started.
    void adopt(const part_key& key, std::int64_t tasks, const core::resources& per_task,
               part_phase phase, core::instant now);
    /// Ends a reservation, or asks for running tasks to be stopped; bars an unknown attempt.
    /// @return true when the worker must stop the tasks now.
    [[nodiscard]] bool stop(const part_key& key, core::instant now);
    /// Reports how the tasks on the worker ended.
    void mark_ended(const part_key& key, part_phase final, core::instant now);
    /// Ends what has lapsed.
    /// @return the running parts whose lease has lapsed; the worker must stop them now.
    [[nodiscard]] std::vector<part_key> expire(core::instant now);

    /// @return the part, or nullptr.
    [[nodiscard]] const part_state* find(const part_key& key) const noexcept;
    /// @return all parts, ended ones that are still remembered among them.
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
