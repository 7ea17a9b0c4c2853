#pragma once

#include "chicorylift/route/call_router.hpp"
#include "daemon/config_admin.hpp"
#include "daemon/config_replica.hpp"
#include "daemon/settings.hpp"
#include "net/http_server.hpp"
#include "net/transport.hpp"
#include "store/table.hpp"
#include "support/executor.hpp"
#include "support/metrics.hpp"

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace chicorylift::daemon
{

/// Serves the HTTP API: routes calls, accepts jobs and changes the configuration.
class entry
{
public:
    explicit entry(settings values);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// Stops accepting requests and waits up to the drain timeout for open ones to complete.
    void stop_gracefully();

private:
    struct known_leader
    {
        wire::lead_row row;
        wire::cell_document summary;
        core::instant last_summary_at{};
    };

    struct caller
    {
        std::string organisation;
        bool is_operator = false;
    };

    using answer_promise = std::promise<route::finish_call>;

    // HTTP handlers, on the server's threads.
    net::server_response handle_request(const net::server_request& request);
    net::server_response dispatch(const net::server_request& request, const caller& who);
    [[nodiscard]] absl::StatusOr<caller> authenticate(const net::server_request& request) const;
    net::server_response on_call(const net::server_request& request, const caller& who);
    net::server_response run_call(const net::server_request& request, const caller& who,
                                  const std::string& id);
    net::server_response on_keyed_call(const net::server_request& request, const caller& who,
                                       const std::string& id, const std::string& key);
    net::server_response on_submit(const net::server_request& request, const caller& who);
    net::server_response on_job(const net::server_request& request, const caller& who);
    net::server_response on_cancel(const caller& who, const wire::table_row& row,
                                   wire::job_row job);
    net::server_response on_explain(const std::string& job);
    net::server_response on_drain(const net::server_request& request);
    [[nodiscard]] net::server_response on_status() const;
    [[nodiscard]] net::server_response on_metrics() const;
    [[nodiscard]] absl::StatusOr<std::string> choose_cell(const sched::job_spec& spec) const;
    [[nodiscard]] std::vector<sched::worker_info> workers_of(const std::string& cell) const;
    void notify_leader(const std::string& job);

    // Call routing, on the routing thread.
    void receive(wire::envelope message);
    void on_send_failed(const wire::envelope& message);
    void on_reply(const std::string& from, const wire::call_reply& reply);
    void on_summary(const std::string& from, const wire::cell_document& summary);
    void apply_actions(std::vector<route::route_action> actions);
    void send_call(const route::send_call& step);
    void routing_tick();

    // Table polling, on the polling thread.
    void poll_table();
    void apply_members(const wire::table_rows& listed);
    void apply_leaders(const wire::table_rows& listed);
    void apply_config(const wire::config_delta& delta);
    void subscribe();
    void send(const std::string& address, wire::envelope message);

    settings values;
    std::string incarnation;
    std::unique_ptr<store::table> table;
    support::metrics metrics;
    std::atomic<bool> store_reachable = false;
    std::atomic<bool> stopping = false;

    mutable std::mutex mutex;
    config_replica config;
    std::map<std::string, wire::member_row> members;
    std::map<std::string, known_leader> leaders;
    std::unordered_map<std::string, std::shared_ptr<std::promise<wire::explain_reply>>>
        pending_explains;

    std::uint32_t members_version{};
    std::uint32_t leaders_version{};
    core::instant next_subscription{};

    route::call_router router;
    std::unordered_map<std::string, std::shared_ptr<answer_promise>> pending_calls;
    std::unordered_map<std::string, std::string> agent_by_address;

    std::unique_ptr<config_admin> admin;
    std::unique_ptr<net::transport> transport;
    std::unique_ptr<support::serial_executor> routing_thread;
    std::unique_ptr<support::serial_executor> polling_thread;
    std::unique_ptr<net::http_server> server;
};

} // namespace chicorylift::daemon
