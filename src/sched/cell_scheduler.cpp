#include "chicorylift/sched/cell_scheduler.hpp"

#include "cell_state.hpp"
#include "chicorylift/core/error.hpp"
#include "job_transitions.hpp"
#include "scheduling_pass.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chicorylift::sched
{

namespace
{

constexpr std::array<std::string_view, 4> decision_kind_names{"start", "stop", "refuse", "give_up"};
constexpr std::array<std::string_view, 4> stop_reason_names{"none", "reclaimed", "worker_lost",
                                                            "cancelled"};

constexpr std::int64_t quarantine_failure_threshold = 3;
constexpr core::milliseconds initial_quarantine = std::chrono::seconds{30};
constexpr std::int64_t max_quarantine_doublings = 6;
constexpr std::int64_t max_failed_runs = 3;

worker_state* find_worker(cell_state& cell, const core::worker_id& id)
{
    const auto found = cell.worker_by_id.find(id);
    return found == cell.worker_by_id.end() ? nullptr : &cell.workers[found->second];
}

void record_worker_failure(worker_state& worker, core::instant now)
{
    ++worker.consecutive_failures;
    if (worker.consecutive_failures < quarantine_failure_threshold)
    {
        return;
    }
    const std::int64_t doublings = std::min(
        worker.consecutive_failures - quarantine_failure_threshold, max_quarantine_doublings);
    worker.health = worker_health::quarantined;
    worker.quarantine_until = now + initial_quarantine * (std::int64_t{1} << doublings);
}

void record_worker_success(worker_state& worker)
{
    worker.consecutive_failures = 0;
    worker.health = worker_health::healthy;
}

void end_quarantines(cell_state& cell, core::instant now)
{
    for (worker_state& worker : cell.workers)
    {
        if (worker.health == worker_health::quarantined && worker.quarantine_until <= now)
        {
            worker.health = worker_health::probing;
        }
    }
}

} // namespace

std::string_view to_text(decision_kind kind) noexcept
{
    return decision_kind_names[static_cast<std::size_t>(kind)];
}

std::string_view to_text(stop_reason reason) noexcept
{
    return stop_reason_names[static_cast<std::size_t>(reason)];
}

cell_scheduler::cell_scheduler(const scheduling_policy& policy)
    : state(std::make_unique<cell_state>())
{
    this->state->policy = &policy;
}

cell_scheduler::~cell_scheduler() = default;
cell_scheduler::cell_scheduler(cell_scheduler&&) noexcept = default;
cell_scheduler& cell_scheduler::operator=(cell_scheduler&&) noexcept = default;

void cell_scheduler::worker_joined(const worker_info& worker)
{
    cell_state& cell = *this->state;
    const auto [found, added] =
        cell.worker_by_id.try_emplace(worker.id, static_cast<worker_index>(cell.workers.size()));
    if (added)
    {
        cell.workers.emplace_back();
        cell.all_workers.push_back(found->second);
        cell.racks[worker.rack].push_back(found->second);
    }
    worker_state& known = cell.workers[found->second];
    known.info = worker;
    known.present = true;
    known.draining = false;
    cell.guarantee_placements_dirty = true;
}

void cell_scheduler::worker_draining(const core::worker_id& worker)
{
    worker_state* known = find_worker(*this->state, worker);
    if (known != nullptr && !known->draining)
    {
        known->draining = true;
        this->state->guarantee_placements_dirty = true;
    }
}

void cell_scheduler::worker_lost(const core::worker_id& worker)
{
    worker_state* known = find_worker(*this->state, worker);
    if (known == nullptr || !known->present)
    {
        return;
    }
    known->present = false;
    this->state->guarantee_placements_dirty = true;
    const std::vector<job_entry*> affected_jobs = known->jobs;
    for (job_entry* job : affected_jobs)
    {
        if (job->phase == job_phase::waiting_for_reclaim)
        {
            release(*this->state, *job);
            requeue(*this->state, *job);
        }
        else if (job->phase != job_phase::stopping)
        {
            stop_job(*this->state, *job, stop_reason::worker_lost, "lost worker " + worker.str());
        }
    }
}

void cell_scheduler::apply_config(const quota::resolved_config& config,
                                  const scheduling_policy& policy)
{
    cell_state& cell = *this->state;
    cell.policy = &policy;
    for (organisation_index index = 0; index < cell.organisations.size(); ++index)
    {
        organisation_state& owner = cell.organisations[index];
        for (guarantee_placement& reserved : owner.guarantee_placements)
        {
            clear_guarantee_placement(cell, index, reserved);
        }
        owner.guarantee_placements.clear();
        owner.guaranteed = {};
        owner.limit.reset();
    }
    for (const quota::organisation_quota& owner : config.organisations)
    {
        organisation_state& known =
            cell.organisations[find_or_add_organisation(cell, owner.organisation)];
        known.limit = owner.limit;
        for (const quota::resolved_shape& shape : owner.guarantees)
        {
            known.guaranteed += shape.per_task * shape.tasks;
            if (policy.enforces_guarantees)
            {
                known.guarantee_placements.push_back(
                    {.shape = shape, .parts = {}, .unplaced_since = {}});
            }
        }
    }
    cell.guarantee_placements_dirty = true;
}

void cell_scheduler::set_preemption_allowed(bool allowed)
{
    this->state->preemption_allowed = allowed;
}

void cell_scheduler::submit(const job_spec& spec, core::instant now)
{
    cell_state& cell = *this->state;
    if (cell.jobs.contains(spec.id))
    {
        return;
    }
    auto job = std::make_unique<job_entry>();
    job->spec = spec;
    job->organisation = find_or_add_organisation(cell, spec.organisation);
    job->submitted = now;
    enqueue(cell, *job);
    cell.jobs.emplace(spec.id, std::move(job));
}

void cell_scheduler::restore(const job_spec& spec, const std::vector<task_placement>& placement,
                             core::instant started)
{
    cell_state& cell = *this->state;
    this->submit(spec, started);
    job_entry& job = *cell.jobs.at(spec.id);
    if (job.phase != job_phase::queued)
    {
        return;
    }
    std::vector<part> parts;
    for (const task_placement& placed : placement)
    {
        const auto found = cell.worker_by_id.find(placed.worker);
        if (found != cell.worker_by_id.end())
        {
            parts.push_back({found->second, placed.tasks});
        }
    }
    place_job(cell, job, std::move(parts));
    job.phase = job_phase::running;
    job.started = started;
    job.last_checkpoint = started;
    cell.guarantee_placements_dirty = true;
}

void cell_scheduler::cancel(const core::job_id& id)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr)
    {
        return;
    }
    if (job->phase == job_phase::queued)
    {
        dequeue(cell, *job);
        remove_job(cell, *job);
        return;
    }
    if (job->phase == job_phase::waiting_for_reclaim)
    {
        release(cell, *job);
        remove_job(cell, *job);
        return;
    }
    if (job->phase == job_phase::stopping)
    {
        job->pending_stop_reason = stop_reason::cancelled;
        return;
    }
    stop_job(cell, *job, stop_reason::cancelled, "cancelled by the job's owner");
}

