#include "site/settings.hpp"

#include "chicorylift/core/error.hpp"
#include "net/address.hpp"

#include <CLI/CLI.hpp>
#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace chicorylift::site
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr double milliseconds_per_second = 1000.0;
constexpr std::string_view variable_prefix = "CHICORYLIFT_";
/// Environment variable with the path of the settings file.
constexpr const char* settings_file_variable = "CHICORYLIFT_BOOT";
constexpr std::array<std::string_view, 32> variables{
    "CHICORYLIFT_BOOT",
    "CHICORYLIFT_ROLE",
    "CHICORYLIFT_NAME",
    "CHICORYLIFT_ZONE",
    "CHICORYLIFT_REGION",
    "CHICORYLIFT_LISTEN",
    "CHICORYLIFT_FRONT",
    "CHICORYLIFT_READY",
    "CHICORYLIFT_METRICS",
    "CHICORYLIFT_CONTROL",
    "CHICORYLIFT_WORKER",
    "CHICORYLIFT_STORE",
    "CHICORYLIFT_LONGEST_LEASE_MS",
    "CHICORYLIFT_KEY_REVOCATION_MS",
    "CHICORYLIFT_STOP_GRACE_S",
    "CHICORYLIFT_REMOTE_FACTOR",
    "CHICORYLIFT_MOST_CONNECTIONS",
    "CHICORYLIFT_KEEP_ENDED_S",
    "CHICORYLIFT_RESTORE_MS",
    "CHICORYLIFT_EVACUATION_MS",
    "CHICORYLIFT_LEARN_RUN_TIMES",
    "CHICORYLIFT_ORDER_BY_VALUE",
    "CHICORYLIFT_FAIR_SHARES",
    "CHICORYLIFT_KEEP_WHOLE_WORKERS",
    "CHICORYLIFT_MAX_PENDING_SUBMISSIONS",
    "CHICORYLIFT_MAX_QUEUED_PER_ORGANISATION",
    "CHICORYLIFT_MEMORY_MB",
    "CHICORYLIFT_BUFFER_MB",
    "CHICORYLIFT_MAX_DESCRIPTORS",
    "CHICORYLIFT_MAX_CONNECTIONS_PER_ADDRESS",
    "CHICORYLIFT_MAX_HEADER_FIELDS",
    "CHICORYLIFT_MAX_JSON_VALUES",
};

absl::Status invalid(const std::string& setting, const std::string& value,
                     const std::string& allowed)
{
    return make_error(error_kind::invalid_request,
                      "setting --" + setting + " is \"" + value + "\"; allowed is " + allowed);
}

absl::Status check_address(const std::string& setting, const std::string& value)
{
    return net::is_address(value)
               ? absl::OkStatus()
               : invalid(setting, value, "an IP number and a port, such as 127.0.0.1:7000");
}

absl::Status check_time(const std::string& setting, core::milliseconds value, std::int64_t min,
                        std::int64_t max)
{
    if (value.count() >= min && value.count() <= max)
    {
        return absl::OkStatus();
    }
    return invalid(setting, std::to_string(value.count()),
                   std::to_string(min) + " to " + std::to_string(max) + " ms");
}

void add_time(CLI::App& app, const std::string& name, core::milliseconds& value,
              const std::string& variable, const std::string& help)
{
    app.add_option_function<std::int64_t>(
           "--" + name, [&value](const std::int64_t& count) { value = core::milliseconds{count}; },
           help)
        ->envname(variable)
        ->default_str(std::to_string(value.count()));
}

