#pragma once

#include "batch/site_state.hpp"

#include <optional>
#include <vector>

/// Choice of workers for units, as pure functions over the room that workers have.
namespace chicorylift::batch
{

/// What one worker offers to one step.
struct candidate_worker
{
    agent_id agent;
    core::rack_id rack;
    core::zone_id zone;
    resource_amount free;
    /// Units of the step that the worker holds already.
    std::int64_t step_units{};
    /// The step's units failed here before; other workers go first.
    bool has_recent_failures = false;
};

/// Run that could be stopped to make room.
struct victim
{
    run_number run{};
    /// Accelerator-seconds of work that a stop would lose.
    double cost{};
    std::vector<std::pair<agent_id, resource_amount>> frees;
};

/// Runs to stop and where the units go once they are gone.
struct preemption_plan
{
    std::vector<run_number> preempted_runs;
    std::vector<unit_placement> placements;
    double cost{};
};

/// Where a step's units may go.
struct placement_constraints
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
            const std::vector<candidate_worker>& rooms, placement_constraints rules);

/// Finds the cheapest runs to stop so that all units fit.
[[nodiscard]] std::optional<preemption_plan>
plan_preemption(const step_spec& step, const std::vector<std::int64_t>& units,
                const std::vector<candidate_worker>& rooms, const std::vector<victim>& victims,
                placement_constraints rules);

} // namespace chicorylift::batch
