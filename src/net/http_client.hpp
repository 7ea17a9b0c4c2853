#pragma once

#include "chicorylift/core/time.hpp"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

/// HTTP and ZeroMQ plumbing.
namespace chicorylift::net
{

/// Header of an HTTP message.
struct http_header
{
    std::string name;
    std::string value;
};

/// Request to send.
struct client_request
{
    /// IP number and port, such as "127.0.0.1:8080".
    std::string address;
    /// Name for the Host header; the address unless set.
    std::string host;
    std::string method = "GET";
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    core::milliseconds connect_timeout = std::chrono::milliseconds{500};
    core::milliseconds response_timeout = std::chrono::seconds{2};
};

/// Whole answer to a request.
struct client_response
{
    int status{};
    std::string body;
};

/// Largest answer that is taken in, in bytes.
inline constexpr std::size_t max_response_bytes = 8U << 20U;

/// Sends one request and waits for its whole answer.
/// @return the answer; no_upstream when no byte was sent, so that nothing ran; outcome_unknown
///         when the connection broke or time ran out later; upstream_failed when the answer was
///         cut short or too large.
[[nodiscard]] absl::StatusOr<client_response> send_request(const client_request& request);

} // namespace chicorylift::net
