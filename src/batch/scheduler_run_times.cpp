#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

/// Learned run times and worker speeds: feeds the model from agents' reports, and answers what a
/// run or group is expected to take. Without the model, as declared.
namespace chicorylift::batch
{

namespace
{

// Lower bound of the remaining time computed from a run's estimate. A run that has exceeded its
// estimate is expected to end after this time.
constexpr core::milliseconds min_remaining_time{500};
// A worker's speed is compared by this much progress at a time. Reports arrive every 0.6 to 1.4 s
// and progress in steps of 1 %, so smaller shares of short runs are mostly noise.
constexpr std::int64_t speed_sample_percent = 25;
// Shorter declared times are not compared: the time that it takes to start a unit and to learn of
// its end, up to a second, exceeds them.
constexpr core::milliseconds min_compared_estimate{1000};
// Ignored values are recorded at most this often; a worker may send them with each report.
constexpr core::milliseconds ignored_value_interval{1000};

std::string to_text(double speed)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.2f", speed);
    return text.data();
}

} // namespace

run_kind site_scheduler::implementation::kind_of(const job_state& job, std::int64_t step) const
{
    run_kind kind;
    kind.organisation = job.spec.organisation;
    kind.queue = job.policy.queue;
    kind.service = job.policy.service;
    kind.gang = job.spec.steps[to_index(step)].gang;
    return kind;
}

bool site_scheduler::implementation::is_remote(const run_state& run, const step_spec& step) const
{
    const core::rack_id& first = this->workers.at(run.members.front().agent).info.rack;
    return std::any_of(run.members.begin(), run.members.end(),
                       [&](const run_member_state& member)
                       {
                           const core::rack_id& rack = this->workers.at(member.agent).info.rack;
                           return (!step.data_rack.empty() && rack.str() != step.data_rack) ||
                                  (step.rack_local && rack != first);
                       });
}

double site_scheduler::implementation::slowest_speed(const run_state& run) const
{
    double slowest = std::numeric_limits<double>::infinity();
    for (const run_member_state& member : run.members)
    {
        slowest = std::min(slowest, this->workers.at(member.agent).speed);
    }
    return run.members.empty() ? 1 : slowest;
}

core::milliseconds
site_scheduler::implementation::expected_total(const placement_group& group) const
{
    const step_spec& step = this->spec_of(group);
    return this->run_times == nullptr || step.long_running
               ? step.estimate
               : this->run_times->expected_total(this->kind_of(*group.job, group.step),
                                                 step.estimate);
}

core::milliseconds site_scheduler::implementation::expected_remaining(const run_state& run,
                                                                      const job_state& job,
                                                                      core::instant now) const
{
    const step_spec& step = job.spec.steps[to_index(run.step)];
    if (this->run_times == nullptr || run.members.empty())
    {
        return declared_remaining(run, step, now);
    }
    const double speed = this->slowest_speed(run);
    const run_kind kind = this->kind_of(job, run.step);
    if (speed == 1 && !this->run_times->has_run_times(kind))
    {
        return declared_remaining(run, step, now);
    }
    run_progress progress;
    progress.declared =
        this->is_remote(run, step)
            ? core::milliseconds{static_cast<std::int64_t>(
                  static_cast<double>(step.estimate.count()) * this->settings.remote_factor)}
            : step.estimate;
    core::milliseconds longest{};
    for (const run_member_state& member : run.members)
    {
        if (member.ended)
        {
            continue;
        }
        progress.elapsed = now - member.whole_since.value_or(run.started_at);
        progress.percent = member.progress_percent;
        progress.gained = 0;
        progress.restored = 0;
        core::milliseconds since_progress{};
        if (member.first_progress.has_value())
        {
            progress.gained = member.progress_percent - member.first_progress->percent;
            progress.gained_in = member.last_progress_at - member.first_progress->at;
            since_progress = now - member.last_progress_at;
            progress.restored = member.whole_since.has_value() ? 0 : member.first_progress->percent;
        }
        // What was extrapolated from the last progress has passed in part since then.
        const core::milliseconds remaining =
            this->run_times->expected_remaining(kind, progress, speed);
        longest = std::max(longest, progress.gained > 0 ? remaining - since_progress : remaining);
    }
    return std::max(longest, min_remaining_time);
}

core::instant site_scheduler::implementation::expected_end(const run_state& run,
                                                           core::instant now) const
{
    const auto job = this->jobs.find(run.job);
    if (job == this->jobs.end() || run.stopping)
    {
        return now;
    }
    const step_spec& step = job->second.spec.steps[to_index(run.step)];
    return step.long_running ? core::instant::max()
                             : now + this->expected_remaining(run, job->second, now);
}

core::milliseconds site_scheduler::implementation::declared_remaining(const run_state& run,
                                                                      const step_spec& step,
                                                                      core::instant now)
{
    core::milliseconds remaining =
        std::max<core::milliseconds>(step.estimate - (now - run.started_at), min_remaining_time);
    for (const run_member_state& member : run.members)
    {
        if (member.progress_percent > 0 && member.progress_percent < whole_percent)
        {
            remaining =
                std::min(remaining,
                         step.estimate * (whole_percent - member.progress_percent) / whole_percent);
        }
    }
    return remaining;
}

