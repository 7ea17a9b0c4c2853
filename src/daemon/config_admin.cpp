#include "daemon/config_admin.hpp"

#include "chicorylift/core/error.hpp"
#include "support/log.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <utility>

namespace chicorylift::daemon
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr core::milliseconds write_timeout{3000};

std::string head_key()
{
    return std::string(config_head_key);
}

} // namespace

config_admin::config_admin(store::table& table,
                           std::function<std::vector<cell_capacity>()> capacity,
                           std::function<void(const wire::config_delta&)> changed)
    : table(table), capacity(std::move(capacity)), changed(std::move(changed))
{
}

net::server_response config_admin::handle_request(const net::server_request& request,
                                                  const std::vector<std::string>& rest,
                                                  const std::string& operator_name)
{
    // Applies the change to the table's current rows, not to this entry's cached copy.
    const auto current = this->read_current();
    if (!current.ok())
    {
        return net::error_response(current.status());
    }
    if (request.method == "GET")
    {
        net::server_response response;
        response.body = wire::to_json(current->document());
        return response;
    }
    auto new_change = this->prepare(request, rest, *current);
    if (!new_change.ok())
    {
        return net::error_response(new_change.status());
    }
    new_change->head.set_version(current->head().version() + 1);
    new_change->head.set_changed_by(operator_name);
    const absl::Status written = this->write(*current, *new_change);
    if (!written.ok())
    {
        return net::error_response(written);
    }
    support::log::info("config", "configuration accepted",
                       {{"version", std::to_string(new_change->head.version())},
                        {"preset", new_change->head.preset_in_force()},
                        {"changed_by", operator_name}});
    const auto changed_rows =
        this->table.list(std::string(config_prefix), current->table_version());
    if (changed_rows.ok())
    {
        this->changed(to_delta(*changed_rows, current->head().version()));
    }
    net::server_response response;
    response.body = wire::to_json(new_change->head);
    return response;
}

absl::StatusOr<config_admin::change> config_admin::prepare(const net::server_request& request,
                                                           const std::vector<std::string>& rest,
                                                           const config_replica& current) const
{
    const std::string section = rest.empty() ? "" : rest.front();
    if (request.method == "PUT" && section == "units")
    {
        return this->prepare_unit(request.body, current);
    }
    if (request.method == "PUT" && section == "contracts")
    {
        return this->prepare_contract(request.body, current);
    }
    if (request.method == "PUT" && section == "presets")
    {
        return this->prepare_preset(request.body, current);
    }
    if (request.method == "POST" && section == "presets" && rest.size() == 3 && rest[2] == "use")
    {
        return this->prepare_switch(rest[1], current);
    }
    return make_error(error_kind::not_found,
                      request.method + " /v1/config/" + section + " does not exist");
}

absl::StatusOr<config_admin::change> config_admin::prepare_unit(const std::string& body,
                                                                const config_replica& current) const
{
    wire::unit_document document;
    const absl::Status parse_status = wire::from_json(body, document);
    if (!parse_status.ok())
    {
        return parse_status;
    }
    const auto unit = wire::from_wire(document);
    if (!unit.ok())
    {
        return unit.status();
    }
    const absl::Status valid = quota::check_unit(*unit);
    if (!valid.ok())
    {
        return valid;
    }
    quota::configuration config = current.configuration();
    config.units[unit->unit] = *unit;
    const absl::Status config_status = this->check_config(config);
    if (!config_status.ok())
    {
        return config_status;
    }
    return change{"config/unit/" + unit->unit, wire::to_compact_json(document), false,
                  current.head()};
}

absl::StatusOr<config_admin::change>
config_admin::prepare_contract(const std::string& body, const config_replica& current) const
{
    wire::contract_document document;
    const absl::Status parse_status = wire::from_json(body, document);
    if (!parse_status.ok())
    {
        return parse_status;
    }
    const auto contract = wire::from_wire(document);
    if (!contract.ok())
    {
        return contract.status();
    }
    quota::configuration config = current.configuration();
    const absl::Status valid = quota::check_contract(config, *contract);
    if (!valid.ok())
    {
        return valid;
    }
    config.contracts[contract->organisation] = *contract;
    const absl::Status config_status = this->check_config(config);
    if (!config_status.ok())
    {
        return config_status;
    }
    return change{"config/contract/" + contract->organisation.str(),
                  wire::to_compact_json(document), false, current.head()};
}

