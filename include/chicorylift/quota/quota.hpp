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

/// Contracts stated in legacy units, presets, and the quotas in exact resources computed from both.
namespace chicorylift::quota
{

/// Topology domain that all tasks of a gang must share.
enum class topology_level
{
    worker,
    rack,
    zone,
};

/// @return "worker", "rack" or "zone".
[[nodiscard]] std::string_view to_text(topology_level within) noexcept;
/// @return the level with that name, or an error that names @p text and the allowed names.
[[nodiscard]] absl::StatusOr<topology_level> parse_topology_level(std::string_view text);

/// Exact resources of a legacy unit: @c per_units units equal @c amount.
struct unit_definition
{
    std::string unit;
    core::resources amount;
    std::int64_t per_units = 1;
};

/// Guaranteed gang shape; task sizes are in legacy units.
struct guaranteed_shape
{
    std::string name;
    std::int64_t tasks{};
    std::string unit;
    std::int64_t units_per_task{};
    topology_level within = topology_level::zone;
};

/// One organisation's contract, stated in legacy units.
struct contract
{
    core::organisation_id organisation;
    std::vector<guaranteed_shape> guarantees;
    std::string limit_unit;
    std::int64_t limit_units{};
    std::int64_t calls_per_second{};
};

/// Named operating mode chosen by operators; exactly one preset is in force at a time.
struct preset
{
    std::string name;
    /// Name of the scheduling policy.
    std::string weighting;
    /// Share of each guaranteed shape's tasks that stays guaranteed, 0 to 100.
    std::int64_t guarantee_percent = 100;
    /// Share of each contract's limit that may be used, 0 to 100.
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

/// Guarantees and limits of one organisation under the preset in force.
struct organisation_quota
{
    core::organisation_id organisation;
    std::vector<resolved_shape> guarantees;
    core::resources limit;
    std::int64_t calls_per_second{};
};

/// Quotas and scheduling policy that follow from one configuration version and its preset.
struct resolved_config
{
    std::uint64_t version{};
    std::string preset_name;
    std::string weighting;
    std::vector<organisation_quota> organisations;
};

/// Configuration as operators submitted it, before conversion to exact resources.
struct configuration
{
    std::uint64_t version{};
    std::string preset_in_force;
    std::string changed_by;
    std::map<std::string, unit_definition> units;
    std::map<core::organisation_id, contract> contracts;
    std::map<std::string, preset> presets;
};

/// Largest number of units, tasks or resources in a configuration.
inline constexpr std::int64_t max_config_amount = 1'000'000'000;

/// Converts units to resources, rounding up so that a guarantee is never less than agreed.
/// @return the resources, or an error that names the unit when it is unknown or a result exceeds
/// max_config_amount.
[[nodiscard]] absl::StatusOr<core::resources> convert_guarantee(const configuration& config,
                                                                std::string_view unit,
                                                                std::int64_t units,
                                                                std::int64_t percent);

/// Converts units to resources, rounding down so that a limit is never more than agreed.
/// @return the resources, or an error that names the unit when it is unknown or a result exceeds
/// max_config_amount.
[[nodiscard]] absl::StatusOr<core::resources> convert_limit(const configuration& config,
                                                            std::string_view unit,
                                                            std::int64_t units,
                                                            std::int64_t percent);

/// Checks that the unit has a name and that its amounts are in range.
/// @return an error that names the unit and the field out of range.
[[nodiscard]] absl::Status check_unit(const unit_definition& unit);
/// Checks a contract's amounts and that its units are defined in @p config.
/// @return an error that names the organisation and the invalid field.
[[nodiscard]] absl::Status check_contract(const configuration& config,
                                          const contract& organisation_contract);
/// Checks a preset's percentages and that its weighting names a registered scheduling policy.
/// @return an error that names the preset and the invalid value.
[[nodiscard]] absl::Status check_preset(const preset& chosen);

/// Computes every organisation's quota under the preset named @p preset_name.
/// @return the quotas, or an error that names the missing preset or the invalid contract.
[[nodiscard]] absl::StatusOr<resolved_config> resolve_config(const configuration& config,
                                                             const std::string& preset_name);

} // namespace chicorylift::quota
