#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>

/// First half of a scheduling pass: expires leases, stops stalled runs, and collects and ranks the
/// groups that are ready to run.
namespace chicorylift::batch
{

namespace
{

// A run has stalled when its progress has not changed for the larger of this time and this fraction
// of its estimate. Progress has a resolution of 1 %: a run that is 20 times slower than declared
// gains 1 % per fifth of its estimate. Restoring a checkpoint shows no progress for up to 0.6 s.
constexpr core::milliseconds min_stall_timeout{1500};
constexpr double stall_timeout_fraction = 0.45;
// Quarantine of a worker on which a run with a single member has stalled.
constexpr core::milliseconds stall_quarantine{8000};
// A gang started by an earlier leader is stopped when not all of its members are reported in this
// time.
constexpr core::milliseconds gang_adoption_timeout{2000};
// Each stall doubles the stall timeout of the unit, at most this many times. Thus a unit whose
// worker reports no progress at all can still finish.
constexpr int max_timeout_doublings = 6;

/// @param speed speed of the run's slowest worker. A slow one is given more time; a fast one not
///        less, since nothing is lost by it.
/// @return how long a run may go without progress; doubles with each earlier stall of its unit.
core::milliseconds stall_timeout(const step_spec& step, double speed, int stall_count)
{
    const core::milliseconds estimate_share{
        static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) *
                                  stall_timeout_fraction / std::min(speed, 1.0))};
    return std::max(min_stall_timeout, estimate_share) *
           (1 << std::min(stall_count, max_timeout_doublings));
}

} // namespace

std::vector<agent_command> site_scheduler::implementation::schedule(core::instant now,
                                                                    unix_time wall_time,
                                                                    bool allow_unpersisted_starts)
{
    this->latest = now;
    this->expire_worker_leases(now);
    this->stop_stalled_runs(now);
    this->stop_incomplete_gangs(now);
    this->mark_dirty_checkpoints(now);
    std::vector<run_number> ended;
    for (const auto& [number, run] : this->runs)
    {
        if (run.has_ended())
        {
            ended.push_back(number);
        }
    }
    for (const run_number number : ended)
    {
        this->remove_run_if_ended(number, now);
    }
    std::vector<placement_group> groups = this->ready_groups(now, wall_time);
    if (!this->starts_held)
    {
        this->place_groups(groups, now);
    }
    std::vector<agent_command> commands;
    this->issue_commands(commands, now, allow_unpersisted_starts);
    this->record_waits(groups, now, allow_unpersisted_starts);
    return commands;
}

void site_scheduler::implementation::mark_dirty_checkpoints(core::instant now)
{
    if (now < this->next_checkpoint_write)
    {
        return;
    }
    this->next_checkpoint_write = now + this->settings.checkpoint_write_interval;
    for (auto& [id, job] : this->jobs)
    {
        if (job.checkpoint_dirty && job.is_active())
        {
            this->mark_changed(job);
        }
        job.checkpoint_dirty = false;
    }
}

void site_scheduler::implementation::expire_worker_leases(core::instant now)
{
    for (auto& [id, worker] : this->workers)
    {
        const core::instant since = std::max(worker.last_renewal_at, this->leases_counted_from);
        // An agent that reports to this leader follows no other. One that does not may follow a
        // later leader, which renews its lease.
        const core::instant known_until =
            std::max(this->confirmed_until.value_or(now), worker.last_report_at);
        if (!worker.lost && known_until - since > this->settings.lease_timeout)
        {
            this->mark_worker_lost(worker, "its lease has lapsed", now);
        }
    }
}

void site_scheduler::implementation::stop_stalled_runs(core::instant now)
{
    for (auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.stopping || job == this->jobs.end())
        {
            continue;
        }
        const step_spec& step = job->second.spec.steps[to_index(run.step)];
        std::vector<unit_state>& units =
            job->second.occurrences[run.occurrence][to_index(run.step)].units;
        const core::milliseconds allowed = stall_timeout(
            step, this->slowest_speed(run), units[to_index(run.members.front().index)].stall_count);
        bool stalled = !step.long_running;
        for (const run_member_state& member : run.members)
        {
            stalled = stalled && member.confirmed && !member.ended &&
                      member.phase == run_phase::running &&
                      this->workers[member.agent].lists_read_at - member.last_progress_at > allowed;
        }
        if (!stalled)
        {
            continue;
        }
        for (const run_member_state& member : run.members)
        {
            worker_state& worker = this->workers[member.agent];
            if (run.members.size() == 1)
            {
                worker.failure_history.quarantined_until = now + stall_quarantine;
            }
            units[to_index(member.index)].failed_on.insert(member.agent);
            ++units[to_index(member.index)].stall_count;
        }
        this->stop_run(run, "no progress within the stall timeout", loss_reason::stalled);
    }
}

void site_scheduler::implementation::stop_incomplete_gangs(core::instant now)
{
    for (auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.gang_complete || run.stopping || job == this->jobs.end())
        {
            continue;
        }
        if (job->second.unreconciled_agents.empty() && now - run.started_at > gang_adoption_timeout)
        {
            this->stop_run(run, "not all members of the adopted gang were reported in time",
                           loss_reason::gang_incomplete);
        }
    }
}

void site_scheduler::implementation::create_due_occurrences(job_state& job, unix_time wall_time)
{
    for (std::int64_t occurrence = 0; occurrence < job.spec.occurrence_count(); ++occurrence)
    {
        if (job.occurrences.contains(occurrence))
        {
            continue;
        }
        if (job.spec.occurrences > 0)
        {
            const unix_time due = job.spec.first_due + job.spec.interval * occurrence;
            if (due > wall_time)
            {
                return;
            }
        }
        get_or_create_occurrence(job, occurrence);
    }
}