/// Options that limit what callers can make the process hold.
void add_limits(CLI::App& app, settings& values)
{
    app.add_option("--most-connections", values.max_connections,
                   "entry: largest number of open client connections")
        ->envname("CHICORYLIFT_MOST_CONNECTIONS")
        ->capture_default_str();
    app.add_option("--memory-mb", values.memory_mb,
                   "memory of the machine in MB; 0 assumes the smallest supported machine")
        ->envname("CHICORYLIFT_MEMORY_MB")
        ->capture_default_str();
    app.add_option("--buffer-mb", values.buffer_mb,
                   "memory in MB for the buffers of all connections; 0 derives it from memory-mb")
        ->envname("CHICORYLIFT_BUFFER_MB")
        ->capture_default_str();
    app.add_option("--max-row-bytes", values.max_row_bytes,
                   "largest value of a row of the table service, in bytes")
        ->envname("CHICORYLIFT_MAX_ROW_BYTES")
        ->capture_default_str();
    app.add_option("--max-job-state-mb", values.max_job_state_mb,
                   "memory in MB that a leader may need for unfinished jobs; 0 for no limit")
        ->envname("CHICORYLIFT_MAX_JOB_STATE_MB")
        ->capture_default_str();
    app.add_option("--max-descriptors", values.max_descriptors,
                   "descriptors that the process may open, 200 for files; 0 derives no limit")
        ->envname("CHICORYLIFT_MAX_DESCRIPTORS")
        ->capture_default_str();
    app.add_option("--max-connections-per-address", values.max_connections_per_address,
                   "entry: open client connections from one IP address; 0 disables the limit")
        ->envname("CHICORYLIFT_MAX_CONNECTIONS_PER_ADDRESS")
        ->capture_default_str();
    app.add_option("--max-header-fields", values.max_header_fields, "fields of a request header")
        ->envname("CHICORYLIFT_MAX_HEADER_FIELDS")
        ->capture_default_str();
    app.add_option("--max-json-values", values.max_json_values, "values of a JSON body")
        ->envname("CHICORYLIFT_MAX_JSON_VALUES")
        ->capture_default_str();
}

