#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/resources.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/quota/quota.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylift::sched
{

/// Priority of a job; urgent jobs are scheduled first.
enum class priority_class
{
    urgent,
    standard,
    batch,
};

/// @return "urgent", "standard" or "batch".
[[nodiscard]] std::string_view to_text(priority_class priority) noexcept;
/// @return the class with that name, or an error that names @p text and the allowed names.
[[nodiscard]] absl::StatusOr<priority_class> parse_priority_class(std::string_view text);

/// Gang of identical tasks that all start together or not at all.
struct job_spec
{
    core::job_id id;
    core::organisation_id organisation;
    /// Name shared by runs of the same recurring job. Run times are learned for each pair of
    /// organisation and kind.
    std::string kind;
    priority_class priority = priority_class::standard;
    std::int64_t tasks = 1;
    core::resources per_task;
    quota::topology_level within = quota::topology_level::zone;
    bool idempotent = false;
    bool checkpointable = false;
    core::milliseconds declared_run_time{};
    std::optional<core::instant> deadline;

    /// @return whether the job may be stopped and run again to free its resources.
    ///
    /// A job that is not idempotent runs at most once, even when it can be checkpointed: if the
    /// checkpoint failed during preemption, the job could be neither resumed nor rerun safely.
    [[nodiscard]] bool preemptible() const noexcept { return this->idempotent; }
    /// @return the resources of all tasks together.
    [[nodiscard]] core::resources total() const noexcept { return this->per_task * this->tasks; }
};

/// Number of a gang's tasks on one worker.
struct task_placement
{
    core::worker_id worker;
    std::int64_t tasks{};

    friend bool operator==(const task_placement&, const task_placement&) = default;
};

/// Phase of a job in its cell.
enum class job_phase
{
    queued,
    /// Placed, but jobs that are being preempted still occupy its resources.
    waiting_for_reclaim,
    starting,
    running,
    stopping,
};

/// @return the phase's name as operators see it.
[[nodiscard]] std::string_view to_text(job_phase phase) noexcept;

/// Why a job has not started.
enum class wait_reason
{
    none,
    not_considered,
    organisation_limit,
    insufficient_capacity,
    blocked_by_reservation,
    preemption_in_progress,
    capacity_lost,
};

/// @return a description of the reason for operators.
[[nodiscard]] std::string_view to_text(wait_reason reason) noexcept;

/// Scheduling state of one job, for operators.
struct explanation
{
    job_phase phase = job_phase::queued;
    wait_reason reason = wait_reason::none;
    std::vector<task_placement> placement;
    /// Jobs that were preempted for this one.
    std::vector<core::job_id> displaced;
    core::milliseconds waited{};
    core::milliseconds expected_run_time{};
};

} // namespace chicorylift::sched
