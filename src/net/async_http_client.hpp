#pragma once

#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace chicorylift::net
{

/// Limits of an async_http_client.
struct async_client_limits
{
    std::size_t max_connections_per_address = 8;
    /// Requests to one address that may queue for a free connection.
    std::size_t max_pending_per_address = 512;
    /// Idle time after which a pooled connection is closed instead of being reused.
    core::milliseconds idle_timeout = std::chrono::seconds{10};
};

/// HTTP/1.1 client on an event loop, with a pool of keep-alive connections per address.
class async_http_client
{
public:
    /// Called once on the loop's thread with the response or an error: connection_refused or
    /// no_upstream when the request was not sent, outcome_unknown when it may have been sent.
    using response_callback = std::function<void(absl::StatusOr<client_response>)>;

    explicit async_http_client(event_loop& loop, async_client_limits limits = {});
    ~async_http_client();
    async_http_client(const async_http_client&) = delete;
    async_http_client& operator=(const async_http_client&) = delete;

    /// Sends a request. Its response timeout starts now and includes the wait for a connection;
    /// with a stall timeout it ends when the response begins.
    void send(client_request request, response_callback on_outcome);
    /// Closes all connections; the requests on them end with outcome_unknown.
    void close_all();
    /// @return the number of connection attempts so far.
    [[nodiscard]] std::uint64_t connections_opened() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::net
