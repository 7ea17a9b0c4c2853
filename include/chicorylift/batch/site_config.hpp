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

/// Route from a host and path prefix to a queue, with the queue's policy.
struct queue_route
{
    std::string host;
    std::string path_prefix;
    queue_policy policy;
    /// Requests need no API key.
    bool is_public = false;
};

/// Limits on HTTP requests from callers, as set by the operators.
struct http_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    core::milliseconds header_timeout = std::chrono::seconds{3};
    core::milliseconds idle_timeout = std::chrono::seconds{15};
};

/// One version of the site's configuration.
struct site_config
{
    std::uint64_t version{};
    std::vector<queue_route> routes;
    std::map<std::string, core::organisation_id> organisation_by_key;
    std::map<core::organisation_id, std::int64_t> guaranteed_accelerators;
    http_limits limits;

    /// @return the route with the longest prefix of @p path among those for @p host, or nullptr.
    /// Ignores the case and port of the host.
    [[nodiscard]] const queue_route* find_route(std::string_view host, std::string_view path) const;
    /// @return the policies of all queues.
    [[nodiscard]] std::map<queue_id, queue_policy> queue_policies() const;
};

/// Operation that a request asks for.
enum class api_operation
{
    submit,
    get_status,
    cancel,
    get_queue_length,
};

/// HTTP method; those that the API does not use are combined as other.
enum class http_method
{
    get,
    post,
    remove,
    other,
};

/// Why a request is rejected.
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

/// Parts of an HTTP request that determine its route and operation.
struct api_request
{
    http_method method = http_method::other;
    std::string host;
    /// Path without the query string.
    std::string path;
    /// API key; empty for none.
    std::string key;
};

/// Route and operation of a request, or the reason for its rejection.
struct resolved_request
{
    rejection_reason rejection = rejection_reason::none;
    api_operation operation = api_operation::get_status;
    queue_route route;
    core::job_id job;
    /// Owner of the API key; empty if a request to a public queue has no known key.
    core::organisation_id organisation;
};

/// How far a configuration can be relied on.
struct config_freshness
{
    /// Time since the configuration was last confirmed.
    core::milliseconds age{};
    /// Beyond this age, requests that need a key are rejected, since it may have been revoked.
    core::milliseconds allowed_age{};
    /// A newer version exists and has not been received yet. Beyond the allowed age, requests to
    /// public queues are then rejected too; otherwise they are served while the store is away.
    bool newer_exists = false;
};

/// Determines the route and operation of a request and whether it is authorised.
/// @param config the newest configuration, or nullptr before the first one has been read.
[[nodiscard]] resolved_request resolve_request(const api_request& request,
                                               const site_config* config,
                                               const config_freshness& freshness);

} // namespace chicorylift::batch
