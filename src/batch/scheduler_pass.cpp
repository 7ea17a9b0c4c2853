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

std::vector<order> site_scheduler::implementation::decide(core::instant now, unix_time today,
                                                          bool start_unwritten)
{
    this->expire_workers(now);
    this->check_stalled(now);
    this->settle_gangs(now);
    this->save_checkpoints(now);
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
        this->close_if_ended(number, now);
    }
    std::vector<work_group> groups = this->ready_groups(now, today);
    this->place(groups, now);
    std::vector<order> orders;
    this->issue_orders(orders, now, start_unwritten);
    return orders;
}

void site_scheduler::implementation::save_checkpoints(core::instant now)
{
    if (now < this->next_save)
    {
        return;
    }
    this->next_save = now + this->settings.save_interval;
    for (auto& [id, job] : this->jobs)
    {
        if (job.unsaved && job.is_active())
        {
            this->touch(job);
        }
        job.unsaved = false;
    }
}

void site_scheduler::implementation::expire_workers(core::instant now)
{
    for (auto& [id, worker] : this->workers)
    {
        const core::instant since = std::max(worker.renewed, this->takeover);
        if (!worker.lost && now - since > this->settings.lapse)
        {
            this->lose_worker(worker, "its lease has lapsed", now);
        }
    }
}

void site_scheduler::implementation::check_stalled(core::instant now)
{
    for (auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.stopping || job == this->jobs.end())
        {
            continue;
        }
        const step_spec& step = job->second.spec.steps[at(run.step)];
        std::vector<unit_state>& units =
            job->second.occurrences[run.occurrence][at(run.step)].units;
        const core::milliseconds allowed =
            stall_patience(step, units[at(run.members.front().index)].stalls);
        bool stalled = !step.long_running;
        for (const member_state& member : run.members)
        {
            stalled = stalled && member.confirmed && !member.ended &&
                      member.phase == run_phase::running &&
                      this->workers[member.agent].listed - member.progressed > allowed;
        }
        if (!stalled)
        {
            continue;
        }
        for (const member_state& member : run.members)
        {
            worker_state& worker = this->workers[member.agent];
            if (run.members.size() == 1)
            {
                worker.record.distrusted_until = now + stall_distrust;
            }
            units[at(member.index)].failed_on.insert(member.agent);
            ++units[at(member.index)].stalls;
        }
        this->stop_run(run, "it makes no progress");
    }
}

void site_scheduler::implementation::settle_gangs(core::instant now)
{
    for (auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.whole || run.stopping || job == this->jobs.end())
        {
            continue;
        }
        if (job->second.unsettled.empty() && now - run.began > gang_patience)
        {
            this->stop_run(run, "members of the gang are missing");
        }
    }
}

void site_scheduler::implementation::open_due_occurrences(job_state& job, unix_time today)
{
    for (std::int64_t occurrence = 0; occurrence < job.spec.rounds(); ++occurrence)
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
        occurrence_of(job, occurrence);
    }
}

const step_spec& site_scheduler::implementation::spec_of(const work_group& group) const
{
    return group.job->spec.steps[at(group.step)];
}

std::vector<work_group> site_scheduler::implementation::ready_groups(core::instant now,
                                                                     unix_time today)
{
    std::vector<work_group> groups;
    this->waiting = 0;
    this->sum_urgent_needs();
    const auto add = [&](job_state& job, std::int64_t occurrence, std::int64_t step,
                         std::vector<std::int64_t> units, core::instant since)
    {
        work_group group{&job, occurrence, step, std::move(units), since, 0, false, false, false};
        this->waiting += group.units.size();
        this->rank(group, now);
        groups.push_back(std::move(group));
    };
    for (auto& [id, job] : this->jobs)
    {
        if (!job.is_active())
        {
            continue;
        }
        this->open_due_occurrences(job, today);
        if (!job.unsettled.empty())
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
                const bool blocked = std::any_of(spec.after.begin(), spec.after.end(),
                                                 [&](std::int64_t earlier)
                                                 { return !steps[at(earlier)].is_done(); });
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
                     [](const work_group& left, const work_group& right)
                     { return left.rank < right.rank; });
    return groups;
}

void site_scheduler::implementation::sum_urgent_needs()
{
    this->urgent_needs.clear();
    for (const auto& [id, job] : this->jobs)
    {
        if (job.is_active() && job.terms.priority == 0)
        {
            this->urgent_needs[job.spec.organisation] += job.spec.first_accelerators();
        }
    }
}

bool site_scheduler::implementation::is_guaranteed(const job_state& job) const
{
    const auto promised = this->guaranteed.find(job.spec.organisation);
    const auto wanted = this->urgent_needs.find(job.spec.organisation);
    return job.terms.priority == 0 && promised != this->guaranteed.end() &&
           wanted != this->urgent_needs.end() && wanted->second <= promised->second;
}

void site_scheduler::implementation::rank(work_group& group, core::instant now) const
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
    const core::milliseconds chain = job.spec.longest_chain();
    const auto objective = core::milliseconds{static_cast<std::int64_t>(
                               static_cast<double>(chain.count()) * job.terms.slowdown)} +
                           job.terms.target_latency;
    group.late = job.spec.occurrences == 0 && now - job.arrived + chain > objective;
    const core::milliseconds slack = objective - chain;
    group.pressing = !group.late && job.spec.occurrences == 0 &&
                     static_cast<double>((now - job.arrived).count()) >
                         this->settings.weights.hold_after * static_cast<double>(slack.count());
    const step_spec& step = this->spec_of(group);
    const double size = work_of(step, static_cast<std::size_t>(step.units), step.estimate);
    group.rank = static_cast<double>(job.terms.priority) * tier + (group.late ? tier / 2 : 0) +
                 (group.pressing ? 0 : tier / 4) +
                 (this->settings.weights.small_first ? size : waited);
}

} // namespace chicorylift::batch
