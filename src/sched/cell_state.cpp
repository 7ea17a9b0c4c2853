#include "cell_state.hpp"

#include <algorithm>

namespace chicorylift::sched
{

organisation_index find_or_add_organisation(cell_state& cell, const core::organisation_id& id)
{
    const auto [found, added] = cell.organisation_by_id.try_emplace(
        id, static_cast<organisation_index>(cell.organisations.size()));
    if (added)
    {
        cell.organisations.push_back({.id = id,
                                      .limit = std::nullopt,
                                      .used = {},
                                      .guaranteed = {},
                                      .guarantee_placements = {}});
    }
    return found->second;
}

organisation_allocation& find_or_add_allocation(worker_state& worker,
                                                organisation_index organisation)
{
    for (organisation_allocation& allocation : worker.allocations)
    {
        if (allocation.organisation == organisation)
        {
            return allocation;
        }
    }
    worker.allocations.push_back(
        {.organisation = organisation, .guaranteed = {}, .non_preemptible = {}, .used = {}});
    return worker.allocations.back();
}

organisation_allocation allocation_or_empty(const worker_state& worker,
                                            organisation_index organisation) noexcept
{
    for (const organisation_allocation& allocation : worker.allocations)
    {
        if (allocation.organisation == organisation)
        {
            return allocation;
        }
    }
    return {.organisation = organisation, .guaranteed = {}, .non_preemptible = {}, .used = {}};
}

void recompute_committed(worker_state& worker)
{
    worker.committed = {};
    std::erase_if(worker.allocations,
                  [](const organisation_allocation& allocation)
                  {
                      const core::resources none;
                      return allocation.guaranteed == none && allocation.used == none;
                  });
    for (const organisation_allocation& allocation : worker.allocations)
    {
        worker.committed +=
            core::elementwise_max(allocation.non_preemptible, allocation.guaranteed);
    }
}

void allocate(cell_state& cell, job_entry& job)
{
    for (const part& placed : job.placement)
    {
        worker_state& worker = cell.workers[placed.worker];
        const core::resources amount = job.spec.per_task * placed.tasks;
        organisation_allocation& allocation = find_or_add_allocation(worker, job.organisation);
        allocation.used += amount;
        if (!job.spec.preemptible())
        {
            allocation.non_preemptible += amount;
        }
        worker.used += amount;
        worker.jobs.push_back(&job);
        recompute_committed(worker);
    }
    cell.organisations[job.organisation].used += job.spec.total();
}

void release(cell_state& cell, job_entry& job)
{
    for (const part& placed : job.placement)
    {
        worker_state& worker = cell.workers[placed.worker];
        const core::resources amount = job.spec.per_task * placed.tasks;
        organisation_allocation& allocation = find_or_add_allocation(worker, job.organisation);
        allocation.used -= amount;
        if (!job.spec.preemptible())
        {
            allocation.non_preemptible -= amount;
            cell.guarantee_placements_dirty = true;
        }
        worker.used -= amount;
        std::erase(worker.jobs, &job);
        recompute_committed(worker);
    }
    cell.organisations[job.organisation].used -= job.spec.total();
    job.placement.clear();
}

void enqueue(cell_state& cell, job_entry& job)
{
    job.phase = job_phase::queued;
    job.queue_slot = cell.queue.size();
    cell.queue.push_back(&job);
}

void dequeue(cell_state& cell, job_entry& job)
{
    job_entry* last = cell.queue.back();
    cell.queue[job.queue_slot] = last;
    last->queue_slot = job.queue_slot;
    cell.queue.pop_back();
}

core::milliseconds expected_run_time(const cell_state& cell, const job_entry& job, double quantile)
{
    if (cell.policy->estimates == estimate_source::declared)
    {
        return job.spec.declared_run_time;
    }
    return cell.run_times.estimate(job.spec.organisation, job.spec.kind, job.spec.declared_run_time,
                                   quantile);
}

queued_job_view make_queued_job_view(const cell_state& cell, const job_entry& job,
                                     core::instant now)
{
    constexpr double median = 0.5;
    const organisation_state& owner = cell.organisations[job.organisation];
    const auto used = static_cast<double>(owner.used.accelerators);
    const auto guaranteed =
        static_cast<double>(std::max<std::int64_t>(owner.guaranteed.accelerators, 1));
    return {job.spec, now - job.submitted, expected_run_time(cell, job, median), used / guaranteed};
}

std::vector<task_placement> placement_of(const cell_state& cell, const std::vector<part>& parts)
{
    std::vector<task_placement> placement;
    placement.reserve(parts.size());
    for (const part& placed : parts)
    {
        placement.push_back({cell.workers[placed.worker].info.id, placed.tasks});
    }
    return placement;
}

} // namespace chicorylift::sched
