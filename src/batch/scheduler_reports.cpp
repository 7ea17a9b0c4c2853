#include "batch/scheduler_impl.hpp"

#include <algorithm>

/// The scheduler's part that takes in what agents report.
namespace chicorylift::batch
{

namespace
{

// A confirmed run that the worker's lists no longer show is barred after this long.
constexpr core::milliseconds missing_patience{2500};

member_state* find_member(run_state& run, const unit_key& unit, const agent_id& agent)
{
    if (run.job != unit.job || run.occurrence != unit.occurrence || run.step != unit.step)
    {
        return nullptr;
    }
    for (member_state& member : run.members)
    {
        if (member.index == unit.index && member.agent == agent)
        {
            return &member;
        }
    }
    return nullptr;
}

} // namespace

void site_scheduler::implementation::on_report(const worker_report& report, core::instant now)
{
    worker_state& worker = this->workers[report.agent];
    worker.agent = report.agent;
    worker.heard = now;
    worker.reported = true;
    worker.leaving = report.leaving;
    const bool has_life = report.worker.born.count() != 0;
    const bool reborn =
        has_life && worker.info.born.count() != 0 && report.worker.born != worker.info.born;
    this->take_info(worker, report, now);
    if (reborn)
    {
        this->record("worker_restarted", {}, report.agent.str());
        worker.pending_ends.clear();
        worker.highest_end = 0;
        worker.record = {};
    }
    if (!report.lists_valid)
    {
        return;
    }
    worker.lost = false;
    worker.listed = now - report.lists_age;
    for (const reported_end& end : report.ends)
    {
        this->take_end(worker, end, now);
    }
    std::set<std::pair<run_number, std::int64_t>> listed;
    for (const reported_run& run : report.runs)
    {
        listed.insert({run.run, run.unit.index});
        this->take_run(worker, run, now);
    }
    this->note_missing(worker, listed, reborn, now);
    this->settle(worker);
}

void site_scheduler::implementation::take_info(worker_state& worker, const worker_report& report,
                                               core::instant now)
{
    const bool was_gone = worker.info.gone;
    if (report.worker.announced)
    {
        worker.info = report.worker;
    }
    else
    {
        // The agent has restarted: what its worker is stays as it was until it announces itself.
        worker.info.gone = report.worker.gone;
        if (report.worker.born.count() != 0)
        {
            worker.info.born = report.worker.born;
        }
    }
    if (worker.info.gone && !was_gone)
    {
        this->record("worker_silent", {}, worker.agent.str());
        // Its agent has stopped renewing, so that the lease ends by itself from here on.
        worker.renewed = now;
    }
}

void site_scheduler::implementation::take_end(worker_state& worker, const reported_end& end,
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
    occurrence_of(job, end.unit.occurrence);
    const auto run = this->runs.find(end.run);
    member_state* const member =
        run == this->runs.end() ? nullptr : find_member(run->second, end.unit, worker.agent);
    if (member != nullptr && !member->ended)
    {
        this->take_end_of_known_run(run->second, *member, end, now);
    }
    else if (member == nullptr)
    {
        this->take_end_of_unknown_run(worker, job, end);
    }
    if (end.number != 0)
    {
        worker.pending_ends[end.number] = {end.unit.job, job.change};
    }
    this->close_if_ended(end.run, now);
}

void site_scheduler::implementation::take_end_of_known_run(run_state& run, member_state& member,
                                                           const reported_end& end,
                                                           core::instant now)
{
    if (end.kind != end_kind::done || !end.reason.empty())
    {
        this->record("run_ended", run.job,
                     to_text(end.unit) + " run " + std::to_string(run.number) + " on " +
                         member.agent.str() + ": " + std::string(to_text(end.kind)) +
                         (end.reason.empty() ? "" : " (" + end.reason + ")") +
                         (end.checkpoint.empty() ? "" : ", state " + end.checkpoint));
    }
    this->end_member(run, member, end.kind, end.checkpoint, member.agent, now);
}

void site_scheduler::implementation::take_end_of_unknown_run(worker_state& worker, job_state& job,
                                                             const reported_end& end)
{
    unit_state& unit =
        job.occurrences[end.unit.occurrence][at(end.unit.step)].units[at(end.unit.index)];
    const bool gang = job.spec.steps[at(end.unit.step)].gang;
    // A run that was given up has been replaced, or is about to be.
    if (unit.given_up.contains(end.run) || unit.done)
    {
        return;
    }
    if (end.kind == end_kind::failed)
    {
        this->mark_failed(job, end.unit.occurrence, end.unit.step, gang ? 0 : end.unit.index,
                          end.run, worker.agent);
    }
    if (unit.run == 0 && end.kind != end_kind::done && take_checkpoint(unit, end.checkpoint))
    {
        this->touch(job);
    }
    if (unit.run == 0 && end.kind == end_kind::done)
    {
        const auto count = job.spec.steps[at(end.unit.step)].units;
        const std::int64_t first = gang ? 0 : end.unit.index;
        const std::int64_t last = gang ? count : end.unit.index + 1;
        for (std::int64_t index = first; index < last; ++index)
        {
            this->mark_unit_done(job, end.unit.occurrence, end.unit.step, index);
        }
    }
}

void site_scheduler::implementation::take_run(worker_state& worker, const reported_run& reported,
                                              core::instant now)
{
    const auto run = this->runs.find(reported.run);
    member_state* const member =
        run == this->runs.end() ? nullptr : find_member(run->second, reported.unit, worker.agent);
    if (member == nullptr)
    {
        this->adopt(worker, reported, now);
        return;
    }
    if (member->ended)
    {
        return;
    }
    member->missing_since.reset();
    if (reported.phase != run_phase::starting)
    {
        member->confirmed = true;
    }
    member->phase = reported.phase;
    member->checkpoint = reported.checkpoint.empty() ? member->checkpoint : reported.checkpoint;
    const auto job = this->jobs.find(run->second.job);
    if (job != this->jobs.end() && !member->checkpoint.empty())
    {
        unit_state& unit = occurrence_of(job->second, run->second.occurrence)[at(run->second.step)]
                               .units[at(member->index)];
        job->second.unsaved = take_checkpoint(unit, member->checkpoint) || job->second.unsaved;
    }
    if (reported.percent != member->percent || reported.phase != run_phase::running)
    {
        member->percent = reported.percent;
        member->progressed = worker.listed;
    }
}

void site_scheduler::implementation::adopt(worker_state& worker, const reported_run& reported,
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
        run.began = now;
        if (has_job)
        {
            const step_spec& step = known->second.spec.steps[at(run.step)];
            run.per_unit = step.room();
            run.gang = step.gang;
            run.whole = !step.gang;
            ++known->second.open_runs;
        }
    }
    member_state member;
    member.index = reported.unit.index;
    member.agent = worker.agent;
    member.ordered = true;
    member.confirmed = reported.phase != run_phase::starting;
    member.phase = reported.phase;
    member.checkpoint = reported.checkpoint;
    member.percent = reported.percent;
    member.progressed = worker.listed;
    member.last_order = now;
    run.members.push_back(member);
    if (!has_job)
    {
        this->stop_run(run, "the job is not known");
        return;
    }
    job_state& job = known->second;
    step_state& step = occurrence_of(job, run.occurrence)[at(run.step)];
    unit_state& unit = step.units[at(member.index)];
    const bool taken = unit.done || (unit.run != 0 && unit.run != run.number) ||
                       unit.given_up.contains(run.number);
    if (taken || !job.is_active())
    {
        this->stop_run(run, "the unit is settled otherwise");
        return;
    }
    job.unsaved = take_checkpoint(unit, member.checkpoint) || job.unsaved;
    if (!run.gang)
    {
        unit.run = run.number;
        return;
    }
    for (unit_state& each : step.units)
    {
        each.run = run.number;
    }
    run.whole = run.members.size() == step.units.size();
}

