#include "batch/scheduler_impl.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

/// The pass that finds work which could run, and places it.
namespace chicorylift::batch
{

namespace
{

constexpr std::uint64_t runs_an_epoch = 1U << 20U;
// Work without progress for this long, or for this share of its estimate, has stalled.
constexpr core::milliseconds shortest_stall{4000};
constexpr double stall_share = 0.45;
constexpr core::milliseconds stall_distrust{8000};
// A gang that an earlier lead started is stopped when members are missing for this long.
constexpr core::milliseconds gang_patience{2000};
constexpr double milliseconds_a_second = 1000.0;

// Time that resumed work takes to come back to its checkpoint.
constexpr core::milliseconds restore_time{600};
// An accelerator's work counts as that of so many cores.
constexpr double cores_an_accelerator = 8.0;
constexpr double millicores_a_core = 1000.0;

std::size_t at(std::int64_t index)
{
    return static_cast<std::size_t>(index);
}

/// @return work that one unit does in a second, in core-seconds.
double work_rate(const step_spec& step)
{
    return static_cast<double>(step.per_unit.millicores) / millicores_a_core +
           static_cast<double>(step.per_unit.accelerators) * cores_an_accelerator;
}

} // namespace

std::vector<order> site_scheduler::implementation::decide(core::instant now, unix_time today,
                                                          bool store_lost)
{
    this->expire_workers(now);
    this->check_stalled(now);
    this->settle_gangs(now);
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
    this->issue_orders(orders, now, store_lost);
    return orders;
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
        const auto allowed = std::max<core::milliseconds>(
            shortest_stall, core::milliseconds{static_cast<std::int64_t>(
                                static_cast<double>(step.estimate.count()) * stall_share)});
        bool stalled = !step.long_running;
        for (const member_state& member : run.members)
        {
            stalled = stalled && member.confirmed && !member.ended &&
                      member.phase == run_phase::running && now - member.progressed > allowed;
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
            job->second.occurrences[run.occurrence][at(run.step)]
                .units[at(member.index)]
                .failed_on.insert(member.agent);
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
    const auto open = [&job](std::int64_t occurrence)
    {
        std::vector<step_state>& steps = job.occurrences[occurrence];
        for (const step_spec& step : job.spec.steps)
        {
            steps.emplace_back().units.resize(at(step.units));
        }
    };
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
        open(occurrence);
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
    const auto add = [&](job_state& job, std::int64_t occurrence, std::int64_t step,
                         std::vector<std::int64_t> units, core::instant since)
    {
        work_group group{&job, occurrence, step, std::move(units), since, 0, false, false};
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
        for (auto& [occurrence, steps] : job.occurrences)
        {
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

bool site_scheduler::implementation::is_guaranteed(const job_state& job) const
{
    const auto promised = this->guaranteed.find(job.spec.organisation);
    if (job.terms.priority != 0 || promised == this->guaranteed.end())
    {
        return false;
    }
    std::int64_t wanted = 0;
    for (const auto& [id, other] : this->jobs)
    {
        if (other.is_active() && other.terms.priority == 0 &&
            other.spec.organisation == job.spec.organisation)
        {
            wanted += other.spec.first_accelerators();
        }
    }
    return wanted <= promised->second;
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
    const step_spec& step = this->spec_of(group);
    const double size = static_cast<double>(step.units) * work_rate(step) *
                        static_cast<double>(step.estimate.count()) / milliseconds_a_second;
    group.rank = static_cast<double>(job.terms.priority) * tier + (group.late ? tier / 2 : 0) +
                 (this->settings.weights.small_first ? size : waited);
}

std::map<agent_id, amount> site_scheduler::implementation::free_room() const
{
    std::map<agent_id, amount> available;
    for (const auto& [id, worker] : this->workers)
    {
        available[id] = worker.info.capacity;
    }
    for (const auto& [number, run] : this->runs)
    {
        for (const member_state& member : run.members)
        {
            if (!member.ended)
            {
                available[member.agent] -= run.per_unit;
            }
        }
    }
    return available;
}

bool site_scheduler::implementation::may_place_on(const worker_state& worker, const job_state& job,
                                                  const step_spec& step, core::instant now) const
{
    if (!worker.settled || worker.lost || worker.leaving || !worker.info.announced ||
        worker.info.gone || worker.info.draining || worker.info.service != job.terms.service)
    {
        return false;
    }
    // A renewal must have arrived lately, or the order would find a lapsed lease.
    constexpr core::milliseconds freshness{2500};
    if (now - worker.heard > freshness)
    {
        return false;
    }
    const auto& labels = worker.info.labels;
    return step.required_label.empty() ||
           std::find(labels.begin(), labels.end(), step.required_label) != labels.end();
}

std::vector<worker_room> site_scheduler::implementation::rooms_for(
    const work_group& group, const std::map<agent_id, amount>& available, core::instant now) const
{
    const step_spec& step = this->spec_of(group);
    std::map<agent_id, std::int64_t> held;
    for (const auto& [number, run] : this->runs)
    {
        if (run.job != group.job->spec.id || run.step != group.step ||
            run.occurrence != group.occurrence)
        {
            continue;
        }
        for (const member_state& member : run.members)
        {
            held[member.agent] += member.ended ? 0 : 1;
        }
    }
    const step_state& state = group.job->occurrences.at(group.occurrence)[at(group.step)];
    std::vector<worker_room> rooms;
    for (const auto& [id, worker] : this->workers)
    {
        if (!this->may_place_on(worker, *group.job, step, now) ||
            worker.record.distrusted_until > now)
        {
            continue;
        }
        worker_room room;
        room.agent = id;
        room.rack = worker.info.rack;
        room.zone = worker.info.zone;
        room.free = available.at(id);
        room.step_units = held[id];
        for (const std::int64_t unit : group.units)
        {
            room.disliked = room.disliked || state.units[at(unit)].failed_on.contains(id);
        }
        room.disliked = room.disliked || worker.record.failures > 0;
        rooms.push_back(std::move(room));
    }
    return rooms;
}

bool site_scheduler::implementation::fits_one_rack(const work_group& group) const
{
    const step_spec& step = this->spec_of(group);
    std::map<core::rack_id, std::int64_t> fitting;
    for (const auto& [id, worker] : this->workers)
    {
        if (!worker.lost && !worker.info.gone && worker.info.service == group.job->terms.service)
        {
            fitting[worker.info.rack] +=
                times_fitting(step.room(), worker.info.capacity, step.units);
        }
    }
    return std::any_of(fitting.begin(), fitting.end(),
                       [&step](const auto& rack) { return rack.second >= step.units; });
}

placing_rules site_scheduler::implementation::rules_for(const work_group& group,
                                                        core::instant now) const
{
    const step_spec& step = this->spec_of(group);
    const bool patient = now - group.waiting_since < this->settings.rack_patience;
    placing_rules rules;
    rules.one_rack =
        step.rack_local && step.gang && this->fits_one_rack(group) && (patient || group.guaranteed);
    if (!step.data_rack.empty() && patient)
    {
        rules.data_rack_only =
            std::any_of(this->workers.begin(), this->workers.end(),
                        [&step](const auto& each)
                        {
                            return each.second.info.rack.str() == step.data_rack &&
                                   !each.second.lost && !each.second.info.draining;
                        });
    }
    return rules;
}

void site_scheduler::implementation::place(std::vector<work_group>& groups, core::instant now)
{
    std::map<agent_id, amount> available = this->free_room();
    for (const work_group& group : groups)
    {
        if (!this->place_group(group, available, now) && group.job->terms.priority == 0)
        {
            this->reclaim_for(group, available, now);
        }
    }
}

bool site_scheduler::implementation::place_group(const work_group& group,
                                                 std::map<agent_id, amount>& available,
                                                 core::instant now)
{
    const auto placed =
        place_units(this->spec_of(group), group.units, this->rooms_for(group, available, now),
                    this->rules_for(group, now));
    if (!placed.has_value())
    {
        return false;
    }
    const amount room = this->spec_of(group).room();
    for (const unit_placement& placement : *placed)
    {
        available[placement.agent] -= room;
    }
    this->begin_run(group, *placed, now);
    return true;
}

double site_scheduler::implementation::loss_of(const run_state& run, const step_spec& step,
                                               core::instant now) const
{
    // Work that saves its state loses only the time that it takes to come back to it.
    const core::milliseconds lost =
        step.checkpointing ? std::min<core::milliseconds>(restore_time, now - run.began)
                           : now - run.began;
    return static_cast<double>(run.members.size()) * work_rate(step) *
           static_cast<double>(lost.count()) / milliseconds_a_second;
}

std::vector<victim> site_scheduler::implementation::victims_for(const work_group& group,
                                                                core::instant now) const
{
    std::vector<victim> victims;
    for (const auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.stopping || job == this->jobs.end() ||
            job->second.terms.priority <= group.job->terms.priority)
        {
            continue;
        }
        const step_spec& step = job->second.spec.steps[at(run.step)];
        victim candidate;
        candidate.run = number;
        candidate.cost = this->loss_of(run, step, now);
        for (const member_state& member : run.members)
        {
            if (!member.ended)
            {
                candidate.frees.emplace_back(member.agent, run.per_unit);
            }
        }
        victims.push_back(std::move(candidate));
    }
    return victims;
}

void site_scheduler::implementation::reclaim_for(const work_group& group,
                                                 std::map<agent_id, amount>& available,
                                                 core::instant now)
{
    // Room that is being freed already counts, so that no more is stopped than is needed.
    std::map<agent_id, amount> soon = available;
    for (const auto& [number, run] : this->runs)
    {
        for (const member_state& member : run.members)
        {
            if (run.stopping && !member.ended)
            {
                soon[member.agent] += run.per_unit;
            }
        }
    }
    const step_spec& step = this->spec_of(group);
    const std::vector<victim> victims = this->victims_for(group, now);
    const std::vector<worker_room> rooms = this->rooms_for(group, soon, now);
    placing_rules rules = this->rules_for(group, now);
    auto plan = plan_reclaim(step, group.units, rooms, victims, rules);
    if (!plan.has_value() && group.guaranteed)
    {
        rules = {};
        plan = plan_reclaim(step, group.units, rooms, victims, rules);
    }
    if (!plan.has_value())
    {
        return;
    }
    const double gain = static_cast<double>(group.units.size()) * work_rate(step) *
                        static_cast<double>(step.estimate.count()) / milliseconds_a_second;
    const placing_weights& weights = this->settings.weights;
    if (!group.guaranteed &&
        (group.late || plan->cost > weights.reclaim_base + gain * weights.reclaim_factor))
    {
        return;
    }
    if (!plan->stops.empty())
    {
        this->record("work_reclaimed", group.job->spec.id,
                     std::to_string(plan->stops.size()) + " runs with " +
                         std::to_string(std::llround(plan->cost)) + " core-seconds make room for " +
                         std::to_string(std::llround(gain)) +
                         (group.guaranteed ? ", guaranteed" : ", not guaranteed"));
    }
    for (const run_number number : plan->stops)
    {
        this->stop_run(this->runs.at(number), "room for " + group.job->spec.id.str());
    }
    const amount room = step.room();
    for (const unit_placement& placement : plan->placements)
    {
        available[placement.agent] -= room;
    }
}

void site_scheduler::implementation::begin_run(const work_group& group,
                                               const std::vector<unit_placement>& placements,
                                               core::instant now)
{
    const run_number number = this->settings.epoch * runs_an_epoch + this->next_run++;
    run_state run;
    run.number = number;
    run.job = group.job->spec.id;
    run.occurrence = group.occurrence;
    run.step = group.step;
    run.per_unit = this->spec_of(group).room();
    run.gang = this->spec_of(group).gang;
    run.began = now;
    step_state& state = group.job->occurrences.at(group.occurrence)[at(group.step)];
    if (run.gang)
    {
        // Any member's checkpoint is valid for the gang, and all must carry the same one.
        std::string newest;
        for (const unit_state& unit : state.units)
        {
            newest = std::max(newest, unit.checkpoint);
        }
        for (unit_state& unit : state.units)
        {
            unit.checkpoint = newest;
        }
    }
    std::string where;
    for (const unit_placement& placement : placements)
    {
        member_state member;
        member.index = placement.index;
        member.agent = placement.agent;
        member.progressed = now;
        run.members.push_back(member);
        state.units[at(placement.index)].run = number;
        where += (where.empty() ? "" : ",") + placement.agent.str();
        if (group.job->agents.insert(placement.agent).second)
        {
            this->touch(*group.job);
            this->unwritten.insert(run.job);
        }
    }
    ++group.job->open_runs;
    this->record("run_placed", run.job,
                 "step " + std::to_string(run.occurrence) + "." + std::to_string(run.step) +
                     " units " + std::to_string(placements.size()) + " run " +
                     std::to_string(number) + " on " + where + " after waiting " +
                     std::to_string((now - group.waiting_since).count()) + " ms");
    this->runs.emplace(number, std::move(run));
}

void site_scheduler::implementation::issue_orders(std::vector<order>& orders, core::instant now,
                                                  bool store_lost)
{
    for (auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (!run.stopping && job != this->jobs.end() && !store_lost)
        {
            const auto& written = job->second.written_agents;
            // All members start together, once a later lead could learn where they are.
            const bool safe = std::all_of(run.members.begin(), run.members.end(),
                                          [&written](const member_state& member)
                                          { return written.contains(member.agent); });
            if (!safe)
            {
                continue;
            }
        }
        for (member_state& member : run.members)
        {
            const bool due = !member.ordered || now - member.last_order > this->settings.resend;
            const bool wanted = run.stopping || !member.confirmed;
            if (member.ended || !due || !wanted)
            {
                continue;
            }
            order next;
            next.what = run.stopping ? order::action::stop : order::action::start;
            next.agent = member.agent;
            next.unit = {run.job, run.occurrence, run.step, member.index};
            next.run = number;
            if (!run.stopping && job != this->jobs.end())
            {
                const unit_state& unit = job->second.occurrences.at(run.occurrence)[at(run.step)]
                                             .units[at(member.index)];
                next.payload = job->second.spec.payload;
                next.checkpoint = unit.checkpoint;
            }
            member.ordered = true;
            member.last_order = now;
            orders.push_back(std::move(next));
        }
    }
}

} // namespace chicorylift::batch
