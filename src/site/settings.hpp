#pragma once

#include "chicorylift/core/time.hpp"

#include <absl/status/status.h>
#include <cstdint>
#include <string>

/// Processes that schedule batch jobs: the entry and the agent.
namespace chicorylift::site
{

/// Settings from flags, environment and settings file.
struct settings
{
    std::string role;
    std::string name;
    std::string zone;
    std::string region;
    /// IP address and port that other processes of the system connect to.
    std::string listen;
    /// Entry: IP address and port of the client API.
    std::string front;
    /// Entry: IP address and port of the readiness check.
    std::string ready;
    /// IP address and port of the metrics endpoint; empty disables it.
    std::string metrics;
    /// Agent: IP address and port to which its worker sends announcements.
    std::string control;
    /// Agent: IP address and port of its worker.
    std::string worker;
    /// IP address and port of the table service.
    std::string store;
    /// Longest lease that workers grant.
    core::milliseconds max_lease{6000};
    /// Time after which a removed key must be rejected.
    core::milliseconds key_revocation{5000};
    /// Time limit of a graceful stop.
    core::milliseconds stop_grace{6000};
    /// Factor on the run time of units away from their data or gang.
    double remote_factor = 3;
    /// Time that a resumed unit needs to restore its checkpoint.
    core::milliseconds restore_time{600};
    /// Seconds for which ended jobs can still be queried.
    std::int64_t keep_ended_s = 120;
    /// Entry: largest number of open client connections.
    std::uint32_t max_connections = 3000;
    /// Entry: largest number of submissions that are being written; 0 for no bound.
    std::size_t max_pending_submissions = 0;
    /// Entry: number of an organisation's queued jobs from which a job that certainly cannot be
    /// served in time is refused; 0 for no bound.
    std::size_t max_queued_per_organisation = 0;
    /// Largest value of a row of the table service, in bytes.
    std::uint32_t max_row_bytes = 65'536;
    /// Memory in MB that a leader may need for unfinished jobs. Entries refuse jobs beyond it, and
    /// a leader leaves out jobs that were accepted without that limit; 0 for no limit.
    std::uint32_t max_job_state_mb = 48;
    /// Memory of the machine in MB; 0 assumes the smallest machine that is supported.
    std::uint32_t memory_mb = 0;
    /// Memory in MB for the buffers of all connections of the process; 0 derives it from memory_mb.
    std::uint32_t buffer_mb = 0;
    /// Descriptors that the process may open, 200 of them for files; 0 derives no limit.
    std::uint32_t max_descriptors = 0;
    /// Entry: open connections to the client port from one IP address; 0 disables the limit.
    std::uint32_t max_connections_per_address = 0;
    /// Fields of a request header.
    std::uint32_t max_header_fields = 100;
    /// Values of a JSON body; an object or array counts as 64.
    std::uint32_t max_json_values = 262'144;
    /// Agent: time within which a leader stops placing work in an evacuated availability zone; 0
    /// disables evacuations.
    core::milliseconds evacuation_limit{0};
    /// Agent: see the fields of the same names in batch::scheduler_settings.
    bool learn_run_times = false;
    bool order_by_value = false;
    bool fair_shares = false;
    bool keep_whole_workers = false;
    /// Check the settings and exit.
    bool check_only = false;
};

/// @return time for which the rows of ended jobs, and of jobs cancelled before they were stored,
///         stay.
[[nodiscard]] core::milliseconds ended_job_retention(const settings& values) noexcept;

/// Result of parsing the settings.
struct parsed_settings
{
    settings values;
    /// Code with which the process exits at once; negative if it should run.
    int exit_code = -1;
};

/// Reads and checks flags, environment and settings file; prints help and errors.
[[nodiscard]] parsed_settings parse_settings(int argument_count, const char* const* arguments);

/// @return OK, or an error that names the setting, its value and the allowed values.
[[nodiscard]] absl::Status check_settings(const settings& values);

/// @return an error if a variable with the prefix CHICORYLIFT_ is not a known setting.
/// @param environment null-terminated array of NAME=VALUE strings, such as environ.
[[nodiscard]] absl::Status check_environment(const char* const* environment);

} // namespace chicorylift::site
