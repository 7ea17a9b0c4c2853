#pragma once

#include "cell_state.hpp"

#include <string>

/// Transitions of a job between phases.
namespace chicorylift::sched
{

/// @return the job, or nullptr when it is unknown.
[[nodiscard]] job_entry* find_job(cell_state& cell, const core::job_id& id);
/// Appends a decision about the job to the cell's pending decisions.
void emit_decision(cell_state& cell, decision_kind kind, const job_entry& job, stop_reason reason,
                   std::string detail);
/// Emits a decision to stop the job and marks it as stopping.
void stop_job(cell_state& cell, job_entry& job, stop_reason reason, std::string detail);
/// Starts the victim's preemptor if this was the last victim that it waited for.
void on_victim_stopped(cell_state& cell, job_entry& victim);
/// Erases the job and invalidates the reference; a preemptor stops waiting for it.
void remove_job(cell_state& cell, job_entry& job);
/// Puts a job back into the queue and detaches the jobs that it was preempting.
void requeue(cell_state& cell, job_entry& job);
/// Moves a queued job to the starting phase and allocates its resources.
void place_job(cell_state& cell, job_entry& job, std::vector<part> parts);

} // namespace chicorylift::sched
