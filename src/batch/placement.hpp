#pragma once

#include "batch/site_state.hpp"

#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

/// Placement of units on workers, as pure functions of the workers' free resources.
namespace chicorylift::batch
{

/// A worker's free resources as seen by one step.
struct candidate_worker
{
    agent_id agent;
    core::rack_id rack;
    resource_amount free;
    /// worker_state::index.
    std::size_t index{};
    /// Units of the step that the worker already runs.
    std::int64_t step_units{};
    /// Units of the step have failed on this worker; others are preferred.
    bool has_recent_failures = false;
    /// Speed relative to the service's typical worker; see run_time_model::speed_of().
    double speed = 1;
    /// Workers with a lower value are preferred, for their speed: fast ones first for urgent work
    /// and gangs, slow ones first for other units. 0 for workers of typical or unknown speed.
    int speed_order = 0;
    /// The worker is cold, or its zone was lately restored to service; others are preferred.
    bool warming_up = false;
    /// The two fields below are set only where workers are kept whole; see packing.hpp.
    resource_amount capacity{};
    std::int64_t added_quarters{};
};

/// Run that may be preempted to free resources.
struct victim
{
    run_number run{};
    /// Core-seconds of work that stopping the run would lose.
    double cost{};
    /// Resources that stopping the run frees, by agent.
    std::vector<std::pair<agent_id, resource_amount>> frees;
};

/// Runs that may be preempted, by worker.
class victim_pool
{
public:
    /// Runs that free resources on one worker, cheapest first: index of the run and what it frees.
    using worker_victims = std::vector<std::pair<std::size_t, resource_amount>>;

    // Not explicit: a list of victims is a pool.
    victim_pool(std::vector<victim> all);

    [[nodiscard]] const std::vector<victim>& all() const noexcept { return this->victims; }
    /// @return the victims on the agent's worker; nullptr if there are none.
    [[nodiscard]] const worker_victims* on(const agent_id& agent) const;

private:
    std::vector<victim> victims;
    std::unordered_map<std::string, worker_victims> by_agent;
};

/// Runs to stop and the placement of the units once these runs have ended.
struct preemption_plan
{
    std::vector<run_number> preempted_runs;
    std::vector<unit_placement> placements;
    double cost{};
};

/// Restrictions on the racks for a step's units.
struct placement_constraints
{
    /// All units on one rack, for gangs that run slower across racks.
    bool one_rack = false;
    /// Only workers in the step's data rack, if it has one.
    bool data_rack_only = false;
};

/// Places all units or none. Fills the workers with the fewest free resources first, to limit
/// fragmentation.
/// @return the placements, or nothing if not all units fit.
[[nodiscard]] std::optional<std::vector<unit_placement>>
place_units(const step_spec& step, const std::vector<std::int64_t>& units,
            const std::vector<candidate_worker>& workers, placement_constraints constraints);

/// Places as many of the units as fit, in their order, as place_units() would one after another.
[[nodiscard]] std::vector<unit_placement>
place_units_that_fit(const step_spec& step, const std::vector<std::int64_t>& units,
                     const std::vector<candidate_worker>& workers,
                     placement_constraints constraints);

/// Selects runs to preempt, at low total cost, so that all units fit.
///
/// Greedy: repeatedly frees resources for one more unit on the worker where that costs least, and
/// then drops the runs that turn out not to be needed.
/// @param max_cost highest cost of a plan.
/// @return the plan, or nothing if not all units fit even so.
[[nodiscard]] std::optional<preemption_plan>
plan_preemption(const step_spec& step, const std::vector<std::int64_t>& units,
                const std::vector<candidate_worker>& workers, const victim_pool& victims,
                placement_constraints constraints,
                double max_cost = std::numeric_limits<double>::infinity());

} // namespace chicorylift::batch
