#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>
#include <cmath>

/// Preemption: chooses the runs to stop for urgent groups, weighs the lost work, and reserves the
/// freed resources until the group starts.
namespace chicorylift::batch
{

namespace
{

/// @return key of the group's preemption reservation: its first unit.
unit_key reservation_key(const placement_group& group)
{
    return {group.job->spec.id, group.occurrence, group.step, group.units.front()};
}

} // namespace

void site_scheduler::implementation::deduct_preemption_reservations(
    const std::vector<placement_group>& groups, std::map<agent_id, resource_amount>& available)
{
    std::map<unit_key, preemption_reservation> waiting;
    for (const placement_group& group : groups)
    {
        const auto found = this->preemption_reservations.find(reservation_key(group));
        if (found != this->preemption_reservations.end())
        {
            waiting.insert(this->preemption_reservations.extract(found));
        }
    }
    this->preemption_reservations = std::move(waiting);
    for (const auto& [unit, reservation] : this->preemption_reservations)
    {
        for (const auto& [agent, amount] : reservation.resources)
        {
            available[agent] -= amount;
        }
    }
}

bool site_scheduler::implementation::release_preemption_reservation(
    const placement_group& group, std::map<agent_id, resource_amount>& available)
{
    const auto found = this->preemption_reservations.find(reservation_key(group));
    if (found == this->preemption_reservations.end())
    {
        return false;
    }
    for (const auto& [agent, amount] : found->second.resources)
    {
        available[agent] += amount;
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
                      for (const auto& [agent, amount] : each.second.resources)
                      {
                          if (!each.second.guaranteed)
                          {
                              available[agent] += amount;
                          }
                      }
                      return !each.second.guaranteed;
                  });
}

double site_scheduler::implementation::preemption_cost(const run_state& run, const step_spec& step,
                                                       core::instant now) const
{
    // The start time of a run adopted from an earlier leader is unknown, so its reported progress
    // counts as well.
    core::milliseconds lost = now - run.started_at;
    for (const run_member_state& member : run.members)
    {
        lost = std::max(lost, step.estimate * std::min(member.progress_percent, whole_percent) /
                                  whole_percent);
    }
    if (step.checkpointing)
    {
        // A checkpointing run loses at most the time that it takes to restore its checkpoint.
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
        // Drops the locality constraints.
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
        this->record_decision(
            "work_reclaimed", group.job->spec.id,
            std::to_string(plan->preempted_runs.size()) + " runs with " +
                std::to_string(std::llround(plan->cost)) +
                " core-seconds of lost work preempted for a group of " +
                std::to_string(std::llround(gain)) +
                (group.guaranteed ? " core-seconds, guaranteed" : " core-seconds, not guaranteed"));
    }
    for (const run_number number : plan->preempted_runs)
    {
        this->stop_run(this->runs.at(number), "preempted for job " + group.job->spec.id.str());
    }
    const resource_amount request = step.resource_request();
    preemption_reservation& reservation = this->preemption_reservations[reservation_key(group)];
    reservation.guaranteed = group.guaranteed;
    for (const unit_placement& placement : plan->placements)
    {
        available[placement.agent] -= request;
        reservation.resources.emplace_back(placement.agent, request);
        // Persists the agent while the runs are stopping, so that the start does not wait for the
        // write.
        this->add_job_agent(*group.job, placement.agent);
    }
    return true;
}

} // namespace chicorylift::batch
