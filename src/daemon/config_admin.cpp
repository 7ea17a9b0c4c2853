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

constexpr core::milliseconds write_patience{3000};

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
                                                  const std::string& who)
{
    // The change is made on what the table holds now, not on this entry's copy of it.
    const auto present = this->read_current();
    if (!present.ok())
    {
        return net::error_response(present.status());
    }
    if (request.method == "GET")
    {
        net::server_response response;
        response.body = wire::to_json(present->document());
        return response;
    }
    auto wanted = this->prepare(request, rest, *present);
    if (!wanted.ok())
    {
        return net::error_response(wanted.status());
    }
    wanted->head.set_version(present->head().version() + 1);
    wanted->head.set_changed_by(who);
    const absl::Status written = this->write(*present, *wanted);
    if (!written.ok())
    {
        return net::error_response(written);
    }
    support::log::info("config", "configuration accepted",
                       {{"version", std::to_string(wanted->head.version())},
                        {"preset", wanted->head.preset_in_force()},
                        {"changed_by", who}});
    const auto listed = this->table.list(std::string(config_prefix), present->table_version());
    if (listed.ok())
    {
        this->changed(to_delta(*listed, present->head().version()));
    }
    net::server_response response;
    response.body = wire::to_json(wanted->head);
    return response;
}

absl::StatusOr<config_admin::change> config_admin::prepare(const net::server_request& request,
                                                           const std::vector<std::string>& rest,
                                                           const config_replica& present) const
{
    const std::string what = rest.empty() ? "" : rest.front();
    if (request.method == "PUT" && what == "units")
    {
        return this->prepare_unit(request.body, present);
    }
    if (request.method == "PUT" && what == "contracts")
    {
        return this->prepare_contract(request.body, present);
    }
    if (request.method == "PUT" && what == "presets")
    {
        return this->prepare_preset(request.body, present);
    }
    if (request.method == "POST" && what == "presets" && rest.size() == 3 && rest[2] == "use")
    {
        return this->prepare_switch(rest[1], present);
    }
    return make_error(error_kind::not_found,
                      request.method + " /v1/config/" + what + " does not exist");
}

absl::StatusOr<config_admin::change> config_admin::prepare_unit(const std::string& body,
                                                                const config_replica& present) const
{
    wire::unit_document document;
    const absl::Status read = wire::from_json(body, document);
    if (!read.ok())
    {
        return read;
    }
    const auto unit = wire::from_wire(document);
    if (!unit.ok())
    {
        return unit.status();
    }
    const absl::Status sound = quota::check_unit(*unit);
    if (!sound.ok())
    {
        return sound;
    }
    quota::configuration config = present.configuration();
    config.units[unit->unit] = *unit;
    const absl::Status whole = this->check_config(config);
    if (!whole.ok())
    {
        return whole;
    }
    return change{"config/unit/" + unit->unit, wire::to_compact_json(document), false,
                  present.head()};
}

absl::StatusOr<config_admin::change>
config_admin::prepare_contract(const std::string& body, const config_replica& present) const
{
    wire::contract_document document;
    const absl::Status read = wire::from_json(body, document);
    if (!read.ok())
    {
        return read;
    }
    const auto agreed = wire::from_wire(document);
    if (!agreed.ok())
    {
        return agreed.status();
    }
    quota::configuration config = present.configuration();
    const absl::Status sound = quota::check_contract(config, *agreed);
    if (!sound.ok())
    {
        return sound;
    }
    config.contracts[agreed->organisation] = *agreed;
    const absl::Status whole = this->check_config(config);
    if (!whole.ok())
    {
        return whole;
    }
    return change{"config/contract/" + agreed->organisation.str(), wire::to_compact_json(document),
                  false, present.head()};
}

absl::StatusOr<config_admin::change>
config_admin::prepare_preset(const std::string& body, const config_replica& present) const
{
    wire::preset_document document;
    const absl::Status read = wire::from_json(body, document);
    if (!read.ok())
    {
        return read;
    }
    const absl::Status named = wire::validate_name("preset", document.name());
    if (!named.ok())
    {
        return named;
    }
    const quota::preset chosen = wire::from_wire(document);
    const absl::Status sound = quota::check_preset(chosen);
    if (!sound.ok())
    {
        return sound;
    }
    quota::configuration config = present.configuration();
    config.presets[chosen.name] = chosen;
    const absl::Status whole = this->check_config(config);
    if (!whole.ok())
    {
        return whole;
    }
    return change{"config/preset/" + chosen.name, wire::to_compact_json(document), false,
                  present.head()};
}

absl::StatusOr<config_admin::change>
config_admin::prepare_switch(const std::string& preset, const config_replica& present) const
{
    quota::configuration config = present.configuration();
    if (!config.presets.contains(preset))
    {
        return make_error(error_kind::not_found, "preset \"" + preset + "\" does not exist");
    }
    config.preset_in_force = preset;
    const absl::Status whole = this->check_config(config);
    if (!whole.ok())
    {
        return whole;
    }
    change wanted;
    wanted.head = present.head();
    wanted.head.set_preset_in_force(preset);
    return wanted;
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
    // Each cell keeps all guarantees by itself, so that losing one cell breaks none.
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
    const auto listed = this->table.list(std::string(config_prefix), 0);
    if (!listed.ok())
    {
        return listed.status();
    }
    config_replica present;
    static_cast<void>(present.apply(to_delta(*listed, 0)));
    return present;
}

absl::Status config_admin::write(const config_replica& present, const change& wanted) const
{
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, head_key(), present.row_version(head_key()),
                     wire::to_compact_json(wanted.head));
    if (!wanted.key.empty())
    {
        store::add_write(transaction, wanted.key, present.row_version(wanted.key), wanted.value);
    }
    const store::commit_result result =
        store::commit_with_retry(this->table, transaction, write_patience, [] { return false; });
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
                                                    "\" came first; preset \"" +
                                                    winner.preset_in_force() + "\" is in force");
    }
    case store::commit_outcome::unavailable:
        return make_error(error_kind::store_unavailable, result.message);
    case store::commit_outcome::unknown:
        break;
    }
    return make_error(error_kind::store_outcome_unknown,
                      "whether version " + std::to_string(wanted.head.version()) +
                          " took effect is not known: " + result.message);
}

} // namespace chicorylift::daemon
