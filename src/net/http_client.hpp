#pragma once

#include "chicorylift/core/time.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <vector>

/// HTTP clients and servers, the event loop, and message transport over ZeroMQ.
namespace chicorylift::net
{

/// Header of an HTTP message.
struct http_header
{
    std::string name;
    std::string value;
};

/// Part of a response's body that has arrived.
struct response_extent
{
    std::size_t received_bytes{};
    std::size_t expected_bytes{};
};

/// Request to send.
struct client_request
{
    /// IP number and port, such as "127.0.0.1:8080".
    std::string address;
    /// Value of the Host header in send_request(); defaults to the address.
    std::string host;
    std::string method = "GET";
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    core::milliseconds connect_timeout = std::chrono::milliseconds{500};
    core::milliseconds response_timeout = std::chrono::seconds{2};
    /// If not 0, response_timeout ends when the response begins, which then may take as long as it
    /// does not stall for this long; see response_deadline. Only async_http_client supports this.
    core::milliseconds stall_timeout{};
    /// Called while the response arrives; false gives it up. Only async_http_client supports this.
    std::function<bool(const response_extent&)> on_extent;
};

/// How a response arrived. Times count from when the request was handed to the client.
struct response_arrival
{
    core::milliseconds first_byte{};
    core::milliseconds complete{};
};

/// Complete response to a request.
struct client_response
{
    int status{};
    std::string body;
    /// Set by async_http_client.
    response_arrival arrival = {};
};

/// Largest accepted response body, in bytes.
inline constexpr std::size_t max_response_bytes = 8U << 20U;

/// Sends one request on a new connection and blocks until the complete response arrives.
/// @return the response; no_upstream when no connection was made, so the request did not run;
///         outcome_unknown when the connection failed or timed out later; upstream_failed when
///         the response was truncated, too large, or neither chunked nor with a Content-Length.
[[nodiscard]] absl::StatusOr<client_response> send_request(const client_request& request);

} // namespace chicorylift::net
