#include "cell_state.hpp"
#include "chicorylift/core/error.hpp"

#include <algorithm>

/// Read-only queries on a cell's state, and its invariant checks.
namespace chicorylift::sched
{

namespace
{

absl::Status invariant_violation(const std::string& message)
{
    return core::make_error(core::error_kind::internal, message);
}

absl::Status check_worker(const worker_state& worker)
{
    core::resources used;
    core::resources committed;
    for (const organisation_allocation& share : worker.allocations)
    {
        used += share.used;
        committed += core::elementwise_max(share.non_preemptible, share.guaranteed);
    }
    if (used != worker.used || committed != worker.committed)
    {
        return invariant_violation(
            "worker \"" + worker.info.id.str() +
            "\": used or committed resources differ from the sum over its organisations");
    }
    // Non-preemptible jobs on a lost worker stay accounted until their outcome is known, so the
    // capacity check applies only to present workers.
    if (worker.present && !core::fits(committed, worker.info.capacity))
    {
        return invariant_violation("worker \"" + worker.info.id.str() + "\" has " +
                                   core::to_text(worker.info.capacity) + " but " +
                                   core::to_text(committed) +
                                   " are committed to guarantees and non-preemptible jobs");
    }
    return absl::OkStatus();
}

bool satisfies_topology_level(const cell_state& cell, const guarantee_placement& reserved)
{
    const worker_info& first = cell.workers[reserved.parts.front().worker].info;
    return std::all_of(reserved.parts.begin(), reserved.parts.end(),
                       [&](const part& placed)
                       {
                           const worker_info& other = cell.workers[placed.worker].info;
                           switch (reserved.shape.within)
                           {
                           case quota::topology_level::worker:
                               return other.id == first.id;
                           case quota::topology_level::rack:
                               return other.rack == first.rack;
                           case quota::topology_level::zone:
                               break;
                           }
                           return true;
                       });
}

absl::Status check_guarantee_placement(const cell_state& cell, const organisation_state& owner,
                                       const guarantee_placement& reserved)
{
    if (reserved.parts.empty())
    {
        return reserved.unplaced_since.has_value() || cell.guarantee_placements_dirty
                   ? absl::OkStatus()
                   : invariant_violation(
                         "shape \"" + reserved.shape.name + "\" of organisation \"" +
                         owner.id.str() +
                         "\" has no reserved capacity but is not reported as a shortfall");
    }
    std::int64_t tasks = 0;
    for (const part& placed : reserved.parts)
    {
        tasks += placed.tasks;
    }
    if (tasks != reserved.shape.tasks || !satisfies_topology_level(cell, reserved))
    {
        return invariant_violation("capacity reserved for shape \"" + reserved.shape.name +
                                   "\" of organisation \"" + owner.id.str() +
                                   "\" does not match its task count or topology level");
    }
    return absl::OkStatus();
}

template <class Container>
std::size_t bytes_of(const Container& items)
{
    using item = typename Container::value_type;
    // For containers of pointers, only the pointers themselves are counted.
    return items.capacity() * sizeof(item); // NOLINT(bugprone-sizeof-expression)
}

} // namespace

double cell_stats::fragmentation() const noexcept
{
    if (this->free == 0)
    {
        return 0.0;
    }
    return 1.0 - static_cast<double>(this->largest_gang) / static_cast<double>(this->free);
}

std::optional<explanation> cell_scheduler::explain(const core::job_id& id, core::instant now) const
{
    const auto found = this->state->jobs.find(id);
    if (found == this->state->jobs.end())
    {
        return std::nullopt;
    }
    const job_entry& job = *found->second;
    const queued_job_view view = make_queued_job_view(*this->state, job, now);
    const bool is_waiting = job.placement.empty();
    return explanation{.phase = job.phase,
                       .reason = job.reason,
                       .placement = placement_of(*this->state, job.placement),
                       .displaced = job.displaced,
                       .waited = (is_waiting ? now : job.started) - job.submitted,
                       .expected_run_time = view.expected_run_time};
}

std::vector<guarantee_shortfall> cell_scheduler::shortfalls() const
{
    std::vector<guarantee_shortfall> missing;
    for (const organisation_state& owner : this->state->organisations)
    {
        for (const guarantee_placement& reserved : owner.guarantee_placements)
        {
            if (reserved.unplaced_since.has_value())
            {
                missing.push_back({owner.id, reserved.shape.name, *reserved.unplaced_since});
            }
        }
    }
    return missing;
}

cell_stats cell_scheduler::stats() const
{
    cell_stats totals;
    for (const auto& [rack, workers] : this->state->racks)
    {
        // The largest gang is taken to use either completely free workers of one rack or a single
        // worker.
        std::int64_t fully_free = 0;
        std::int64_t largest_worker_free = 0;
        for (const worker_index index : workers)
        {
            const worker_state& worker = this->state->workers[index];
            if (!worker.present)
            {
                continue;
            }
            const std::int64_t free = std::max<std::int64_t>(worker.free().accelerators, 0);
            totals.capacity += worker.info.capacity.accelerators;
            totals.used += worker.used.accelerators;
            totals.free += free;
            fully_free += free == worker.info.capacity.accelerators ? free : 0;
            largest_worker_free = std::max(largest_worker_free, free);
        }
        totals.largest_gang = std::max({totals.largest_gang, fully_free, largest_worker_free});
    }
    totals.queued = this->state->queue.size();
    totals.running = this->state->jobs.size() - totals.queued;
    return totals;
}

std::int64_t cell_scheduler::used_accelerators(const core::organisation_id& organisation) const
{
    const auto found = this->state->organisation_by_id.find(organisation);
    return found == this->state->organisation_by_id.end()
               ? 0
               : this->state->organisations[found->second].used.accelerators;
}

std::int64_t cell_scheduler::unused_guarantee(const core::organisation_id& organisation) const
{
    const auto found = this->state->organisation_by_id.find(organisation);
    if (found == this->state->organisation_by_id.end())
    {
        return 0;
    }
    std::int64_t unused = 0;
    for (const worker_state& worker : this->state->workers)
    {
        const organisation_allocation own = allocation_or_empty(worker, found->second);
        unused += std::max<std::int64_t>(own.guaranteed.accelerators - own.used.accelerators, 0);
    }
    return unused;
}

std::size_t cell_scheduler::state_bytes() const
{
    const cell_state& cell = *this->state;
    std::size_t bytes = sizeof(cell_state) + bytes_of(cell.workers) + bytes_of(cell.queue) +
                        bytes_of(cell.all_workers) + bytes_of(cell.organisations);
    for (const worker_state& worker : cell.workers)
    {
        bytes += bytes_of(worker.allocations) + bytes_of(worker.jobs);
    }
    for (const auto& [id, job] : cell.jobs)
    {
        bytes += sizeof(job_entry) + bytes_of(job->placement) + bytes_of(job->displaced) +
                 2 * id.str().capacity() + job->spec.kind.capacity();
    }
    return bytes;
}

absl::Status cell_scheduler::check_invariants() const
{
    for (const worker_state& worker : this->state->workers)
    {
        absl::Status checked = check_worker(worker);
        if (!checked.ok())
        {
            return checked;
        }
    }
    for (const organisation_state& owner : this->state->organisations)
    {
        for (const guarantee_placement& reserved : owner.guarantee_placements)
        {
            absl::Status checked = check_guarantee_placement(*this->state, owner, reserved);
            if (!checked.ok())
            {
                return checked;
            }
        }
    }
    return absl::OkStatus();
}

absl::Status check_runnable(const job_spec& spec, const quota::resolved_config& config,
                            const std::vector<worker_info>& workers)
{
    const auto owner = std::find_if(config.organisations.begin(), config.organisations.end(),
                                    [&spec](const quota::organisation_quota& known)
                                    { return known.organisation == spec.organisation; });
    if (owner == config.organisations.end())
    {
        return core::make_error(core::error_kind::not_found,
                                "organisation \"" + spec.organisation.str() + "\" does not exist");
    }
    if (!core::fits(spec.total(), owner->limit))
    {
        return core::make_error(core::error_kind::never_runnable,
                                "the job needs " + core::to_text(spec.total()) +
                                    "; the limit of organisation \"" + spec.organisation.str() +
                                    "\" is " + core::to_text(owner->limit));
    }
    std::map<std::string, std::int64_t> fitting;
    std::int64_t max_fitting = 0;
    for (const worker_info& worker : workers)
    {
        const std::string group = spec.within == quota::topology_level::worker ? worker.id.str()
                                  : spec.within == quota::topology_level::rack ? worker.rack.str()
                                                                               : std::string();
        fitting[group] += core::fit_count(spec.per_task, worker.capacity);
        max_fitting = std::max(max_fitting, fitting[group]);
    }
    if (max_fitting >= spec.tasks)
    {
        return absl::OkStatus();
    }
    return core::make_error(core::error_kind::never_runnable,
                            "the job needs " + std::to_string(spec.tasks) + " tasks with " +
                                core::to_text(spec.per_task) + " each within one " +
                                std::string(quota::to_text(spec.within)) + "; at most " +
                                std::to_string(max_fitting) +
                                " fit the capacity of the registered workers");
}

} // namespace chicorylift::sched
