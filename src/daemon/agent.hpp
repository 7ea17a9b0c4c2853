#pragma once

#include "daemon/call_handler.hpp"
#include "daemon/cell_leader.hpp"
#include "daemon/part_manager.hpp"
#include "daemon/settings.hpp"
#include "net/http_server.hpp"
#include "net/transport.hpp"
#include "store/table.hpp"
#include "support/executor.hpp"
#include "support/metrics.hpp"

#include <memory>
#include <random>
#include <string>

namespace chicorylift::daemon
{

/// Process that runs beside one upstream: admits calls and gang parts, holds the leases of the
/// parts, and can lead its cell.
class agent
{
public:
    explicit agent(settings values);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    /// Stops accepting calls, notifies the entries and the cell leader, and waits up to the drain
    /// timeout for open calls.
    void stop_gracefully();

private:
    struct leader_view
    {
        wire::lead_row row;
        std::uint32_t row_version{};
        bool known = false;
        core::instant last_heard{};
        core::instant next_candidacy{};
        bool request_in_flight = false;
    };

    net::server_response handle_request(const net::server_request& request);
    net::server_response on_announcement(const net::server_request& request);
    [[nodiscard]] wire::member_status status() const;

    void receive(wire::envelope message);
    void on_message(const wire::envelope& message);
    void on_fence(const std::string& from, const wire::fence& fence);
    void on_heartbeat_reply(const std::string& from, const wire::heartbeat_reply& reply);
    void on_config_notice(const wire::config_notice& notice);
    void on_probe(const wire::envelope& message);
    void on_leaving(const wire::leaving_notice& notice);
    void on_part_order(const wire::envelope& message);

    void tick();
    void apply_announcement(const wire::announcement& upstream);
    void set_leaving(bool leaving, bool returning);
    void send_leaving_notice(bool returning);
    void write_member_row();
    void send_heartbeat(bool full_report);
    void report_part(const admit::part_key& key, const std::string& state,
                     const std::string& detail);
    void watch_leader(core::instant now);
    void read_leader_row();
    void apply_leader_row(const absl::StatusOr<wire::table_row>& row);
    void campaign();
    void become_leader(std::uint32_t epoch, std::uint32_t row_version);
    void stop_leading();
    void send_to_leader(wire::envelope message);
    void send(const std::string& address, wire::envelope message);
    [[nodiscard]] bool is_leaving() const noexcept;

    settings values;
    std::string incarnation;
    std::unique_ptr<store::table> table;
    support::metrics metrics;
    wire::member_row member;
    bool is_announced = false;
    bool upstream_leaving = false;
    bool drained = false;
    bool stopping = false;
    bool member_dirty = false;
    bool member_writing = false;
    core::instant announced_at{};
    core::instant next_heartbeat{};
    core::instant next_member_write{};
    core::milliseconds member_write_backoff{500};
    std::uint32_t heartbeat_sequence{};
    std::uint32_t config_version{};
    std::string preset;
    leader_view leader;
    std::shared_ptr<cell_leader> own_leader;
    std::minstd_rand random;
    support::thread_pool store_pool;
    std::unique_ptr<net::transport> transport;
    std::unique_ptr<call_handler> calls;
    std::unique_ptr<support::serial_executor> thread;
    std::unique_ptr<part_manager> parts;
    std::unique_ptr<net::http_server> server;
};

} // namespace chicorylift::daemon
