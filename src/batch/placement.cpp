#include "batch/placement.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace chicorylift::batch
{

namespace
{

std::int64_t units_fitting(const step_spec& step, const candidate_worker& room, std::int64_t most)
{
    std::int64_t count = fit_count(step.resource_request(), room.free, most);
    if (step.max_per_worker > 0)
    {
        count = std::min(count, step.max_per_worker - room.step_units);
    }
    return std::max<std::int64_t>(0, count);
}

/// @return racks in a fixed order, each once.
std::vector<core::rack_id> racks_of(const std::vector<candidate_worker>& rooms)
{
    std::vector<core::rack_id> racks;
    for (const candidate_worker& room : rooms)
    {
        if (std::find(racks.begin(), racks.end(), room.rack) == racks.end())
        {
            racks.push_back(room.rack);
        }
    }
    return racks;
}

std::vector<candidate_worker> in_rack(const std::vector<candidate_worker>& rooms,
                                      const core::rack_id& rack)
{
    std::vector<candidate_worker> chosen;
    std::copy_if(rooms.begin(), rooms.end(), std::back_inserter(chosen),
                 [&rack](const candidate_worker& room) { return room.rack == rack; });
    return chosen;
}

std::int64_t free_accelerators(const std::vector<candidate_worker>& rooms)
{
    std::int64_t total = 0;
    for (const candidate_worker& room : rooms)
    {
        total += room.free.accelerators;
    }
    return total;
}

/// Fills the workers one after another, the fullest first.
std::optional<std::vector<unit_placement>> fill(const step_spec& step,
                                                const std::vector<std::int64_t>& units,
                                                std::vector<candidate_worker> rooms)
{
    const auto key = [&step](const candidate_worker& room)
    {
        const bool far = !step.data_rack.empty() && room.rack.str() != step.data_rack;
        return std::tuple(room.has_recent_failures, far, room.free.accelerators,
                          room.free.millicores, room.agent);
    };
    std::sort(rooms.begin(), rooms.end(),
              [&key](const candidate_worker& left, const candidate_worker& right)
              { return key(left) < key(right); });
    std::vector<unit_placement> placed;
    for (const candidate_worker& room : rooms)
    {
        const auto left = static_cast<std::int64_t>(units.size() - placed.size());
        for (std::int64_t count = units_fitting(step, room, left); count > 0; --count)
        {
            placed.push_back({units[placed.size()], room.agent});
        }
    }
    return placed.size() == units.size() ? std::optional(std::move(placed)) : std::nullopt;
}

/// Cheapest way to make one more unit fit on a worker.
struct clearing
{
    std::vector<std::size_t> victims;
    double cost = std::numeric_limits<double>::infinity();
};

clearing clear_for_one_more(const step_spec& step, const candidate_worker& room,
                            const std::vector<victim>& victims, const std::vector<bool>& chosen)
{
    constexpr std::int64_t many = 1'000'000;
    std::vector<std::size_t> here;
    for (std::size_t index = 0; index < victims.size(); ++index)
    {
        for (const auto& [agent, freed] : victims[index].frees)
        {
            if (!chosen[index] && agent == room.agent)
            {
                here.push_back(index);
                break;
            }
        }
    }
    std::sort(here.begin(), here.end(),
              [&victims](std::size_t left, std::size_t right)
              { return victims[left].cost < victims[right].cost; });
    const std::int64_t before = units_fitting(step, room, many);
    clearing result;
    candidate_worker cleared = room;
    double cost = 0;
    std::vector<std::size_t> taken;
    for (const std::size_t index : here)
    {
        for (const auto& [agent, freed] : victims[index].frees)
        {
            if (agent == room.agent)
            {
                cleared.free += freed;
            }
        }
        cost += victims[index].cost;
        taken.push_back(index);
        if (units_fitting(step, cleared, many) > before)
        {
            result.victims = taken;
            result.cost = cost;
            return result;
        }
    }
    return result;
}

std::optional<preemption_plan> plan_within(const step_spec& step,
                                           const std::vector<std::int64_t>& units,
                                           std::vector<candidate_worker> rooms,
                                           const std::vector<victim>& victims)
{
    preemption_plan plan;
    std::vector<bool> chosen(victims.size(), false);
    for (;;)
    {
        auto placed = fill(step, units, rooms);
        if (placed.has_value())
        {
            plan.placements = std::move(*placed);
            return plan;
        }
        clearing best;
        for (const candidate_worker& room : rooms)
        {
            clearing here = clear_for_one_more(step, room, victims, chosen);
            if (here.cost < best.cost)
            {
                best = std::move(here);
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
            for (candidate_worker& room : rooms)
            {
                for (const auto& [agent, freed] : victims[index].frees)
                {
                    if (agent == room.agent)
                    {
                        room.free += freed;
                    }
                }
            }
        }
    }
}

} // namespace

std::optional<std::vector<unit_placement>> place_units(const step_spec& step,
                                                       const std::vector<std::int64_t>& units,
                                                       const std::vector<candidate_worker>& rooms,
                                                       placement_constraints rules)
{
    const core::rack_id data_rack(step.data_rack);
    const bool has_data_rack = !step.data_rack.empty();
    if (rules.data_rack_only && has_data_rack)
    {
        return fill(step, units, in_rack(rooms, data_rack));
    }
    if (!rules.one_rack)
    {
        return fill(step, units, rooms);
    }
    std::optional<std::vector<unit_placement>> best;
    std::tuple<bool, std::int64_t> best_key;
    for (const core::rack_id& rack : racks_of(rooms))
    {
        const std::vector<candidate_worker> local = in_rack(rooms, rack);
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
                                               const std::vector<candidate_worker>& rooms,
                                               const std::vector<victim>& victims,
                                               placement_constraints rules)
{
    const core::rack_id data_rack(step.data_rack);
    if (rules.data_rack_only && !step.data_rack.empty())
    {
        return plan_within(step, units, in_rack(rooms, data_rack), victims);
    }
    if (!rules.one_rack)
    {
        return plan_within(step, units, rooms, victims);
    }
    std::optional<preemption_plan> best;
    for (const core::rack_id& rack : racks_of(rooms))
    {
        auto plan = plan_within(step, units, in_rack(rooms, rack), victims);
        if (plan.has_value() && (!best.has_value() || plan->cost < best->cost))
        {
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace chicorylift::batch
