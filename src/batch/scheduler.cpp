#include "chicorylift/batch/scheduler.hpp"

#include "batch/scheduler_impl.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::batch
{

namespace
{

// A row of the table holds 64 KB, and each checkpoint takes about 30 bytes of it.
constexpr std::size_t max_persisted_checkpoints = 1000;

bool has_step(const job_state& job, std::int64_t occurrence, std::int64_t step)
{
    return occurrence >= 0 && occurrence < job.spec.occurrence_count() && step >= 0 &&
           to_index(step) < job.spec.steps.size();
}

void restore_completed(job_state& job, const completed_units& done)
{
    if (!has_step(job, done.occurrence, done.step))
    {
        return;
    }
    step_state& step = get_or_create_occurrence(job, done.occurrence)[to_index(done.step)];
    const auto mark = [&job, &step](std::size_t index)
    {
        if (index < step.units.size())
        {
            mark_unit_done(job, step, index);
        }
    };
    for (const std::int64_t index : done.units)
    {
        mark(to_index(index));
    }
    for (std::size_t index = 0; done.units.empty() && index < step.units.size(); ++index)
    {
        mark(index);
    }
}

void restore_failed(job_state& job, const failed_run& failed)
{
    if (has_step(job, failed.occurrence, failed.step) && failed.unit >= 0 &&
        failed.unit < job.spec.steps[to_index(failed.step)].units &&
        !job.spec.steps[to_index(failed.step)].long_running)
    {
        get_or_create_occurrence(job, failed.occurrence)[to_index(failed.step)]
            .units.touch(to_index(failed.unit))
            .failed.insert(failed.run);
    }
}

void restore_checkpoint(job_state& job, const unit_checkpoint& saved)
{
    if (has_unit(job, {job.spec.id, saved.occurrence, saved.step, saved.unit}))
    {
        get_or_create_occurrence(job, saved.occurrence)[to_index(saved.step)]
            .units.touch(to_index(saved.unit))
            .checkpoint = saved.checkpoint;
    }
}

void append_checkpoints(const step_state& step, bool gang, unit_checkpoint entry,
                        std::vector<unit_checkpoint>& out)
{
    for (const auto& [index, unit] : step.units.touched())
    {
        if (step.units.is_done(index) || unit.checkpoint.empty() ||
            out.size() == max_persisted_checkpoints)
        {
            continue;
        }
        if (gang && !entry.checkpoint.empty())
        {
            out.back().checkpoint = std::max(out.back().checkpoint, unit.checkpoint);
            continue;
        }
        entry.unit = gang ? 0 : static_cast<std::int64_t>(index);
        entry.checkpoint = unit.checkpoint;
        out.push_back(entry);
    }
}

void append_completed(const step_state& step, completed_units entry,
                      std::vector<completed_units>& out)
{
    if (step.units.done_count() == 0)
    {
        return;
    }
    for (std::size_t index = 0; !step.is_done() && index < step.units.size(); ++index)
    {
        if (step.units.is_done(index))
        {
            entry.units.push_back(static_cast<std::int64_t>(index));
        }
    }
    out.push_back(std::move(entry));
}

} // namespace

site_scheduler::site_scheduler(scheduler_settings settings, core::instant takeover)
    : inner(std::make_unique<implementation>(settings, takeover))
{
}

site_scheduler::~site_scheduler() = default;

void site_scheduler::set_policies(std::map<queue_id, queue_policy> queues,
                                  std::map<core::organisation_id, std::int64_t> guaranteed)
{
    this->inner->queues = std::move(queues);
    this->inner->guaranteed = std::move(guaranteed);
    for (auto& [id, job] : this->inner->jobs)
    {
        const auto found = this->inner->queues.find(job.spec.policy.queue);
        if (found != this->inner->queues.end())
        {
            job.policy = found->second;
        }
    }
}

void site_scheduler::add_job(job_spec spec, const job_progress& progress, bool cancelled,
                             core::instant now, job_origin origin, std::uint64_t accepted_version)
{
    const auto [found, inserted] = this->inner->jobs.try_emplace(spec.id);
    if (!inserted)
    {
        return;
    }
    job_state& job = found->second;
    job.spec = std::move(spec);
    const auto queue = this->inner->queues.find(job.spec.policy.queue);
    job.policy = queue == this->inner->queues.end() ? job.spec.policy : queue->second;
    job.critical_path = job.spec.critical_path();
    job.initial_accelerators = job.spec.initial_accelerators();
    for (const step_spec& step : job.spec.steps)
    {
        job.unit_count += step.units * job.spec.occurrence_count();
    }
    job.arrived = now;
    job.origin = origin;
    job.accepted_version = accepted_version;
    job.outcome = progress.outcome;
    job.cancelled = cancelled;
    job.persisted_agents = progress.agents;
    job.agents = progress.agents;
    for (const completed_units& done : progress.completed)
    {
        restore_completed(job, done);
    }
    for (const failed_run& failed : progress.failed)
    {
        restore_failed(job, failed);
    }
    for (const unit_checkpoint& saved : progress.checkpoints)
    {
        restore_checkpoint(job, saved);
    }
    for (const agent_id& agent : progress.agents)
    {
        const auto worker = this->inner->workers.find(agent);
        if (worker == this->inner->workers.end() || !worker->second.reconciled)
        {
            job.unreconciled_agents.insert(agent);
            this->add_agent(agent);
        }
    }
    if (this->inner->assume_unreported_runs)
    {
        this->inner->assume_runs_of(job);
    }
}

void site_scheduler::cancel_job(const core::job_id& job)
{
    const auto found = this->inner->jobs.find(job);
    if (found != this->inner->jobs.end() && !found->second.cancelled)
    {
        found->second.cancelled = true;
        this->inner->record_decision("job_cancelled", job,
                                     std::to_string(found->second.active_runs) +
                                         " runs are being stopped");
        this->inner->stop_job(job, "the job is cancelled", loss_reason::cancelled);
    }
}

void site_scheduler::remove_job(const core::job_id& job)
{
    this->inner->jobs.erase(job);
    this->inner->unpersisted.erase(job);
}

void site_scheduler::add_agent(const agent_id& agent)
{
    static_cast<void>(this->inner->get_or_create_worker(agent));
}

void site_scheduler::assume_runs_on_unreported_agents()
{
    if (std::exchange(this->inner->assume_unreported_runs, true))
    {
        // Jobs and workers that were added since then have been treated when they were added.
        return;
    }
    for (auto& [id, job] : this->inner->jobs)
    {
        this->inner->assume_runs_of(job);
    }
}

void site_scheduler::count_leases_from(core::instant start)
{
    this->inner->leases_counted_from = std::max(this->inner->leases_counted_from, start);
}

void site_scheduler::confirm_leadership(core::instant until)
{
    this->inner->confirmed_until = until;
}

void site_scheduler::confirm_version(std::uint64_t version)
{
    this->inner->confirmed_version = version;
}

void site_scheduler::on_report(const worker_report& report, core::instant now)
{
    this->inner->on_report(report, now);
}

void site_scheduler::on_renewal_sent(const agent_id& agent, core::instant now)
{
    // The agent may have reported before its member row was read.
    worker_state& worker = this->inner->get_or_create_worker(agent);
    // The agent does not renew the lease of an unresponsive worker.
    if (!worker.info.unresponsive)
    {
        worker.last_renewal_at = now;
    }
}

std::vector<agent_command> site_scheduler::schedule(core::instant now, unix_time wall_time,
                                                    bool allow_unpersisted_starts)
{
    return this->inner->schedule(now, wall_time, allow_unpersisted_starts);
}

std::vector<agent_command> site_scheduler::due_commands(core::instant now,
                                                        bool allow_unpersisted_starts)
{
    std::vector<agent_command> commands;
    this->inner->issue_commands(commands, now, allow_unpersisted_starts);
    return commands;
}

std::uint64_t site_scheduler::unpersisted_version(const core::job_id& job) const
{
    const auto found = this->inner->jobs.find(job);
    return found == this->inner->jobs.end() ||
                   found->second.version == found->second.persisted_version
               ? 0
               : found->second.version;
}

std::vector<core::job_id> site_scheduler::unpersisted_jobs() const
{
    std::vector<core::job_id> list;
    for (const core::job_id& id : this->inner->unpersisted)
    {
        // The progress of a cancelled job is never read again.
        if (!this->inner->jobs.at(id).cancelled)
        {
            list.push_back(id);
        }
    }
    std::stable_partition(list.begin(), list.end(),
                          [this](const core::job_id& id) { return this->is_write_urgent(id); });
    return list;
}

job_progress site_scheduler::progress_of(const core::job_id& id) const
{
    const job_state& job = this->inner->jobs.at(id);
    job_progress progress;
    progress.outcome = job.outcome;
    progress.steps = static_cast<std::int64_t>(job.spec.steps.size());
    progress.agents = job.agents;
    for (const auto& [occurrence, steps] : job.occurrences)
    {
        for (std::size_t number = 0; number < steps.size(); ++number)
        {
            const auto step = static_cast<std::int64_t>(number);
            append_completed(steps[number], {occurrence, step, {}}, progress.completed);
            append_checkpoints(steps[number], job.spec.steps[number].gang,
                               {occurrence, step, 0, {}}, progress.checkpoints);
            for (const auto& [index, unit] : steps[number].units.touched())
            {
                for (const run_number run : unit.failed)
                {
                    progress.failed.push_back(
                        {occurrence, step, static_cast<std::int64_t>(index), run});
                }
            }
        }
    }
    return progress;
}

bool site_scheduler::is_write_urgent(const core::job_id& id) const
{
    const auto found = this->inner->jobs.find(id);
    if (found == this->inner->jobs.end())
    {
        return false;
    }
    const job_state& job = found->second;
    return job.version != job.persisted_version &&
           (job.outcome != job_outcome::unfinished || job.agents != job.persisted_agents);
}

void site_scheduler::on_persisted(const core::job_id& id, std::uint64_t version)
{
    const auto found = this->inner->jobs.find(id);
    if (found == this->inner->jobs.end())
    {
        return;
    }
    job_state& job = found->second;
    job.persisted_version = std::max(job.persisted_version, version);
    if (job.persisted_version >= job.agents_version)
    {
        job.persisted_agents = job.agents;
    }
    if (job.persisted_version == job.version)
    {
        this->inner->unpersisted.erase(id);
    }
}

std::pair<unix_time, std::uint64_t> site_scheduler::acknowledged_end(const agent_id& agent)
{
    const auto found = this->inner->workers.find(agent);
    if (found == this->inner->workers.end())
    {
        return {};
    }
    worker_state& worker = found->second;
    while (!worker.pending_ends.empty())
    {
        const auto& [number, change] = *worker.pending_ends.begin();
        const auto job = this->inner->jobs.find(change.first);
        if (job != this->inner->jobs.end() && !job->second.cancelled &&
            job->second.persisted_version < change.second)
        {
            return {worker.info.started_at, number - 1};
        }
        // A persisted end stays persisted, so it is not looked at again.
        worker.pending_ends.erase(worker.pending_ends.begin());
    }
    return {worker.info.started_at, worker.highest_end};
}

std::optional<job_outcome> site_scheduler::outcome_of(const core::job_id& job) const
{
    const auto found = this->inner->jobs.find(job);
    return found == this->inner->jobs.end() ? std::nullopt : std::optional(found->second.outcome);
}

std::vector<core::job_id> site_scheduler::removable_jobs() const
{
    std::vector<core::job_id> list;
    for (const auto& [id, job] : this->inner->jobs)
    {
        const bool persisted = job.cancelled || job.version == job.persisted_version;
        if (!job.is_active() && job.active_runs == 0 && job.unreconciled_agents.empty() &&
            persisted)
        {
            list.push_back(id);
        }
    }
    return list;
}

std::size_t site_scheduler::active_runs() const noexcept
{
    return this->inner->runs.size();
}

std::size_t site_scheduler::pending_units() const noexcept
{
    return this->inner->pending_units;
}

std::size_t site_scheduler::placement_attempts() const noexcept
{
    return this->inner->placement_attempts;
}

std::vector<decision_record> site_scheduler::take_records()
{
    std::vector<decision_record> taken;
    taken.swap(this->inner->records);
    return taken;
}

std::vector<run_time_sample> site_scheduler::take_run_times()
{
    return std::exchange(this->inner->samples, {});
}

} // namespace chicorylift::batch
