#include "cell_state.hpp"

#include <algorithm>
#include <limits>

/// Places gangs in free capacity, and computes reservations for blocked gangs.
namespace chicorylift::sched
{

namespace
{

constexpr double conservative_run_time_quantile = 0.9;

struct candidate
{
    worker_index worker{};
    std::int64_t fitting{};
    double key{};
};

bool accepts_job(const worker_state& worker, const job_spec& spec) noexcept
{
    if (!worker.present || worker.draining || worker.health == worker_health::quarantined)
    {
        return false;
    }
    // A probing worker may fail again, so its job must be safe to rerun and must not bring down a
    // gang of several tasks.
    return worker.health == worker_health::healthy ||
           (worker.jobs.empty() && spec.idempotent && spec.tasks == 1);
}

/// @return free resources that the job may use. A non-preemptible job must stay out of capacity
/// reserved for other organisations, because it could not be reclaimed.
core::resources available_to(const cell_state& cell, const worker_state& worker,
                             const job_entry& job)
{
    if (!cell.policy->enforces_guarantees || job.spec.preemptible())
    {
        return worker.free();
    }
    const organisation_allocation own = allocation_or_empty(worker, job.organisation);
    const core::resources own_committed =
        core::elementwise_max(own.non_preemptible, own.guaranteed);
    const core::resources unreserved =
        worker.info.capacity - worker.committed + own_committed - own.non_preemptible;
    return core::elementwise_min(worker.free(), unreserved);
}

std::int64_t reserved_for_others(const worker_state& worker, organisation_index organisation)
{
    std::int64_t reserved = 0;
    for (const organisation_allocation& allocation : worker.allocations)
    {
        if (allocation.organisation != organisation)
        {
            const std::int64_t unused =
                allocation.guaranteed.accelerators - allocation.used.accelerators;
            reserved += std::max<std::int64_t>(unused, 0);
        }
    }
    return reserved;
}

std::unordered_map<core::rack_id, std::int64_t> free_by_rack(const cell_state& cell)
{
    std::unordered_map<core::rack_id, std::int64_t> free;
    for (const auto& [rack, workers] : cell.racks)
    {
        for (const worker_index index : workers)
        {
            free[rack] += cell.workers[index].free().accelerators;
        }
    }
    return free;
}

bool delays(const reservation& reserved_group, worker_index worker, core::instant end)
{
    return reserved_group.workers[worker] && end > reserved_group.start;
}

/// Assigns tasks to workers by ascending key until all are placed.
std::vector<part> assign_tasks(std::vector<candidate>& group, std::int64_t tasks)
{
    std::sort(group.begin(), group.end(),
              [](const candidate& left, const candidate& right) {
                  return left.key != right.key ? left.key < right.key : left.worker < right.worker;
              });
    std::vector<part> parts;
    for (const candidate& chosen : group)
    {
        const std::int64_t taken = std::min(chosen.fitting, tasks);
        parts.push_back({chosen.worker, taken});
        tasks -= taken;
        if (tasks == 0)
        {
            break;
        }
    }
    return parts;
}

struct release_event
{
    core::instant end;
    worker_index worker{};
    core::resources amount;
};

/// Whether capacity guaranteed to other organisations counts as available.
enum class other_guarantees
{
    excluded,
    included,
};

core::resources guaranteed_to_others(const worker_state& worker, organisation_index organisation)
{
    core::resources sum;
    for (const organisation_allocation& allocation : worker.allocations)
    {
        if (allocation.organisation != organisation)
        {
            sum += allocation.guaranteed;
        }
    }
    return sum;
}

/// @return when the gang will fit on the group's workers, by the expected end of running jobs;
/// nothing when it never will.
std::optional<core::instant> earliest_start(const cell_state& cell, const job_entry& job,
                                            const std::vector<worker_index>& group,
                                            other_guarantees others, core::instant now)
{
    std::vector<release_event> ends;
    std::unordered_map<worker_index, core::resources> free;
    std::int64_t fitting = 0;
    const auto fit = [&](worker_index index)
    { return std::min(core::fit_count(job.spec.per_task, free[index]), job.spec.tasks); };
    for (const worker_index index : group)
    {
        const worker_state& worker = cell.workers[index];
        if (!worker.present || worker.draining || worker.health != worker_health::healthy)
        {
            continue;
        }
        free[index] = worker.free();
        if (others == other_guarantees::excluded)
        {
            free[index] -= guaranteed_to_others(worker, job.organisation);
        }
        fitting += fit(index);
        for (const job_entry* running : worker.jobs)
        {
            const core::instant end =
                std::max(now, running->started + expected_run_time(cell, *running,
                                                                   conservative_run_time_quantile));
            for (const part& placed : running->placement)
            {
                if (placed.worker == index)
                {
                    ends.push_back({end, index, running->spec.per_task * placed.tasks});
                }
            }
        }
    }
    if (fitting >= job.spec.tasks)
    {
        return now;
    }
    std::sort(ends.begin(), ends.end(),
              [](const release_event& left, const release_event& right)
              { return left.end < right.end; });
    for (const release_event& released : ends)
    {
        fitting -= fit(released.worker);
        free[released.worker] += released.amount;
        fitting += fit(released.worker);
        if (fitting >= job.spec.tasks)
        {
            return released.end;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<part> find_placement(const cell_state& cell, const job_entry& job,
                                 const std::vector<reservation>& reservations, core::instant now,
                                 bool& blocked_by_reservation)
{
    const queued_job_view view = make_queued_job_view(cell, job, now);
    const core::instant end =
        reservations.empty() ? now
                             : now + expected_run_time(cell, job, conservative_run_time_quantile);
    std::vector<part> best;
    double best_key = std::numeric_limits<double>::infinity();
    const std::unordered_map<core::rack_id, std::int64_t> rack_free = free_by_rack(cell);
    const auto consider = [&](const std::vector<worker_index>& group)
    {
        std::vector<candidate> candidates;
        std::int64_t fitting = 0;
        double group_key = 0;
        for (const worker_index index : group)
        {
            const worker_state& worker = cell.workers[index];
            if (!accepts_job(worker, job.spec))
            {
                continue;
            }
            const std::int64_t fit =
                core::fit_count(job.spec.per_task, available_to(cell, worker, job));
            if (fit == 0)
            {
                continue;
            }
            if (std::any_of(reservations.begin(), reservations.end(),
                            [&](const reservation& reserved_group)
                            { return delays(reserved_group, index, end); }))
            {
                blocked_by_reservation = true;
                continue;
            }
            const double key =
                cell.policy->worker_key(view, {worker.free(), worker.info.capacity, fit,
                                               reserved_for_others(worker, job.organisation),
                                               rack_free.at(worker.info.rack)});
            candidates.push_back({index, std::min(fit, job.spec.tasks), key});
            fitting += fit;
            group_key += key;
        }
        if (fitting >= job.spec.tasks && group_key < best_key)
        {
            best_key = group_key;
            best = assign_tasks(candidates, job.spec.tasks);
        }
    };
    for_each_worker_group(cell, job.spec.within, consider);
    return best;
}

std::optional<reservation> make_reservation(const cell_state& cell, job_entry& job,
                                            core::instant now)
{
    // Keep the group of the previous pass: switching groups on each pass would let none drain.
    std::optional<core::instant> earliest =
        earliest_start(cell, job, job.reserved_workers, other_guarantees::included, now);
    std::vector<worker_index> chosen = job.reserved_workers;
    other_guarantees others = other_guarantees::excluded;
    const auto consider = [&](const std::vector<worker_index>& group)
    {
        const auto start = earliest_start(cell, job, group, others, now);
        if (start.has_value() && (!earliest.has_value() || *start < *earliest))
        {
            earliest = start;
            chosen = group;
        }
    };
    if (!earliest.has_value())
    {
        // Capacity reserved for other organisations may never drain: first look for groups that fit
        // the gang without it.
        for_each_worker_group(cell, job.spec.within, consider);
    }
    if (!earliest.has_value())
    {
        others = other_guarantees::included;
        for_each_worker_group(cell, job.spec.within, consider);
    }
    if (!earliest.has_value())
    {
        return std::nullopt;
    }
    job.reserved_workers = chosen;
    reservation reserved_group{std::vector<bool>(cell.workers.size(), false), *earliest};
    for (const worker_index index : chosen)
    {
        reserved_group.workers[index] = true;
    }
    return reserved_group;
}

} // namespace chicorylift::sched
