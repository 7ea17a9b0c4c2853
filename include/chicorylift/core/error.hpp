#pragma once

#include <absl/status/status.h>
#include <cstddef>
#include <span>
#include <string_view>

/// The closed list of error kinds and the answer that each one gets.
namespace chicorylift::core
{

/// Every way in which a request, a command or a message can fail.
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

/// What an error says about the work that was asked for.
enum class execution_status
{
    not_run,
    ran,
    unknown,
};

/// The answer that one error kind gets everywhere.
struct error_descriptor
{
    error_kind kind;
    std::string_view name;
    int http_status;
    int exit_code;
    execution_status execution;
    std::string_view text;
};

/// @return the whole table, one row a kind, in the order of the enumeration.
[[nodiscard]] std::span<const error_descriptor> error_table() noexcept;
/// @return the row of @p kind.
[[nodiscard]] const error_descriptor& descriptor_for(error_kind kind) noexcept;
/// @return the kind whose row has @p name, or internal when there is none.
[[nodiscard]] error_kind kind_from_name(std::string_view name) noexcept;
/// @return "not_run", "ran" or "unknown".
[[nodiscard]] std::string_view to_text(execution_status ran) noexcept;

/// @return a status that carries @p kind and @p message, which names the values concerned.
[[nodiscard]] absl::Status make_error(error_kind kind, std::string_view message);
/// @return the kind that @p status carries; internal for a foreign status.
[[nodiscard]] error_kind kind_of(const absl::Status& status);

} // namespace chicorylift::core
