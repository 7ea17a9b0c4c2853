#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>
#include <cmath>

/// The pass's part that makes room for urgent work: whom to stop, at what cost, and for whom the
/// room is kept meanwhile.
namespace chicorylift::batch
{

namespace
{

/// @return the unit that stands for a group.
unit_key first_unit(const placement_group& group)
{
    return {group.job->spec.id, group.occurrence, group.step, group.units.front()};
}

} // namespace

void site_scheduler::implementation::deduct_preemption_reservations(
    const std::vector<placement_group>& groups, std::map<agent_id, resource_amount>& available)
{
    std::map<unit_key, preemption_reservation> kept;
    for (const placement_group& group : groups)
    {
        const auto found = this->preemption_reservations.find(first_unit(group));
        if (found != this->preemption_reservations.end())
        {
            kept.insert(this->preemption_reservations.extract(found));
        }
    }
    this->preemption_reservations = std::move(kept);
    for (const auto& [unit, promise] : this->preemption_reservations)
    {
        for (const auto& [agent, room] : promise.rooms)
        {
            available[agent] -= room;
        }
    }
}

bool site_scheduler::implementation::release_preemption_reservation(
    const placement_group& group, std::map<agent_id, resource_amount>& available)
{
    const auto found = this->preemption_reservations.find(first_unit(group));
    if (found == this->preemption_reservations.end())
    {
        return false;
    }
    for (const auto& [agent, room] : found->second.rooms)
    {
        available[agent] += room;
    }
    this->preemption_reservations.erase(found);
    return true;
}

void site_scheduler::implementation::release_unguaranteed_reservations(
    std::map<agent_id, resource_amount>& available)
{
    std::erase_if(this->preemption_reservations,
                  [&available](const auto& each)
                  {
                      for (const auto& [agent, room] : each.second.rooms)
                      {
                          if (!each.second.guaranteed)
                          {
                              available[agent] += room;
                          }
                      }
                      return !each.second.guaranteed;
                  });
}

double site_scheduler::implementation::preemption_cost(const run_state& run, const step_spec& step,
                                                       core::instant now) const
{
    // Runs that an earlier lead started have no known beginning; their progress tells.
    core::milliseconds lost = now - run.began;
    for (const run_member_state& member : run.members)
    {
        lost = std::max(lost, step.estimate * std::min(member.progress_percent, whole_percent) /
                                  whole_percent);
    }
    if (step.checkpointing)
    {
        // Work that saves its state loses only the time that it takes to come back to it.
        lost = std::min(lost, this->settings.restore_time);
    }
    return work_core_seconds(step, run.members.size(), lost);
}

std::vector<victim>
site_scheduler::implementation::preemption_candidates(const placement_group& group,
                                                      core::instant now) const
{
    std::vector<victim> victims;
    for (const auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.stopping || job == this->jobs.end() ||
            job->second.policy.priority <= group.job->policy.priority)
        {
            continue;
        }
        const step_spec& step = job->second.spec.steps[to_index(run.step)];
        victim candidate;
        candidate.run = number;
        candidate.cost = this->preemption_cost(run, step, now);
        for (const run_member_state& member : run.members)
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

std::map<agent_id, resource_amount> site_scheduler::implementation::available_after_stops(
    std::map<agent_id, resource_amount> available) const
{
    for (const auto& [number, run] : this->runs)
    {
        for (const run_member_state& member : run.members)
        {
            if (run.stopping && !member.ended)
            {
                available[member.agent] += run.per_unit;
            }
        }
    }
    return available;
}

bool site_scheduler::implementation::preempt_for(const placement_group& group,
                                                 std::map<agent_id, resource_amount>& available,
                                                 core::instant now)
{
    const step_spec& step = this->spec_of(group);
    const std::vector<victim> victims = this->preemption_candidates(group, now);
    const auto plan_with = [&](placement_constraints rules)
    {
        return plan_preemption(
            step, group.units,
            this->candidate_workers(group, this->available_after_stops(available), now), victims,
            rules);
    };
    auto plan = plan_with(this->constraints_for(group, now));
    if (!plan.has_value() && group.guaranteed)
    {
        this->release_unguaranteed_reservations(available);
        plan = plan_with(this->constraints_for(group, now));
    }
    if (!plan.has_value() && group.guaranteed)
    {
        plan = plan_with({});
    }
    if (!plan.has_value())
    {
        return false;
    }
    const double gain = work_core_seconds(step, group.units.size(), step.estimate);
    const placement_weights& weights = this->settings.weights;
    if (!group.guaranteed &&
        (group.objective_missed ||
         plan->cost > weights.preemption_cost_base + gain * weights.preemption_cost_factor))
    {
        return false;
    }
    if (!plan->preempted_runs.empty())
    {
        this->record_decision("work_reclaimed", group.job->spec.id,
                              std::to_string(plan->preempted_runs.size()) + " runs with " +
                                  std::to_string(std::llround(plan->cost)) +
                                  " core-seconds make room for " +
                                  std::to_string(std::llround(gain)) +
                                  (group.guaranteed ? ", guaranteed" : ", not guaranteed"));
    }
    for (const run_number number : plan->preempted_runs)
    {
        this->stop_run(this->runs.at(number), "room for " + group.job->spec.id.str());
    }
    const resource_amount room = step.resource_request();
    preemption_reservation& kept = this->preemption_reservations[first_unit(group)];
    kept.guaranteed = group.guaranteed;
    for (const unit_placement& placement : plan->placements)
    {
        available[placement.agent] -= room;
        kept.rooms.emplace_back(placement.agent, room);
        // Written while the stops are under way, so that the start need not wait for it.
        this->add_job_agent(*group.job, placement.agent);
    }
    return true;
}

} // namespace chicorylift::batch
