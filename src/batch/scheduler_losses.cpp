#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>
#include <array>

/// Work that is thrown away when runs are stopped or lost, for the log and the metrics.
namespace chicorylift::batch
{

namespace
{

/// @return why a member's work was lost, given how it ended.
loss_reason reason_of(const run_state& run, run_outcome kind)
{
    switch (kind)
    {
    case run_outcome::failed:
        return loss_reason::failed;
    case run_outcome::gang_start_timeout:
        return loss_reason::gang_incomplete;
    case run_outcome::gang_aborted:
        return run.stopping ? run.stop_reason : loss_reason::gang_member_ended;
    case run_outcome::lease_expired:
        // The other members may report the end of the gang before its cause is known.
        return run.stopping && run.stop_reason != loss_reason::gang_member_ended
                   ? run.stop_reason
                   : loss_reason::worker_lost;
    default:
        return run.stopping ? run.stop_reason : loss_reason::stopped;
    }
}

/// @return whether the outcome shows that the worker ran the unit, also if no report listed it.
bool shows_run(run_outcome kind)
{
    return kind == run_outcome::failed || kind == run_outcome::gang_aborted ||
           kind == run_outcome::gang_start_timeout;
}

} // namespace

std::string_view to_text(loss_reason reason) noexcept
{
    constexpr std::array<std::string_view, 12> names{
        "stopped",        "preempted",         "stalled",         "worker lost",
        "worker drained", "run missing",       "cancelled",       "job failed",
        "superseded",     "gang member ended", "gang incomplete", "failed"};
    return names.at(static_cast<std::size_t>(reason));
}

void site_scheduler::implementation::note_checkpoint(run_state& run, const std::string& checkpoint,
                                                     core::instant now)
{
    if (checkpoint > run.newest_checkpoint)
    {
        run.newest_checkpoint = checkpoint;
        run.saved_at = now;
    }
}

double site_scheduler::implementation::unsaved_work(const run_state& run,
                                                    const run_member_state& member,
                                                    core::instant now) const
{
    const auto job = this->jobs.find(run.job);
    if (job == this->jobs.end() || !member.confirmed)
    {
        return 0;
    }
    const step_spec& step = job->second.spec.steps[to_index(run.step)];
    if (step.long_running)
    {
        // The work of a long-running unit is not repeated.
        return 0;
    }
    // Members of a gang that wait for the others count, since they occupy their workers.
    core::milliseconds unsaved = now - std::max(member.confirmed_at, run.saved_at);
    if (run.adopted && !step.checkpointing)
    {
        // The start time is unknown.
        unsaved =
            std::max(unsaved, step.estimate * std::min(member.progress_percent, whole_percent) /
                                  whole_percent);
    }
    return work_core_seconds(step, 1, std::max(unsaved, core::milliseconds{0}));
}

void site_scheduler::implementation::record_run_end(run_state& run, const run_member_state& member,
                                                    run_outcome kind, std::string_view reason,
                                                    const std::string& checkpoint,
                                                    core::instant now)
{
    const unit_key unit{run.job, run.occurrence, run.step, member.index};
    this->record_decision("run_ended", run.job,
                          to_text(unit) + " run " + std::to_string(run.number) + " on " +
                              member.agent.str() + ": " + std::string(to_text(kind)) +
                              (reason.empty() ? "" : " (" + std::string(reason) + ")") +
                              (checkpoint.empty() ? "" : ", checkpoint " + checkpoint));
    if (kind == run_outcome::succeeded)
    {
        return;
    }
    note_checkpoint(run, checkpoint, now);
    run_member_state ended = member;
    if (!ended.confirmed && shows_run(kind))
    {
        ended.confirmed = true;
        ended.confirmed_at = run.started_at;
    }
    this->records.back().lost =
        lost_work{this->unsaved_work(run, ended, now), reason_of(run, kind), /*is_final=*/true};
}

} // namespace chicorylift::batch
