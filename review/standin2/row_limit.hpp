#pragma once

#include "net/async_http_client.hpp"
#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"

#include <memory>
#include <string>

namespace chicorylift::review
{

/// Passes calls on to the store stand-in, which has no bound on the size of a row. Rejects a
/// transaction that puts a larger value than `rowBytes` allows, as the platform's store does.
class row_limit
{
public:
    row_limit(net::event_loop& loop, const std::string& address, std::string store,
              std::size_t row_bytes);

    /// @return the number of transactions that were rejected.
    [[nodiscard]] std::size_t rejected() const;

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::review
