#pragma once

#include "net/http_server.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace chicorylift::net
{

/// Why a server refused a request or closed a connection on its own initiative.
enum class refusal
{
    malformed,
    header_too_large,
    body_too_large,
    length_required,
    timeout,
    answer_not_read,
    memory,
    max_connections,
    max_connections_of_address,
    descriptors,
};

/// @return the reason as written in log lines and metrics.
[[nodiscard]] std::string_view to_text(refusal reason);

/// Request line and header fields of a request.
struct request_head
{
    /// The request, without its body.
    server_request request;
    std::size_t body_length{};
    bool keep_alive = true;
    bool expects_continue = false;
};

/// Rejection of a request head.
struct head_error
{
    int status{};
    std::string text;
    refusal reason = refusal::malformed;
};

/// Limits of a request head.
struct head_limits
{
    std::size_t max_fields{};
    std::size_t max_body_bytes{};
};

/// Parses a request head.
/// @param text the head, up to and including its empty line.
/// @return nothing on success, when @p head is set; otherwise the reason.
[[nodiscard]] std::optional<head_error>
parse_request_head(const std::string& text, const head_limits& limits, request_head& head);

/// @return the response as sent.
[[nodiscard]] std::string serialize_response(const server_response& response, bool keep_alive);
/// @return a plain text response.
[[nodiscard]] server_response plain_error(int status, const std::string& text);

} // namespace chicorylift::net
