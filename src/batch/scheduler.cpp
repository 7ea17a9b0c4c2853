#include "chicorylift/batch/scheduler.hpp"

#include "batch/scheduler_impl.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

// A row holds 64 KB; each checkpoint takes about 30 bytes of it.
constexpr std::size_t most_saved_units = 1000;

bool has_step(const job_state& job, std::int64_t occurrence, std::int64_t step)
{
    return occurrence >= 0 && occurrence < job.spec.rounds() && step >= 0 &&
           at(step) < job.spec.steps.size();
}

void restore_done(job_state& job, const done_units& done)
{
    if (!has_step(job, done.occurrence, done.step))
    {
        return;
    }
    step_state& step = occurrence_of(job, done.occurrence)[at(done.step)];
    const auto mark = [&step](std::size_t index)
    {
        if (index < step.units.size() && !step.units[index].done)
        {
            step.units[index].done = true;
            ++step.done;
        }
    };
    for (const std::int64_t index : done.units)
    {
        mark(at(index));
    }
    for (std::size_t index = 0; done.units.empty() && index < step.units.size(); ++index)
    {
        mark(index);
    }
}

void restore_failed(job_state& job, const failed_run& failed)
{
    if (has_step(job, failed.occurrence, failed.step) && failed.unit >= 0 &&
        failed.unit < job.spec.steps[at(failed.step)].units)
    {
        occurrence_of(job, failed.occurrence)[at(failed.step)].units[at(failed.unit)].failed.insert(
            failed.run);
    }
}

void restore_saved(job_state& job, const saved_unit& saved)
{
    if (has_unit(job, {job.spec.id, saved.occurrence, saved.step, saved.unit}))
    {
        occurrence_of(job, saved.occurrence)[at(saved.step)].units[at(saved.unit)].checkpoint =
            saved.checkpoint;
    }
}

void list_saved(const step_state& step, bool gang, saved_unit place, std::vector<saved_unit>& out)
{
    for (std::size_t index = 0; !step.is_done() && index < step.units.size(); ++index)
    {
        const unit_state& unit = step.units[index];
        if (unit.done || unit.checkpoint.empty() || out.size() == most_saved_units)
        {
            continue;
        }
        if (gang && !place.checkpoint.empty())
        {
            out.back().checkpoint = std::max(out.back().checkpoint, unit.checkpoint);
            continue;
        }
        place.unit = gang ? 0 : static_cast<std::int64_t>(index);
        place.checkpoint = unit.checkpoint;
        out.push_back(place);
    }
}

void list_done(const step_state& step, done_units place, std::vector<done_units>& out)
{
    if (step.done == 0)
    {
        return;
    }
    for (std::size_t index = 0; !step.is_done() && index < step.units.size(); ++index)
    {
        if (step.units[index].done)
        {
            place.units.push_back(static_cast<std::int64_t>(index));
        }
    }
    out.push_back(std::move(place));
}

} // namespace

site_scheduler::site_scheduler(scheduler_settings settings, core::instant takeover)
    : inner(std::make_unique<implementation>(settings, takeover))
{
}

site_scheduler::~site_scheduler() = default;

void site_scheduler::set_terms(std::map<queue_id, queue_terms> queues,
                               std::map<core::organisation_id, std::int64_t> guaranteed)
{
    this->inner->queues = std::move(queues);
    this->inner->guaranteed = std::move(guaranteed);
    for (auto& [id, job] : this->inner->jobs)
    {
        const auto found = this->inner->queues.find(job.spec.terms.queue);
        if (found != this->inner->queues.end())
        {
            job.terms = found->second;
        }
    }
}

void site_scheduler::add_job(job_spec spec, const job_progress& progress, bool cancelled,
                             core::instant now)
{
    const auto [found, fresh] = this->inner->jobs.try_emplace(spec.id);
    if (!fresh)
    {
        return;
    }
    job_state& job = found->second;
    job.spec = std::move(spec);
    const auto queue = this->inner->queues.find(job.spec.terms.queue);
    job.terms = queue == this->inner->queues.end() ? job.spec.terms : queue->second;
    job.arrived = now;
    job.outcome = progress.outcome;
    job.cancelled = cancelled;
    job.written_agents = progress.agents;
    job.agents = progress.agents;
    for (const done_units& done : progress.done)
    {
        restore_done(job, done);
    }
    for (const failed_run& failed : progress.failed)
    {
        restore_failed(job, failed);
    }
    for (const saved_unit& saved : progress.saved)
    {
        restore_saved(job, saved);
    }
    for (const agent_id& agent : progress.agents)
    {
        const auto worker = this->inner->workers.find(agent);
        if (worker == this->inner->workers.end() || !worker->second.settled)
        {
            job.unsettled.insert(agent);
            this->add_agent(agent);
        }
    }
    if (this->inner->distrust)
    {
        this->distrust_written_agents();
    }
}

