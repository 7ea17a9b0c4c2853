#include "daemon/settings.hpp"

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "store/table.hpp"
#include "wire/convert.hpp"

#include <CLI/CLI.hpp>
#include <Poco/Net/SocketAddress.h>
#include <iostream>

namespace chicorylift::daemon
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr const char* version_text = "chicorylift 0.1.0";
constexpr std::int64_t min_duration_ms = 50;
constexpr std::uint32_t max_call_threads = 1024;
constexpr std::int64_t max_duration_ms = 3'600'000;

absl::Status invalid(const std::string& setting, const std::string& value,
                     const std::string& allowed)
{
    return make_error(error_kind::invalid_request,
                      "setting --" + setting + " is \"" + value + "\"; allowed is " + allowed);
}

absl::Status check_address(const std::string& setting, const std::string& value)
{
    try
    {
        const Poco::Net::SocketAddress parsed(value);
        if (parsed.toString() == value)
        {
            return absl::OkStatus();
        }
    }
    catch (const std::exception&)
    {
        // Falls through to the error for malformed addresses.
    }
    return invalid(setting, value, "an IP number and a port, such as 127.0.0.1:7000");
}

absl::Status check_duration(const std::string& setting, core::milliseconds value)
{
    if (value.count() >= min_duration_ms && value.count() <= max_duration_ms)
    {
        return absl::OkStatus();
    }
    return invalid(setting, std::to_string(value.count()),
                   std::to_string(min_duration_ms) + " to " + std::to_string(max_duration_ms) +
                       " ms");
}

absl::Status check_name(const std::string& setting, const std::string& value)
{
    return wire::validate_name(setting, value).ok()
               ? absl::OkStatus()
               : invalid(setting, value, "1 to 128 letters, digits, '-', '_' or '.'");
}

absl::Status first_error(std::initializer_list<absl::Status> checks)
{
    for (const absl::Status& checked : checks)
    {
        if (!checked.ok())
        {
            return checked;
        }
    }
    return absl::OkStatus();
}

absl::Status split_tokens(const std::vector<std::string>& texts, std::vector<named_token>& tokens)
{
    for (const std::string& text : texts)
    {
        const std::size_t equals = text.find('=');
        if (equals == std::string::npos || equals == 0 || equals + 1 == text.size())
        {
            // The value may contain a token, so the message omits it.
            return make_error(error_kind::invalid_request,
                              "setting --organisation-token has a value without the form "
                              "ORGANISATION=TOKEN");
        }
        tokens.push_back({text.substr(0, equals), text.substr(equals + 1)});
    }
    return absl::OkStatus();
}

void add_duration(CLI::App& app, const std::string& name, core::milliseconds& value,
                  const std::string& variable, const std::string& help)
{
    app.add_option_function<std::int64_t>(
           "--" + name, [&value](const std::int64_t& count) { value = core::milliseconds{count}; },
           help)
        ->envname(variable)
        ->default_str(std::to_string(value.count()));
}

void add_options(CLI::App& app, settings& values, std::vector<std::string>& tokens)
{
    app.add_option("--role", values.role, "entry or agent")->envname("CHICORYLIFT_ROLE");
    app.add_option("--name", values.name, "unique name of this process")
        ->envname("CHICORYLIFT_NAME");
    app.add_option("--listen", values.listen, "IP number and port for other processes")
        ->envname("CHICORYLIFT_LISTEN");
    app.add_option("--advertise", values.advertise,
                   "IP number and port that other processes use, if not that of --listen")
        ->envname("CHICORYLIFT_ADVERTISE");
    app.add_option("--http", values.http, "IP number and port for HTTP")
        ->envname("CHICORYLIFT_HTTP");
    app.add_option("--table", values.table_address, "IP number and port of the platform's table")
        ->envname("CHICORYLIFT_TABLE");
    app.add_option("--table-adapter", values.table_adapter,
                   "adapter that speaks the table's protocol")
        ->envname("CHICORYLIFT_TABLE_ADAPTER")
        ->capture_default_str();
    app.add_option("--region", values.region, "region of this process")
        ->envname("CHICORYLIFT_REGION");
    app.add_option("--zone", values.zone, "availability zone of this process")
        ->envname("CHICORYLIFT_ZONE");
    app.add_option("--rack", values.rack, "number of the worker's rack in its zone")
        ->envname("CHICORYLIFT_RACK")
        ->capture_default_str();
    app.add_option("--racks-per-cell", values.racks_per_cell, "number of racks per cell")
        ->envname("CHICORYLIFT_RACKS_PER_CELL")
        ->capture_default_str();
    app.add_option("--organisation-token", tokens, "ORGANISATION=TOKEN; repeatable")
        ->envname("CHICORYLIFT_ORGANISATION_TOKENS")
        ->delimiter(',');
    app.add_option("--operator-token", values.operator_token, "bearer token of the operators")
        ->envname("CHICORYLIFT_OPERATOR_TOKEN");
    app.add_option("--entries", values.entries, "entries that share an organisation's call rate")
        ->envname("CHICORYLIFT_ENTRIES")
        ->capture_default_str();
    app.add_option("--call-threads", values.call_threads,
                   "maximum number of concurrent calls from an agent to its upstream")
        ->envname("CHICORYLIFT_CALL_THREADS")
        ->capture_default_str();
    app.add_option("--log-level", values.log_level, "debug, info, warning or error")
        ->envname("CHICORYLIFT_LOG_LEVEL")
        ->capture_default_str();
    add_duration(app, "heartbeat-ms", values.heartbeat, "CHICORYLIFT_HEARTBEAT_MS",
                 "interval between an agent's heartbeats");
    add_duration(app, "suspect-ms", values.suspect_after, "CHICORYLIFT_SUSPECT_MS",
                 "time without messages after which a leader or a worker is considered lost");
    add_duration(app, "gang-lease-ms", values.gang_lease, "CHICORYLIFT_GANG_LEASE_MS",
                 "lease after which a gang part stops unless a leader renews it");
    add_duration(app, "config-poll-ms", values.config_poll, "CHICORYLIFT_CONFIG_POLL_MS",
                 "interval between an entry's reads of the table");
    add_duration(app, "drain-ms", values.drain_timeout, "CHICORYLIFT_DRAIN_MS",
                 "maximum wait for open requests during a graceful stop");
    add_duration(
        app, "notice-ms", values.shutdown_delay, "CHICORYLIFT_NOTICE_MS",
        "time that a stopping entry still accepts connections, until the load balancer notices");
    add_duration(
        app, "stale-ms", values.stale_after, "CHICORYLIFT_STALE_MS",
        "time without confirmation after which a leader considers its configuration stale");
    app.add_flag("--check-settings", values.check_only, "check the settings and exit");
}

} // namespace

