#include "chicorylift/core/registry.hpp"
#include "chicorylift/sched/scheduling_policy.hpp"

#include <algorithm>

/// Scheduling policies that presets select as weightings, and the benchmark's baselines.
namespace chicorylift::sched
{

namespace
{

constexpr std::int64_t large_gang_accelerators = 16;

double arrival_order(const queued_job_view& job)
{
    return -static_cast<double>(job.waited.count());
}

/// Shortest expected run time first; the key falls with waiting time to prevent starvation.
double shortest_expected_first(const queued_job_view& job)
{
    constexpr double waited_weight = 0.25;
    const auto expected =
        static_cast<double>(std::max<std::int64_t>(job.expected_run_time.count(), 1));
    const double aged = expected - waited_weight * static_cast<double>(job.waited.count());
    // Penalises an organisation in proportion to its usage relative to its guarantee.
    const double usage_ratio = std::clamp(job.guarantee_usage_ratio, 0.5, 4.0);
    return aged > 0 ? aged * usage_ratio : aged;
}

/// Gangs of at least large_gang_accelerators first, then shortest expected run time first.
double largest_gang_first(const queued_job_view& job)
{
    constexpr double bonus_per_accelerator_ms = 600'000.0;
    const auto size = static_cast<double>(job.spec.total().accelerators);
    const double bonus = job.spec.total().accelerators >= large_gang_accelerators
                             ? size * bonus_per_accelerator_ms
                             : 0.0;
    return shortest_expected_first(job) - bonus;
}

double in_worker_order(const queued_job_view&, const candidate_worker_view&)
{
    return 0.0;
}

/// Prefers the worker that is left with the fewest free accelerators.
double tightest_first(const queued_job_view& job, const candidate_worker_view& worker)
{
    const std::int64_t taken =
        std::min(worker.fitting_tasks, job.spec.tasks) * job.spec.per_task.accelerators;
    return static_cast<double>(worker.free.accelerators - taken);
}

/// Like tightest_first, but avoids capacity that other organisations may reclaim.
double tightest_outside_guarantees(const queued_job_view& job, const candidate_worker_view& worker)
{
    constexpr double reserved_weight = 2.0;
    return tightest_first(job, worker) +
           reserved_weight * static_cast<double>(worker.reserved_for_others);
}

/// Like tightest_outside_guarantees, but fills partly used racks first to keep whole racks free.
double partly_used_racks_first(const queued_job_view& job, const candidate_worker_view& worker)
{
    constexpr double rack_weight = 0.5;
    return tightest_outside_guarantees(job, worker) +
           rack_weight * static_cast<double>(worker.rack_free);
}

bool never(const queued_job_view&)
{
    return false;
}

bool always(const queued_job_view&)
{
    return true;
}

/// A job may reserve capacity once it has waited twice its expected run time, or four hours if that
/// is less; an urgent job may at once.
bool after_long_wait(const queued_job_view& job)
{
    constexpr std::int64_t max_wait_in_run_times = 2;
    constexpr core::milliseconds max_wait = std::chrono::hours{4};
    const core::milliseconds bound =
        std::min(job.expected_run_time * max_wait_in_run_times, max_wait);
    return job.waited > bound || job.spec.priority == priority_class::urgent;
}

bool large_or_long_waiting(const queued_job_view& job)
{
    return job.spec.total().accelerators >= large_gang_accelerators || after_long_wait(job);
}

/// A large gang may preempt small jobs after two minutes of waiting.
bool large_and_waiting(const queued_job_view& job)
{
    constexpr core::milliseconds min_wait = std::chrono::minutes{2};
    return job.spec.total().accelerators >= large_gang_accelerators && job.waited >= min_wait;
}

constexpr scheduling_policy completion{
    .name = "completion",
    .description =
        "completion time first: shortest expected run first, backfill by learned run times",
    .queue_key = shortest_expected_first,
    .worker_key = tightest_outside_guarantees,
    .may_reserve = after_long_wait,
};

constexpr scheduling_policy fragmentation{
    .name = "fragmentation",
    .description = "fragmentation first: large gangs first, with reservations for them",
    .queue_key = largest_gang_first,
    .worker_key = partly_used_racks_first,
    .may_reserve = large_or_long_waiting,
    .may_consolidate = large_and_waiting,
    .max_reservations = 2,
};

constexpr scheduling_policy fcfs_first_fit{
    .name = "fcfs-first-fit",
    .description = "baseline: first come first served, first fit",
    .queue_key = arrival_order,
    .worker_key = in_worker_order,
    .may_reserve = never,
    .estimates = estimate_source::declared,
    .strict_order = true,
    .urgent_first = false,
    .enforces_guarantees = false,
};

constexpr scheduling_policy fcfs_backfill{
    .name = "fcfs-backfill",
    .description = "baseline: first come first served, backfill by declared run times",
    .queue_key = arrival_order,
    .worker_key = in_worker_order,
    .may_reserve = always,
    .estimates = estimate_source::declared,
    .urgent_first = false,
    .enforces_guarantees = false,
};

constexpr scheduling_policy best_fit{
    .name = "best-fit",
    .description = "baseline: any job that fits, in order of arrival, on the tightest worker",
    .queue_key = arrival_order,
    .worker_key = tightest_first,
    .may_reserve = never,
    .estimates = estimate_source::declared,
    .max_reservations = 0,
    .urgent_first = false,
    .enforces_guarantees = false,
};

const core::registration<scheduling_policy> registered[] = {
    core::registration<scheduling_policy>{completion},
    core::registration<scheduling_policy>{fragmentation},
    core::registration<scheduling_policy>{fcfs_first_fit},
    core::registration<scheduling_policy>{fcfs_backfill},
    core::registration<scheduling_policy>{best_fit},
};

} // namespace

const scheduling_policy& policy_or_default(std::string_view name) noexcept
{
    const scheduling_policy* found = core::registry<scheduling_policy>::instance().find(name);
    return found != nullptr ? *found : completion;
}

} // namespace chicorylift::sched
