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
    // Applying a delta with a gap would miss rows. The version that this process reports makes
    // the sender send the missing ones.
    const bool has_gap = delta.from_version() > this->current_head.version();
    if (has_gap || delta.head().version() <= this->current_head.version())
    {
        return false;
    }
    for (const wire::config_row& changed_row : delta.rows())
    {
        row& stored = this->rows[changed_row.key()];
        if (changed_row.table_version() > stored.table_version)
        {
            stored = {changed_row.value(), changed_row.removed(), changed_row.table_version(),
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
    for (const auto& [key, stored] : this->rows)
    {
        if (stored.config_version > version)
        {
            wire::config_row* delta_row = delta.add_rows();
            delta_row->set_key(key);
            delta_row->set_value(stored.value);
            delta_row->set_removed(stored.removed);
            delta_row->set_table_version(stored.table_version);
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
    const wire::config_document document = this->document();
    for (const wire::unit_document& unit : document.units())
    {
        auto read = wire::from_wire(unit);
        if (read.ok())
        {
            config.units.emplace(unit.unit(), *std::move(read));
        }
    }
    for (const wire::contract_document& contract : document.contracts())
    {
        auto read = wire::from_wire(contract);
        if (read.ok())
        {
            const core::organisation_id owner = read->organisation;
            config.contracts.emplace(owner, *std::move(read));
        }
    }
    for (const wire::preset_document& preset : document.presets())
    {
        config.presets.emplace(preset.name(), wire::from_wire(preset));
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
    wire::config_document document;
    *document.mutable_head() = this->current_head;
    for (const auto& [key, stored] : this->rows)
    {
        if (stored.removed)
        {
            continue;
        }
        wire::unit_document unit;
        wire::contract_document contract;
        wire::preset_document preset;
        if (read_row(key, unit_prefix, stored.value, unit))
        {
            *document.add_units() = std::move(unit);
        }
        else if (read_row(key, contract_prefix, stored.value, contract))
        {
            *document.add_contracts() = std::move(contract);
        }
        else if (read_row(key, preset_prefix, stored.value, preset))
        {
            *document.add_presets() = std::move(preset);
        }
    }
    return document;
}

wire::config_delta to_delta(const wire::table_rows& listed, std::uint32_t from_version)
{
    wire::config_delta delta;
    delta.set_from_version(from_version);
    delta.set_table_version(listed.version());
    for (const wire::table_row& changed_row : listed.rows())
    {
        wire::config_row* delta_row = delta.add_rows();
        delta_row->set_key(changed_row.key());
        delta_row->set_value(changed_row.value());
        delta_row->set_removed(changed_row.removed());
        delta_row->set_table_version(changed_row.version());
        if (changed_row.key() == config_head_key && !changed_row.removed())
        {
            // An unreadable head leaves version 0, and apply() ignores the delta.
            static_cast<void>(wire::from_json_lenient(changed_row.value(), *delta.mutable_head()));
        }
    }
    return delta;
}

} // namespace chicorylift::daemon
