#include "batch/scheduler_impl.hpp"

#include <algorithm>
#include <array>

/// Ended runs: updates their units, gangs, jobs and workers, and stops runs.
namespace chicorylift::batch
{

namespace
{

// Backoff before a refused start is retried, so that a full worker does not get start commands in a
// tight loop.
constexpr core::milliseconds refused_start_backoff{150};
// Number of consecutive failed units after which a worker is quarantined.
constexpr std::int64_t quarantine_threshold = 2;
constexpr core::milliseconds max_quarantine{16000};

} // namespace

std::string_view to_text(run_outcome kind) noexcept
{
    constexpr std::array<std::string_view, 7> names{"done",   "failed", "stopped",      "lapsed",
                                                    "broken", "alone",  "never_started"};
    return names.at(static_cast<std::size_t>(kind));
}

void site_scheduler::implementation::record_decision(std::string_view event,
                                                     const core::job_id& job, std::string detail)
{
    this->records.push_back({event, job, std::move(detail), {}, {}, {}, {}});
}

void site_scheduler::implementation::mark_changed(job_state& job)
{
    ++job.version;
    this->unpersisted.insert(job.spec.id);
}

bool site_scheduler::implementation::update_checkpoint(unit_table& units, std::size_t index,
                                                       const std::string& checkpoint)
{
    // Later checkpoints of a unit have lexicographically greater names. A delayed report must not
    // replace a newer checkpoint.
    if (units.is_done(index) || checkpoint <= units[index].checkpoint)
    {
        return false;
    }
    units.touch(index).checkpoint = checkpoint;
    return true;
}

void site_scheduler::implementation::end_member(run_state& run, run_member_state& member,
                                                run_outcome kind, const std::string& checkpoint,
                                                const agent_id& agent, core::instant now)
{
    member.ended = true;
    if (!checkpoint.empty())
    {
        member.checkpoint = checkpoint;
    }
    const auto found = this->jobs.find(run.job);
    if (found != this->jobs.end())
    {
        job_state& job = found->second;
        unit_table& units = get_or_create_occurrence(job, run.occurrence)[to_index(run.step)].units;
        const std::size_t position = to_index(member.index);
        if (kind != run_outcome::succeeded && update_checkpoint(units, position, member.checkpoint))
        {
            // The worker may discard the ended run, and with it the checkpoint, only after the
            // checkpoint is persisted.
            this->mark_changed(job);
        }
        if (kind == run_outcome::lease_expired)
        {
            units.touch(position).expired_runs.insert(run.number);
        }
        if (kind == run_outcome::succeeded)
        {
            this->mark_done(job, run, member);
            this->record_success(agent);
        }
        else if (kind == run_outcome::failed)
        {
            this->mark_failed(job, run.occurrence, run.step, run.gang ? 0 : member.index,
                              run.number, agent);
            this->record_failure(agent, now);
        }
        else if (kind == run_outcome::never_started)
        {
            units.touch(position).not_before = now + refused_start_backoff;
        }
    }
    // The other members of a gang must neither run nor wait without this one.
    if (run.gang && kind != run_outcome::succeeded)
    {
        this->stop_run(run, to_text(kind), loss_reason::gang_member_ended);
    }
}

void site_scheduler::implementation::mark_done(job_state& job, run_state& run,
                                               run_member_state& member)
{
    if (!run.gang)
    {
        this->mark_unit_done(job, run.occurrence, run.step, member.index);
        return;
    }
    // The members of a gang succeed together, so one success completes the whole gang.
    const auto count = job.spec.steps[to_index(run.step)].units;
    for (std::int64_t index = 0; index < count; ++index)
    {
        this->mark_unit_done(job, run.occurrence, run.step, index);
    }
}

void site_scheduler::implementation::mark_unit_done(job_state& job, std::int64_t occurrence,
                                                    std::int64_t step, std::int64_t index)
{
    step_state& state = get_or_create_occurrence(job, occurrence)[to_index(step)];
    if (job.spec.steps[to_index(step)].long_running ||
        !batch::mark_unit_done(job, state, to_index(index)))
    {
        return;
    }
    this->mark_changed(job);
    this->check_completed(job);
}

void site_scheduler::implementation::mark_failed(job_state& job, std::int64_t occurrence,
                                                 std::int64_t step, std::int64_t index,
                                                 run_number run, const agent_id& agent)
{
    unit_state& unit =
        get_or_create_occurrence(job, occurrence)[to_index(step)].units.touch(to_index(index));
    unit.failed_on.insert(agent);
    // Long-running units have no limit of attempts, and fail without end.
    if (job.spec.steps[to_index(step)].long_running || !unit.failed.insert(run).second)
    {
        return;
    }
    this->mark_changed(job);
    if (job.is_active() && static_cast<std::int64_t>(unit.failed.size()) >= job.policy.max_attempts)
    {
        job.outcome = job_outcome::failed;
        this->record_decision("job_failed", job.spec.id,
                              "unit " + to_text(unit_key{job.spec.id, occurrence, step, index}) +
                                  " failed " + std::to_string(unit.failed.size()) + " times");
        this->stop_job(job.spec.id, "the job has failed", loss_reason::job_failed);
    }
}

void site_scheduler::implementation::record_success(const agent_id& agent)
{
    const auto found = this->workers.find(agent);
    if (found != this->workers.end())
    {
        found->second.failure_history = {};
    }
}

void site_scheduler::implementation::record_failure(const agent_id& agent, core::instant now)
{
    const auto found = this->workers.find(agent);
    if (found == this->workers.end())
    {
        return;
    }
    worker_failure_history& record = found->second.failure_history;
    ++record.failures;
    if (record.failures >= quarantine_threshold)
    {
        record.quarantined_until = now + record.next_quarantine;
        record.next_quarantine = std::min(record.next_quarantine * 2, max_quarantine);
        this->record_decision("worker_distrusted", {},
                              agent.str() + " failed " + std::to_string(record.failures) +
                                  " units in a row");
    }
}

void site_scheduler::implementation::remove_run_if_ended(run_number number, core::instant now)
{
    const auto found = this->runs.find(number);
    if (found == this->runs.end() || !found->second.has_ended())
    {
        return;
    }
    run_state run = std::move(found->second);
    this->runs.erase(found);
    for (const run_member_state& member : run.members)
    {
        this->workers[member.agent].runs.erase(number);
    }
    const auto job = this->jobs.find(run.job);
    if (job == this->jobs.end())
    {
        return;
    }
    --job->second.active_runs;
    step_state& step = get_or_create_occurrence(job->second, run.occurrence)[to_index(run.step)];
    core::instant not_before{};
    for (const run_member_state& member : run.members)
    {
        not_before = std::max(not_before, step.units[to_index(member.index)].not_before);
    }
    const bool reached_worker =
        std::any_of(run.members.begin(), run.members.end(),
                    [](const run_member_state& member) { return member.confirmed; });
    // All units of a gang hold its run, also those that no worker has reported.
    std::vector<std::size_t> ended;
    for (const run_member_state& member : run.members)
    {
        ended.push_back(to_index(member.index));
    }
    if (run.gang)
    {
        for (const auto& [index, unit] : step.units.touched())
        {
            ended.push_back(index);
        }
    }
    for (const std::size_t index : ended)
    {
        if (step.units[index].run == number)
        {
            step.units.end_run(index, reached_worker);
            if (run.gang && !step.units.is_done(index))
            {
                step.units.touch(index).not_before = not_before;
            }
        }
    }
    step.ready_since = now;
}

void site_scheduler::implementation::stop_run(run_state& run, std::string_view reason,
                                              loss_reason cause)
{
    if (run.stopping)
    {
        return;
    }
    run.stopping = true;
    run.stop_reason = cause;
    double unsaved = 0;
    for (run_member_state& member : run.members)
    {
        unsaved += member.ended ? 0 : this->unsaved_work(run, member, this->latest);
        member.last_command_at = {};
        if (!member.ended && !member.command_sent)
        {
            member.ended = true;
        }
    }
    this->record_decision("run_stopped", run.job,
                          "run " + std::to_string(run.number) + " of step " +
                              std::to_string(run.step) + ": " + std::string(reason));
    this->records.back().lost = lost_work{unsaved, cause, /*is_final=*/false};
}

void site_scheduler::implementation::stop_job(const core::job_id& job, std::string_view reason,
                                              loss_reason cause)
{
    for (auto& [number, run] : this->runs)
    {
        if (run.job == job)
        {
            this->stop_run(run, reason, cause);
        }
    }
}

void site_scheduler::implementation::check_completed(job_state& job)
{
    if (job.outcome != job_outcome::unfinished || job.done_count < job.unit_count)
    {
        return;
    }
    job.outcome = job_outcome::completed;
    this->record_decision("job_completed", job.spec.id, "all units have succeeded");
}

} // namespace chicorylift::batch
