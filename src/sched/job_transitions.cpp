#include "job_transitions.hpp"

#include <utility>

namespace chicorylift::sched
{

job_entry* find_job(cell_state& cell, const core::job_id& id)
{
    const auto found = cell.jobs.find(id);
    return found == cell.jobs.end() ? nullptr : found->second.get();
}

void emit_decision(cell_state& cell, decision_kind kind, const job_entry& job, stop_reason reason,
                   std::string detail)
{
    cell.pending_decisions.push_back({.kind = kind,
                                      .job = job.spec.id,
                                      .placement = placement_of(cell, job.placement),
                                      .reason = reason,
                                      .detail = std::move(detail)});
}

void stop_job(cell_state& cell, job_entry& job, stop_reason reason, std::string detail)
{
    job.phase = job_phase::stopping;
    job.pending_stop_reason = reason;
    emit_decision(cell, decision_kind::stop, job, reason, std::move(detail));
}

void on_victim_stopped(cell_state& cell, job_entry& victim)
{
    job_entry* preemptor_job = find_job(cell, std::exchange(victim.preemptor, {}));
    if (preemptor_job == nullptr || preemptor_job->phase != job_phase::waiting_for_reclaim)
    {
        return;
    }
    --preemptor_job->remaining_victims;
    if (preemptor_job->remaining_victims == 0)
    {
        preemptor_job->phase = job_phase::starting;
        emit_decision(cell, decision_kind::start, *preemptor_job, stop_reason::none,
                      "preempted jobs have stopped");
    }
}

void remove_job(cell_state& cell, job_entry& job)
{
    on_victim_stopped(cell, job);
    cell.jobs.erase(core::job_id(job.spec.id));
}

namespace
{

/// Clears the preemptor of the jobs being stopped for this one, so that their end does not start
/// it.
void detach_victims(cell_state& cell, job_entry& job)
{
    for (const core::job_id& displaced : job.displaced)
    {
        job_entry* victim = find_job(cell, displaced);
        if (victim != nullptr && victim->preemptor == job.spec.id)
        {
            victim->preemptor = {};
        }
    }
    job.remaining_victims = 0;
}

} // namespace

void requeue(cell_state& cell, job_entry& job)
{
    detach_victims(cell, job);
    job.pending_stop_reason = stop_reason::none;
    job.displaced.clear();
    job.reason = wait_reason::not_considered;
    enqueue(cell, job);
}

void place_job(cell_state& cell, job_entry& job, std::vector<part> parts)
{
    dequeue(cell, job);
    job.placement = std::move(parts);
    job.reserved_workers.clear();
    job.reason = wait_reason::none;
    job.phase = job_phase::starting;
    allocate(cell, job);
}

} // namespace chicorylift::sched