double site_scheduler::implementation::needed_speed(const placement_group& group,
                                                    core::instant now) const
{
    const job_state& job = *group.job;
    const step_spec& step = this->spec_of(group);
    // Where there is room for all, nobody gains by work on slow workers.
    if (job.policy.priority == 0 || step.gang ||
        this->services_with_spare.contains(job.policy.service))
    {
        return std::numeric_limits<double>::infinity();
    }
    if (group.objective_missed || job.spec.occurrences > 0)
    {
        return 0;
    }
    const core::milliseconds critical_path = job.critical_path;
    const double objective = static_cast<double>(critical_path.count()) * job.policy.max_slowdown +
                             static_cast<double>(job.policy.latency_allowance.count());
    const core::milliseconds besides_step = now - job.arrived + critical_path - step.estimate;
    const double left = objective - static_cast<double>(besides_step.count());
    return left <= 0 ? 0 : static_cast<double>(this->expected_total(group).count()) / left;
}

void site_scheduler::implementation::learn_from_progress(worker_state& worker, const run_state& run,
                                                         run_member_state& member,
                                                         const reported_run& reported,
                                                         core::instant now)
{
    const auto job = this->jobs.find(run.job);
    if (this->run_times == nullptr || job == this->jobs.end() || run.stopping ||
        reported.phase != run_phase::running)
    {
        return;
    }
    const step_spec& step = job->second.spec.steps[to_index(run.step)];
    if (step.long_running)
    {
        return;
    }
    const std::int64_t percent = reported.progress_percent;
    if (percent < 0 || percent > whole_percent)
    {
        this->record_ignored_value(worker, run, "progress of " + std::to_string(percent) + " %",
                                   now);
        return;
    }
    if (percent == 0)
    {
        // A restored run is reported without progress until the worker has been read and has
        // restored the checkpoint. Then it has all the progress of the checkpoint at once.
        return;
    }
    const run_member_state::progress_mark here{percent, worker.lists_read_at};
    if (!member.first_progress.has_value() || percent < member.speed_mark.percent)
    {
        member.first_progress = here;
        member.speed_mark = here;
        return;
    }
    const std::int64_t gained = percent - member.speed_mark.percent;
    const core::milliseconds time = here.at - member.speed_mark.at;
    if (gained < speed_sample_percent || time.count() <= 0)
    {
        return;
    }
    member.speed_mark = here;
    if (step.estimate < min_compared_estimate || this->is_remote(run, step))
    {
        return;
    }
    run_kind kind = this->kind_of(job->second, run.step);
    kind.step = run.job.str() + "/" + std::to_string(run.step);
    if (this->run_times->record_progress(kind, worker.agent, step.estimate, gained, time))
    {
        member.compared_percent += gained;
    }
    else
    {
        this->record_ignored_value(worker, run,
                                   "progress of " + std::to_string(gained) + " % in " +
                                       std::to_string(time.count()) + " ms of declared " +
                                       std::to_string(step.estimate.count()) + " ms",
                                   now);
    }
    this->update_speed(worker);
}

void site_scheduler::implementation::learn_from_end(worker_state& worker, run_state& run,
                                                    const run_member_state& member,
                                                    const reported_end& end, core::instant now)
{
    const auto job = this->jobs.find(run.job);
    if (this->run_times == nullptr || job == this->jobs.end() || run.stopping || run.learned ||
        end.outcome != run_outcome::succeeded || !member.whole_since.has_value())
    {
        return;
    }
    const step_spec& step = job->second.spec.steps[to_index(run.step)];
    if (step.long_running || step.estimate < min_compared_estimate || this->is_remote(run, step))
    {
        return;
    }
    run.learned = true;
    run_kind kind = this->kind_of(job->second, run.step);
    kind.step = run.job.str() + "/" + std::to_string(run.step);
    // A gang ends with its slowest member.
    const auto slowest = std::min_element(
        run.members.begin(), run.members.end(),
        [this](const auto& left, const auto& right)
        { return this->workers.at(left.agent).speed < this->workers.at(right.agent).speed; });
    const double speed = this->workers.at(slowest->agent).speed;
    const core::milliseconds expected = this->run_times->expected_total(kind, step.estimate, speed);
    const core::milliseconds actual = worker.lists_read_at - *member.whole_since;
    if (!this->run_times->record_finished(kind, slowest->agent, step.estimate, actual,
                                          member.compared_percent))
    {
        this->record_ignored_value(worker, run,
                                   "run time of " + std::to_string(actual.count()) +
                                       " ms of declared " + std::to_string(step.estimate.count()) +
                                       " ms",
                                   now);
        return;
    }
    this->samples.push_back({job->second.policy.queue, expected, actual});
    this->update_speed(worker);
}

void site_scheduler::implementation::update_speed(worker_state& worker)
{
    const double speed = this->run_times->speed_of(worker.agent);
    if ((speed == 1) != (worker.speed == 1))
    {
        this->record_decision(
            "worker_speed", {},
            worker.agent.str() +
                (speed == 1
                     ? ": as the typical worker of its service again"
                     : ": " + to_text(speed) + " of the speed of its service's typical worker"));
    }
    worker.speed = speed;
}

void site_scheduler::implementation::forget_speed(worker_state& worker)
{
    if (this->run_times != nullptr)
    {
        this->run_times->reset_worker(worker.agent);
        this->update_speed(worker);
    }
}

void site_scheduler::implementation::record_ignored_value(const worker_state& worker,
                                                          const run_state& run,
                                                          const std::string& value,
                                                          core::instant now)
{
    ++this->ignored_values;
    if (now < this->next_ignored_line)
    {
        return;
    }
    this->next_ignored_line = now + ignored_value_interval;
    this->record_decision("run_time_ignored", run.job,
                          "run " + std::to_string(run.number) + " on " + worker.agent.str() + ": " +
                              value + "; " + std::to_string(this->ignored_values) +
                              " values ignored since the last line");
    this->ignored_values = 0;
}

} // namespace chicorylift::batch
