#include "cell_state.hpp"

#include <algorithm>

namespace chicorylift::sched
{

organisation_index organisation_of(cell_state& cell, const core::organisation_id& id)
{
    const auto [found, added] = cell.organisation_by_id.try_emplace(
        id, static_cast<organisation_index>(cell.organisations.size()));
    if (added)
    {
        cell.organisations.push_back(
            {.id = id, .limit = std::nullopt, .used = {}, .guaranteed = {}, .footprints = {}});
    }
    return found->second;
}

organisation_share& share_of(worker_state& worker, organisation_index organisation)
{
    for (organisation_share& share : worker.shares)
    {
        if (share.organisation == organisation)
        {
            return share;
        }
    }
    worker.shares.push_back(
        {.organisation = organisation, .footprint = {}, .firm = {}, .used = {}});
    return worker.shares.back();
}

organisation_share share_on(const worker_state& worker, organisation_index organisation) noexcept
{
    for (const organisation_share& share : worker.shares)
    {
        if (share.organisation == organisation)
        {
            return share;
        }
    }
    return {.organisation = organisation, .footprint = {}, .firm = {}, .used = {}};
}

void recompute_committed(worker_state& worker)
{
    worker.committed = {};
    std::erase_if(worker.shares,
                  [](const organisation_share& share)
                  {
                      const core::resources none;
                      return share.footprint == none && share.used == none;
                  });
    for (const organisation_share& share : worker.shares)
    {
        worker.committed += core::at_least(share.firm, share.footprint);
    }
}

void allocate(cell_state& cell, job_entry& job)
{
    for (const part& placed : job.placement)
    {
        worker_state& worker = cell.workers[placed.worker];
        const core::resources amount = job.spec.per_task * placed.tasks;
        organisation_share& share = share_of(worker, job.organisation);
        share.used += amount;
        if (!job.spec.reclaimable())
        {
            share.firm += amount;
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
        organisation_share& share = share_of(worker, job.organisation);
        share.used -= amount;
        if (!job.spec.reclaimable())
        {
            share.firm -= amount;
            cell.footprints_dirty = true;
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

core::milliseconds expected_run(const cell_state& cell, const job_entry& job, double quantile)
{
    if (cell.policy->estimates == estimate_source::declared)
    {
        return job.spec.declared_run_time;
    }
    return cell.run_times.expect(job.spec.organisation, job.spec.kind, job.spec.declared_run_time,
                                 quantile);
}

queued_view view_of(const cell_state& cell, const job_entry& job, core::instant now)
{
    constexpr double median = 0.5;
    const organisation_state& owner = cell.organisations[job.organisation];
    const auto used = static_cast<double>(owner.used.accelerators);
    const auto guaranteed =
        static_cast<double>(std::max<std::int64_t>(owner.guaranteed.accelerators, 1));
    return {job.spec, now - job.submitted, expected_run(cell, job, median), used / guaranteed};
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