void site_scheduler::cancel_job(const core::job_id& job)
{
    const auto found = this->inner->jobs.find(job);
    if (found != this->inner->jobs.end() && !found->second.cancelled)
    {
        found->second.cancelled = true;
        this->inner->record("job_cancelled", job,
                            std::to_string(found->second.open_runs) + " runs to stop");
        this->inner->stop_job(job, "the job is cancelled");
    }
}

void site_scheduler::forget_job(const core::job_id& job)
{
    this->inner->jobs.erase(job);
    this->inner->unwritten.erase(job);
}

void site_scheduler::add_agent(const agent_id& agent)
{
    const auto [found, fresh] = this->inner->workers.try_emplace(agent);
    if (fresh)
    {
        found->second.agent = agent;
    }
}

void site_scheduler::distrust_written_agents()
{
    this->inner->distrust = true;
    for (auto& [id, job] : this->inner->jobs)
    {
        for (const auto& [agent, worker] : this->inner->workers)
        {
            if (!worker.settled && !worker.lost)
            {
                job.unsettled.insert(agent);
            }
        }
    }
}

void site_scheduler::on_report(const worker_report& report, core::instant now)
{
    this->inner->on_report(report, now);
}

void site_scheduler::on_renewal_sent(const agent_id& agent, core::instant now)
{
    const auto found = this->inner->workers.find(agent);
    // An agent whose worker is silent renews nothing.
    if (found != this->inner->workers.end() && !found->second.info.gone)
    {
        found->second.renewed = now;
    }
}

std::vector<order> site_scheduler::decide(core::instant now, unix_time today, bool unwritten)
{
    return this->inner->decide(now, today, unwritten);
}

std::uint64_t site_scheduler::unwritten_change(const core::job_id& job) const
{
    const auto found = this->inner->jobs.find(job);
    return found == this->inner->jobs.end() || found->second.change == found->second.written
               ? 0
               : found->second.change;
}

std::vector<core::job_id> site_scheduler::unwritten_jobs() const
{
    std::vector<core::job_id> list;
    for (const core::job_id& id : this->inner->unwritten)
    {
        // How far a cancelled job came matters to nobody.
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
    progress.agents = job.agents;
    for (const auto& [occurrence, steps] : job.occurrences)
    {
        for (std::size_t number = 0; number < steps.size(); ++number)
        {
            const auto step = static_cast<std::int64_t>(number);
            list_done(steps[number], {occurrence, step, {}}, progress.done);
            list_saved(steps[number], job.spec.steps[number].gang, {occurrence, step, 0, {}},
                       progress.saved);
            for (std::size_t index = 0; index < steps[number].units.size(); ++index)
            {
                for (const run_number run : steps[number].units[index].failed)
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
    return job.change != job.written &&
           (job.outcome != job_outcome::open || job.agents != job.written_agents);
}

void site_scheduler::on_written(const core::job_id& id, std::uint64_t change)
{
    const auto found = this->inner->jobs.find(id);
    if (found == this->inner->jobs.end())
    {
        return;
    }
    job_state& job = found->second;
    job.written = std::max(job.written, change);
    if (job.written >= job.agents_change)
    {
        job.written_agents = job.agents;
    }
    if (job.written == job.change)
    {
        this->inner->unwritten.erase(id);
    }
}

std::pair<unix_time, std::uint64_t> site_scheduler::noted_ends(const agent_id& agent) const
{
    const auto found = this->inner->workers.find(agent);
    if (found == this->inner->workers.end())
    {
        return {};
    }
    const worker_state& worker = found->second;
    for (const auto& [number, need] : worker.pending_ends)
    {
        const auto job = this->inner->jobs.find(need.first);
        if (job != this->inner->jobs.end() && !job->second.cancelled &&
            job->second.written < need.second)
        {
            return {worker.info.born, number - 1};
        }
    }
    return {worker.info.born, worker.highest_end};
}

std::optional<job_outcome> site_scheduler::outcome_of(const core::job_id& job) const
{
    const auto found = this->inner->jobs.find(job);
    return found == this->inner->jobs.end() ? std::nullopt : std::optional(found->second.outcome);
}

std::vector<core::job_id> site_scheduler::settled_jobs() const
{
    std::vector<core::job_id> list;
    for (const auto& [id, job] : this->inner->jobs)
    {
        const bool written = job.cancelled || job.change == job.written;
        if (!job.is_active() && job.open_runs == 0 && job.unsettled.empty() && written)
        {
            list.push_back(id);
        }
    }
    return list;
}

std::size_t site_scheduler::open_runs() const noexcept
{
    return this->inner->runs.size();
}

std::size_t site_scheduler::waiting_units() const noexcept
{
    return this->inner->waiting;
}

std::size_t site_scheduler::placing_tries() const noexcept
{
    return this->inner->placing_tries;
}

std::vector<decision_record> site_scheduler::take_records()
{
    std::vector<decision_record> taken;
    taken.swap(this->inner->records);
    return taken;
}

} // namespace chicorylift::batch
