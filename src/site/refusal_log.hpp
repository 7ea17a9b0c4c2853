#pragma once

#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"
#include "site/settings.hpp"
#include "support/metrics.hpp"

#include <map>
#include <memory>
#include <string_view>

namespace chicorylift::site
{

/// Counts what the servers of a process refuse, and logs it once a second and reason.
class refusal_log
{
public:
    refusal_log(net::event_loop& loop, support::metrics& metrics,
                std::shared_ptr<const net::buffer_budget> budget);

    void note(net::refusal reason);

private:
    void write();

    net::event_loop& loop;
    support::metrics& metrics;
    std::shared_ptr<const net::buffer_budget> budget;
    std::map<std::string_view, std::uint64_t> unwritten;
    bool will_write = false;
};

/// @return the budget for the buffers of all connections, from the settings.
[[nodiscard]] std::shared_ptr<net::buffer_budget> make_buffer_budget(const settings& values);
/// @return the open client connections that the settings allow.
[[nodiscard]] std::size_t max_client_connections(const settings& values);

} // namespace chicorylift::site
