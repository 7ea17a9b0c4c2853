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
unit_key first_unit(const work_group& group)
{
    return {group.job->spec.id, group.occurrence, group.step, group.units.front()};
}

} // namespace

void site_scheduler::implementation::keep_promises(const std::vector<work_group>& groups,
                                                   std::map<agent_id, amount>& available)
{
    std::map<unit_key, promise> kept;
    for (const work_group& group : groups)
    {
        const auto found = this->promises.find(first_unit(group));
        if (found != this->promises.end())
        {
            kept.insert(this->promises.extract(found));
        }
    }
    this->promises = std::move(kept);
    for (const auto& [unit, promise] : this->promises)
    {
        for (const auto& [agent, room] : promise.rooms)
        {
            available[agent] -= room;
        }
    }
}

bool site_scheduler::implementation::release_promises(const work_group& group,
                                                      std::map<agent_id, amount>& available)
{
    const auto found = this->promises.find(first_unit(group));
    if (found == this->promises.end())
    {
        return false;
    }
    for (const auto& [agent, room] : found->second.rooms)
    {
        available[agent] += room;
    }
    this->promises.erase(found);
    return true;
}

void site_scheduler::implementation::release_unguaranteed(std::map<agent_id, amount>& available)
{
    std::erase_if(this->promises,
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

double site_scheduler::implementation::loss_of(const run_state& run, const step_spec& step,
                                               core::instant now) const
{
    // Runs that an earlier lead started have no known beginning; their progress tells.
    core::milliseconds lost = now - run.began;
    for (const member_state& member : run.members)
    {
        lost =
            std::max(lost, step.estimate * std::min(member.percent, whole_percent) / whole_percent);
    }
    if (step.checkpointing)
    {
        // Work that saves its state loses only the time that it takes to come back to it.
        lost = std::min(lost, this->settings.restore_time);
    }
    return work_of(step, run.members.size(), lost);
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

std::map<agent_id, amount>
site_scheduler::implementation::room_soon(std::map<agent_id, amount> available) const
{
    for (const auto& [number, run] : this->runs)
    {
        for (const member_state& member : run.members)
        {
            if (run.stopping && !member.ended)
            {
                available[member.agent] += run.per_unit;
            }
        }
    }
    return available;
}

bool site_scheduler::implementation::reclaim_for(const work_group& group,
                                                 std::map<agent_id, amount>& available,
                                                 core::instant now)
{
    const step_spec& step = this->spec_of(group);
    const std::vector<victim> victims = this->victims_for(group, now);
    const auto plan_with = [&](placing_rules rules)
    {
        return plan_reclaim(step, group.units,
                            this->rooms_for(group, this->room_soon(available), now), victims,
                            rules);
    };
    auto plan = plan_with(this->rules_for(group, now));
    if (!plan.has_value() && group.guaranteed)
    {
        this->release_unguaranteed(available);
        plan = plan_with(this->rules_for(group, now));
    }
    if (!plan.has_value() && group.guaranteed)
    {
        plan = plan_with({});
    }
    if (!plan.has_value())
    {
        return false;
    }
    const double gain = work_of(step, group.units.size(), step.estimate);
    const placing_weights& weights = this->settings.weights;
    if (!group.guaranteed &&
        (group.late || plan->cost > weights.reclaim_base + gain * weights.reclaim_factor))
    {
        return false;
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
    promise& kept = this->promises[first_unit(group)];
    kept.guaranteed = group.guaranteed;
    for (const unit_placement& placement : plan->placements)
    {
        available[placement.agent] -= room;
        kept.rooms.emplace_back(placement.agent, room);
        // Written while the stops are under way, so that the start need not wait for it.
        this->note_agent(*group.job, placement.agent);
    }
    return true;
}

} // namespace chicorylift::batch
