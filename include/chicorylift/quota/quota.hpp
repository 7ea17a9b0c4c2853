#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/resources.hpp"
#include "chicorylift/core/time.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Contracts in old units, presets, and the exact terms that follow from both.
namespace chicorylift::quota
{

/// How near each other the tasks of a gang must run.
enum class topology_level
{
    worker,
    rack,
    zone,
};

/// @return "worker", "rack" or "zone".
[[nodiscard]] std::string_view to_text(topology_level within) noexcept;
/// @return the adjacency with that name, or an error that names @p text and what is allowed.
[[nodiscard]] absl::StatusOr<topology_level> parse_topology_level(std::string_view text);

/// Resources that a number of old units stand for; exact, never rounded here.
struct unit_definition
{
    std::string unit;
    core::resources amount;
    std::int64_t per_units = 1;
};

/// Guaranteed gang shape, stated in old units per task.
struct guaranteed_shape
{
    std::string name;
    std::int64_t tasks{};
    std::string unit;
    std::int64_t units_per_task{};
    topology_level within = topology_level::zone;
};

/// One organisation's contract, stated in old units.
struct contract
{
    core::organisation_id organisation;
    std::vector<guaranteed_shape> guarantees;
    std::string limit_unit;
    std::int64_t limit_units{};
    std::int64_t calls_per_second{};
};

/// Choice of the operators for a kind of day; exactly one preset is in force.
struct preset
{
    std::string name;
    std::string weighting;
    std::int64_t guarantee_percent = 100;
    std::int64_t limit_percent = 100;
};

/// Guaranteed shape in exact resources.
struct resolved_shape
{
    std::string name;
    std::int64_t tasks{};
    core::resources per_task;
    topology_level within = topology_level::zone;
};

/// What one organisation gets while a preset is in force.
struct organisation_quota
{
    core::organisation_id organisation;
    std::vector<resolved_shape> guarantees;
    core::resources limit;
    std::int64_t calls_per_second{};
};

/// What every process applies while a configuration version is in force.
struct resolved_config
{
    std::uint64_t version{};
    std::string preset_name;
    std::string weighting;
    std::vector<organisation_quota> organisations;
};

/// Configuration as the operators wrote it.
struct configuration
{
    std::uint64_t version{};
    std::string preset_in_force;
    std::string changed_by;
    std::map<std::string, unit_definition> units;
    std::map<core::organisation_id, contract> contracts;
    std::map<std::string, preset> presets;
};

/// Largest number of units, tasks or percent that a document may state.
inline constexpr std::int64_t max_config_amount = 1'000'000'000;

/// Converts units to resources, rounding up as guarantees do.
/// @return the resources, or an error naming the unit when it is unknown or overflows.
[[nodiscard]] absl::StatusOr<core::resources> convert_guarantee(const configuration& config,
                                                                std::string_view unit,
                                                                std::int64_t units,
                                                                std::int64_t percent);

/// Converts units to resources, rounding down as limits do.
/// @return the resources, or an error naming the unit when it is unknown or overflows.
[[nodiscard]] absl::StatusOr<core::resources> convert_limit(const configuration& config,
                                                            std::string_view unit,
                                                            std::int64_t units,
                                                            std::int64_t percent);

/// Checks a unit's definition as a whole.
[[nodiscard]] absl::Status check_unit(const unit_definition& unit);
/// Checks a contract against the units of @p config.
[[nodiscard]] absl::Status check_contract(const configuration& config, const contract& agreed);
/// Checks a preset's percentages and that its weighting is one of the placement policies.
[[nodiscard]] absl::Status check_preset(const preset& chosen);

/// Computes what every organisation gets under the preset named @p preset_name.
/// @return the terms, or an error naming the contract and the unit at fault.
[[nodiscard]] absl::StatusOr<resolved_config> resolve_config(const configuration& config,
                                                             const std::string& preset_name);

} // namespace chicorylift::quota
