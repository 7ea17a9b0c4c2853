#pragma once

#include "chicorylift/sched/cell_scheduler.hpp"
#include "chicorylift/sched/run_time_estimator.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

/// State and resource accounting of one cell; internal to the scheduler.
namespace chicorylift::sched
{

using organisation_index = std::uint32_t;
using worker_index = std::uint32_t;

/// Resources of one organisation on one worker.
struct organisation_allocation
{
    organisation_index organisation{};
    /// Reserved for its guaranteed shapes, used or not.
    core::resources guaranteed;
    /// Used by jobs that cannot be preempted.
    core::resources non_preemptible;
    /// Used by all its jobs.
    core::resources used;
};

/// Number of tasks of a gang, or of a guaranteed shape, on one worker.
struct part
{
    worker_index worker{};
    std::int64_t tasks{};
};

/// Whether tasks may be placed on a worker, judged by its recent failures.
enum class worker_health
{
    healthy,
    /// Receives no tasks until quarantine_until.
    quarantined,
    /// Receives single-task idempotent jobs, one at a time, until one succeeds.
    probing,
};

struct job_entry;

/// One worker with its allocations and jobs.
struct worker_state
{
    worker_info info;
    bool present = false;
    bool draining = false;
    worker_health health = worker_health::healthy;
    std::int64_t consecutive_failures{};
    core::instant quarantine_until{};
    core::resources used;
    /// Sum over organisations of max(non_preemptible, guaranteed), element by element. Preemption
    /// cannot free these resources for other organisations.
    core::resources committed;
    std::vector<organisation_allocation> allocations;
    std::vector<job_entry*> jobs;

