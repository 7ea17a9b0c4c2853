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

/// Request as a server got it; its body has been read whole.
struct server_request
{
    std::string method;
    /// Path and query as they were sent; empty where the server gives only the parts.
    std::string target;
    /// Parts of the path between slashes.
    std::vector<std::string> path_segments;
    std::vector<http_header> headers;
    std::string body;

    /// @return the header's value, or "" when it is absent; case does not matter.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// Answer to a request.
struct server_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<http_header> headers;
    /// Ends the connection, so that a balancer may give the caller's next one to another server;
    /// only the asynchronous server does so.
    bool close_connection = false;
};

/// Bounds of a server.
struct server_limits
{
    int threads = 64;
    int max_queued_connections = 256;
    int max_headers = 64;
    std::size_t max_body_bytes = 1U << 20U;
    core::milliseconds idle_timeout = std::chrono::seconds{30};
};

/// HTTP server that answers each request by calling a function on one of its threads.
class http_server
{
public:
    using handler = std::function<server_response(const server_request&)>;

    /// @param address IP number and port; port 0 takes a free one.
    http_server(const std::string& address, server_limits limits, handler answer);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Accepts no further connections and waits until open requests have their answers.
    void drain(core::milliseconds patience);

    /// @return the address that the server listens on.
    [[nodiscard]] std::string address() const;

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

/// @return an answer that holds the document as JSON.
[[nodiscard]] server_response json_response(const google::protobuf::Message& document,
                                            int status = 200);
/// @return the answer that the error table gives to @p error, as a JSON document.
[[nodiscard]] server_response error_response(const absl::Status& error,
                                             const std::string& request = {});

} // namespace chicorylift::net