const step_spec& site_scheduler::implementation::spec_of(const placement_group& group) const
{
    return group.job->spec.steps[to_index(group.step)];
}

std::vector<placement_group> site_scheduler::implementation::ready_groups(core::instant now,
                                                                          unix_time wall_time)
{
    std::vector<placement_group> groups;
    this->pending_units = 0;
    this->sum_urgent_demand();
    const auto add = [&](job_state& job, std::int64_t occurrence, std::int64_t step,
                         std::vector<std::int64_t> units, core::instant since)
    {
        const std::vector<unit_state>& all = job.occurrences.at(occurrence)[to_index(step)].units;
        placement_group group;
        group.job = &job;
        group.occurrence = occurrence;
        group.step = step;
        group.waiting_since = since;
        group.idle_since = all[to_index(units.front())].idle_since.value_or(now);
        group.units = std::move(units);
        this->pending_units += group.units.size();
        this->compute_rank(group, now);
        groups.push_back(std::move(group));
    };
    for (auto& [id, job] : this->jobs)
    {
        if (!job.is_active())
        {
            continue;
        }
        this->create_due_occurrences(job, wall_time);
        if (!job.unreconciled_agents.empty())
        {
            continue;
        }
        for (auto& [occurrence, open_steps] : job.occurrences)
        {
            // Not every compiler can capture a structured binding in a lambda.
            std::vector<step_state>& steps = open_steps;
            for (std::size_t number = 0; number < steps.size(); ++number)
            {
                step_state& state = steps[number];
                const step_spec& spec = job.spec.steps[number];
                const bool blocked = std::any_of(spec.depends_on.begin(), spec.depends_on.end(),
                                                 [&](std::int64_t earlier)
                                                 { return !steps[to_index(earlier)].is_done(); });
                if (blocked || state.is_done())
                {
                    continue;
                }
                if (!state.ready_since.has_value())
                {
                    state.ready_since = now;
                }
                std::vector<std::int64_t> idle_units;
                for (std::size_t index = 0; index < state.units.size(); ++index)
                {
                    unit_state& unit = state.units[index];
                    if (!unit.done && unit.run == 0 && unit.not_before <= now)
                    {
                        unit.idle_since = unit.idle_since.value_or(now);
                        idle_units.push_back(static_cast<std::int64_t>(index));
                    }
                }
                const auto step = static_cast<std::int64_t>(number);
                if (spec.gang && idle_units.size() == state.units.size())
                {
                    add(job, occurrence, step, idle_units, *state.ready_since);
                }
                for (std::size_t index = 0; index < idle_units.size() && !spec.gang; ++index)
                {
                    add(job, occurrence, step, {idle_units[index]}, *state.ready_since);
                }
            }
        }
    }
    if (this->settings.order_by_value)
    {
        this->rank_by_value(groups, now, wall_time);
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](const placement_group& left, const placement_group& right)
                     { return left.rank < right.rank; });
    if (this->settings.fair_shares)
    {
        this->order_by_share(groups);
    }
    return groups;
}

void site_scheduler::implementation::sum_urgent_demand()
{
    this->urgent_demand.clear();
    for (const auto& [id, job] : this->jobs)
    {
        if (job.is_active() && job.policy.priority == 0)
        {
            this->urgent_demand[job.spec.organisation] += job.spec.initial_accelerators();
        }
    }
}

bool site_scheduler::implementation::is_guaranteed(const job_state& job) const
{
    const auto guarantee = this->guaranteed.find(job.spec.organisation);
    const auto demand = this->urgent_demand.find(job.spec.organisation);
    return job.policy.priority == 0 && guarantee != this->guaranteed.end() &&
           demand != this->urgent_demand.end() && demand->second <= guarantee->second;
}

void site_scheduler::implementation::compute_rank(placement_group& group, core::instant now) const
{
    // Within a priority, groups that missed their objective rank last, and groups that are due a
    // reservation rank before those that are not.
    const job_state& job = *group.job;
    group.guaranteed = this->is_guaranteed(job);
    const double waited = static_cast<double>((group.waiting_since - this->takeover).count());
    if (group.guaranteed)
    {
        group.rank = -priority_band + waited;
        return;
    }
    const core::milliseconds critical_path = job.spec.critical_path();
    const auto objective =
        core::milliseconds{static_cast<std::int64_t>(static_cast<double>(critical_path.count()) *
                                                     job.policy.max_slowdown)} +
        job.policy.latency_allowance;
    group.objective_missed =
        job.spec.occurrences == 0 && now - job.arrived + critical_path > objective;
    const core::milliseconds slack = objective - critical_path;
    group.reservation_due =
        !group.objective_missed && job.spec.occurrences == 0 &&
        static_cast<double>((now - job.arrived).count()) >
            this->settings.weights.reservation_threshold * static_cast<double>(slack.count());
    const step_spec& step = this->spec_of(group);
    const double size =
        work_core_seconds(step, static_cast<std::size_t>(step.units), step.estimate);
    group.rank = static_cast<double>(job.policy.priority) * priority_band +
                 (group.objective_missed ? priority_band / 2 : 0) +
                 (group.reservation_due ? 0 : priority_band / 4) +
                 (this->settings.weights.smallest_job_first ? size : waited);
}

} // namespace chicorylift::batch
