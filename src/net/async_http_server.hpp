#pragma once

#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chicorylift::net
{

/// Bounds of a server whose connections cost a descriptor and a buffer each, not a thread.
struct async_server_limits
{
    std::size_t max_connections = 3000;
    std::size_t max_header_bytes = 16U << 10U;
    std::size_t max_body_bytes = 256U << 10U;
    /// Time for a request's header and body to arrive, from its first byte.
    core::milliseconds request_timeout = std::chrono::seconds{3};
    /// Time that a connection may stay without a request.
    core::milliseconds idle_timeout = std::chrono::seconds{15};
};

/// HTTP/1.1 server on an event loop; answers may come later, from the loop's thread.
class async_http_server
{
public:
    /// Sends the answer; does nothing when the caller's connection is gone.
    using responder = std::function<void(server_response)>;
    using handler = std::function<void(server_request, responder)>;

    /// @param address IP number and port to listen on.
    async_http_server(event_loop& loop, const std::string& address, async_server_limits limits,
                      handler answer);
    ~async_http_server();
    async_http_server(const async_http_server&) = delete;
    async_http_server& operator=(const async_http_server&) = delete;

    /// Changes the bounds for requests that begin from now on.
    void set_limits(const async_server_limits& limits);
    /// Closes connections after their next answer, idle ones at once, and accepts no more.
    void drain();
    /// @return requests that have been read and not answered yet.
    [[nodiscard]] std::size_t requests_in_flight() const noexcept;
    /// @return open connections.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::net
