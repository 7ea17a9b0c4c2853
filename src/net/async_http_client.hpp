#pragma once

#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace chicorylift::net
{

/// Bounds of an asynchronous client.
struct async_client_limits
{
    std::size_t max_connections_per_address = 8;
    /// Requests that may wait for a free connection to one address.
    std::size_t max_pending_per_address = 512;
    /// A kept connection is not reused after this long without a request.
    core::milliseconds idle_timeout = std::chrono::seconds{10};
};

/// HTTP/1.1 client on an event loop that keeps connections open between requests.
class async_http_client
{
public:
    /// Called once on the loop's thread with the outcome; kinds as in exchange().
    using response_callback = std::function<void(absl::StatusOr<client_response>)>;

    explicit async_http_client(event_loop& loop, async_client_limits limits = {});
    ~async_http_client();
    async_http_client(const async_http_client&) = delete;
    async_http_client& operator=(const async_http_client&) = delete;

    /// Sends a request; its patience counts from now, waiting for a connection included.
    void send(client_request request, response_callback on_outcome);
    /// Closes all connections; pending requests end as unknown.
    void close_all();
    /// @return connections that were opened so far.
    [[nodiscard]] std::uint64_t connections_opened() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::net
