#pragma once

#include "net/buffer_budget.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/request_head.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chicorylift::net
{

/// Limits of an async_http_server. A connection costs a descriptor and buffers, not a thread.
struct async_server_limits
{
    std::size_t max_connections = 3000;
    std::size_t max_header_bytes = 16U << 10U;
    std::size_t max_body_bytes = 256U << 10U;
    /// Fields of a request header.
    std::size_t max_header_fields = 100;
    /// Open connections from one IP address; 0 disables the limit.
    std::size_t max_connections_per_address = 0;
    /// Time within which a request must arrive completely, counted from its first byte.
    core::milliseconds request_timeout = std::chrono::seconds{3};
    /// Time after which a connection without a request, or with an unread answer, is closed.
    core::milliseconds idle_timeout = std::chrono::seconds{15};
};

/// What the servers of a process share.
struct server_context
{
    /// Limits the buffers of all connections; without one, they are not limited.
    std::shared_ptr<buffer_budget> budget;
    /// Called for each request that is refused, and connection that is closed, by the limits.
    std::function<void(refusal)> on_refusal;
};

/// HTTP/1.1 server on an event loop. A handler may respond later, on the loop's thread.
///
/// A connection's next request is read when the answer to the one before has been sent.
class async_http_server
{
public:
    /// Sends the response; does nothing if the client's connection is closed.
    using responder = std::function<void(server_response)>;
    using handler = std::function<void(server_request, responder)>;

    /// @param address IP number and port to listen on.
    async_http_server(event_loop& loop, const std::string& address, async_server_limits limits,
                      handler on_request, server_context context = {});
    ~async_http_server();
    async_http_server(const async_http_server&) = delete;
    async_http_server& operator=(const async_http_server&) = delete;

    /// Replaces the limits; they also apply to open connections from their next check on.
    void set_limits(const async_server_limits& limits);
    /// Closes connections after their next response, and idle ones at the next sweep. New
    /// connections are still accepted, under the same rules.
    void drain();
    /// @return the number of requests that were read and have no response yet.
    [[nodiscard]] std::size_t requests_in_flight() const noexcept;
    /// @return the number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::net