void add_options(CLI::App& app, settings& values)
{
    const char* const file = std::getenv(settings_file_variable);
    app.set_config("--settings", file == nullptr ? "" : file,
                   "settings file with one NAME = VALUE per line", file != nullptr);
    app.add_option("--role", values.role, "entry or agent")->envname("CHICORYLIFT_ROLE");
    app.add_option("--name", values.name, "unique name of this process")
        ->envname("CHICORYLIFT_NAME");
    app.add_option("--zone", values.zone, "availability zone")->envname("CHICORYLIFT_ZONE");
    app.add_option("--region", values.region, "region")->envname("CHICORYLIFT_REGION");
    app.add_option("--listen", values.listen, "IP number and port for other processes")
        ->envname("CHICORYLIFT_LISTEN");
    app.add_option("--front", values.front, "entry: IP number and port for callers")
        ->envname("CHICORYLIFT_FRONT");
    app.add_option("--ready", values.ready, "entry: IP number and port of the readiness check")
        ->envname("CHICORYLIFT_READY");
    app.add_option("--metrics", values.metrics, "IP number and port of the metrics")
        ->envname("CHICORYLIFT_METRICS");
    app.add_option("--control", values.control, "agent: IP number and port for its worker")
        ->envname("CHICORYLIFT_CONTROL");
    app.add_option("--worker", values.worker, "agent: IP number and port of its worker")
        ->envname("CHICORYLIFT_WORKER");
    app.add_option("--store", values.store, "IP number and port of the table service")
        ->envname("CHICORYLIFT_STORE");
    add_time(app, "longest-lease-ms", values.max_lease, "CHICORYLIFT_LONGEST_LEASE_MS",
             "longest lease that workers grant");
    add_time(app, "key-revocation-ms", values.key_revocation, "CHICORYLIFT_KEY_REVOCATION_MS",
             "time after which a removed key must be rejected");
    app.add_option_function<double>(
           "--stop-grace-s",
           [&values](const double& given)
           {
               values.stop_grace =
                   core::milliseconds{static_cast<std::int64_t>(given * milliseconds_per_second)};
           },
           "time that a stopping process is given, in seconds")
        ->envname("CHICORYLIFT_STOP_GRACE_S")
        ->default_str("6");
    add_time(app, "restore-ms", values.restore_time, "CHICORYLIFT_RESTORE_MS",
             "time that a resumed unit needs to restore its checkpoint");
    app.add_option("--remote-factor", values.remote_factor,
                   "factor on the run time of units away from their data or gang")
        ->envname("CHICORYLIFT_REMOTE_FACTOR")
        ->capture_default_str();
    app.add_option("--keep-ended-s", values.keep_ended_s,
                   "agent: seconds for which ended jobs can still be queried")
        ->envname("CHICORYLIFT_KEEP_ENDED_S")
        ->capture_default_str();
    add_limits(app, values);
    add_time(
        app, "evacuation-ms", values.evacuation_limit, "CHICORYLIFT_EVACUATION_MS",
        "agent: time within which an evacuated zone gets no more work; 0 disables evacuations");
    app.add_option("--learn-run-times", values.learn_run_times,
                   "agent: expect run times as learned from finished runs")
        ->envname("CHICORYLIFT_LEARN_RUN_TIMES")
        ->capture_default_str();
    app.add_option("--order-by-value", values.order_by_value,
                   "agent: order jobs of equal priority by what their callers can still get")
        ->envname("CHICORYLIFT_ORDER_BY_VALUE")
        ->capture_default_str();
    app.add_option("--fair-shares", values.fair_shares,
                   "agent: order jobs of equal priority by what their organisations hold")
        ->envname("CHICORYLIFT_FAIR_SHARES")
        ->capture_default_str();
    app.add_option("--keep-whole-workers", values.keep_whole_workers,
                   "agent: keep workers whole for units that need a whole worker")
        ->envname("CHICORYLIFT_KEEP_WHOLE_WORKERS")
        ->capture_default_str();
    app.add_option("--max-pending-submissions", values.max_pending_submissions,
                   "entry: submissions that may be in progress; beyond it they are refused; 0 for "
                   "no bound")
        ->envname("CHICORYLIFT_MAX_PENDING_SUBMISSIONS")
        ->capture_default_str();
    app.add_option("--max-queued-per-organisation", values.max_queued_per_organisation,
                   "entry: queued jobs of an organisation from which jobs that would lapse are "
                   "refused; 0 for no bound")
        ->envname("CHICORYLIFT_MAX_QUEUED_PER_ORGANISATION")
        ->capture_default_str();
    app.add_flag("--check-settings", values.check_only, "check the settings and exit");
}

/// @return OK if the value is within the range or, where 0 has a meaning of its own, is 0.
absl::Status check_count(const std::string& setting, std::uint32_t value, std::uint32_t min,
                         std::uint32_t max, bool allows_zero, const std::string& unit)
{
    if ((value >= min && value <= max) || (allows_zero && value == 0))
    {
        return absl::OkStatus();
    }
    return invalid(setting, std::to_string(value),
                   (allows_zero ? "0 or " : "") + std::to_string(min) + " to " +
                       std::to_string(max) + " " + unit);
}

