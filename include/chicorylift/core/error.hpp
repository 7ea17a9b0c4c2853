#pragma once

#include <absl/status/status.h>
#include <cstddef>
#include <span>
#include <string_view>

/// Error kinds, each with its HTTP status, exit code and execution status.
namespace chicorylift::core
{

/// Reason why a request, a command or a message failed.
enum class error_kind
{
    invalid_request,
    unauthorised,
    forbidden,
    not_found,
    conflict,
    too_large,
    rate_limited,
    queue_full,
    no_upstream,
    connection_refused,
    upstream_full,
    upstream_leaving,
    deadline_passed,
    cancelled,
    upstream_failed,
    outcome_unknown,
    store_unavailable,
    store_outcome_unknown,
    never_runnable,
    guarantee_unplaceable,
    stale_epoch,
    stopping,
    internal,
};

/// Number of error kinds.
inline constexpr std::size_t error_kind_count = static_cast<std::size_t>(error_kind::internal) + 1;

/// Whether the requested work ran before the error was reported.
enum class execution_status
{
    not_run,
    ran,
    unknown,
};

/// How one error kind is reported over HTTP, as an exit code and as text.
struct error_descriptor
{
    error_kind kind;
    std::string_view name;
    int http_status;
    int exit_code;
    execution_status execution;
    std::string_view text;
};

/// @return one descriptor for each kind, in the order of the enumeration.
[[nodiscard]] std::span<const error_descriptor> error_table() noexcept;
/// @return the descriptor of @p kind.
[[nodiscard]] const error_descriptor& descriptor_for(error_kind kind) noexcept;
/// @return the kind called @p name, or internal when there is none.
[[nodiscard]] error_kind kind_from_name(std::string_view name) noexcept;
/// @return "not_run", "ran" or "unknown".
[[nodiscard]] std::string_view to_text(execution_status execution) noexcept;

/// @return a status of @p kind; @p message should include the offending values.
[[nodiscard]] absl::Status make_error(error_kind kind, std::string_view message);
/// @return the kind of @p status; internal when make_error() did not create it.
[[nodiscard]] error_kind kind_of(const absl::Status& status);

} // namespace chicorylift::core
