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

/// Changes of configuration that operators ask for, as conditional writes to the table.
class config_admin
{
public:
    /// Capacity of one cell, as its members announced it.
    struct cell_capacity
    {
        std::string cell;
        std::vector<sched::worker_info> workers;
    };

    /// @param capacity tells the announced capacity of all cells.
    /// @param changed takes in a change that has been accepted.
    config_admin(store::table& table, std::function<std::vector<cell_capacity>()> capacity,
                 std::function<void(const wire::config_delta&)> changed);

    /// Answers a request of an operator under /v1/config.
    /// @param rest the path after /v1/config.
    net::server_response handle_request(const net::server_request& request,
                                        const std::vector<std::string>& rest,
                                        const std::string& who);

private:
    struct change
    {
        /// Rows to write besides the head.
        std::string key;
        std::string value;
        bool remove = false;
        wire::config_head head;
    };

    [[nodiscard]] absl::StatusOr<change> prepare(const net::server_request& request,
                                                 const std::vector<std::string>& rest,
                                                 const config_replica& present) const;
    [[nodiscard]] absl::StatusOr<change> prepare_unit(const std::string& body,
                                                      const config_replica& present) const;
    [[nodiscard]] absl::StatusOr<change> prepare_contract(const std::string& body,
                                                          const config_replica& present) const;
    [[nodiscard]] absl::StatusOr<change> prepare_preset(const std::string& body,
                                                        const config_replica& present) const;
    [[nodiscard]] absl::StatusOr<change> prepare_switch(const std::string& preset,
                                                        const config_replica& present) const;
    [[nodiscard]] absl::Status check_config(const quota::configuration& config) const;
    [[nodiscard]] absl::StatusOr<config_replica> read_current() const;
    [[nodiscard]] absl::Status write(const config_replica& present, const change& wanted) const;

    store::table& table;
    std::function<std::vector<cell_capacity>()> capacity;
    std::function<void(const wire::config_delta&)> changed;
};

} // namespace chicorylift::daemon
