#pragma once

#include "chicorylift/core/resources.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/sched/job.hpp"

#include <cstdint>
#include <string_view>

namespace chicorylift::sched
{

/// What a policy may know about a queued job.
struct queued_job_view
{
    const job_spec& spec;
    core::milliseconds waited;
    /// Median run time learned for the job's organisation and kind.
    core::milliseconds expected_run_time;
    /// Use of the organisation divided by its guarantee, both in accelerators.
    double guarantee_usage_ratio;
};

/// What a policy may know about a worker that could take some tasks.
struct candidate_worker_view
{
    core::resources free;
    core::resources capacity;
    /// Tasks of the job that fit.
    std::int64_t fitting_tasks;
    /// Accelerators guaranteed to other organisations here.
    std::int64_t reserved_for_others;
    /// Free accelerators in the worker's rack.
    std::int64_t rack_free;
};

/// How estimates of a job's end are made.
enum class estimate_source
{
    declared,
    learned,
};

/// Named way to order the queue and to choose workers.
///
/// The weightings of presets and the baselines of the benchmark are rows of this kind.
struct scheduling_policy
{
    std::string_view name;
    std::string_view description;
    /// Jobs with a lower key are tried first, within their class when urgent_first is set.
    double (*queue_key)(const queued_job_view& job);
    /// Workers with a lower key are filled first.
    double (*worker_key)(const queued_job_view& job, const candidate_worker_view& worker);
    /// Whether a blocked job may hold a reservation that later jobs must not delay.
    bool (*may_reserve)(const queued_job_view& job);
    /// Whether small work may be moved to make room for a blocked job; nullptr for never.
    bool (*may_consolidate)(const queued_job_view& job) = nullptr;
    estimate_source estimates = estimate_source::learned;
    /// Number of blocked jobs that hold a reservation at once.
    std::int64_t max_reservations = 1;
    /// Whether nothing may pass the first blocked job.
    bool strict_order = false;
    bool urgent_first = true;
    /// Whether footprints are kept and reclaimed.
    bool enforces_guarantees = true;
};

/// @return the registered policy with that name, or the one that puts completion time first.
[[nodiscard]] const scheduling_policy& policy_or_default(std::string_view name) noexcept;

} // namespace chicorylift::sched
