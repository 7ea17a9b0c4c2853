#pragma once

#include "chicorylift/sched/cell_scheduler.hpp"
#include "chicorylift/sched/run_time_model.hpp"

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
struct organisation_share
{
    organisation_index organisation{};
    /// Set aside for its guaranteed shapes.
    core::resources footprint;
    /// Used by work that cannot be stopped and run again.
    core::resources firm;
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
    bool leaving = false;
    worker_health health = worker_health::healthy;
    std::int64_t failures_in_row{};
    core::instant retry_at{};
    core::resources used;
    /// Sum over organisations of the larger of firm use and footprint.
    core::resources committed;
    std::vector<organisation_share> shares;
    std::vector<job_entry*> jobs;

    [[nodiscard]] core::resources free() const noexcept { return this->info.capacity - this->used; }
};

/// Guaranteed shape and where it is set aside.
struct footprint
{
    terms::shape_terms shape;
    std::vector<part> parts;
    std::optional<core::instant> short_since;
};

/// One organisation in this cell.
struct organisation_state
{
    core::organisation_id id;
    std::optional<core::resources> limit;
    core::resources used;
    core::resources guaranteed;
    std::vector<footprint> footprints;
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
    core::instant saved{};
    std::vector<part> placement;
    std::vector<core::job_id> displaced;
    /// Jobs still to stop before this one can start.
    std::int64_t victims_left{};
    /// Job for which this one is being stopped.
    core::job_id claimant;
    stop_reason stopping_for = stop_reason::none;
    std::int64_t failed_runs{};
    /// Times that this job made way for a large gang.
    std::int64_t moves{};
    std::size_t queue_slot{};
    /// Workers kept for this job since it was first blocked.
    std::vector<worker_index> kept_group;
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
    const placement_policy* policy = nullptr;
    bool reclaim_allowed = true;
    bool footprints_dirty = false;
    std::vector<worker_state> workers;
    std::unordered_map<core::worker_id, worker_index> worker_by_id;
    std::map<core::rack_id, std::vector<worker_index>> racks;
    std::vector<worker_index> all_workers;
    std::vector<organisation_state> organisations;
    std::unordered_map<core::organisation_id, organisation_index> organisation_by_id;
    std::unordered_map<core::job_id, std::unique_ptr<job_entry>> jobs;
    std::vector<job_entry*> queue;
    run_time_model run_times;
    std::vector<decision> pending;
};

/// @return the organisation's index; adds the organisation when it is new.
organisation_index organisation_of(cell_state& cell, const core::organisation_id& id);
/// @return the organisation's share on the worker; adds an empty one when there is none.
organisation_share& share_of(worker_state& worker, organisation_index organisation);
/// @return the organisation's share on the worker, empty when there is none.
[[nodiscard]] organisation_share share_on(const worker_state& worker,
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
[[nodiscard]] core::milliseconds expected_run(const cell_state& cell, const job_entry& job,
                                              double quantile);
/// @return what a policy may know about a queued job.
[[nodiscard]] queued_view view_of(const cell_state& cell, const job_entry& job, core::instant now);
/// @return the placement by worker names.
[[nodiscard]] std::vector<task_placement> placement_of(const cell_state& cell,
                                                       const std::vector<part>& parts);
/// Calls @p visit with each group of workers that is near enough for @p within.
template <class Visit>
void for_each_group(const cell_state& cell, terms::adjacency within, Visit visit)
{
    switch (within)
    {
    case terms::adjacency::worker:
        for (const worker_index worker : cell.all_workers)
        {
            visit(std::vector<worker_index>{worker});
        }
        break;
    case terms::adjacency::rack:
        for (const auto& [rack, workers] : cell.racks)
        {
            visit(workers);
        }
        break;
    case terms::adjacency::zone:
        visit(cell.all_workers);
        break;
    }
}

/// Finds room for a gang in what is free, heeding footprints and reservations.
/// @return the parts, empty when there is no room.
[[nodiscard]] std::vector<part> find_room(const cell_state& cell, const job_entry& job,
                                          const std::vector<reservation>& reservations,
                                          core::instant now, bool& behind_reservation);
/// Computes when and where a blocked job could start, and notes the group in the job.
/// @return the room to keep, or nothing when no group could ever hold the gang.
[[nodiscard]] std::optional<reservation> reserve_room(const cell_state& cell, job_entry& job,
                                                      core::instant now);

/// Room that can be made by stopping others' work.
struct reclaim_plan
{
    std::vector<part> parts;
    std::vector<job_entry*> victims;
};

/// Finds room inside the organisation's own footprints by stopping the work that loses least.
/// @return an empty plan when the job isn't entitled to the room it needs.
[[nodiscard]] reclaim_plan plan_reclaim(const cell_state& cell, const job_entry& job,
                                        core::instant now);

/// Finds room for a large gang by moving small work that a checkpoint saves.
/// @return an empty plan when that would not make room.
[[nodiscard]] reclaim_plan plan_consolidation(const cell_state& cell, const job_entry& job,
                                              core::instant now);

/// Gives a footprint to each guaranteed shape that has none, moving others when needed.
void place_footprints(cell_state& cell, core::instant now);
/// Takes all of a footprint's parts out of the accounts.
void drop_footprint(cell_state& cell, organisation_index organisation, footprint& held);

} // namespace chicorylift::sched
