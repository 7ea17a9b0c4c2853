#pragma once

#include "chicorylift/batch/election.hpp"
#include "chicorylift/batch/run_table.hpp"
#include "chicorylift/batch/worker_contact.hpp"
#include "chicorylift/batch/worker_lease.hpp"
#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"
#include "net/transport.hpp"
#include "ports/announcement.hpp"
#include "ports/table_service.hpp"
#include "ports/worker_control.hpp"
#include "site/lead.hpp"
#include "site/settings.hpp"
#include "support/metrics.hpp"
#include "wire/wire.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicorylift::site
{

/// Process beside one worker: the only one that gives it orders, keeps its lease, and may lead.
class agent
{
public:
    agent(net::event_loop& loop, settings values);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    /// Hands the lead on, renews the worker's lease once more, and then calls @p finished.
    void stop_gracefully(std::function<void()> finished);
    void reload(const settings& values);

private:
    // The worker (agent_worker.cpp).
    void answer_worker(const net::server_request& request,
                       const net::async_http_server::responder& respond);
    void on_announcement(const ports::announcement& said);
    void on_worker_left();
    void look();
    void schedule_look(core::milliseconds delay);
    /// Looks now, whatever look is under way.
    void look_at_once();
    void on_look(const ports::look_outcome& outcome, core::instant asked, std::uint64_t epoch);
    void on_worker_life(batch::unix_time born);
    void carry_out(const batch::worker_action& action);
    void check_orders();
    void worker_failed(const std::string& why);

    // Other processes (agent_lead.cpp).
    void receive(const wire::envelope& message);
    void on_orders(const std::string& from, const wire::batch_orders& orders);
    void follow(std::uint64_t epoch, const std::string& address, const std::string& name);
    void on_probe(const std::string& from, const wire::batch_probe& probe);
    void on_bounce(const std::string& address);
    void report_soon();
    void send_report();
    void send(const std::string& address, wire::envelope message);
    void tick();
    void run_election();
    void read_lead_row(bool stand);
    void on_lead_row(const absl::StatusOr<ports::row_page>& page, bool stand);
    void stand(std::uint64_t epoch, ports::revision version);
    void begin_leading(std::uint64_t epoch, ports::revision version);
    void register_member();
    void read_members();

    net::event_loop& loop;
    settings values;
    std::string incarnation;
    std::unique_ptr<ports::table_service> store;
    std::unique_ptr<ports::worker_control> worker;
    support::metrics figures;

    batch::worker_info info;
    std::uint64_t announcement_sequence{};
    batch::run_table runs;
    batch::worker_lease lease;
    std::uint64_t noted{};
    bool lists_valid = false;
    bool look_in_flight = false;
    /// Number of the latest look; answers to earlier ones are passed over.
    std::uint64_t look_number{};
    bool look_again = false;
    bool worker_left = false;
    batch::worker_contact contact;
    net::event_loop::timer_id look_timer{};

    std::uint64_t epoch{};
    std::string lead_address;
    std::string lead_name;
    std::uint64_t report_sequence{};
    core::instant last_report{};
    bool report_scheduled = false;
    bool unwritten_starts = false;
    bool earlier_unwritten = false;
    bool store_answers = false;
    bool registered = false;
    bool leaving = false;
    bool reading_lead = false;
    std::map<std::string, std::string> members;
    std::uint64_t members_version{};
    batch::election election;
    core::instant next_lead_read{};
    std::unique_ptr<lead> leading;
    std::unique_ptr<net::async_http_server> control;
    std::unique_ptr<net::async_http_server> metrics_server;
    std::unique_ptr<net::transport> wires;
};

} // namespace chicorylift::site
