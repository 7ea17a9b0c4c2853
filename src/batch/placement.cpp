#include "batch/placement.hpp"

#include "batch/packing.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
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

/// @return the workers by rack, in order of each rack's first occurrence.
std::vector<std::vector<candidate_worker>> by_rack(const std::vector<candidate_worker>& workers)
{
    std::vector<std::vector<candidate_worker>> racks;
    std::unordered_map<std::string, std::size_t> position;
    for (const candidate_worker& worker : workers)
    {
        const auto [known, is_new] = position.try_emplace(worker.rack.str(), racks.size());
        if (is_new)
        {
            racks.emplace_back();
        }
        racks[known->second].push_back(worker);
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

/// @return looseness() where workers are kept whole; 0 elsewhere.
double packed_looseness(const step_spec& step, const candidate_worker& worker)
{
    return worker.capacity == resource_amount{} ? 0
                                                : looseness(step.resource_request(), worker.free);
}

/// @return fragmentation_after() where workers are kept whole; zeros elsewhere.
rack_fragmentation packed_fragmentation(const step_spec& step,
                                        const std::vector<candidate_worker>& rack,
                                        const std::vector<unit_placement>& placed)
{
    if (rack.front().capacity == resource_amount{})
    {
        return {};
    }
    std::vector<agent_id> used;
    used.reserve(placed.size());
    for (const unit_placement& each : placed)
    {
        used.push_back(each.agent);
    }
    return fragmentation_after(step.resource_request(), rack, used);
}

/// Fills the workers one by one: those without recent failures first, then those in the data rack,
/// then those that are not warming up, then those of the preferred speed, then those that the units
/// keep in use for the least additional time and that they fill best, where workers are kept whole,
/// then those with the fewest free resources.
/// @return placements of as many units as fit.
std::vector<unit_placement> fill(const step_spec& step, const std::vector<std::int64_t>& units,
                                 const std::vector<candidate_worker>& workers)
{
    std::vector<const candidate_worker*> order;
    for (const candidate_worker& worker : workers)
    {
        if (units_fitting(step, worker, 1) > 0)
        {
            order.push_back(&worker);
        }
    }
    const auto off_data_rack = [&step](const candidate_worker& worker)
    { return !step.data_rack.empty() && worker.rack.str() != step.data_rack; };
    const auto key = [&step, &off_data_rack](const candidate_worker& worker)
    {
        return std::tuple(worker.has_recent_failures, off_data_rack(worker), worker.warming_up,
                          worker.speed_order, worker.added_quarters, packed_looseness(step, worker),
                          worker.free.accelerators, worker.free.millicores,
                          std::cref(worker.agent));
    };
    std::sort(order.begin(), order.end(),
              [&key](const candidate_worker* left, const candidate_worker* right)
              { return key(*left) < key(*right); });
    std::vector<unit_placement> placed;
    for (const candidate_worker* worker : order)
    {
        const auto left = static_cast<std::int64_t>(units.size() - placed.size());
        for (std::int64_t count = units_fitting(step, *worker, left); count > 0; --count)
        {
            placed.push_back({units[placed.size()], worker->agent, worker->index});
        }
    }
    return placed;
}

/// @return the worst candidate_worker::speed_order among the workers of the placements.
int worst_speed_order(const std::vector<unit_placement>& placed,
                      const std::vector<candidate_worker>& workers)
{
    int worst = std::numeric_limits<int>::min();
    for (const candidate_worker& worker : workers)
    {
        const bool is_used = std::any_of(placed.begin(), placed.end(),
                                         [&worker](const unit_placement& placement)
                                         { return placement.worker == worker.index; });
        worst = is_used ? std::max(worst, worker.speed_order) : worst;
    }
    return worst;
}

/// Places a gang as fill() does. A gang ends with its slowest member: if it does not fit without
/// slow workers, it takes as many of those as possible and leaves the others to other work.
std::vector<unit_placement> fill_gang(const step_spec& step, const std::vector<std::int64_t>& units,
                                      const std::vector<candidate_worker>& workers)
{
    std::vector<unit_placement> placed = fill(step, units, workers);
    const bool speeds_differ =
        std::any_of(workers.begin(), workers.end(),
                    [](const candidate_worker& worker) { return worker.speed_order != 0; });
    if (!speeds_differ || worst_speed_order(placed, workers) <= 0)
    {
        return placed;
    }
    std::vector<candidate_worker> slow_first = workers;
    for (candidate_worker& worker : slow_first)
    {
        worker.speed_order = -worker.speed_order;
    }
    return fill(step, units, slow_first);
}

/// @return the placements, or nothing if not all units fit.
std::optional<std::vector<unit_placement>> fill_all(const step_spec& step,
                                                    const std::vector<std::int64_t>& units,
                                                    const std::vector<candidate_worker>& workers)
{
    const auto needed = static_cast<std::int64_t>(units.size());
    std::int64_t fitting = 0;
    for (const candidate_worker& worker : workers)
    {
        fitting += units_fitting(step, worker, needed);
    }
    if (fitting < needed)
    {
        return std::nullopt;
    }
    return step.gang ? fill_gang(step, units, workers) : fill(step, units, workers);
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
                                     const victim_pool& pool, const std::vector<bool>& chosen)
{
    constexpr std::int64_t unbounded = 1'000'000;
    const victim_pool::worker_victims* const group = pool.on(worker.agent);
    if (group == nullptr)
    {
        return {};
    }
    const std::int64_t before = units_fitting(step, worker, unbounded);
    victim_set result;
    candidate_worker after_preemption = worker;
    double cost = 0;
    std::vector<std::size_t> selected;
    for (const auto& [index, freed] : *group)
    {
        if (chosen[index])
        {
            continue;
        }
        after_preemption.free += freed;
        cost += pool.all()[index].cost;
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

/// Leaves those of the chosen runs alone, dearest first, without which all units fit as well: a run
/// that was chosen for one unit can become unnecessary when a later one frees room for several.
/// @param workers workers with the room that the chosen runs free.
/// @param chosen indices of the chosen runs.
void drop_unneeded_victims(const step_spec& step, std::int64_t needed,
                           std::vector<candidate_worker>& workers,
                           const std::unordered_map<std::string, std::size_t>& position,
                           const victim_pool& pool, std::vector<std::size_t>& chosen)
{
    std::vector<std::int64_t> fitting;
    std::int64_t total = 0;
    for (const candidate_worker& worker : workers)
    {
        total += fitting.emplace_back(units_fitting(step, worker, needed));
    }
    std::vector<std::size_t> by_cost = chosen;
    std::stable_sort(by_cost.begin(), by_cost.end(),
                     [&pool](std::size_t left, std::size_t right)
                     { return pool.all()[left].cost > pool.all()[right].cost; });
    for (const std::size_t index : by_cost)
    {
        std::map<std::size_t, candidate_worker> without;
        for (const auto& [agent, freed] : pool.all()[index].frees)
        {
            const auto found = position.find(agent.str());
            if (found != position.end())
            {
                without.try_emplace(found->second, workers[found->second]).first->second.free -=
                    freed;
            }
        }
        std::int64_t total_without = total;
        for (const auto& [place, worker] : without)
        {
            total_without += units_fitting(step, worker, needed) - fitting[place];
        }
        if (total_without < needed)
        {
            continue;
        }
        total = total_without;
        for (auto& [place, worker] : without)
        {
            fitting[place] = units_fitting(step, worker, needed);
            workers[place] = std::move(worker);
        }
        std::erase(chosen, index);
    }
}

/// Computes a preemption plan for the given workers only.
std::optional<preemption_plan> plan_on_workers(const step_spec& step,
                                               const std::vector<std::int64_t>& units,
                                               std::vector<candidate_worker> workers,
                                               const victim_pool& pool, double max_cost)
{
    const auto needed = static_cast<std::int64_t>(units.size());
    preemption_plan plan;
    std::vector<bool> chosen(pool.all().size(), false);
    std::vector<std::size_t> chosen_victims;
    std::vector<victim_set> cheapest(workers.size());
    std::unordered_map<std::string, std::size_t> position;
    std::int64_t fitting = 0;
    for (std::size_t index = 0; index < workers.size(); ++index)
    {
        position[workers[index].agent.str()] = index;
        fitting += units_fitting(step, workers[index], needed);
        cheapest[index] = victims_for_one_more_unit(step, workers[index], pool, chosen);
    }
    while (fitting < needed)
    {
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
            const victim& preempted = pool.all()[index];
            chosen[index] = true;
            chosen_victims.push_back(index);
            plan.cost += preempted.cost;
            for (const auto& [agent, freed] : preempted.frees)
            {
                const auto found = position.find(agent.str());
                if (found != position.end())
                {
                    candidate_worker& worker = workers[found->second];
                    fitting -= units_fitting(step, worker, needed);
                    worker.free += freed;
                    fitting += units_fitting(step, worker, needed);
                    changed.insert(found->second);
                }
            }
        }
        if (plan.cost > max_cost)
        {
            return std::nullopt;
        }
        // Only the workers on which the chosen runs free resources have a new cheapest choice.
        for (const std::size_t index : changed)
        {
            cheapest[index] = victims_for_one_more_unit(step, workers[index], pool, chosen);
        }
    }
    drop_unneeded_victims(step, needed, workers, position, pool, chosen_victims);
    plan.cost = 0;
    for (const std::size_t index : chosen_victims)
    {
        plan.preempted_runs.push_back(pool.all()[index].run);
        plan.cost += pool.all()[index].cost;
    }
    plan.placements = fill(step, units, workers);
    return plan;
}

} // namespace

victim_pool::victim_pool(std::vector<victim> all) : victims(std::move(all))
{
    for (std::size_t index = 0; index < this->victims.size(); ++index)
    {
        for (const auto& [agent, freed] : this->victims[index].frees)
        {
            worker_victims& group = this->by_agent[agent.str()];
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
    for (auto& [agent, group] : this->by_agent)
    {
        std::sort(group.begin(), group.end(),
                  [this](const auto& left, const auto& right)
                  { return this->victims[left.first].cost < this->victims[right.first].cost; });
    }
}

const victim_pool::worker_victims* victim_pool::on(const agent_id& agent) const
{
    const auto found = this->by_agent.find(agent.str());
    return found == this->by_agent.end() ? nullptr : &found->second;
}

std::optional<std::vector<unit_placement>> place_units(const step_spec& step,
                                                       const std::vector<std::int64_t>& units,
                                                       const std::vector<candidate_worker>& workers,
                                                       placement_constraints constraints)
{
    const bool has_data_rack = !step.data_rack.empty();
    if (constraints.data_rack_only && has_data_rack)
    {
        return fill_all(step, units, in_rack(workers, core::rack_id(step.data_rack)));
    }
    if (!constraints.one_rack)
    {
        return fill_all(step, units, workers);
    }
    std::optional<std::vector<unit_placement>> best;
    std::tuple<bool, bool, int, rack_fragmentation, std::int64_t> best_key;
    for (const std::vector<candidate_worker>& local : by_rack(workers))
    {
        auto placed = fill_all(step, units, local);
        if (!placed.has_value())
        {
            continue;
        }
        // The workers of a rack are in one zone, which is restored to service as a whole.
        const std::tuple key(has_data_rack && local.front().rack.str() != step.data_rack,
                             local.front().warming_up, worst_speed_order(*placed, local),
                             packed_fragmentation(step, local, *placed), free_accelerators(local));
        if (!best.has_value() || key < best_key)
        {
            best = std::move(placed);
            best_key = key;
        }
    }
    return best;
}

std::vector<unit_placement> place_units_that_fit(const step_spec& step,
                                                 const std::vector<std::int64_t>& units,
                                                 const std::vector<candidate_worker>& workers,
                                                 placement_constraints constraints)
{
    return constraints.data_rack_only && !step.data_rack.empty()
               ? fill(step, units, in_rack(workers, core::rack_id(step.data_rack)))
               : fill(step, units, workers);
}

std::optional<preemption_plan> plan_preemption(const step_spec& step,
                                               const std::vector<std::int64_t>& units,
                                               const std::vector<candidate_worker>& workers,
                                               const victim_pool& victims,
                                               placement_constraints constraints, double max_cost)
{
    if (constraints.data_rack_only && !step.data_rack.empty())
    {
        return plan_on_workers(step, units, in_rack(workers, core::rack_id(step.data_rack)),
                               victims, max_cost);
    }
    if (!constraints.one_rack)
    {
        return plan_on_workers(step, units, workers, victims, max_cost);
    }
    std::optional<preemption_plan> best;
    std::vector<std::vector<candidate_worker>> racks = by_rack(workers);
    for (std::vector<candidate_worker>& local : racks)
    {
        auto plan = plan_on_workers(step, units, std::move(local), victims,
                                    best.has_value() ? best->cost : max_cost);
        if (plan.has_value() && (!best.has_value() || plan->cost < best->cost))
        {
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace chicorylift::batch