std::string settings::cell() const
{
    return this->zone + "-" + std::to_string(this->rack / this->racks_per_cell);
}

absl::Status check_settings(const settings& values)
{
    if (values.role != "entry" && values.role != "agent")
    {
        return invalid("role", values.role, "entry or agent");
    }
    const auto& adapters = core::registry<store::table_factory>::instance();
    if (adapters.find(values.table_adapter) == nullptr)
    {
        return invalid("table-adapter", values.table_adapter, adapters.names());
    }
    if (values.racks_per_cell == 0)
    {
        return invalid("racks-per-cell", "0", "at least 1");
    }
    if (values.entries == 0)
    {
        return invalid("entries", "0", "at least 1");
    }
    if (values.call_threads == 0 || values.call_threads > max_call_threads)
    {
        return invalid("call-threads", std::to_string(values.call_threads),
                       "1 to " + std::to_string(max_call_threads));
    }
    absl::Status checked = first_error(
        {check_name("name", values.name), check_name("region", values.region),
         check_name("zone", values.zone), check_address("listen", values.listen),
         check_address("http", values.http), check_address("table", values.table_address),
         check_duration("heartbeat-ms", values.heartbeat),
         check_duration("suspect-ms", values.suspect_after),
         check_duration("gang-lease-ms", values.gang_lease),
         check_duration("config-poll-ms", values.config_poll),
         check_duration("drain-ms", values.drain_timeout),
         check_duration("notice-ms", values.shutdown_delay),
         check_duration("stale-ms", values.stale_after)});
    if (!checked.ok())
    {
        return checked;
    }
    if (!values.advertise.empty())
    {
        absl::Status advertised = check_address("advertise", values.advertise);
        if (!advertised.ok())
        {
            return advertised;
        }
    }
    // A leader change must complete within the lease, otherwise it stops healthy gangs.
    if (values.gang_lease < values.suspect_after * 2)
    {
        return invalid("gang-lease-ms", std::to_string(values.gang_lease.count()),
                       "at least twice --suspect-ms, " +
                           std::to_string(values.suspect_after.count() * 2) + " ms");
    }
    if (values.suspect_after < values.heartbeat * 2)
    {
        return invalid("suspect-ms", std::to_string(values.suspect_after.count()),
                       "at least twice --heartbeat-ms, " +
                           std::to_string(values.heartbeat.count() * 2) + " ms");
    }
    return absl::OkStatus();
}

parsed_settings parse_settings(int argument_count, const char* const* arguments)
{
    constexpr int usage_error = 2;
    parsed_settings parsed;
    std::vector<std::string> tokens;
    CLI::App app("chicoryliftd: schedules multi-accelerator jobs and routes calls");
    app.set_version_flag("--version", version_text);
    add_options(app, parsed.values, tokens);
    try
    {
        app.parse(argument_count, arguments);
    }
    catch (const CLI::ParseError& fault)
    {
        const int code = app.exit(fault);
        parsed.exit_code = code == 0 ? 0 : usage_error;
        return parsed;
    }
    if (parsed.values.advertise.empty())
    {
        parsed.values.advertise = parsed.values.listen;
    }
    absl::Status checked = split_tokens(tokens, parsed.values.organisation_tokens);
    if (checked.ok())
    {
        checked = check_settings(parsed.values);
    }
    if (!checked.ok())
    {
        std::cerr << "chicoryliftd: " << checked.message() << '\n';
        parsed.exit_code = core::descriptor_for(core::kind_of(checked)).exit_code;
    }
    else if (parsed.values.check_only)
    {
        std::cout << "settings are valid\n";
        parsed.exit_code = 0;
    }
    return parsed;
}

} // namespace chicorylift::daemon
