#include "batch/placement.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

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
    const auto key = [&step](const candidate_worker& worker)
    {
        const bool off_data_rack = !step.data_rack.empty() && worker.rack.str() != step.data_rack;
        return std::tuple(worker.has_recent_failures, off_data_rack, worker.free.accelerators,
                          worker.free.millicores, worker.agent);
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

/// Adds victims in order of cost until one more unit fits on the worker.
/// @param chosen victims that are part of the plan already.
victim_set victims_for_one_more_unit(const step_spec& step, const candidate_worker& worker,
                                     const std::vector<victim>& victims,
                                     const std::vector<bool>& chosen)
{
    constexpr std::int64_t unbounded = 1'000'000;
    std::vector<std::size_t> on_worker;
    for (std::size_t index = 0; index < victims.size(); ++index)
    {
        for (const auto& [agent, freed] : victims[index].frees)
        {
            if (!chosen[index] && agent == worker.agent)
            {
                on_worker.push_back(index);
                break;
            }
        }
    }
    std::sort(on_worker.begin(), on_worker.end(),
              [&victims](std::size_t left, std::size_t right)
              { return victims[left].cost < victims[right].cost; });
    const std::int64_t before = units_fitting(step, worker, unbounded);
    victim_set result;
    candidate_worker after_preemption = worker;
    double cost = 0;
    std::vector<std::size_t> selected;
    for (const std::size_t index : on_worker)
    {
        for (const auto& [agent, freed] : victims[index].frees)
        {
            if (agent == worker.agent)
            {
                after_preemption.free += freed;
            }
        }
        cost += victims[index].cost;
        selected.push_back(index);
        if (units_fitting(step, after_preemption, unbounded) > before)
        {
            result.victims = selected;
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
                                               const std::vector<victim>& victims)
{
    preemption_plan plan;
    std::vector<bool> chosen(victims.size(), false);
    for (;;)
    {
        auto placed = fill(step, units, workers);
        if (placed.has_value())
        {
            plan.placements = std::move(*placed);
            return plan;
        }
        victim_set best;
        for (const candidate_worker& worker : workers)
        {
            victim_set on_worker = victims_for_one_more_unit(step, worker, victims, chosen);
            if (on_worker.cost < best.cost)
            {
                best = std::move(on_worker);
            }
        }
        if (best.victims.empty())
        {
            return std::nullopt;
        }
        for (const std::size_t index : best.victims)
        {
            chosen[index] = true;
            plan.preempted_runs.push_back(victims[index].run);
            plan.cost += victims[index].cost;
            for (candidate_worker& worker : workers)
            {
                for (const auto& [agent, freed] : victims[index].frees)
                {
                    if (agent == worker.agent)
                    {
                        worker.free += freed;
                    }
                }
            }
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
    if (constraints.data_rack_only && !step.data_rack.empty())
    {
        return plan_on_workers(step, units, in_rack(workers, data_rack), victims);
    }
    if (!constraints.one_rack)
    {
        return plan_on_workers(step, units, workers, victims);
    }
    std::optional<preemption_plan> best;
    for (const core::rack_id& rack : racks_of(workers))
    {
        auto plan = plan_on_workers(step, units, in_rack(workers, rack), victims);
        if (plan.has_value() && (!best.has_value() || plan->cost < best->cost))
        {
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace chicorylift::batch