void site_scheduler::implementation::note_missing(
    worker_state& worker, const std::set<std::pair<run_number, std::int64_t>>& listed, bool reborn,
    core::instant now)
{
    std::vector<run_number> touched;
    for (auto& [number, run] : this->runs)
    {
        for (member_state& member : run.members)
        {
            if (member.agent != worker.agent || member.ended || !member.confirmed ||
                listed.contains({number, member.index}))
            {
                continue;
            }
            if (reborn)
            {
                this->end_member(run, member, end_kind::lapsed, {}, worker.agent, now);
                touched.push_back(number);
            }
            else if (!member.missing_since.has_value())
            {
                member.missing_since = now;
            }
            else if (now - *member.missing_since > missing_patience)
            {
                this->stop_run(run, "the worker no longer lists it");
            }
        }
    }
    for (const run_number number : touched)
    {
        this->close_if_ended(number, now);
    }
}

void site_scheduler::implementation::settle(worker_state& worker)
{
    if (worker.settled)
    {
        return;
    }
    worker.settled = true;
    for (auto& [id, job] : this->jobs)
    {
        job.unsettled.erase(worker.agent);
    }
}

void site_scheduler::implementation::lose_worker(worker_state& worker, std::string_view why,
                                                 core::instant now)
{
    worker.lost = true;
    this->record("worker_lost", {}, worker.agent.str() + ": " + std::string(why));
    std::vector<run_number> touched;
    for (auto& [number, run] : this->runs)
    {
        for (member_state& member : run.members)
        {
            if (member.agent == worker.agent && !member.ended)
            {
                this->end_member(run, member, end_kind::lapsed, {}, worker.agent, now);
                touched.push_back(number);
            }
        }
    }
    for (const run_number number : touched)
    {
        this->close_if_ended(number, now);
    }
    for (auto& [id, job] : this->jobs)
    {
        job.unsettled.erase(worker.agent);
        if (job.is_active() && job.agents.erase(worker.agent) > 0)
        {
            // A later lead need not wait for it again.
            job.written_agents.erase(worker.agent);
            this->touch(job);
        }
    }
    // Its lists are read anew before it gets work again.
    worker.settled = false;
}

} // namespace chicorylift::batch
