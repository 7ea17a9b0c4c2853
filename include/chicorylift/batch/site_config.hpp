#pragma once

#include "chicorylift/batch/job.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylift::batch
{

/// Address of a queue and what applies to it.
struct queue_route
{
    std::string host;
    std::string path_prefix;
    queue_policy policy;
    /// Calls need no key.
    bool is_public = false;
};

/// Bounds on callers that the operators set.
struct http_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    core::milliseconds header_timeout = std::chrono::seconds{3};
    core::milliseconds idle_timeout = std::chrono::seconds{15};
};

/// One version of the operators' configuration.
struct site_config
{
    std::uint64_t version{};
    std::vector<queue_route> routes;
    std::map<std::string, core::organisation_id> organisation_by_key;
    std::map<core::organisation_id, std::int64_t> guaranteed_accelerators;
    http_limits limits;

    /// @return the queue whose host matches and whose prefix is the longest, or nullptr.
    [[nodiscard]] const queue_route* find_route(std::string_view host, std::string_view path) const;
    /// @return the terms of all queues.
    [[nodiscard]] std::map<queue_id, queue_policy> queue_policies() const;
};

/// What a caller wants.
enum class api_operation
{
    submit,
    get_status,
    cancel,
    get_queue_length,
};

/// Method of a call, as far as it matters here.
enum class http_method
{
    get,
    post,
    remove,
    other,
};

/// Why a call is not carried out.
enum class rejection_reason
{
    none,
    /// No configuration has been read yet.
    no_config,
    /// The configuration may have changed since it was last confirmed.
    stale_config,
    unknown_queue,
    unknown_key,
    unknown_path,
    wrong_method,
};

/// A call as it came in.
struct api_request
{
    http_method method = http_method::other;
    std::string host;
    /// Path without its query.
    std::string path;
    std::string key;
};

/// What a call comes to.
struct resolved_request
{
    rejection_reason rejection = rejection_reason::none;
    api_operation operation = api_operation::get_status;
    queue_route route;
    core::job_id job;
    /// Empty for a public queue without a key.
    core::organisation_id organisation;
};

/// Tells what a call wants and whether it may have it.
/// @param config newest configuration, or nullptr before the first one.
/// @param age time since the configuration was last confirmed.
/// @param allowed_age calls with a key are refused beyond it, since the key may be gone.
[[nodiscard]] resolved_request resolve_request(const api_request& call, const site_config* config,
                                               core::milliseconds age,
                                               core::milliseconds allowed_age);

} // namespace chicorylift::batch
