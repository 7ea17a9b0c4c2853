#include "batch/placement.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace chicorylift::batch
{

namespace
{

std::int64_t units_fitting(const step_spec& step, const candidate_worker& worker,
                           std::int64_t max_count)
{
    std::int64_t count = fit_count(step.resource_request(), worker.free, max_count);
    if (step.max_per_worker > 0)
    {
        count = std::min(count, step.max_per_worker - worker.step_units);
    }
    return std::max<std::int64_t>(0, count);
}

/// @return the racks of the workers without duplicates, in order of first occurrence.
std::vector<core::rack_id> racks_of(const std::vector<candidate_worker>& workers)
{
    std::vector<core::rack_id> racks;
    for (const candidate_worker& worker : workers)
    {
        if (std::find(racks.begin(), racks.end(), worker.rack) == racks.end())
        {
            racks.push_back(worker.rack);
        }
    }
    return racks;
}

std::vector<candidate_worker> in_rack(const std::vector<candidate_worker>& workers,
                                      const core::rack_id& rack)
{
    std::vector<candidate_worker> chosen;
    std::copy_if(workers.begin(), workers.end(), std::back_inserter(chosen),
                 [&rack](const candidate_worker& worker) { return worker.rack == rack; });
    return chosen;
}

std::int64_t free_accelerators(const std::vector<candidate_worker>& workers)
{
    std::int64_t total = 0;
    for (const candidate_worker& worker : workers)
    {
        total += worker.free.accelerators;
    }
    return total;
}

/// Fills the workers one by one: those without recent failures first, then those in the data rack,
/// then those with the fewest free resources.
/// @return the placements, or nothing if not all units fit.
std::optional<std::vector<unit_placement>> fill(const step_spec& step,
                                                const std::vector<std::int64_t>& units,
                                                std::vector<candidate_worker> workers)
{
    std::erase_if(workers, [&step](const candidate_worker& worker)
                  { return units_fitting(step, worker, 1) == 0; });
    const auto off_data_rack = [&step](const candidate_worker& worker)
    { return !step.data_rack.empty() && worker.rack.str() != step.data_rack; };
    const auto key = [&off_data_rack](const candidate_worker& worker)
    {
        return std::tuple(worker.has_recent_failures, off_data_rack(worker),
                          worker.free.accelerators, worker.free.millicores,
                          std::cref(worker.agent));
    };
    std::sort(workers.begin(), workers.end(),
              [&key](const candidate_worker& left, const candidate_worker& right)
              { return key(left) < key(right); });
    std::vector<unit_placement> placed;
    for (const candidate_worker& worker : workers)
    {
        const auto left = static_cast<std::int64_t>(units.size() - placed.size());
        for (std::int64_t count = units_fitting(step, worker, left); count > 0; --count)
        {
            placed.push_back({units[placed.size()], worker.agent});
        }
    }
    return placed.size() == units.size() ? std::optional(std::move(placed)) : std::nullopt;
}

/// Runs whose preemption makes one more unit fit on a worker. Empty, at infinite cost, if none do.
struct victim_set
{
    std::vector<std::size_t> victims;
    double cost = std::numeric_limits<double>::infinity();
};

/// Runs that free resources on one worker: index of the victim and what it frees there.
using worker_victims = std::vector<std::pair<std::size_t, resource_amount>>;
using victims_by_worker = std::unordered_map<std::string, worker_victims>;

/// @return the victims of each worker, in order of cost.
victims_by_worker group_by_worker(const std::vector<victim>& victims)
{
    victims_by_worker groups;
    for (std::size_t index = 0; index < victims.size(); ++index)
    {
        for (const auto& [agent, freed] : victims[index].frees)
        {
            worker_victims& group = groups[agent.str()];
            if (!group.empty() && group.back().first == index)
            {
                group.back().second += freed;
            }
            else
            {
                group.emplace_back(index, freed);
            }
        }
    }
    for (auto& [agent, group] : groups)
    {
        std::sort(group.begin(), group.end(),
                  [&victims](const auto& left, const auto& right)
                  { return victims[left.first].cost < victims[right.first].cost; });
    }
    return groups;
}

/// Adds victims in order of cost until one more unit fits on the worker.
/// @param chosen victims that are part of the plan already.
victim_set victims_for_one_more_unit(const step_spec& step, const candidate_worker& worker,
                                     const std::vector<victim>& victims,
                                     const victims_by_worker& groups,
                                     const std::vector<bool>& chosen)
{
    constexpr std::int64_t unbounded = 1'000'000;
    const auto group = groups.find(worker.agent.str());
    if (group == groups.end())
    {
        return {};
    }
    const std::int64_t before = units_fitting(step, worker, unbounded);
    victim_set result;
    candidate_worker after_preemption = worker;
    double cost = 0;
    std::vector<std::size_t> selected;
    for (const auto& [index, freed] : group->second)
    {
        if (chosen[index])
        {
            continue;
        }
        after_preemption.free += freed;
        cost += victims[index].cost;
        selected.push_back(index);
        if (units_fitting(step, after_preemption, unbounded) > before)
        {
            result.victims = std::move(selected);
            result.cost = cost;
            return result;
        }
    }
    return result;
}

/// Computes a preemption plan for the given workers only.
std::optional<preemption_plan> plan_on_workers(const step_spec& step,
                                               const std::vector<std::int64_t>& units,
                                               std::vector<candidate_worker> workers,
                                               const std::vector<victim>& victims,
                                               const victims_by_worker& groups)
{
    preemption_plan plan;
    std::vector<bool> chosen(victims.size(), false);
    std::vector<victim_set> cheapest(workers.size());
    std::unordered_map<std::string, std::size_t> position;
    for (std::size_t index = 0; index < workers.size(); ++index)
    {
        position[workers[index].agent.str()] = index;
        cheapest[index] = victims_for_one_more_unit(step, workers[index], victims, groups, chosen);
    }
    for (;;)
    {
        auto placed = fill(step, units, workers);
        if (placed.has_value())
        {
            plan.placements = std::move(*placed);
            return plan;
        }
        const auto best = std::min_element(cheapest.begin(), cheapest.end(),
                                           [](const victim_set& left, const victim_set& right)
                                           { return left.cost < right.cost; });
        if (best == cheapest.end() || best->victims.empty())
        {
            return std::nullopt;
        }
        std::set<std::size_t> changed;
        for (const std::size_t index : std::exchange(best->victims, {}))
        {
            chosen[index] = true;
            plan.preempted_runs.push_back(victims[index].run);
            plan.cost += victims[index].cost;
            for (const auto& [agent, freed] : victims[index].frees)
            {
                const auto worker = position.find(agent.str());
                if (worker != position.end())
                {
                    workers[worker->second].free += freed;
                    changed.insert(worker->second);
                }
            }
        }
        // Only the workers on which the chosen runs free resources have a new cheapest choice.
        for (const std::size_t index : changed)
        {
            cheapest[index] =
                victims_for_one_more_unit(step, workers[index], victims, groups, chosen);
        }
    }
}

} // namespace

std::optional<std::vector<unit_placement>> place_units(const step_spec& step,
                                                       const std::vector<std::int64_t>& units,
                                                       const std::vector<candidate_worker>& workers,
                                                       placement_constraints constraints)
{
    const core::rack_id data_rack(step.data_rack);
    const bool has_data_rack = !step.data_rack.empty();
    if (constraints.data_rack_only && has_data_rack)
    {
        return fill(step, units, in_rack(workers, data_rack));
    }
    if (!constraints.one_rack)
    {
        return fill(step, units, workers);
    }
    std::optional<std::vector<unit_placement>> best;
    std::tuple<bool, std::int64_t> best_key;
    for (const core::rack_id& rack : racks_of(workers))
    {
        const std::vector<candidate_worker> local = in_rack(workers, rack);
        auto placed = fill(step, units, local);
        const std::tuple key(has_data_rack && rack != data_rack, free_accelerators(local));
        if (placed.has_value() && (!best.has_value() || key < best_key))
        {
            best = std::move(placed);
            best_key = key;
        }
    }
    return best;
}

std::optional<preemption_plan> plan_preemption(const step_spec& step,
                                               const std::vector<std::int64_t>& units,
                                               const std::vector<candidate_worker>& workers,
                                               const std::vector<victim>& victims,
                                               placement_constraints constraints)
{
    const core::rack_id data_rack(step.data_rack);
    const victims_by_worker groups = group_by_worker(victims);
    if (constraints.data_rack_only && !step.data_rack.empty())
    {
        return plan_on_workers(step, units, in_rack(workers, data_rack), victims, groups);
    }
    if (!constraints.one_rack)
    {
        return plan_on_workers(step, units, workers, victims, groups);
    }
    std::optional<preemption_plan> best;
    for (const core::rack_id& rack : racks_of(workers))
    {
        auto plan = plan_on_workers(step, units, in_rack(workers, rack), victims, groups);
        if (plan.has_value() && (!best.has_value() || plan->cost < best->cost))
        {
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace chicorylift::batch
