#include "chicorylift/core/error.hpp"

#include <absl/strings/cord.h>
#include <array>
#include <string>

namespace chicorylift::core
{

namespace
{

constexpr const char* kind_payload_url = "chicorylift/error_kind";

constexpr std::array<error_descriptor, error_kind_count> descriptors{{
    {error_kind::invalid_request, "invalid_request", 400, 2, execution_status::not_run,
     "the request is malformed"},
    {error_kind::unauthorised, "unauthorised", 401, 3, execution_status::not_run,
     "the token is unknown"},
    {error_kind::forbidden, "forbidden", 403, 3, execution_status::not_run,
     "the token does not permit this request"},
    {error_kind::not_found, "not_found", 404, 4, execution_status::not_run,
     "the requested object does not exist"},
    {error_kind::conflict, "conflict", 409, 5, execution_status::not_run,
     "conflict with an earlier change"},
    {error_kind::too_large, "too_large", 413, 2, execution_status::not_run,
     "the request exceeds a size limit"},
    {error_kind::rate_limited, "rate_limited", 429, 6, execution_status::not_run,
     "the organisation is over its limit"},
    {error_kind::queue_full, "queue_full", 503, 6, execution_status::not_run, "the queue is full"},
    {error_kind::no_upstream, "no_upstream", 503, 7, execution_status::not_run,
     "no upstream of the service can accept the request"},
    {error_kind::connection_refused, "connection_refused", 503, 7, execution_status::not_run,
     "nothing listens at the address"},
    {error_kind::upstream_full, "upstream_full", 503, 7, execution_status::not_run,
     "the upstream has no free slot"},
    {error_kind::upstream_leaving, "upstream_leaving", 503, 7, execution_status::not_run,
     "the upstream accepts no further requests"},
    {error_kind::deadline_passed, "deadline_passed", 504, 8, execution_status::not_run,
     "the deadline passed before the work started"},
    {error_kind::cancelled, "cancelled", 409, 8, execution_status::not_run,
     "cancelled before the work started"},
    {error_kind::upstream_failed, "upstream_failed", 502, 9, execution_status::ran,
     "the upstream ran the request and failed"},
    {error_kind::outcome_unknown, "outcome_unknown", 504, 10, execution_status::unknown,
     "the request may have run"},
    {error_kind::store_unavailable, "store_unavailable", 503, 11, execution_status::not_run,
     "the platform's store cannot be reached"},
    {error_kind::store_outcome_unknown, "store_outcome_unknown", 504, 10, execution_status::unknown,
     "the platform's store may have applied the write"},
    {error_kind::never_runnable, "never_runnable", 422, 12, execution_status::not_run,
     "the job does not fit any possible capacity"},
    {error_kind::guarantee_unplaceable, "guarantee_unplaceable", 422, 12, execution_status::not_run,
     "the guaranteed shapes do not fit the capacity"},
    {error_kind::stale_epoch, "stale_epoch", 409, 5, execution_status::not_run,
     "the cell has a newer leader"},
    {error_kind::stopping, "stopping", 503, 7, execution_status::not_run,
     "the process is stopping"},
    {error_kind::internal, "internal", 500, 1, execution_status::unknown, "internal error"},
}};

constexpr absl::StatusCode code_for(error_kind kind) noexcept
{
    switch (descriptors[static_cast<std::size_t>(kind)].http_status)
    {
    case 400:
    case 413:
        return absl::StatusCode::kInvalidArgument;
    case 401:
        return absl::StatusCode::kUnauthenticated;
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 422:
        return absl::StatusCode::kFailedPrecondition;
    case 429:
        return absl::StatusCode::kResourceExhausted;
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kInternal;
    }
}

} // namespace

std::span<const error_descriptor> error_table() noexcept
{
    return descriptors;
}

const error_descriptor& descriptor_for(error_kind kind) noexcept
{
    return descriptors[static_cast<std::size_t>(kind)];
}

error_kind kind_from_name(std::string_view name) noexcept
{
    for (const error_descriptor& descriptor : descriptors)
    {
        if (descriptor.name == name)
        {
            return descriptor.kind;
        }
    }
    return error_kind::internal;
}

std::string_view to_text(execution_status execution) noexcept
{
    switch (execution)
    {
    case execution_status::not_run:
        return "not_run";
    case execution_status::ran:
        return "ran";
    case execution_status::unknown:
        break;
    }
    return "unknown";
}

absl::Status make_error(error_kind kind, std::string_view message)
{
    // Debian builds Abseil with its own string_view type, so the text is passed as std::string.
    absl::Status status(code_for(kind), std::string(message));
    status.SetPayload(kind_payload_url, absl::Cord(std::string(descriptor_for(kind).name)));
    return status;
}

error_kind kind_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(kind_payload_url);
    return payload.has_value() ? kind_from_name(std::string(*payload)) : error_kind::internal;
}

} // namespace chicorylift::core
