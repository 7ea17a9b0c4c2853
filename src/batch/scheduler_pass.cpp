#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>

/// The pass's first half: finds what has lapsed or stalled and what could run, and ranks it.
namespace chicorylift::batch
{

namespace
{

// Work without progress for this long, or for this share of its estimate, has stalled. Progress
// comes in percents; work that is twenty times slower than declared shows one in a fifth of its
// estimate. Coming back to a checkpoint shows none for up to 0.6 s.
constexpr core::milliseconds shortest_stall{1500};
constexpr double stall_share = 0.45;
constexpr core::milliseconds stall_distrust{8000};
// A gang that an earlier lead started is stopped when members are missing for this long.
constexpr core::milliseconds gang_patience{2000};
// Work whose worker tells no progress at all must end some day.
constexpr int most_doublings = 6;

/// @return how long a run may go without progress after its unit has stalled so often.
core::milliseconds stall_patience(const step_spec& step, int stalls)
{
    const core::milliseconds share{
        static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * stall_share)};
    return std::max(shortest_stall, share) * (1 << std::min(stalls, most_doublings));
}

} // namespace

std::vector<agent_command>
site_scheduler::implementation::schedule(core::instant now, unix_time today, bool start_unwritten)
{
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
    std::vector<placement_group> groups = this->ready_groups(now, today);
    this->place_groups(groups, now);
    std::vector<agent_command> orders;
    this->issue_commands(orders, now, start_unwritten);
    return orders;
}

void site_scheduler::implementation::mark_dirty_checkpoints(core::instant now)
{
    if (now < this->next_save)
    {
        return;
    }
    this->next_save = now + this->settings.checkpoint_write_interval;
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
        const core::instant since = std::max(worker.last_renewal_at, this->takeover);
        if (!worker.lost && now - since > this->settings.lease_timeout)
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
        const core::milliseconds allowed =
            stall_patience(step, units[to_index(run.members.front().index)].stalls);
        bool stalled = !step.long_running;
        for (const run_member_state& member : run.members)
        {
            stalled = stalled && member.confirmed && !member.ended &&
                      member.phase == run_phase::running &&
                      this->workers[member.agent].lists_read_at - member.progressed > allowed;
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
                worker.failure_history.quarantined_until = now + stall_distrust;
            }
            units[to_index(member.index)].failed_on.insert(member.agent);
            ++units[to_index(member.index)].stalls;
        }
        this->stop_run(run, "it makes no progress");
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
        if (job->second.unreconciled_agents.empty() && now - run.began > gang_patience)
        {
            this->stop_run(run, "members of the gang are missing");
        }
    }
}

void site_scheduler::implementation::create_due_occurrences(job_state& job, unix_time today)
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
            if (due > today)
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
                                                                          unix_time today)
{
    std::vector<placement_group> groups;
    this->pending_units = 0;
    this->sum_urgent_needs();
    const auto add = [&](job_state& job, std::int64_t occurrence, std::int64_t step,
                         std::vector<std::int64_t> units, core::instant since)
    {
        placement_group group{&job,  occurrence, step, std::move(units), since, 0,
                              false, false,      false};
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
        this->create_due_occurrences(job, today);
        if (!job.unreconciled_agents.empty())
        {
            continue;
        }
        for (auto& [occurrence, open_steps] : job.occurrences)
        {
            // A lambda cannot take in a structured binding.
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
                std::vector<std::int64_t> free;
                for (std::size_t index = 0; index < state.units.size(); ++index)
                {
                    const unit_state& unit = state.units[index];
                    if (!unit.done && unit.run == 0 && unit.not_before <= now)
                    {
                        free.push_back(static_cast<std::int64_t>(index));
                    }
                }
                const auto step = static_cast<std::int64_t>(number);
                if (spec.gang && free.size() == state.units.size())
                {
                    add(job, occurrence, step, free, *state.ready_since);
                }
                for (std::size_t index = 0; index < free.size() && !spec.gang; ++index)
                {
                    add(job, occurrence, step, {free[index]}, *state.ready_since);
                }
            }
        }
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](const placement_group& left, const placement_group& right)
                     { return left.rank < right.rank; });
    return groups;
}

void site_scheduler::implementation::sum_urgent_needs()
{
    this->urgent_needs.clear();
    for (const auto& [id, job] : this->jobs)
    {
        if (job.is_active() && job.policy.priority == 0)
        {
            this->urgent_needs[job.spec.organisation] += job.spec.initial_accelerators();
        }
    }
}

bool site_scheduler::implementation::is_guaranteed(const job_state& job) const
{
    const auto promised = this->guaranteed.find(job.spec.organisation);
    const auto wanted = this->urgent_needs.find(job.spec.organisation);
    return job.policy.priority == 0 && promised != this->guaranteed.end() &&
           wanted != this->urgent_needs.end() && wanted->second <= promised->second;
}

void site_scheduler::implementation::compute_rank(placement_group& group, core::instant now) const
{
    constexpr double tier = 1e9;
    const job_state& job = *group.job;
    group.guaranteed = this->is_guaranteed(job);
    const double waited = static_cast<double>((group.waiting_since - this->takeover).count());
    if (group.guaranteed)
    {
        group.rank = -tier + waited;
        return;
    }
    const core::milliseconds chain = job.spec.critical_path();
    const auto objective = core::milliseconds{static_cast<std::int64_t>(
                               static_cast<double>(chain.count()) * job.policy.max_slowdown)} +
                           job.policy.latency_allowance;
    group.objective_missed = job.spec.occurrences == 0 && now - job.arrived + chain > objective;
    const core::milliseconds slack = objective - chain;
    group.reservation_due =
        !group.objective_missed && job.spec.occurrences == 0 &&
        static_cast<double>((now - job.arrived).count()) >
            this->settings.weights.reservation_threshold * static_cast<double>(slack.count());
    const step_spec& step = this->spec_of(group);
    const double size =
        work_core_seconds(step, static_cast<std::size_t>(step.units), step.estimate);
    group.rank = static_cast<double>(job.policy.priority) * tier +
                 (group.objective_missed ? tier / 2 : 0) + (group.reservation_due ? 0 : tier / 4) +
                 (this->settings.weights.smallest_job_first ? size : waited);
}

} // namespace chicorylift::batch
