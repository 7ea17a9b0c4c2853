#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Batch jobs: graphs of steps whose units run on workers, alone or as gangs.
namespace chicorylift::batch
{

using queue_id = core::text_id<struct queue_tag>;

/// Number of one start of a unit or gang; later starts have higher numbers.
using run_number = std::uint64_t;

/// Milliseconds since 1970.
using unix_time = core::milliseconds;

/// What one unit of work needs, or what a worker has.
struct resource_amount
{
    std::int64_t millicores{};
    std::int64_t memory_mb{};
    std::int64_t accelerators{};

    friend bool operator==(const resource_amount&, const resource_amount&) = default;
};

resource_amount& operator+=(resource_amount& left, const resource_amount& right) noexcept;
resource_amount& operator-=(resource_amount& left, const resource_amount& right) noexcept;
[[nodiscard]] resource_amount operator*(const resource_amount& each, std::int64_t times) noexcept;
/// @return whether @p need is no larger than @p room in every resource.
[[nodiscard]] bool fits(const resource_amount& need, const resource_amount& room) noexcept;
/// @return how many times @p need fits into @p room, at most @p most.
[[nodiscard]] std::int64_t fit_count(const resource_amount& need, const resource_amount& room,
                                     std::int64_t most) noexcept;

/// Name of one unit of work.
struct unit_key
{
    core::job_id job;
    std::int64_t occurrence{};
    std::int64_t step{};
    std::int64_t index{};

    friend auto operator<=>(const unit_key&, const unit_key&) = default;
};

/// @return the key as "JOB.OCCURRENCE.STEP.INDEX".
[[nodiscard]] std::string to_text(const unit_key& key);
/// @return the key that @p text names, or invalid_request naming the text.
[[nodiscard]] absl::StatusOr<unit_key> parse_unit_key(std::string_view text);

/// One step of a job.
struct step_spec
{
    std::int64_t units = 1;
    resource_amount per_unit;
    /// Rough duration of a unit, as the caller declares it.
    core::milliseconds estimate{};
    /// Steps that must have ended well before this one begins.
    std::vector<std::int64_t> depends_on;
    std::string required_label;
    /// Rack that holds the data; elsewhere a unit runs slower.
    std::string data_rack;
    std::string image;
    /// Most units of the step on one worker; 0 sets no bound.
    std::int64_t max_per_worker{};
    /// Units that may be away at once because of the system; only where @ref long_running.
    std::int64_t max_unavailable = -1;
    /// Bound of the tail latency towards the unit's own users; 0 sets none.
    core::milliseconds tail_latency_target{};
    /// All units run together or not at all.
    bool gang = false;
    /// Units run slower when they are spread over several racks.
    bool rack_local = false;
    bool checkpointing = false;
    bool speculative = false;
    /// Runs until the job is cancelled and is restarted however it ends.
    bool long_running = false;
    /// Uses only processor time that others leave; its cores are not counted.
    bool best_effort_cpu = false;

    /// @return what a unit takes of a worker's room.
    [[nodiscard]] resource_amount resource_request() const noexcept;
};

/// How a queue treats its jobs.
struct queue_policy
{
    queue_id queue;
    core::service_id service;
    /// 0 is the most urgent.
    std::int64_t priority{};
    /// Runs of a unit or gang that may fail before the job fails.
    std::int64_t max_attempts = 1;
    /// The objective allows this many times the work's own duration ...
    double max_slowdown = 1;
    /// ... and this much more.
    core::milliseconds latency_allowance{};
};

/// A job as it was accepted.
struct job_spec
{
    core::job_id id;
    core::organisation_id organisation;
    /// Terms at acceptance; those of the newest configuration go first.
    queue_policy policy;
    /// Text handed to every unit unchanged.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of times that the steps run by the clock; 0 means once, at once.
    std::int64_t occurrences{};
    unix_time first_due{};
    core::milliseconds interval{};
    unix_time accepted{};

    /// @return how many times the steps run.
    [[nodiscard]] std::int64_t occurrence_count() const noexcept;
    /// @return the longest chain of estimated durations through the steps.
    [[nodiscard]] core::milliseconds critical_path() const;
    /// @return accelerators that all units of the first steps hold at once.
    [[nodiscard]] std::int64_t initial_accelerators() const noexcept;
};

/// Largest accepted job, in units over all steps and occurrences.
inline constexpr std::int64_t max_units = 100'000;

/// Checks what a caller sent.
/// @return invalid_request naming the step and the value that is out of range.
[[nodiscard]] absl::Status validate_job(const job_spec& job);

} // namespace chicorylift::batch