void cell_scheduler::job_started(const core::job_id& id, core::instant now)
{
    job_entry* job = find_job(*this->state, id);
    if (job != nullptr && job->phase == job_phase::starting)
    {
        job->phase = job_phase::running;
        job->started = now;
        job->last_checkpoint = now;
    }
}

void cell_scheduler::start_refused(const core::job_id& id, const core::worker_id& worker,
                                   core::instant now)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr || job->placement.empty())
    {
        return;
    }
    worker_state* refusing_worker = find_worker(cell, worker);
    if (refusing_worker != nullptr)
    {
        record_worker_failure(*refusing_worker, now);
    }
    release(cell, *job);
    if (job->pending_stop_reason == stop_reason::cancelled)
    {
        remove_job(cell, *job);
        return;
    }
    on_victim_stopped(cell, *job);
    requeue(cell, *job);
}

void cell_scheduler::job_checkpointed(const core::job_id& id, core::instant now)
{
    job_entry* job = find_job(*this->state, id);
    if (job != nullptr)
    {
        job->last_checkpoint = now;
    }
}

void cell_scheduler::job_finished(const core::job_id& id, job_outcome outcome,
                                  const std::optional<core::worker_id>& failed_worker,
                                  core::instant now)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr)
    {
        return;
    }
    if (outcome == job_outcome::succeeded)
    {
        cell.run_times.record(job->spec.organisation, job->spec.kind, now - job->started);
        for (const part& placed : job->placement)
        {
            record_worker_success(cell.workers[placed.worker]);
        }
    }
    worker_state* failing_worker =
        failed_worker.has_value() ? find_worker(cell, *failed_worker) : nullptr;
    if (outcome == job_outcome::failed && failing_worker != nullptr)
    {
        record_worker_failure(*failing_worker, now);
    }
    if (!job->placement.empty())
    {
        release(cell, *job);
    }
    ++job->failed_runs;
    const bool should_retry = outcome == job_outcome::failed && job->spec.idempotent &&
                              job->failed_runs < max_failed_runs &&
                              job->pending_stop_reason != stop_reason::cancelled;
    if (should_retry)
    {
        on_victim_stopped(cell, *job);
        requeue(cell, *job);
        return;
    }
    remove_job(cell, *job);
}

void cell_scheduler::job_stopped(const core::job_id& id, core::instant now)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr || job->phase == job_phase::queued)
    {
        return;
    }
    if (job->phase != job_phase::stopping)
    {
        // The agents stopped the gang without a request, for example after their lease expired.
        job->pending_stop_reason = stop_reason::worker_lost;
    }
    if (!job->placement.empty())
    {
        release(cell, *job);
    }
    if (job->pending_stop_reason == stop_reason::cancelled)
    {
        remove_job(cell, *job);
        return;
    }
    if (!job->spec.preemptible())
    {
        emit_decision(cell, decision_kind::report_outcome_unknown, *job, job->pending_stop_reason,
                      "the job may have run and is not idempotent, so it is not run again");
        remove_job(cell, *job);
        return;
    }
    on_victim_stopped(cell, *job);
    job->last_checkpoint = now;
    requeue(cell, *job);
}

std::vector<decision> cell_scheduler::decide(core::instant now)
{
    cell_state& cell = *this->state;
    end_quarantines(cell, now);
    if (cell.guarantee_placements_dirty)
    {
        place_guarantees(cell, now);
    }
    if (!cell.queue.empty())
    {
        run_scheduling_pass(cell, now);
    }
    return std::exchange(cell.pending_decisions, {});
}

} // namespace chicorylift::sched