void check_limits(const settings& values, std::vector<absl::Status>& checks)
{
    constexpr std::uint32_t max_mb = 1U << 20U;
    constexpr std::uint32_t max_count = 1U << 20U;
    checks.push_back(check_count("most-connections", values.max_connections, 1, max_count, false,
                                 "connections"));
    // Less would not hold one request of the documented size beside the process itself.
    checks.push_back(check_count("memory-mb", values.memory_mb, 32, max_mb, true, "MB"));
    checks.push_back(check_count("buffer-mb", values.buffer_mb, 2, max_mb, true, "MB"));
    checks.push_back(
        check_count("max-row-bytes", values.max_row_bytes, 4096, 64 * max_count, false, "bytes"));
    checks.push_back(
        check_count("max-job-state-mb", values.max_job_state_mb, 1, max_mb, true, "MB"));
    // The files, the internal ports and the store's connections need about 400.
    checks.push_back(check_count("max-descriptors", values.max_descriptors, 512, max_count, true,
                                 "descriptors"));
    checks.push_back(check_count("max-connections-per-address", values.max_connections_per_address,
                                 1, max_count, true, "connections"));
    checks.push_back(
        check_count("max-header-fields", values.max_header_fields, 16, 16'384, false, "fields"));
    checks.push_back(check_count("max-json-values", values.max_json_values, 1000, 4 * max_count,
                                 false, "values"));
}

// A client may repeat a request for a job this long after the configured retention.
constexpr core::milliseconds retention_margin = std::chrono::seconds{2};

} // namespace

core::milliseconds ended_job_retention(const settings& values) noexcept
{
    return core::seconds{values.keep_ended_s} + retention_margin;
}

absl::Status check_settings(const settings& values)
{
    std::vector<absl::Status> checks;
    if (values.role != "entry" && values.role != "agent")
    {
        return invalid("role", values.role, "entry or agent");
    }
    if (values.name.empty())
    {
        return invalid("name", "", "a unique name");
    }
    checks.push_back(check_address("listen", values.listen));
    checks.push_back(check_address("store", values.store));
    if (!values.metrics.empty())
    {
        checks.push_back(check_address("metrics", values.metrics));
    }
    if (values.role == "entry")
    {
        checks.push_back(check_address("front", values.front));
        checks.push_back(check_address("ready", values.ready));
    }
    else
    {
        checks.push_back(check_address("control", values.control));
        checks.push_back(check_address("worker", values.worker));
    }
    constexpr std::int64_t hour_ms = 3'600'000;
    // Shorter leases expire before a newly elected leader can renew them.
    checks.push_back(check_time("longest-lease-ms", values.max_lease, 3000, hour_ms));
    checks.push_back(check_time("restore-ms", values.restore_time, 0, hour_ms));
    if (values.evacuation_limit.count() != 0)
    {
        // Shorter limits could not be kept beside the watch of the configuration rows.
        checks.push_back(check_time("evacuation-ms", values.evacuation_limit, 4000, hour_ms));
    }
    checks.push_back(check_time("key-revocation-ms", values.key_revocation, 2500, hour_ms));
    checks.push_back(check_time("stop-grace-s", values.stop_grace, 500, hour_ms));
    if (values.keep_ended_s < 1)
    {
        checks.push_back(
            invalid("keep-ended-s", std::to_string(values.keep_ended_s), "at least 1"));
    }
    check_limits(values, checks);
    for (absl::Status& checked : checks)
    {
        if (!checked.ok())
        {
            return checked;
        }
    }
    return absl::OkStatus();
}

absl::Status check_environment(const char* const* environment)
{
    for (; environment != nullptr && *environment != nullptr; ++environment)
    {
        const std::string_view entry(*environment);
        const std::string_view name = entry.substr(0, entry.find('='));
        if (name.starts_with(variable_prefix) &&
            std::find(variables.begin(), variables.end(), name) == variables.end())
        {
            return make_error(error_kind::invalid_request, "environment variable \"" +
                                                               std::string(name) +
                                                               "\" is not a known setting");
        }
    }
    return absl::OkStatus();
}

parsed_settings parse_settings(int argument_count, const char* const* arguments)
{
    constexpr int usage_error = 2;
    parsed_settings parsed;
    CLI::App app("chicoryliftd batch: schedules batch jobs on the platform's workers");
    add_options(app, parsed.values);
    try
    {
        app.parse(argument_count, arguments);
    }
    catch (const CLI::ParseError& error)
    {
        const int code = app.exit(error);
        parsed.exit_code = code == 0 ? 0 : usage_error;
        return parsed;
    }
    absl::Status checked = check_environment(environ);
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

} // namespace chicorylift::site
