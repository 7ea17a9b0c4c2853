#pragma once

#include "chicorylift/core/time.hpp"

#include <absl/status/status.h>
#include <cstdint>
#include <string>

/// The roles that schedule batch jobs on the users' platform.
namespace chicorylift::site
{

/// Everything that a process learns from its flags, environment and settings file.
struct settings
{
    std::string role;
    std::string name;
    std::string zone;
    std::string region;
    /// IP number and port for the system's other processes.
    std::string listen;
    /// Where callers reach an entry.
    std::string front;
    std::string ready;
    std::string metrics;
    /// Where the worker beside an agent announces itself.
    std::string control;
    /// Where an agent reaches its worker.
    std::string worker;
    std::string store;
    core::milliseconds max_lease{6000};
    core::milliseconds key_revocation{5000};
    core::milliseconds stop_grace{6000};
    double remote_factor = 3;
    /// Time that resumed work takes to come back to its checkpoint.
    core::milliseconds restore_time{600};
    /// How long ended jobs can still be asked for.
    std::int64_t keep_ended_s = 120;
    std::uint32_t max_connections = 3000;
    bool check_only = false;
};

/// What the command line asks for.
struct parsed_settings
{
    settings values;
    /// Set when the process should exit at once with this code.
    int exit_code = -1;
};

/// Reads and checks flags, environment and settings file; prints help and errors.
[[nodiscard]] parsed_settings parse_settings(int argument_count, const char* const* arguments);

/// @return an error naming the setting, its value and what is allowed.
[[nodiscard]] absl::Status check_settings(const settings& values);

/// Checks the environment for variables with the product's prefix that nothing reads.
/// @param environment list as the C library keeps it, ended by a null pointer.
[[nodiscard]] absl::Status check_environment(const char* const* environment);

} // namespace chicorylift::site
