#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

/// The daemon's roles.
namespace chicorylift::daemon
{

/// Token of one organisation or of the operators.
struct named_token
{
    std::string name;
    std::string token;
};

/// Everything that a process learns from its flags and environment variables.
struct settings
{
    std::string role;
    std::string name;
    std::string listen;
    /// Address that others reach this process at; the listening one unless set.
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

    /// @return the cell that this process belongs to: whole racks of one zone.
    [[nodiscard]] std::string cell() const;
};

/// What the command line asks for.
struct parsed_settings
{
    settings values;
    /// Set when the process should exit at once with this code.
    int exit_code = -1;
};

/// Reads and checks flags and environment variables; prints help, version and errors.
[[nodiscard]] parsed_settings parse_settings(int argument_count, const char* const* arguments);

/// Checks settings whose values depend on each other.
/// @return an error that names the setting, its value and what is allowed.
[[nodiscard]] absl::Status check_settings(const settings& values);

} // namespace chicorylift::daemon
