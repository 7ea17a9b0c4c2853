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

/// Batch jobs: directed acyclic graphs of steps. The units of a step run on workers, individually
/// or as a gang.
namespace chicorylift::batch
{

using queue_id = core::text_id<struct queue_tag>;

/// Number of one start of a unit or gang; later starts have higher numbers.
using run_number = std::uint64_t;

/// Milliseconds since the Unix epoch.
using unix_time = core::milliseconds;

/// Resources that a unit requests or a worker offers.
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
/// @return whether @p request is at most @p available in every resource.
[[nodiscard]] bool fits(const resource_amount& request, const resource_amount& available) noexcept;
/// @return how many times @p request fits into @p available, at most @p max_count.
[[nodiscard]] std::int64_t fit_count(const resource_amount& request,
                                     const resource_amount& available,
                                     std::int64_t max_count) noexcept;

/// Identifies one unit of work.
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
/// @return the key in the form that to_text() produces, or invalid_request quoting the text.
[[nodiscard]] absl::StatusOr<unit_key> parse_unit_key(std::string_view text);

/// One step of a job.
struct step_spec
{
    std::int64_t units = 1;
    resource_amount per_unit;
    /// Estimated run time of a unit, as declared by the caller.
    core::milliseconds estimate{};
    /// Indices of earlier steps that must have succeeded before this one starts.
    std::vector<std::int64_t> depends_on;
    /// Label that a worker must have to run the units; empty for any worker.
    std::string required_label;
    /// Rack that holds the data; units run slower on other racks. Empty for none.
    std::string data_rack;
    std::string image;
    /// Maximum number of units of the step on one worker; 0 for no limit.
    std::int64_t max_per_worker{};
    /// Maximum number of units that the system may make unavailable at the same time; only for
    /// @ref long_running steps. -1 if the job sets no limit.
    std::int64_t max_unavailable = -1;
    /// Tail latency target of the unit's own users; 0 for none.
    core::milliseconds tail_latency_target{};
    /// All units run at the same time or none does.
    bool gang = false;
    /// Units run slower when they are spread over several racks.
    bool rack_local = false;
    /// Units write checkpoints, from which a later run can resume.
    bool checkpointing = false;
    bool speculative = false;
    /// Units run until the job is cancelled, and are restarted whatever their outcome.
    bool long_running = false;
    /// Units only use processor time that others leave idle; their cores are not counted.
    bool best_effort_cpu = false;

    /// @return the resources that a unit occupies on its worker.
    [[nodiscard]] resource_amount resource_request() const noexcept;
};

/// Scheduling policy for a queue's jobs.
struct queue_policy
{
    queue_id queue;
    core::service_id service;
    /// 0 is the most urgent.
    std::int64_t priority{};
    /// Number of failed runs of a unit or gang after which the job fails.
    std::int64_t max_attempts = 1;
    /// The latency objective is the job's critical path multiplied by this factor, plus
    /// latency_allowance.
    double max_slowdown = 1;
    /// Fixed part of the latency objective.
    core::milliseconds latency_allowance{};
};

/// A job as it was accepted.
struct job_spec
{
    core::job_id id;
    core::organisation_id organisation;
    /// Policy at acceptance; the policy in the newest configuration takes precedence.
    queue_policy policy;
    /// Opaque text that is passed to every unit unchanged.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of scheduled occurrences of all steps; 0 for a single one that is due immediately.
    std::int64_t occurrences{};
    /// When the first scheduled occurrence is due.
    unix_time first_due{};
    /// Time between two scheduled occurrences.
    core::milliseconds interval{};
    /// When the job was accepted.
    unix_time accepted{};

    /// @return the number of occurrences, at least 1.
    [[nodiscard]] std::int64_t occurrence_count() const noexcept;
    /// @return the estimated duration of the longest chain of dependent steps.
    [[nodiscard]] core::milliseconds critical_path() const;
    /// @return the accelerators of all units of the steps without dependencies.
    [[nodiscard]] std::int64_t initial_accelerators() const noexcept;
};

/// Maximum size of a job, in units over all steps and occurrences.
inline constexpr std::int64_t max_units = 100'000;

/// Maximum number of a job's steps.
inline constexpr std::size_t max_job_steps = 1000;

/// @return invalid_request if a job cannot have so many steps.
[[nodiscard]] absl::Status validate_step_count(std::size_t steps);

/// @return an estimate of the memory that a leader needs for the job, without its runs.
[[nodiscard]] std::size_t state_bytes(const job_spec& job) noexcept;

/// Validates a job from a caller.
/// @return invalid_request describing the first value that is out of range.
[[nodiscard]] absl::Status validate_job(const job_spec& job);

} // namespace chicorylift::batch
