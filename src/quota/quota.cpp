#include "chicorylift/quota/quota.hpp"

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "chicorylift/sched/scheduling_policy.hpp"

#include <array>
#include <utility>

namespace chicorylift::quota
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr std::int64_t whole_percent = 100;

__extension__ using int128 = __int128;

constexpr std::array<std::string_view, 3> topology_level_names{"worker", "rack", "zone"};

enum class rounding
{
    up,
    down,
};

absl::Status check_range(std::string_view what, std::int64_t value, std::int64_t lowest)
{
    if (value >= lowest && value <= max_config_amount)
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::invalid_request,
                      std::string(what) + " is " + std::to_string(value) + "; allowed are " +
                          std::to_string(lowest) + " to " + std::to_string(max_config_amount));
}

/// Computes amount * units * percent / (per_units * 100) without intermediate overflow.
/// @return the rounded result, or -1 when it exceeds max_config_amount.
std::int64_t scale(std::int64_t amount, std::int64_t units, std::int64_t percent,
                   std::int64_t per_units, rounding direction)
{
    const int128 product = static_cast<int128>(amount) * units * percent;
    const int128 divisor = static_cast<int128>(per_units) * whole_percent;
    const int128 quotient = product / divisor;
    const bool round_up = direction == rounding::up && product % divisor != 0;
    const int128 result = quotient + (round_up ? 1 : 0);
    return result > max_config_amount ? -1 : static_cast<std::int64_t>(result);
}

absl::StatusOr<core::resources> convert(const configuration& config, std::string_view unit,
                                        std::int64_t units, std::int64_t percent,
                                        rounding direction)
{
    const auto found = config.units.find(std::string(unit));
    if (found == config.units.end())
    {
        return make_error(error_kind::invalid_request,
                          "unit \"" + std::string(unit) + "\" does not exist in the unit table");
    }
    const unit_definition& definition = found->second;
    const auto convert_amount = [&](std::int64_t amount)
    { return scale(amount, units, percent, definition.per_units, direction); };
    const core::resources result{convert_amount(definition.amount.accelerators),
                                 convert_amount(definition.amount.cores),
                                 convert_amount(definition.amount.memory_gb)};
    if (result.accelerators < 0 || result.cores < 0 || result.memory_gb < 0)
    {
        return make_error(error_kind::invalid_request, std::to_string(units) + " of unit \"" +
                                                           std::string(unit) + "\" overflow " +
                                                           std::to_string(max_config_amount));
    }
    return result;
}

absl::Status add_contract_context(const contract& organisation_contract, const absl::Status& error)
{
    return make_error(core::kind_of(error), "contract of organisation \"" +
                                                organisation_contract.organisation.str() +
                                                "\": " + std::string(error.message()));
}

absl::Status check_shape(const configuration& config, const guaranteed_shape& shape)
{
    absl::Status tasks = check_range("tasks of shape \"" + shape.name + "\"", shape.tasks, 1);
    if (!tasks.ok())
    {
        return tasks;
    }
    absl::Status units =
        check_range("units_per_task of shape \"" + shape.name + "\"", shape.units_per_task, 1);
    if (!units.ok())
    {
        return units;
    }
    return convert_guarantee(config, shape.unit, shape.units_per_task, whole_percent).status();
}

absl::StatusOr<resolved_shape> resolve_shape(const configuration& config,
                                             const guaranteed_shape& shape, const preset& chosen)
{
    // The percentage applies to the number of tasks; each task keeps its contracted size.
    const std::int64_t tasks = scale(shape.tasks, 1, chosen.guarantee_percent, 1, rounding::up);
    const auto per_task =
        convert_guarantee(config, shape.unit, shape.units_per_task, whole_percent);
    if (!per_task.ok())
    {
        return per_task.status();
    }
    return resolved_shape{shape.name, tasks, *per_task, shape.within};
}

absl::StatusOr<organisation_quota> resolve_organisation(const configuration& config,
                                                        const contract& organisation_contract,
                                                        const preset& chosen)
{
    organisation_quota result;
    result.organisation = organisation_contract.organisation;
    result.calls_per_second = organisation_contract.calls_per_second;
    for (const guaranteed_shape& shape : organisation_contract.guarantees)
    {
        auto resolved = resolve_shape(config, shape, chosen);
        if (!resolved.ok())
        {
            return resolved.status();
        }
        if (resolved->tasks > 0)
        {
            result.guarantees.push_back(*std::move(resolved));
        }
    }
    const auto limit = convert_limit(config, organisation_contract.limit_unit,
                                     organisation_contract.limit_units, chosen.limit_percent);
    if (!limit.ok())
    {
        return limit.status();
    }
    result.limit = *limit;
    return result;
}

} // namespace