    [[nodiscard]] core::resources free() const noexcept { return this->info.capacity - this->used; }
};

/// Guaranteed shape and the worker capacity reserved for it; parts is empty when there is none.
struct guarantee_placement
{
    quota::resolved_shape shape;
    std::vector<part> parts;
    /// When placing the shape first failed; not set while it is placed.
    std::optional<core::instant> unplaced_since;
};

/// Limit, usage and guarantees of one organisation in this cell.
struct organisation_state
{
    core::organisation_id id;
    /// Not set while the organisation is not in the configuration.
    std::optional<core::resources> limit;
    core::resources used;
    core::resources guaranteed;
    std::vector<guarantee_placement> guarantee_placements;
};

/// One job that is queued or placed.
struct job_entry
{
    job_spec spec;
    organisation_index organisation{};
    job_phase phase = job_phase::queued;
    wait_reason reason = wait_reason::not_considered;
    core::instant submitted{};
    core::instant started{};
    core::instant last_checkpoint{};
    std::vector<part> placement;
    /// Jobs preempted for this one.
    std::vector<core::job_id> displaced;
    /// Preempted jobs that have not stopped yet; this job starts when the count reaches 0.
    std::int64_t remaining_victims{};
    /// Job for which this one is being preempted.
    core::job_id preemptor;
    stop_reason pending_stop_reason = stop_reason::none;
    std::int64_t failed_runs{};
    /// Number of times that this job was preempted to consolidate free capacity for a large gang.
    std::int64_t consolidation_count{};
    /// Index in cell_state::queue while queued.
    std::size_t queue_slot{};
    /// Workers of this job's reservation; kept from pass to pass while the gang can fit on them.
    std::vector<worker_index> reserved_workers;
};

/// Workers reserved for a blocked job from its expected start on.
struct reservation
{
    /// Whether each worker, by worker_index, belongs to the reservation.
    std::vector<bool> workers;
    core::instant start;
};

/// All state of one cell's scheduler.
struct cell_state
{
    const scheduling_policy* policy = nullptr;
    bool preemption_allowed = true;
    /// Whether guarantees must be placed again before the next scheduling pass.
    bool guarantee_placements_dirty = false;
    std::vector<worker_state> workers;
    std::unordered_map<core::worker_id, worker_index> worker_by_id;
    std::map<core::rack_id, std::vector<worker_index>> racks;
    std::vector<worker_index> all_workers;
    std::vector<organisation_state> organisations;
    std::unordered_map<core::organisation_id, organisation_index> organisation_by_id;
    std::unordered_map<core::job_id, std::unique_ptr<job_entry>> jobs;
    /// Queued jobs, unordered; each scheduling pass sorts a copy.
    std::vector<job_entry*> queue;
    run_time_estimator run_times;
    std::vector<decision> pending_decisions;
};

/// @return the organisation's index; adds the organisation when it is new.
organisation_index find_or_add_organisation(cell_state& cell, const core::organisation_id& id);
/// @return the organisation's allocation on the worker; adds an empty one when there is none.
organisation_allocation& find_or_add_allocation(worker_state& worker,
                                                organisation_index organisation);
/// @return the organisation's allocation on the worker, or an empty one when there is none.
[[nodiscard]] organisation_allocation allocation_or_empty(const worker_state& worker,
                                                          organisation_index organisation) noexcept;
/// Recomputes a worker's committed resources from its allocations and removes empty allocations.
void recompute_committed(worker_state& worker);

/// Adds a placed job's resources to its workers and its organisation.
void allocate(cell_state& cell, job_entry& job);
/// Subtracts a placed job's resources from its workers and its organisation, and clears its
/// placement.
void release(cell_state& cell, job_entry& job);
/// Adds the job to the queue.
void enqueue(cell_state& cell, job_entry& job);
/// Removes the job from the queue in constant time; the last job takes its slot.
void dequeue(cell_state& cell, job_entry& job);

/// @return the job's expected run time, from the policy's estimate source.
[[nodiscard]] core::milliseconds expected_run_time(const cell_state& cell, const job_entry& job,
                                                   double quantile);
/// @return the properties of a queued job that policies may use.
[[nodiscard]] queued_job_view make_queued_job_view(const cell_state& cell, const job_entry& job,
                                                   core::instant now);
/// @return the placement with worker ids in place of indexes.
[[nodiscard]] std::vector<task_placement> placement_of(const cell_state& cell,
                                                       const std::vector<part>& parts);
/// Calls @p visit with each group of workers that forms one topology domain of level @p within.
template <class Visit>
void for_each_worker_group(const cell_state& cell, quota::topology_level within, Visit visit)
{
    switch (within)
    {
    case quota::topology_level::worker:
        for (const worker_index worker : cell.all_workers)
        {
            visit(std::vector<worker_index>{worker});
        }
        break;
    case quota::topology_level::rack:
        for (const auto& [rack, workers] : cell.racks)
        {
            visit(workers);
        }
        break;
    case quota::topology_level::zone:
        visit(cell.all_workers);
        break;
    }
}

/// Finds a placement for a gang in free capacity without infringing guarantees or reservations.
/// @param[out] blocked_by_reservation set when a reservation excluded a worker.
/// @return the parts, empty when the gang does not fit.
[[nodiscard]] std::vector<part> find_placement(const cell_state& cell, const job_entry& job,
                                               const std::vector<reservation>& reservations,
                                               core::instant now, bool& blocked_by_reservation);
/// Computes the earliest expected start of a blocked job, and stores its group in the job.
/// @return the reservation, or nothing when the gang fits in no group even after all jobs end.
[[nodiscard]] std::optional<reservation> make_reservation(const cell_state& cell, job_entry& job,
                                                          core::instant now);

/// Placement that becomes free once the victims are stopped.
struct preemption_plan
{
    std::vector<part> parts;
    std::vector<job_entry*> victims;
};

/// Plans preemption within the organisation's own guarantees, with the least lost work.
/// @return an empty plan when the guarantees do not cover the gang.
[[nodiscard]] preemption_plan plan_reclaim(const cell_state& cell, const job_entry& job,
                                           core::instant now);

/// Plans preemption of small jobs that lose little work, to make room for a large gang.
/// @return an empty plan when that would not free enough capacity.
[[nodiscard]] preemption_plan plan_consolidation(const cell_state& cell, const job_entry& job,
                                                 core::instant now);

/// Reserves capacity for each guaranteed shape that has none, moving other reservations if needed.
void place_guarantees(cell_state& cell, core::instant now);
/// Releases the capacity reserved for a guaranteed shape.
void clear_guarantee_placement(cell_state& cell, organisation_index organisation,
                               guarantee_placement& placement);

} // namespace chicorylift::sched
