#include "batch/scheduler_impl.hpp"

#include <algorithm>

/// Applies agents' reports to the scheduler's state.
namespace chicorylift::batch
{

namespace
{

// A confirmed run that is missing from the worker's reports for this long is stopped.
constexpr core::milliseconds missing_run_timeout{2500};

run_member_state* find_member(run_state& run, const unit_key& unit, const agent_id& agent)
{
    if (run.job != unit.job || run.occurrence != unit.occurrence || run.step != unit.step)
    {
        return nullptr;
    }
    for (run_member_state& member : run.members)
    {
        if (member.index == unit.index && member.agent == agent)
        {
            return &member;
        }
    }
    return nullptr;
}

} // namespace

void site_scheduler::implementation::assume_runs_of(job_state& job)
{
    if (job.origin == job_origin::this_leader)
    {
        return;
    }
    for (const auto& [agent, worker] : this->workers)
    {
        if (!worker.reconciled && !worker.lost)
        {
            job.unreconciled_agents.insert(agent);
        }
    }
}

void site_scheduler::implementation::on_report(const worker_report& report, core::instant now)
{
    this->latest = now;
    worker_state& worker = this->get_or_create_worker(report.agent);
    worker.last_report_at = now;
    worker.reported = true;
    worker.agent_stopping = report.agent_stopping;
    const bool has_start_time = report.worker.started_at.count() != 0;
    const bool restarted = has_start_time && worker.info.started_at.count() != 0 &&
                           report.worker.started_at != worker.info.started_at;
    this->update_worker_info(worker, report, now);
    if (restarted)
    {
        this->record_decision("worker_restarted", {}, report.agent.str());
        worker.pending_ends.clear();
        worker.highest_end = 0;
        worker.failure_history = {};
        this->forget_speed(worker);
    }
    if (!report.lists_valid)
    {
        this->update_zone_state(worker);
        return;
    }
    worker.lists_read_at = now - report.lists_age;
    for (const reported_end& end : report.ends)
    {
        this->on_run_end(worker, end, now);
    }
    // Runs in older lists have no lease any more.
    const bool lists_current = report.lists_age <= this->settings.lease_timeout;
    worker.lost = worker.lost && !lists_current;
    std::set<std::pair<run_number, std::int64_t>> listed;
    for (const reported_run& run : report.runs)
    {
        listed.insert({run.run, run.unit.index});
        if (lists_current)
        {
            this->on_reported_run(worker, run, now);
        }
    }
    if (restarted || (lists_current && !report.lists_incomplete))
    {
        this->handle_missing_runs(worker, listed, restarted, now);
    }
    if (lists_current && !report.lists_incomplete)
    {
        this->stop_unstarted_runs(worker, listed);
        this->mark_reconciled(worker);
    }
    // The worker may have moved to another zone, or its list has shown a start of an earlier
    // leader.
    this->update_zone_state(worker);
}

void site_scheduler::implementation::update_worker_info(worker_state& worker,
                                                        const worker_report& report,
                                                        core::instant now)
{
    const bool was_unresponsive = worker.info.unresponsive;
    if (report.worker.announced)
    {
        worker.info = report.worker;
    }
    else
    {
        // The worker has not registered with its agent's process yet. Until then its last known
        // properties hold, unless it has restarted: it may be of another kind now.
        worker.info.unresponsive = report.worker.unresponsive;
        if (report.worker.started_at.count() != 0 &&
            report.worker.started_at != worker.info.started_at)
        {
            worker.info.started_at = report.worker.started_at;
            worker.info.announced = false;
        }
    }
    if (worker.info.unresponsive && !was_unresponsive)
    {
        this->record_decision("worker_silent", {}, worker.agent.str());
        // The agent no longer renews the worker's lease. The lease timeout starts now.
        worker.last_renewal_at = now;
    }
}

void site_scheduler::implementation::on_run_end(worker_state& worker, const reported_end& end,
                                                core::instant now)
{
    if (end.number != 0 && end.number <= worker.highest_end)
    {
        return;
    }
    worker.highest_end = std::max(worker.highest_end, end.number);
    const auto known = this->jobs.find(end.unit.job);
    if (known == this->jobs.end() || !has_unit(known->second, end.unit))
    {
        if (end.number != 0)
        {
            worker.pending_ends[end.number] = {end.unit.job, 0};
        }
        return;
    }
    job_state& job = known->second;
    get_or_create_occurrence(job, end.unit.occurrence);
    const auto run = this->runs.find(end.run);
    run_member_state* const member =
        run == this->runs.end() ? nullptr : find_member(run->second, end.unit, worker.agent);
    if (member != nullptr && !member->ended)
    {
        this->learn_from_end(worker, run->second, *member, end, now);
        this->on_known_run_end(run->second, *member, end, now);
    }
    else if (member == nullptr)
    {
        this->on_unknown_run_end(worker, job, end);
    }
    if (end.number != 0)
    {
        worker.pending_ends[end.number] = {end.unit.job, job.version};
    }
    this->remove_run_if_ended(end.run, now);
}

void site_scheduler::implementation::on_known_run_end(run_state& run, run_member_state& member,
                                                      const reported_end& end, core::instant now)
{
    if (end.outcome != run_outcome::succeeded || !end.reason.empty())
    {
        this->record_run_end(run, member, end.outcome, end.reason, end.checkpoint, now);
    }
    this->end_member(run, member, end.outcome, end.checkpoint, member.agent, now);
}

void site_scheduler::implementation::on_unknown_run_end(worker_state& worker, job_state& job,
                                                        const reported_end& end)
{
    unit_table& units =
        get_or_create_occurrence(job, end.unit.occurrence)[to_index(end.unit.step)].units;
    const std::size_t position = to_index(end.unit.index);
    const bool gang = job.spec.steps[to_index(end.unit.step)].gang;
    // A run whose lease expired has been replaced or is about to be; its result does not count.
    if (units[position].expired_runs.contains(end.run) || units.is_done(position))
    {
        return;
    }
    if (end.outcome == run_outcome::failed)
    {
        this->mark_failed(job, end.unit.occurrence, end.unit.step, gang ? 0 : end.unit.index,
                          end.run, worker.agent);
    }
    const bool has_run = units[position].run != 0;
    if (!has_run && end.outcome != run_outcome::succeeded &&
        update_checkpoint(units, position, end.checkpoint))
    {
        this->mark_changed(job);
    }
    if (!has_run && end.outcome == run_outcome::succeeded)
    {
        const auto count = job.spec.steps[to_index(end.unit.step)].units;
        const std::int64_t first = gang ? 0 : end.unit.index;
        const std::int64_t last = gang ? count : end.unit.index + 1;
        for (std::int64_t index = first; index < last; ++index)
        {
            this->mark_unit_done(job, end.unit.occurrence, end.unit.step, index);
        }
    }
}

void site_scheduler::implementation::on_reported_run(worker_state& worker,
                                                     const reported_run& reported,
                                                     core::instant now)
{
    const auto run = this->runs.find(reported.run);
    run_member_state* const member =
        run == this->runs.end() ? nullptr : find_member(run->second, reported.unit, worker.agent);
    if (member == nullptr)
    {
        this->adopt_run(worker, reported, now);
        return;
    }
    if (member->ended)
    {
        return;
    }
    member->missing_since.reset();
    if (reported.phase != run_phase::starting)
    {
        member->confirmed_at = member->confirmed ? member->confirmed_at : now;
        member->confirmed = true;
    }
    note_checkpoint(run->second, reported.checkpoint, now);
    member->phase = reported.phase;
    member->checkpoint = reported.checkpoint.empty() ? member->checkpoint : reported.checkpoint;
    const auto job = this->jobs.find(run->second.job);
    if (job != this->jobs.end() && !member->checkpoint.empty())
    {
        unit_table& units = get_or_create_occurrence(
                                job->second, run->second.occurrence)[to_index(run->second.step)]
                                .units;
        job->second.checkpoint_dirty =
            update_checkpoint(units, to_index(member->index), member->checkpoint) ||
            job->second.checkpoint_dirty;
    }
    this->learn_from_progress(worker, run->second, *member, reported, now);
    if (reported.progress_percent != member->progress_percent ||
        reported.phase != run_phase::running)
    {
        member->progress_percent = reported.progress_percent;
        member->last_progress_at = worker.lists_read_at;
    }
}

void site_scheduler::implementation::adopt_run(worker_state& worker, const reported_run& reported,
                                               core::instant now)
{
    const auto known = this->jobs.find(reported.unit.job);
    const bool has_job = known != this->jobs.end() && has_unit(known->second, reported.unit);
    run_state& run = this->runs[reported.run];
    if (run.number == 0)
    {
        run.number = reported.run;
        run.job = reported.unit.job;
        run.occurrence = reported.unit.occurrence;
        run.step = reported.unit.step;
        run.started_at = now;
        run.adopted = true;
        if (has_job)
        {
            const step_spec& step = known->second.spec.steps[to_index(run.step)];
            run.per_unit = step.resource_request();
            run.gang = step.gang;
            run.gang_complete = !step.gang;
            ++known->second.active_runs;
        }
    }
    run_member_state member;
    member.index = reported.unit.index;
    member.agent = worker.agent;
    member.worker = worker.index;
    member.command_sent = true;
    member.confirmed = reported.phase != run_phase::starting;
    member.confirmed_at = now;
    member.phase = reported.phase;
    member.checkpoint = reported.checkpoint;
    member.progress_percent = reported.progress_percent;
    member.last_progress_at = worker.lists_read_at;
    member.last_command_at = now;
    run.members.push_back(member);
    worker.runs.insert(reported.run);
    if (!has_job)
    {
        this->stop_run(run, "the job or unit does not exist", loss_reason::superseded);
        return;
    }
    job_state& job = known->second;
    step_state& step = get_or_create_occurrence(job, run.occurrence)[to_index(run.step)];
    const std::size_t position = to_index(member.index);
    if (job.is_active())
    {
        // The earlier leader may have started the run without persisting its agent. The next leader
        // must find the agent in the job's progress, or it starts the unit a second time.
        this->add_job_agent(job, worker.agent);
    }
    const unit_state& unit = step.units[position];
    const bool superseded = step.units.is_done(position) ||
                            (unit.run != 0 && unit.run != run.number) ||
                            unit.expired_runs.contains(run.number);
    if (superseded || !job.is_active())
    {
        this->stop_run(run, "the unit is done or has another run, or its job has ended",
                       superseded ? loss_reason::superseded : loss_reason::cancelled);
        return;
    }
    job.checkpoint_dirty =
        update_checkpoint(step.units, position, member.checkpoint) || job.checkpoint_dirty;
    if (!run.gang)
    {
        step.units.touch(position).run = run.number;
        return;
    }
    for (std::size_t each = 0; each < step.units.size(); ++each)
    {
        step.units.touch(each).run = run.number;
    }
    run.gang_complete = run.members.size() == step.units.size();
}

void site_scheduler::implementation::handle_missing_runs(
    worker_state& worker, const std::set<std::pair<run_number, std::int64_t>>& listed,
    bool restarted, core::instant now)
{
    std::vector<run_number> affected_runs;
    for (const run_number number : worker.runs)
    {
        run_state& run = this->runs.at(number);
        for (run_member_state& member : run.members)
        {
            if (member.agent != worker.agent || member.ended || !member.confirmed ||
                listed.contains({number, member.index}))
            {
                continue;
            }
            if (restarted)
            {
                this->record_run_end(run, member, run_outcome::lease_expired,
                                     "its worker has restarted", {}, now);
                this->end_member(run, member, run_outcome::lease_expired, {}, worker.agent, now);
                affected_runs.push_back(number);
            }
            else if (!member.missing_since.has_value())
            {
                member.missing_since = now;
            }
            else if (now - *member.missing_since > missing_run_timeout)
            {
                this->stop_run(run, "the run is missing from the worker's reports",
                               loss_reason::run_missing);
            }
        }
    }
    for (const run_number number : affected_runs)
    {
        this->remove_run_if_ended(number, now);
    }
}

void site_scheduler::implementation::stop_unstarted_runs(
    const worker_state& worker, const std::set<std::pair<run_number, std::int64_t>>& listed)
{
    if (!worker.info.draining && !worker.agent_stopping)
    {
        return;
    }
    // The agent passes no start on any more. The stop bars one that is still under way.
    for (const run_number number : worker.runs)
    {
        run_state& run = this->runs.at(number);
        for (const run_member_state& member : run.members)
        {
            if (member.agent == worker.agent && !member.ended && !member.confirmed &&
                !listed.contains({number, member.index}))
            {
                this->stop_run(run, "its worker drains, or the agent stops, and has not started it",
                               loss_reason::worker_drained);
                break;
            }
        }
    }
}

void site_scheduler::implementation::mark_reconciled(worker_state& worker)
{
    if (worker.reconciled)
    {
        return;
    }
    worker.reconciled = true;
    for (auto& [id, job] : this->jobs)
    {
        job.unreconciled_agents.erase(worker.agent);
    }
}

void site_scheduler::implementation::mark_worker_lost(worker_state& worker, std::string_view reason,
                                                      core::instant now)
{
    worker.lost = true;
    this->record_decision("worker_lost", {}, worker.agent.str() + ": " + std::string(reason));
    std::vector<run_number> affected_runs;
    for (const run_number number : worker.runs)
    {
        run_state& run = this->runs.at(number);
        for (run_member_state& member : run.members)
        {
            if (member.agent == worker.agent && !member.ended)
            {
                this->record_run_end(run, member, run_outcome::lease_expired, reason, {}, now);
                this->end_member(run, member, run_outcome::lease_expired, {}, worker.agent, now);
                affected_runs.push_back(number);
            }
        }
    }
    for (const run_number number : affected_runs)
    {
        this->remove_run_if_ended(number, now);
    }
    for (auto& [id, job] : this->jobs)
    {
        job.unreconciled_agents.erase(worker.agent);
        if (job.is_active() && job.agents.erase(worker.agent) > 0)
        {
            // The worker has stopped all its runs, so a later leader need not wait for it.
            job.persisted_agents.erase(worker.agent);
            this->mark_changed(job);
        }
    }
    // The worker gets no new units until its complete run list has been read again.
    worker.reconciled = false;
}

} // namespace chicorylift::batch
