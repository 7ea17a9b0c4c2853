#pragma once

#include "chicorylift/batch/election.hpp"
#include "chicorylift/batch/message_order.hpp"
#include "chicorylift/batch/report_pacing.hpp"
#include "chicorylift/batch/report_window.hpp"
#include "chicorylift/batch/run_table.hpp"
#include "chicorylift/batch/worker_lease.hpp"
#include "chicorylift/batch/worker_liveness.hpp"
#include "chicorylift/batch/worker_registration.hpp"
#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"
#include "net/transport.hpp"
#include "ports/announcement.hpp"
#include "ports/table_service.hpp"
#include "ports/worker_control.hpp"
#include "site/leader.hpp"
#include "site/message_inbox.hpp"
#include "site/refusal_log.hpp"
#include "site/settings.hpp"
#include "support/metrics.hpp"
#include "wire/wire.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicorylift::site
{

/// Process that controls one worker: sends its commands, renews its lease, and can be elected
/// leader of the site.
class agent
{
public:
    agent(net::event_loop& loop, settings values);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    /// Resigns leadership, or sends a last report, which renews the worker's lease, and then calls
    /// @p finished.
    void stop_gracefully(std::function<void()> finished);
    /// Applies the settings that can change at run time: stop_grace.
    void reload(const settings& values);

private:
    // Communication with the worker (agent_worker.cpp).
    void handle_worker_request(const net::server_request& request,
                               const net::async_http_server::responder& respond);
    void on_announcement(const ports::announcement& announcement);
    /// Applies the registration's properties of the worker.
    void on_registered();
    void on_worker_left(const core::worker_id& id);
    void poll_worker();
    void schedule_worker_poll(core::milliseconds delay);
    /// Polls at once and ignores the response of a poll in flight.
    void poll_worker_now();
    void on_worker_poll(const ports::poll_outcome& outcome, core::instant sent_at,
                        std::uint64_t epoch);
    /// @param started_at start of the worker's process, as its response names it.
    void on_worker_response(batch::unix_time started_at);
    void send_to_worker(const batch::worker_command& command);
    void retry_due_commands();
    void on_worker_poll_failed(const ports::poll_outcome& outcome);

    // Communication with other agents and the store (agent_leadership.cpp).
    /// Handles the messages in the inbox.
    void receive_waiting();
    void receive(const wire::envelope& message);
    [[nodiscard]] message_load take_message_load();
    void on_orders(const std::string& from, const wire::batch_orders& orders);
    void follow(std::uint64_t epoch, const std::string& address, const std::string& name);
    /// @return why starts are not passed on to the worker now; empty if they are.
    [[nodiscard]] std::string_view start_obstacle(core::instant now) const;
    void on_probe(const std::string& from, const wire::batch_probe& probe);
    void on_send_failed(const std::string& address);
    void report_soon();
    void send_report();
    void send(const std::string& address, wire::envelope message);
    void tick();
    void run_election();
    void read_leader_row(bool may_campaign);
    void on_leader_row(const absl::StatusOr<ports::row_page>& page, bool may_campaign);
    void campaign(std::uint64_t epoch, ports::revision version);
    void become_leader(std::uint64_t epoch, ports::revision version);

    // Member rows (agent_membership.cpp).
    void register_member();
    /// Removes this agent's member row, so that no later leader waits for its report. Does not if
    /// the agent knows of unpersisted starts, or may have forgotten some.
    void unregister_member();
    /// Reads the members that this agent probes from the store, starting at the row @p first_key.
    void read_probe_targets(const std::string& first_key);

    net::event_loop& loop;
    settings values;
    std::string incarnation;
    std::unique_ptr<ports::table_service> store;
    std::unique_ptr<ports::worker_control> worker;
    support::metrics metrics;
    /// Limits the buffers of all connections of this process.
    std::shared_ptr<net::buffer_budget> buffers;
    refusal_log refusals;

    batch::worker_registration registration;
    /// The registered worker, with what the agent itself knows of it.
    batch::worker_info worker_info;
    batch::run_table runs;
    batch::worker_lease lease;
    std::uint64_t acknowledged_end{};
    bool snapshot_valid = false;
    bool poll_in_flight = false;
    /// Number of the latest poll; responses to earlier polls are ignored.
    std::uint64_t poll_sequence{};
    bool poll_again = false;
    bool worker_left = false;
    batch::worker_liveness liveness;
    net::event_loop::timer_id poll_timer{};

    std::uint64_t epoch{};
    std::string leader_address;
    std::string leader_name;
    /// Reports return the newest clock, which proves that this agent still followed the leader at
    /// that time.
    batch::orders_sequence orders_received;
    /// Starts at the boot clock, so that an answer to an earlier process of this agent matches none
    /// of this one's reports.
    std::uint64_t report_sequence{};
    core::instant last_report{};
    /// When the leader's orders last arrived.
    core::instant last_orders{};
    bool report_scheduled = false;
    batch::report_window window;
    /// Pace of reports for the fleet size that the leader stated.
    batch::report_pacing pacing;
    bool unwritten_starts = false;
    bool predecessor_unpersisted = false;
    /// Has followed a leader that had accounted for its predecessors; see batch::takeover_report.
    bool knows_predecessors = false;
    bool store_reachable = false;
    /// Version of this agent's member row; 0 until it is written.
    ports::revision member_version{};
    bool leaving = false;
    /// The last report has been sent.
    bool reports_ended = false;
    bool leader_read_in_flight = false;
    /// Members that this agent asks before it campaigns: name to address.
    std::map<std::string, std::string> probe_targets;
    std::uint64_t members_version{};
    batch::election election;
    core::instant next_leader_read{};
    message_inbox inbox;
    std::unique_ptr<leader> own_leader;
    std::unique_ptr<net::async_http_server> worker_server;
    std::unique_ptr<net::async_http_server> metrics_server;
    std::unique_ptr<net::transport> transport;
};

} // namespace chicorylift::site
