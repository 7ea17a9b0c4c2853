#include "cell_state.hpp"

#include <algorithm>
#include <limits>

/// Finds room for gangs in free capacity, and keeps room for gangs that are blocked.
namespace chicorylift::sched
{

namespace
{

constexpr double late_end_quantile = 0.9;

struct candidate
{
    worker_index worker{};
    std::int64_t fitting{};
    double key{};
};

bool takes_tasks(const worker_state& worker, const job_spec& spec) noexcept
{
    if (!worker.present || worker.draining || worker.health == worker_health::quarantined)
    {
        return false;
    }
    // A probe must be safe to run again and must not cost a gang.
    return worker.health == worker_health::healthy ||
           (worker.jobs.empty() && spec.idempotent && spec.tasks == 1);
}

/// @return room that a job of the organisation may take without entering others' footprints.
core::resources open_room(const cell_state& cell, const worker_state& worker, const job_entry& job)
{
    if (!cell.policy->enforces_guarantees || job.spec.preemptible())
    {
        return worker.free();
    }
    const organisation_allocation own = allocation_or_empty(worker, job.organisation);
    const core::resources held = core::elementwise_max(own.non_preemptible, own.guaranteed);
    const core::resources room =
        worker.info.capacity - worker.committed + held - own.non_preemptible;
    return core::elementwise_min(worker.free(), room);
}

std::int64_t reserved_for_others(const worker_state& worker, organisation_index organisation)
{
    std::int64_t reserved = 0;
    for (const organisation_allocation& share : worker.allocations)
    {
        if (share.organisation != organisation)
        {
            const std::int64_t unused = share.guaranteed.accelerators - share.used.accelerators;
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

bool delays(const reservation& kept, worker_index worker, core::instant end)
{
    return kept.workers[worker] && end > kept.start;
}

/// Takes workers by ascending key until the gang is whole.
std::vector<part> fill(std::vector<candidate>& group, std::int64_t tasks)
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

/// Whether room is sought where other organisations hold guarantees.
enum class footprint_use
{
    left_free,
    taken,
};

core::resources footprints_of_others(const worker_state& worker, organisation_index organisation)
{
    core::resources sum;
    for (const organisation_allocation& share : worker.allocations)
    {
        if (share.organisation != organisation)
        {
            sum += share.guaranteed;
        }
    }
    return sum;
}

/// @return when the group's workers will have room for the gang, by the expected ends.
std::optional<core::instant> earliest_start(const cell_state& cell, const job_entry& job,
                                            const std::vector<worker_index>& group,
                                            footprint_use others, core::instant now)
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
        if (others == footprint_use::left_free)
        {
            free[index] -= footprints_of_others(worker, job.organisation);
        }
        fitting += fit(index);
        for (const job_entry* running : worker.jobs)
        {
            const core::instant end = std::max(
                now, running->started + expected_run_time(cell, *running, late_end_quantile));
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
    for (const release_event& ended : ends)
    {
        fitting -= fit(ended.worker);
        free[ended.worker] += ended.amount;
        fitting += fit(ended.worker);
        if (fitting >= job.spec.tasks)
        {
            return ended.end;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<part> find_placement(const cell_state& cell, const job_entry& job,
                                 const std::vector<reservation>& reservations, core::instant now,
                                 bool& behind_reservation)
{
    const queued_job_view view = make_queued_job_view(cell, job, now);
    const core::instant end =
        reservations.empty() ? now : now + expected_run_time(cell, job, late_end_quantile);
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
            if (!takes_tasks(worker, job.spec))
            {
                continue;
            }
            const std::int64_t fit =
                core::fit_count(job.spec.per_task, open_room(cell, worker, job));
            if (fit == 0)
            {
                continue;
            }
            if (std::any_of(reservations.begin(), reservations.end(),
                            [&](const reservation& kept) { return delays(kept, index, end); }))
            {
                behind_reservation = true;
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
            best = fill(candidates, job.spec.tasks);
        }
    };
    for_each_worker_group(cell, job.spec.within, consider);
    return best;
}

std::optional<reservation> make_reservation(const cell_state& cell, job_entry& job,
                                            core::instant now)
{
    // A group once chosen is kept: choosing anew on each pass would let no group ever drain.
    std::optional<core::instant> soonest =
        earliest_start(cell, job, job.reserved_workers, footprint_use::taken, now);
    std::vector<worker_index> chosen = job.reserved_workers;
    footprint_use others = footprint_use::left_free;
    const auto consider = [&](const std::vector<worker_index>& group)
    {
        const auto start = earliest_start(cell, job, group, others, now);
        if (start.has_value() && (!soonest.has_value() || *start < *soonest))
        {
            soonest = start;
            chosen = group;
        }
    };
    if (!soonest.has_value())
    {
        // Where others hold guarantees a group may never drain, so it is the second choice.
        for_each_worker_group(cell, job.spec.within, consider);
    }
    if (!soonest.has_value())
    {
        others = footprint_use::taken;
        for_each_worker_group(cell, job.spec.within, consider);
    }
    if (!soonest.has_value())
    {
        return std::nullopt;
    }
    job.reserved_workers = chosen;
    reservation kept{std::vector<bool>(cell.workers.size(), false), *soonest};
    for (const worker_index index : chosen)
    {
        kept.workers[index] = true;
    }
    return kept;
}

} // namespace chicorylift::sched
