#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

/// Preemption: chooses the runs to stop for urgent groups, weighs the lost work, and reserves the
/// freed resources until the group starts.
namespace chicorylift::batch
{

namespace
{

// Urgent runs of others are stopped only if none ends by itself meanwhile. A stop, its report and
// the start must fit into the rest of the time within which guaranteed work starts.
constexpr core::milliseconds min_wait_for_urgent_room{1000};

} // namespace

unit_key reservation_key(const placement_group& group)
{
    return {group.job->spec.id, group.occurrence, group.step, group.units.front()};
}

void site_scheduler::implementation::deduct_preemption_reservations(
    const std::vector<placement_group>& groups, resources_by_worker& available)
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
        for (const auto& [worker, amount] : reservation.resources)
        {
            available[worker] -= amount;
        }
    }
}

std::optional<site_scheduler::implementation::preemption_reservation>
site_scheduler::implementation::release_preemption_reservation(const placement_group& group,
                                                               resources_by_worker& available)
{
    const auto found = this->preemption_reservations.find(reservation_key(group));
    if (found == this->preemption_reservations.end())
    {
        return std::nullopt;
    }
    const preemption_reservation released = std::move(found->second);
    this->preemption_reservations.erase(found);
    for (const auto& [worker, amount] : released.resources)
    {
        available[worker] += amount;
    }
    return released;
}

void site_scheduler::implementation::release_unguaranteed_reservations(
    resources_by_worker& available)
{
    std::erase_if(this->preemption_reservations,
                  [&available](const auto& each)
                  {
                      for (const auto& [worker, amount] : each.second.resources)
                      {
                          if (!each.second.guaranteed)
                          {
                              available[worker] += amount;
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

const victim_pool&
site_scheduler::implementation::preemption_candidates(const victim_filter& filter,
                                                      core::instant now)
{
    if (this->victims.has_value() && this->victims->first == filter)
    {
        return this->victims->second;
    }
    std::vector<victim> found;
    for (const auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.stopping || job == this->jobs.end() ||
            (filter.spare_ending && this->ends_soon(run, now)))
        {
            continue;
        }
        const bool is_less_urgent = job->second.policy.priority > filter.priority;
        if (!is_less_urgent && !(filter.beyond_guarantee && !this->is_guaranteed(job->second)))
        {
            continue;
        }
        victim candidate;
        candidate.run = number;
        candidate.cost =
            this->preemption_cost(run, job->second.spec.steps[to_index(run.step)], now);
        for (const run_member_state& member : run.members)
        {
            if (!member.ended)
            {
                candidate.frees.emplace_back(member.agent, run.per_unit);
            }
        }
        found.push_back(std::move(candidate));
    }
    this->victims.emplace(filter, std::move(found));
    return this->victims->second;
}

resources_by_worker
site_scheduler::implementation::available_after_stops(resources_by_worker available) const
{
    for (const auto& [number, run] : this->runs)
    {
        for (const run_member_state& member : run.members)
        {
            if (run.stopping && !member.ended)
            {
                available[member.worker] += run.per_unit;
            }
        }
    }
    return available;
}

bool site_scheduler::implementation::preempt_for(const placement_group& group,
                                                 resources_by_worker& available, core::instant now)
{
    const step_spec& step = this->spec_of(group);
    const double gain = work_core_seconds(step, group.units.size(), step.estimate);
    const placement_weights& weights = this->settings.weights;
    if (!group.guaranteed && group.objective_missed)
    {
        return false;
    }
    const double max_cost =
        group.guaranteed ? std::numeric_limits<double>::infinity()
                         : weights.preemption_cost_base + gain * weights.preemption_cost_factor;
    const auto plan_with =
        [&](placement_constraints rules, bool spare_ending, bool beyond_guarantee = false)
    {
        std::vector<candidate_worker> workers =
            this->candidate_workers(group, this->available_after_stops(available), now);
        // The group starts under the same rules as its plan.
        this->apply_reservations(group, workers, now);
        return plan_preemption(
            step, group.units, workers,
            this->preemption_candidates(
                {group.job->policy.priority, spare_ending, beyond_guarantee}, now),
            rules, max_cost);
    };
    auto plan =
        plan_with(this->constraints_for(group, now), this->waits_for_ending_runs(group, now));
    if (!plan.has_value() && group.guaranteed)
    {
        this->release_unguaranteed_reservations(available);
        plan = plan_with(this->constraints_for(group, now), /*spare_ending=*/false);
    }
    const bool any_rack = !plan.has_value() && group.guaranteed;
    if (any_rack)
    {
        plan = plan_with({}, /*spare_ending=*/false);
    }
    if (!plan.has_value() && group.guaranteed && now - group.idle_since >= min_wait_for_urgent_room)
    {
        plan = plan_with({}, /*spare_ending=*/false, /*beyond_guarantee=*/true);
    }
    if (!plan.has_value())
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
        this->stop_run(this->runs.at(number), "preempted for job " + group.job->spec.id.str(),
                       loss_reason::preempted);
    }
    if (!plan->preempted_runs.empty())
    {
        this->victims.reset();
    }
    const resource_amount request = step.resource_request();
    preemption_reservation& reservation = this->preemption_reservations[reservation_key(group)];
    reservation.guaranteed = group.guaranteed;
    reservation.any_rack = any_rack;
    for (const unit_placement& placement : plan->placements)
    {
        available[placement.worker] -= request;
        reservation.resources.emplace_back(placement.worker, request);
        // Persists the agent while the runs are stopping, so that the start does not wait for the
        // write.
        this->add_job_agent(*group.job, placement.agent);
    }
    return true;
}

} // namespace chicorylift::batch
