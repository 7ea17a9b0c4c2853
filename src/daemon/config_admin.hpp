#pragma once

#include "chicorylift/sched/cell_scheduler.hpp"
#include "daemon/config_replica.hpp"
#include "net/http_server.hpp"
#include "store/table.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chicorylift::daemon
{

/// Handles /v1/config: reads the configuration and writes changes conditionally to the table.
class config_admin
{
public:
    /// Workers of one cell, as registered by its members.
    struct cell_capacity
    {
        std::string cell;
        std::vector<sched::worker_info> workers;
    };

    /// @param capacity returns the registered workers of every cell.
    /// @param changed is called with the rows of a committed change; not if reading them fails.
    config_admin(store::table& table, std::function<std::vector<cell_capacity>()> capacity,
                 std::function<void(const wire::config_delta&)> changed);

    /// Serves an operator's request under /v1/config.
    /// @param rest path segments after /v1/config.
    /// @param operator_name operator, stored with the change.
    net::server_response handle_request(const net::server_request& request,
                                        const std::vector<std::string>& rest,
                                        const std::string& operator_name);

private:
    struct change
    {
        /// Row to write in addition to the head; no row if the key is empty.
        std::string key;
        std::string value;
        bool remove = false;
        wire::config_head head;
    };

    [[nodiscard]] absl::StatusOr<change> prepare(const net::server_request& request,
                                                 const std::vector<std::string>& rest,
                                                 const config_replica& current) const;
    [[nodiscard]] absl::StatusOr<change> prepare_unit(const std::string& body,
                                                      const config_replica& current) const;
    [[nodiscard]] absl::StatusOr<change> prepare_contract(const std::string& body,
                                                          const config_replica& current) const;
    [[nodiscard]] absl::StatusOr<change> prepare_preset(const std::string& body,
                                                        const config_replica& current) const;
    [[nodiscard]] absl::StatusOr<change> prepare_switch(const std::string& preset,
                                                        const config_replica& current) const;
    [[nodiscard]] absl::Status check_config(const quota::configuration& config) const;
    [[nodiscard]] absl::StatusOr<config_replica> read_current() const;
    [[nodiscard]] absl::Status write(const config_replica& current, const change& new_change) const;

    store::table& table;
    std::function<std::vector<cell_capacity>()> capacity;
    std::function<void(const wire::config_delta&)> changed;
};

} // namespace chicorylift::daemon
