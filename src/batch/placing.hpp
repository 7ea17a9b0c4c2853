#pragma once

#include "batch/site_state.hpp"

#include <optional>
#include <vector>

/// Choice of workers for units, as pure functions over the room that workers have.
namespace chicorylift::batch
{

/// What one worker offers to one step.
struct worker_room
{
    agent_id agent;
    core::rack_id rack;
    core::zone_id zone;
    amount free;
    /// Units of the step that the worker holds already.
    std::int64_t step_units{};
    /// The step's units failed here before; other workers go first.
    bool disliked = false;
};

/// Run that could be stopped to make room.
struct victim
{
    run_number run{};
    /// Accelerator-seconds of work that a stop would lose.
    double cost{};
    std::vector<std::pair<agent_id, amount>> frees;
};

/// Runs to stop and where the units go once they are gone.
struct reclaim_plan
{
    std::vector<run_number> stops;
    std::vector<unit_placement> placements;
    double cost{};
};

/// Where a step's units may go.
struct placing_rules
{
    /// Only one rack, for gangs that slow down across racks.
    bool one_rack = false;
    /// Only the rack that holds the data.
    bool data_rack_only = false;
};

/// Places all units or none, on the fullest workers that still have room, so that large pieces of
/// room stay whole.
[[nodiscard]] std::optional<std::vector<unit_placement>>
place_units(const step_spec& step, const std::vector<std::int64_t>& units,
            const std::vector<worker_room>& rooms, placing_rules rules);

/// Finds the cheapest runs to stop so that all units fit.
[[nodiscard]] std::optional<reclaim_plan> plan_reclaim(const step_spec& step,
                                                       const std::vector<std::int64_t>& units,
                                                       const std::vector<worker_room>& rooms,
                                                       const std::vector<victim>& victims,
                                                       placing_rules rules);

} // namespace chicorylift::batch
