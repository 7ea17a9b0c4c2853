#pragma once

#include "chicorylift/sched/cell_scheduler.hpp"
#include "chicorylift/sched/run_time_estimator.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

/// State of one cell and the accounts kept on it; private to the scheduler.
namespace chicorylift::sched
{

using organisation_index = std::uint32_t;
using worker_index = std::uint32_t;

/// What one organisation holds on one worker.
struct organisation_allocation
{
    organisation_index organisation{};
    /// Set aside for its guaranteed shapes.
    core::resources guaranteed;
    /// Used by work that cannot be stopped and run again.
    core::resources non_preemptible;
    /// Used by all its work.
    core::resources used;
};

/// Tasks of a gang, or of a guaranteed shape, on one worker.
struct part
{
    worker_index worker{};
    std::int64_t tasks{};
};

/// Whether a worker gets tasks.
enum class worker_health
{
    healthy,
    /// Gets nothing until a set time.
    quarantined,
    /// Gets one small job to show that it works.
    probing,
};

struct job_entry;

/// One worker and everything placed on it.
struct worker_state
{
    worker_info info;
    bool present = false;
    bool draining = false;
    worker_health health = worker_health::healthy;
    std::int64_t consecutive_failures{};
    core::instant quarantine_until{};
    core::resources used;
    /// Sum over organisations of the larger of firm use and footprint.
    core::resources committed;
    std::vector<organisation_allocation> allocations;
    std::vector<job_entry*> jobs;

    [[nodiscard]] core::resources free() const noexcept { return this->info.capacity - this->used; }
};

/// Guaranteed shape and where it is set aside.
struct guarantee_placement
{
    quota::resolved_shape shape;
    std::vector<part> parts;
    std::optional<core::instant> unplaced_since;
};

/// One organisation in this cell.
struct organisation_state
{
    core::organisation_id id;
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
    std::vector<core::job_id> displaced;
    /// Jobs still to stop before this one can start.
    std::int64_t remaining_victims{};
    /// Job for which this one is being stopped.
    core::job_id preemptor;
    stop_reason pending_stop_reason = stop_reason::none;
    std::int64_t failed_runs{};
    /// Times that this job made way for a large gang.
    std::int64_t consolidation_count{};
    std::size_t queue_slot{};
    /// Workers kept for this job since it was first blocked.
    std::vector<worker_index> reserved_workers;
};

/// Room kept for a blocked job.
struct reservation
{
    std::vector<bool> workers;
    core::instant start;
};

/// All state of one cell's scheduler.
struct cell_state
{
    const scheduling_policy* policy = nullptr;
    bool preemption_allowed = true;
    bool guarantee_placements_dirty = false;
    std::vector<worker_state> workers;
    std::unordered_map<core::worker_id, worker_index> worker_by_id;
    std::map<core::rack_id, std::vector<worker_index>> racks;
    std::vector<worker_index> all_workers;
    std::vector<organisation_state> organisations;
    std::unordered_map<core::organisation_id, organisation_index> organisation_by_id;
    std::unordered_map<core::job_id, std::unique_ptr<job_entry>> jobs;
    std::vector<job_entry*> queue;
    run_time_estimator run_times;
    std::vector<decision> pending_decisions;
};

/// @return the organisation's index; adds the organisation when it is new.
organisation_index find_or_add_organisation(cell_state& cell, const core::organisation_id& id);
/// @return the organisation's share on the worker; adds an empty one when there is none.
organisation_allocation& find_or_add_allocation(worker_state& worker,
                                                organisation_index organisation);
/// @return the organisation's share on the worker, empty when there is none.
[[nodiscard]] organisation_allocation allocation_or_empty(const worker_state& worker,
                                                          organisation_index organisation) noexcept;
/// Recomputes a worker's committed resources from its shares.
void recompute_committed(worker_state& worker);

/// Enters a placed job into the accounts of its workers and its organisation.
void allocate(cell_state& cell, job_entry& job);
/// Takes a placed job out of the accounts and clears its placement.
void release(cell_state& cell, job_entry& job);
/// Adds the job to the queue.
void enqueue(cell_state& cell, job_entry& job);
/// Takes the job out of the queue in constant time.
void dequeue(cell_state& cell, job_entry& job);

/// @return how long the job is expected to run, by the policy's source of estimates.
[[nodiscard]] core::milliseconds expected_run_time(const cell_state& cell, const job_entry& job,
                                                   double quantile);
/// @return what a policy may know about a queued job.
[[nodiscard]] queued_job_view make_queued_job_view(const cell_state& cell, const job_entry& job,
                                                   core::instant now);
/// @return the placement by worker names.
[[nodiscard]] std::vector<task_placement> placement_of(const cell_state& cell,
                                                       const std::vector<part>& parts);
/// Calls @p visit with each group of workers that is near enough for @p within.
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

/// Finds room for a gang in what is free, heeding footprints and reservations.
/// @return the parts, empty when there is no room.
[[nodiscard]] std::vector<part> find_placement(const cell_state& cell, const job_entry& job,
                                               const std::vector<reservation>& reservations,
                                               core::instant now, bool& behind_reservation);
/// Computes when and where a blocked job could start, and notes the group in the job.
/// @return the room to keep, or nothing when no group could ever hold the gang.
[[nodiscard]] std::optional<reservation> make_reservation(const cell_state& cell, job_entry& job,
                                                          core::instant now);

/// Room that can be made by stopping others' work.
struct preemption_plan
{
    std::vector<part> parts;
    std::vector<job_entry*> victims;
};

/// Finds room inside the organisation's own footprints by stopping the work that loses least.
/// @return an empty plan when the job isn't entitled to the room it needs.
[[nodiscard]] preemption_plan plan_reclaim(const cell_state& cell, const job_entry& job,
                                           core::instant now);

/// Finds room for a large gang by moving small work that a checkpoint saves.
/// @return an empty plan when that would not make room.
[[nodiscard]] preemption_plan plan_consolidation(const cell_state& cell, const job_entry& job,
                                                 core::instant now);

/// Gives a footprint to each guaranteed shape that has none, moving others when needed.
void place_guarantees(cell_state& cell, core::instant now);
/// Takes all of a footprint's parts out of the accounts.
void clear_guarantee_placement(cell_state& cell, organisation_index organisation,
                               guarantee_placement& held);

} // namespace chicorylift::sched
