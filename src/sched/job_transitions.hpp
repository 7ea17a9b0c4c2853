#pragma once

#include "cell_state.hpp"

#include <string>

/// Steps of a job through its phases, shared by the scheduler's parts.
namespace chicorylift::sched
{

/// @return the job, or nullptr.
[[nodiscard]] job_entry* find_job(cell_state& cell, const core::job_id& id);
/// Adds a decision about the job to those that the caller must carry out.
void emit_decision(cell_state& cell, decision_kind kind, const job_entry& job, stop_reason reason,
                   std::string detail);
/// Orders the job to stop.
void stop_job(cell_state& cell, job_entry& job, stop_reason reason, std::string detail);
/// Starts the claimant once the last job that it displaced is gone.
void on_victim_stopped(cell_state& cell, job_entry& victim);
/// Forgets the job.
void remove_job(cell_state& cell, job_entry& job);
/// Puts a job back into the queue.
void requeue(cell_state& cell, job_entry& job);
/// Gives a queued job its placement.
void place_job(cell_state& cell, job_entry& job, std::vector<part> parts);

} // namespace chicorylift::sched
