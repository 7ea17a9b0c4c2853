#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

/// The daemon's roles: entry (HTTP API and call routing) and agent (one per worker).
namespace chicorylift::daemon
{

/// Bearer token of one organisation.
struct named_token
{
    std::string name;
    std::string token;
};

/// Settings of a process, from flags and environment variables.
struct settings
{
    std::string role;
    std::string name;
    std::string listen;
    /// Address at which other processes reach this one; defaults to listen.
    std::string advertise;
    std::string http;
    std::string table_address;
    std::string table_adapter = "http-json";
    std::string region;
    std::string zone;
    std::uint32_t rack = 0;
    std::uint32_t racks_per_cell = 8;
    std::vector<named_token> organisation_tokens;
    std::string operator_token;
    std::string log_level = "info";
    std::uint32_t entries = 1;
    std::uint32_t call_threads = 64;
    core::milliseconds heartbeat{3000};
    core::milliseconds suspect_after{6500};
    core::milliseconds gang_lease{15000};
    core::milliseconds config_poll{1000};
    core::milliseconds drain_timeout{30000};
    core::milliseconds shutdown_delay{2000};
    core::milliseconds stale_after{30000};
    bool check_only = false;

    /// @return the cell of this process: racks_per_cell consecutive racks of one zone.
    [[nodiscard]] std::string cell() const;
};

/// Result of parse_settings().
struct parsed_settings
{
    settings values;
    /// Exit code if the process must exit at once, otherwise -1.
    int exit_code = -1;
};

/// Parses and checks flags and environment variables; prints help, version and errors.
[[nodiscard]] parsed_settings parse_settings(int argument_count, const char* const* arguments);

/// Checks settings, including those whose limits depend on other settings.
/// @return an error with the setting, its value and the allowed values.
[[nodiscard]] absl::Status check_settings(const settings& values);

} // namespace chicorylift::daemon
