#include "daemon/config_replica.hpp"

#include "chicorylift/core/error.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::daemon
{

namespace
{

constexpr std::string_view unit_prefix = "config/unit/";
constexpr std::string_view contract_prefix = "config/contract/";
constexpr std::string_view preset_prefix = "config/preset/";

template <class Document>
bool read_row(const std::string& key, std::string_view prefix, const std::string& value,
              Document& document)
{
    return key.starts_with(prefix) && wire::from_json_lenient(value, document).ok();
}

} // namespace

bool config_replica::apply(const wire::config_delta& delta)
{
    // A gap would leave rows out; the sender is asked for more by the version that we report.
    const bool has_gap = delta.from_version() > this->current_head.version();
    if (has_gap || delta.head().version() <= this->current_head.version())
    {
        return false;
    }
    for (const wire::config_row& changed : delta.rows())
    {
        row& known = this->rows[changed.key()];
        if (changed.table_version() > known.table_version)
        {
            known = {changed.value(), changed.removed(), changed.table_version(),
                     delta.head().version()};
        }
    }
    this->current_head = delta.head();
    this->known_version = std::max(this->known_version, delta.table_version());
    return true;
}

wire::config_delta config_replica::since(std::uint32_t version) const
{
    wire::config_delta delta;
    delta.set_from_version(version);
    *delta.mutable_head() = this->current_head;
    delta.set_table_version(this->known_version);
    for (const auto& [key, known] : this->rows)
    {
        if (known.config_version > version)
        {
            wire::config_row* added = delta.add_rows();
            added->set_key(key);
            added->set_value(known.value);
            added->set_removed(known.removed);
            added->set_table_version(known.table_version);
        }
    }
    return delta;
}

std::uint32_t config_replica::row_version(const std::string& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() || found->second.removed ? 0 : found->second.table_version;
}

quota::configuration config_replica::configuration() const
{
    quota::configuration config;
    config.version = this->current_head.version();
    config.preset_in_force = this->current_head.preset_in_force();
    config.changed_by = this->current_head.changed_by();
    const wire::config_document whole = this->document();
    for (const wire::unit_document& unit : whole.units())
    {
        auto read = wire::from_wire(unit);
        if (read.ok())
        {
            config.units.emplace(unit.unit(), *std::move(read));
        }
    }
    for (const wire::contract_document& agreed : whole.contracts())
    {
        auto read = wire::from_wire(agreed);
        if (read.ok())
        {
            const core::organisation_id owner = read->organisation;
            config.contracts.emplace(owner, *std::move(read));
        }
    }
    for (const wire::preset_document& chosen : whole.presets())
    {
        config.presets.emplace(chosen.name(), wire::from_wire(chosen));
    }
    return config;
}

absl::StatusOr<quota::resolved_config> config_replica::terms_in_force() const
{
    if (this->current_head.preset_in_force().empty())
    {
        return core::make_error(core::error_kind::not_found, "no preset is in force yet");
    }
    return quota::resolve_config(this->configuration(), this->current_head.preset_in_force());
}

wire::config_document config_replica::document() const
{
    wire::config_document whole;
    *whole.mutable_head() = this->current_head;
    for (const auto& [key, known] : this->rows)
    {
        if (known.removed)
        {
            continue;
        }
        wire::unit_document unit;
        wire::contract_document agreed;
        wire::preset_document chosen;
        if (read_row(key, unit_prefix, known.value, unit))
        {
            *whole.add_units() = std::move(unit);
        }
        else if (read_row(key, contract_prefix, known.value, agreed))
        {
            *whole.add_contracts() = std::move(agreed);
        }
        else if (read_row(key, preset_prefix, known.value, chosen))
        {
            *whole.add_presets() = std::move(chosen);
        }
    }
    return whole;
}

wire::config_delta to_delta(const wire::table_rows& listed, std::uint32_t from_version)
{
    wire::config_delta delta;
    delta.set_from_version(from_version);
    delta.set_table_version(listed.version());
    for (const wire::table_row& changed : listed.rows())
    {
        wire::config_row* added = delta.add_rows();
        added->set_key(changed.key());
        added->set_value(changed.value());
        added->set_removed(changed.removed());
        added->set_table_version(changed.version());
        if (changed.key() == config_head_key && !changed.removed())
        {
            // A head that cannot be read leaves version 0, and the delta is passed over.
            static_cast<void>(wire::from_json_lenient(changed.value(), *delta.mutable_head()));
        }
    }
    return delta;
}

} // namespace chicorylift::daemon
