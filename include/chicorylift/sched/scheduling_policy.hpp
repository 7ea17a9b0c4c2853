#pragma once

#include "chicorylift/core/resources.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/sched/job.hpp"

#include <cstdint>
#include <string_view>

namespace chicorylift::sched
{

/// Properties of a queued job that a policy may use.
struct queued_job_view
{
    const job_spec& spec;
    core::milliseconds waited;
    /// Median run time learned for the job's organisation and kind.
    core::milliseconds expected_run_time;
    /// Accelerators that the organisation uses, divided by those it is guaranteed.
    double guarantee_usage_ratio;
};

/// Properties of a worker with room for at least one task that a policy may use.
struct candidate_worker_view
{
    core::resources free;
    core::resources capacity;
    /// Number of the job's tasks that fit on the worker.
    std::int64_t fitting_tasks;
    /// Accelerators on this worker reserved for other organisations and not used by them.
    std::int64_t reserved_for_others;
    /// Free accelerators in the worker's rack.
    std::int64_t rack_free;
};

/// Source of run-time estimates.
enum class estimate_source
{
    /// The run time stated in the job's specification.
    declared,
    /// Quantiles of earlier runs of the same organisation and kind.
    learned,
};

/// Named set of rules for ordering the queue and choosing workers.
///
/// A preset selects one as its weighting; the benchmark uses others as baselines.
struct scheduling_policy
{
    std::string_view name;
    std::string_view description;
    /// Jobs with a lower key are tried first. With urgent_first, work inside its organisation's
    /// guarantee and urgent work come before this order.
    double (*queue_key)(const queued_job_view& job);
    /// Workers with a lower key receive tasks first.
    double (*worker_key)(const queued_job_view& job, const candidate_worker_view& worker);
    /// Whether a blocked job may reserve workers; later jobs must not delay its expected start.
    bool (*may_reserve)(const queued_job_view& job);
    /// Whether small jobs may be preempted to make room for this blocked job; nullptr for never.
    bool (*may_consolidate)(const queued_job_view& job) = nullptr;
    estimate_source estimates = estimate_source::learned;
    /// Maximum number of blocked jobs with a reservation at the same time.
    std::int64_t max_reservations = 1;
    /// Whether a scheduling pass ends at the first blocked job, so that no later job overtakes it.
    bool strict_order = false;
    /// Whether guaranteed and urgent work is tried before other work.
    bool urgent_first = true;
    /// Whether capacity is reserved for guarantees and reclaimed by preemption, and organisation
    /// limits are enforced.
    bool enforces_guarantees = true;
};

/// @return the registered policy with that name, or the "completion" policy when there is none.
[[nodiscard]] const scheduling_policy& policy_or_default(std::string_view name) noexcept;

} // namespace chicorylift::sched