absl::StatusOr<config_admin::change>
config_admin::prepare_preset(const std::string& body, const config_replica& current) const
{
    wire::preset_document document;
    const absl::Status parse_status = wire::from_json(body, document);
    if (!parse_status.ok())
    {
        return parse_status;
    }
    const absl::Status name_status = wire::validate_name("preset", document.name());
    if (!name_status.ok())
    {
        return name_status;
    }
    const quota::preset preset = wire::from_wire(document);
    const absl::Status valid = quota::check_preset(preset);
    if (!valid.ok())
    {
        return valid;
    }
    quota::configuration config = current.configuration();
    config.presets[preset.name] = preset;
    const absl::Status config_status = this->check_config(config);
    if (!config_status.ok())
    {
        return config_status;
    }
    return change{"config/preset/" + preset.name, wire::to_compact_json(document), false,
                  current.head()};
}

absl::StatusOr<config_admin::change>
config_admin::prepare_switch(const std::string& preset, const config_replica& current) const
{
    quota::configuration config = current.configuration();
    if (!config.presets.contains(preset))
    {
        return make_error(error_kind::not_found, "preset \"" + preset + "\" does not exist");
    }
    config.preset_in_force = preset;
    const absl::Status config_status = this->check_config(config);
    if (!config_status.ok())
    {
        return config_status;
    }
    change new_change;
    new_change.head = current.head();
    new_change.head.set_preset_in_force(preset);
    return new_change;
}

absl::Status config_admin::check_config(const quota::configuration& config) const
{
    if (config.preset_in_force.empty())
    {
        return absl::OkStatus();
    }
    const auto terms = quota::resolve_config(config, config.preset_in_force);
    if (!terms.ok())
    {
        return terms.status();
    }
    // Each cell must be able to satisfy all guarantees alone, so that losing a cell breaks none.
    for (const cell_capacity& announced : this->capacity())
    {
        const absl::Status placeable = sched::check_placeable(*terms, announced.workers);
        if (!placeable.ok())
        {
            return make_error(core::kind_of(placeable),
                              "preset \"" + config.preset_in_force + "\" in cell \"" +
                                  announced.cell + "\": " + std::string(placeable.message()));
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<config_replica> config_admin::read_current() const
{
    const auto config_rows = this->table.list(std::string(config_prefix), 0);
    if (!config_rows.ok())
    {
        return config_rows.status();
    }
    config_replica current;
    static_cast<void>(current.apply(to_delta(*config_rows, 0)));
    return current;
}

absl::Status config_admin::write(const config_replica& current, const change& new_change) const
{
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, head_key(), current.row_version(head_key()),
                     wire::to_compact_json(new_change.head));
    if (!new_change.key.empty())
    {
        store::add_write(transaction, new_change.key, current.row_version(new_change.key),
                         new_change.value);
    }
    const store::commit_result result =
        store::commit_with_retry(this->table, transaction, write_timeout, [] { return false; });
    switch (result.outcome)
    {
    case store::commit_outcome::applied:
        return absl::OkStatus();
    case store::commit_outcome::conflict:
    {
        wire::config_head winner;
        static_cast<void>(wire::from_json_lenient(result.conflicting.value(), winner));
        return make_error(error_kind::conflict, "version " + std::to_string(winner.version()) +
                                                    " by \"" + winner.changed_by() +
                                                    "\" was committed first; preset \"" +
                                                    winner.preset_in_force() + "\" is in force");
    }
    case store::commit_outcome::unavailable:
        return make_error(error_kind::store_unavailable, result.message);
    case store::commit_outcome::unknown:
        break;
    }
    return make_error(error_kind::store_outcome_unknown,
                      "outcome of writing version " + std::to_string(new_change.head.version()) +
                          " is unknown: " + result.message);
}

} // namespace chicorylift::daemon