std::string_view to_text(topology_level within) noexcept
{
    return topology_level_names[static_cast<std::size_t>(within)];
}

absl::StatusOr<topology_level> parse_topology_level(std::string_view text)
{
    for (std::size_t index = 0; index < topology_level_names.size(); ++index)
    {
        if (topology_level_names[index] == text)
        {
            return static_cast<topology_level>(index);
        }
    }
    return make_error(error_kind::invalid_request, "topology level \"" + std::string(text) +
                                                       "\" does not exist; allowed are worker, "
                                                       "rack, zone");
}

absl::StatusOr<core::resources> convert_guarantee(const configuration& config,
                                                  std::string_view unit, std::int64_t units,
                                                  std::int64_t percent)
{
    return convert(config, unit, units, percent, rounding::up);
}

absl::StatusOr<core::resources> convert_limit(const configuration& config, std::string_view unit,
                                              std::int64_t units, std::int64_t percent)
{
    return convert(config, unit, units, percent, rounding::down);
}

absl::Status check_unit(const unit_definition& unit)
{
    if (unit.unit.empty())
    {
        return make_error(error_kind::invalid_request, "unit \"\" has no name");
    }
    const std::string prefix = "of unit \"" + unit.unit + "\"";
    for (const absl::Status& checked :
         {check_range("per_units " + prefix, unit.per_units, 1),
          check_range("accelerators " + prefix, unit.amount.accelerators, 0),
          check_range("cores " + prefix, unit.amount.cores, 0),
          check_range("memory_gb " + prefix, unit.amount.memory_gb, 0)})
    {
        if (!checked.ok())
        {
            return checked;
        }
    }
    return absl::OkStatus();
}

absl::Status check_contract(const configuration& config, const contract& organisation_contract)
{
    if (organisation_contract.organisation.empty())
    {
        return make_error(error_kind::invalid_request, "organisation \"\" has no name");
    }
    for (const guaranteed_shape& shape : organisation_contract.guarantees)
    {
        const absl::Status checked = check_shape(config, shape);
        if (!checked.ok())
        {
            return add_contract_context(organisation_contract, checked);
        }
    }
    for (const absl::Status& checked :
         {check_range("limit_units", organisation_contract.limit_units, 0),
          check_range("calls_per_second", organisation_contract.calls_per_second, 0),
          convert_limit(config, organisation_contract.limit_unit, organisation_contract.limit_units,
                        whole_percent)
              .status()})
    {
        if (!checked.ok())
        {
            return add_contract_context(organisation_contract, checked);
        }
    }
    return absl::OkStatus();
}

absl::Status check_preset(const preset& chosen)
{
    if (chosen.name.empty())
    {
        return make_error(error_kind::invalid_request, "preset \"\" has no name");
    }
    const auto& policies = core::registry<sched::scheduling_policy>::instance();
    if (policies.find(chosen.weighting) == nullptr)
    {
        return make_error(error_kind::invalid_request,
                          "weighting \"" + chosen.weighting + "\" of preset \"" + chosen.name +
                              "\" does not exist; allowed are " + policies.names());
    }
    constexpr std::int64_t max_percent = 100;
    for (const std::int64_t percent : {chosen.guarantee_percent, chosen.limit_percent})
    {
        if (percent < 0 || percent > max_percent)
        {
            return make_error(error_kind::invalid_request,
                              "preset \"" + chosen.name + "\" has a guarantee or limit of " +
                                  std::to_string(percent) + " percent; allowed are 0 to 100");
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<resolved_config> resolve_config(const configuration& config,
                                               const std::string& preset_name)
{
    const auto chosen = config.presets.find(preset_name);
    if (chosen == config.presets.end())
    {
        return make_error(error_kind::not_found, "preset \"" + preset_name + "\" does not exist");
    }
    resolved_config result;
    result.version = config.version;
    result.preset_name = preset_name;
    result.weighting = chosen->second.weighting;
    for (const auto& [organisation, organisation_contract] : config.contracts)
    {
        auto resolved = resolve_organisation(config, organisation_contract, chosen->second);
        if (!resolved.ok())
        {
            return add_contract_context(organisation_contract, resolved.status());
        }
        result.organisations.push_back(*std::move(resolved));
    }
    return result;
}

} // namespace chicorylift::quota
