#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>
#include <cmath>

/// The pass's second half: gives waiting work its workers, holds room for it, and orders the
/// starts.
namespace chicorylift::batch
{

namespace
{

constexpr std::uint64_t runs_an_epoch = 1U << 20U;
// Work that runs beyond its estimate is expected to take so much longer.
constexpr core::milliseconds overrun_step{500};

} // namespace

std::map<agent_id, resource_amount> site_scheduler::implementation::available_resources() const
{
    std::map<agent_id, resource_amount> available;
    for (const auto& [id, worker] : this->workers)
    {
        available[id] = worker.info.capacity;
    }
    for (const auto& [number, run] : this->runs)
    {
        for (const run_member_state& member : run.members)
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
    if (!worker.reconciled || worker.lost || worker.agent_stopping || !worker.info.announced ||
        worker.info.unresponsive || worker.info.draining ||
        worker.info.service != job.policy.service)
    {
        return false;
    }
    // A renewal must have arrived lately, or the order would find a lapsed lease.
    constexpr core::milliseconds freshness{2500};
    if (now - worker.last_report_at > freshness)
    {
        return false;
    }
    const auto& labels = worker.info.labels;
    return step.required_label.empty() ||
           std::find(labels.begin(), labels.end(), step.required_label) != labels.end();
}

std::vector<candidate_worker> site_scheduler::implementation::candidate_workers(
    const placement_group& group, const std::map<agent_id, resource_amount>& available,
    core::instant now) const
{
    const step_spec& step = this->spec_of(group);
    std::map<agent_id, std::int64_t> held;
    for (const auto& [number, run] : this->runs)
    {
        if (step.max_per_worker == 0)
        {
            break;
        }
        if (run.job != group.job->spec.id || run.step != group.step ||
            run.occurrence != group.occurrence)
        {
            continue;
        }
        for (const run_member_state& member : run.members)
        {
            held[member.agent] += member.ended ? 0 : 1;
        }
    }
    const step_state& state = group.job->occurrences.at(group.occurrence)[to_index(group.step)];
    std::vector<candidate_worker> rooms;
    for (const auto& [id, worker] : this->workers)
    {
        if (!this->may_place_on(worker, *group.job, step, now) ||
            worker.failure_history.quarantined_until > now)
        {
            continue;
        }
        candidate_worker room;
        room.agent = id;
        room.rack = worker.info.rack;
        room.zone = worker.info.zone;
        room.free = available.at(id);
        room.step_units = held[id];
        for (const std::int64_t unit : group.units)
        {
            room.has_recent_failures =
                room.has_recent_failures || state.units[to_index(unit)].failed_on.contains(id);
        }
        room.has_recent_failures = room.has_recent_failures || worker.failure_history.failures > 0;
        rooms.push_back(std::move(room));
    }
    return rooms;
}

bool site_scheduler::implementation::fits_one_rack(const placement_group& group) const
{
    const step_spec& step = this->spec_of(group);
    std::map<core::rack_id, std::int64_t> fitting;
    for (const auto& [id, worker] : this->workers)
    {
        if (!worker.lost && !worker.info.unresponsive &&
            worker.info.service == group.job->policy.service)
        {
            fitting[worker.info.rack] +=
                fit_count(step.resource_request(), worker.info.capacity, step.units);
        }
    }
    return std::any_of(fitting.begin(), fitting.end(),
                       [&step](const auto& rack) { return rack.second >= step.units; });
}

placement_constraints site_scheduler::implementation::constraints_for(const placement_group& group,
                                                                      core::instant now) const
{
    const step_spec& step = this->spec_of(group);
    const bool patient = now - group.waiting_since < this->settings.rack_locality_wait;
    placement_constraints rules;
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

void site_scheduler::implementation::place_groups(std::vector<placement_group>& groups,
                                                  core::instant now)
{
    std::map<agent_id, resource_amount> available = this->available_resources();
    this->backfill_reservations.clear();
    this->placement_attempts = 0;
    this->deduct_preemption_reservations(groups, available);
    const void* full = nullptr;
    for (const placement_group& group : groups)
    {
        const bool promised = this->release_preemption_reservation(group, available);
        // Units of one step need the same; where one finds no room, neither do the others, but for
        // those that room is being made for.
        const void* const step = &this->spec_of(group);
        if ((step == full && !promised) || this->place_group(group, available, now))
        {
            continue;
        }
        if (group.job->policy.priority == 0 && this->preempt_for(group, available, now))
        {
            continue;
        }
        full = step;
        if (group.reservation_due && this->backfill_reservations.empty())
        {
            this->reserve_for(group, now);
        }
    }
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
    core::milliseconds left =
        std::max<core::milliseconds>(step.estimate - (now - run.began), overrun_step);
    for (const run_member_state& member : run.members)
    {
        if (member.progress_percent > 0 && member.progress_percent < whole_percent)
        {
            left = std::min(left, step.estimate * (whole_percent - member.progress_percent) /
                                      whole_percent);
        }
    }
    return step.long_running ? core::instant::max() : now + left;
}

void site_scheduler::implementation::reserve_for(const placement_group& group, core::instant now)
{
    const step_spec& step = this->spec_of(group);
    std::vector<std::pair<core::instant, const run_state*>> ends;
    for (const auto& [number, run] : this->runs)
    {
        ends.emplace_back(this->expected_end(run, now), &run);
    }
    std::sort(ends.begin(), ends.end());
    const placement_constraints rules = this->constraints_for(group, now);
    const auto placed_after = [&](std::size_t count)
    {
        std::map<agent_id, resource_amount> later = this->available_resources();
        for (std::size_t index = 0; index < count; ++index)
        {
            for (const run_member_state& member : ends[index].second->members)
            {
                if (!member.ended)
                {
                    later[member.agent] += ends[index].second->per_unit;
                }
            }
        }
        return place_units(step, group.units, this->candidate_workers(group, later, now), rules);
    };
    if (ends.empty() || !placed_after(ends.size()).has_value())
    {
        return;
    }
    // More ends never take room away, so the first that suffice are found by halving.
    std::size_t low = 0;
    std::size_t high = ends.size();
    while (low + 1 < high)
    {
        const std::size_t middle = (low + high) / 2;
        (placed_after(middle).has_value() ? high : low) = middle;
    }
    const core::instant when = ends[high - 1].first;
    const auto placed = placed_after(high);
    for (const unit_placement& placement : placed.value())
    {
        backfill_reservation& kept = this->backfill_reservations[placement.agent];
        kept.job = group.job->spec.id;
        kept.reserved += step.resource_request();
        kept.until = when;
    }
    for (auto& [agent, kept] : this->backfill_reservations)
    {
        kept.spare = this->workers.at(agent).info.capacity;
        kept.spare -= kept.reserved;
        kept.spare -= this->allocated_after(agent, when, now);
    }
}

void site_scheduler::implementation::apply_reservations(const placement_group& group,
                                                        std::vector<candidate_worker>& rooms,
                                                        core::instant now) const
{
    const core::instant end = now + this->spec_of(group).estimate;
    for (candidate_worker& room : rooms)
    {
        const auto kept = this->backfill_reservations.find(room.agent);
        if (kept == this->backfill_reservations.end() || kept->second.job == group.job->spec.id ||
            group.guaranteed || end <= kept->second.until)
        {
            continue;
        }
        // What is free then besides the held room may still be used.
        const resource_amount& spare = kept->second.spare;
        room.free.accelerators = std::min(room.free.accelerators, spare.accelerators);
        room.free.millicores = std::min(room.free.millicores, spare.millicores);
        room.free.memory_mb = std::min(room.free.memory_mb, spare.memory_mb);
    }
}

resource_amount site_scheduler::implementation::allocated_after(const agent_id& agent,
                                                                core::instant until,
                                                                core::instant now) const
{
    resource_amount taken;
    for (const auto& [number, run] : this->runs)
    {
        if (this->expected_end(run, now) <= until)
        {
            continue;
        }
        for (const run_member_state& member : run.members)
        {
            if (member.agent == agent && !member.ended)
            {
                taken += run.per_unit;
            }
        }
    }
    return taken;
}

bool site_scheduler::implementation::place_group(const placement_group& group,
                                                 std::map<agent_id, resource_amount>& available,
                                                 core::instant now)
{
    ++this->placement_attempts;
    std::vector<candidate_worker> rooms = this->candidate_workers(group, available, now);
    this->apply_reservations(group, rooms, now);
    const auto placed =
        place_units(this->spec_of(group), group.units, rooms, this->constraints_for(group, now));
    if (!placed.has_value())
    {
        return false;
    }
    const resource_amount room = this->spec_of(group).resource_request();
    for (const unit_placement& placement : *placed)
    {
        available[placement.agent] -= room;
        const auto kept = this->backfill_reservations.find(placement.agent);
        if (kept != this->backfill_reservations.end() &&
            now + this->spec_of(group).estimate > kept->second.until)
        {
            kept->second.spare -= room;
        }
    }
    this->begin_run(group, *placed, now);
    return true;
}

void site_scheduler::implementation::add_job_agent(job_state& job, const agent_id& agent)
{
    if (job.agents.insert(agent).second)
    {
        this->mark_changed(job);
        job.agents_version = job.version;
    }
}

void site_scheduler::implementation::begin_run(const placement_group& group,
                                               const std::vector<unit_placement>& placements,
                                               core::instant now)
{
    const run_number number = this->settings.epoch * runs_an_epoch + this->next_run++;
    run_state run;
    run.number = number;
    run.job = group.job->spec.id;
    run.occurrence = group.occurrence;
    run.step = group.step;
    run.per_unit = this->spec_of(group).resource_request();
    run.gang = this->spec_of(group).gang;
    run.began = now;
    step_state& state = group.job->occurrences.at(group.occurrence)[to_index(group.step)];
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
        run_member_state member;
        member.index = placement.index;
        member.agent = placement.agent;
        member.progressed = now;
        run.members.push_back(member);
        state.units[to_index(placement.index)].run = number;
        where += (where.empty() ? "" : ",") + placement.agent.str();
        this->add_job_agent(*group.job, placement.agent);
    }
    ++group.job->active_runs;
    this->record_decision(
        "run_placed", run.job,
        "step " + std::to_string(run.occurrence) + "." + std::to_string(run.step) + " units " +
            std::to_string(placements.size()) + " run " + std::to_string(number) + " on " + where +
            " after waiting " + std::to_string((now - group.waiting_since).count()) + " ms; each " +
            std::to_string(run.per_unit.accelerators) + " accelerators, " +
            std::to_string(run.per_unit.millicores) + " millicores, " +
            std::to_string(this->spec_of(group).estimate.count()) + " ms" +
            (this->spec_of(group).checkpointing ? ", saves its state" : "") + "; priority " +
            std::to_string(group.job->policy.priority) + (group.guaranteed ? ", guaranteed" : ""));
    decision_record& placed = this->records.back();
    placed.waited = now - group.waiting_since;
    placed.organisation = group.job->spec.organisation;
    placed.queue = group.job->policy.queue;
    this->runs.emplace(number, std::move(run));
}

void site_scheduler::implementation::issue_commands(std::vector<agent_command>& orders,
                                                    core::instant now, bool start_unwritten)
{
    for (auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (!run.stopping && job != this->jobs.end() && !start_unwritten)
        {
            const auto& written = job->second.persisted_agents;
            // All members start together, once a later lead could learn where they are.
            const bool safe = std::all_of(run.members.begin(), run.members.end(),
                                          [&written](const run_member_state& member)
                                          { return written.contains(member.agent); });
            if (!safe)
            {
                continue;
            }
        }
        for (run_member_state& member : run.members)
        {
            const bool due = !member.command_sent ||
                             now - member.last_command_at > this->settings.command_retry_interval;
            const bool wanted = run.stopping || !member.confirmed;
            if (member.ended || !due || !wanted)
            {
                continue;
            }
            agent_command next;
            next.what = run.stopping ? agent_command::action::stop : agent_command::action::start;
            next.agent = member.agent;
            next.unit = {run.job, run.occurrence, run.step, member.index};
            next.run = number;
            if (!run.stopping && job != this->jobs.end())
            {
                const unit_state& unit =
                    job->second.occurrences.at(run.occurrence)[to_index(run.step)]
                        .units[to_index(member.index)];
                next.payload = job->second.spec.payload;
                next.checkpoint = unit.checkpoint;
            }
            member.command_sent = true;
            member.last_command_at = now;
            orders.push_back(std::move(next));
        }
    }
}

} // namespace chicorylift::batch
