#pragma once

#include "chicorylift/core/error.hpp"
#include "net/http_client.hpp"

#include <absl/status/status.h>
#include <functional>
#include <google/protobuf/message.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylift::net
{

/// Received request with its complete body.
struct server_request
{
    std::string method;
    /// Path and query as sent; only async_http_server sets it.
    std::string target;
    /// Segments of the path between slashes.
    std::vector<std::string> path_segments;
    std::vector<http_header> headers;
    std::string body;

    /// @return the header's value, or "" if absent; names are case-insensitive.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// Response to a request.
struct server_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<http_header> headers;
    /// Closes the connection after the response, so that a load balancer can route the client's
    /// next connection to another server. Only async_http_server supports it.
    bool close_connection = false;
};

/// Limits of an http_server.
struct server_limits
{
    int threads = 64;
    int max_queued_connections = 256;
    int max_headers = 64;
    std::size_t max_body_bytes = 1U << 20U;
    core::milliseconds idle_timeout = std::chrono::seconds{30};
};

/// Thread-pool HTTP server that calls a handler for each request on one of its threads.
class http_server
{
public:
    using handler = std::function<server_response(const server_request&)>;

    /// @param address IP number and port; port 0 selects a free port.
    http_server(const std::string& address, server_limits limits, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Stops accepting connections and waits up to @p timeout for the open requests to finish.
    void drain(core::milliseconds timeout);

    /// @return the address that the server listens on.
    [[nodiscard]] std::string address() const;

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

/// @return a response with the document as its JSON body.
[[nodiscard]] server_response json_response(const google::protobuf::Message& document,
                                            int status = 200);
/// @return a JSON error response; its status and fields follow from the kind of @p error.
[[nodiscard]] server_response error_response(const absl::Status& error,
                                             const std::string& request = {});

} // namespace chicorylift::net
