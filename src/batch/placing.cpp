#include "batch/placing.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace chicorylift::batch
{

namespace
{

std::int64_t units_fitting(const step_spec& step, const worker_room& room, std::int64_t most)
{
    std::int64_t count = times_fitting(step.room(), room.free, most);
    if (step.most_per_worker > 0)
    {
        count = std::min(count, step.most_per_worker - room.step_units);
    }
    return std::max<std::int64_t>(0, count);
}

/// @return racks in a fixed order, each once.
std::vector<core::rack_id> racks_of(const std::vector<worker_room>& rooms)
{
    std::vector<core::rack_id> racks;
    for (const worker_room& room : rooms)
    {
        if (std::find(racks.begin(), racks.end(), room.rack) == racks.end())
        {
            racks.push_back(room.rack);
        }
    }
    return racks;
}

std::vector<worker_room> in_rack(const std::vector<worker_room>& rooms, const core::rack_id& rack)
{
    std::vector<worker_room> chosen;
    std::copy_if(rooms.begin(), rooms.end(), std::back_inserter(chosen),
                 [&rack](const worker_room& room) { return room.rack == rack; });
    return chosen;
}

std::int64_t free_accelerators(const std::vector<worker_room>& rooms)
{
    std::int64_t total = 0;
    for (const worker_room& room : rooms)
    {
        total += room.free.accelerators;
    }
    return total;
}

/// Fills the workers one after another, the fullest first.
std::optional<std::vector<unit_placement>>
fill(const step_spec& step, const std::vector<std::int64_t>& units, std::vector<worker_room> rooms)
{
    const auto key = [&step](const worker_room& room)
    {
        const bool far = !step.data_rack.empty() && room.rack.str() != step.data_rack;
        return std::tuple(room.disliked, far, room.free.accelerators, room.free.millicores,
                          room.agent);
    };
    std::sort(rooms.begin(), rooms.end(),
              [&key](const worker_room& left, const worker_room& right)
              { return key(left) < key(right); });
    std::vector<unit_placement> placed;
    for (const worker_room& room : rooms)
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

clearing clear_for_one_more(const step_spec& step, const worker_room& room,
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
    worker_room cleared = room;
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

std::optional<reclaim_plan> plan_within(const step_spec& step,
                                        const std::vector<std::int64_t>& units,
                                        std::vector<worker_room> rooms,
                                        const std::vector<victim>& victims)
{
    reclaim_plan plan;
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
        for (const worker_room& room : rooms)
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
            plan.stops.push_back(victims[index].run);
            plan.cost += victims[index].cost;
            for (worker_room& room : rooms)
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
                                                       const std::vector<worker_room>& rooms,
                                                       placing_rules rules)
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
        const std::vector<worker_room> local = in_rack(rooms, rack);
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

std::optional<reclaim_plan> plan_reclaim(const step_spec& step,
                                         const std::vector<std::int64_t>& units,
                                         const std::vector<worker_room>& rooms,
                                         const std::vector<victim>& victims, placing_rules rules)
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
    std::optional<reclaim_plan> best;
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
