#include "site/agent.hpp"

#include "platform/table_adapter.hpp"
#include "platform/worker_adapter.hpp"
#include "support/events.hpp"
#include "support/random_hex_id.hpp"

#include <functional>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;

constexpr std::int64_t jitter_steps = 12;
constexpr core::milliseconds jitter_step{20};
// An agent sends about one report a second; a thousand cover a leader that stands still for
// minutes.
constexpr int max_waiting_per_peer = 1000;
// A leader splits its orders at 512 KB.
constexpr std::int64_t max_agent_message_bytes = 4 << 20;
// Time for the last report and the resignation messages, and then for the removal of the member
// row, to be sent before the process exits.
constexpr core::milliseconds shutdown_flush_time{150};

batch::election_settings election_settings_for(const std::string& name)
{
    batch::election_settings result;
    // A per-agent delay, derived from the name, keeps agents from campaigning at the same time.
    result.jitter =
        jitter_step * static_cast<std::int64_t>(std::hash<std::string>{}(name) % jitter_steps);
    return result;
}

} // namespace

agent::agent(net::event_loop& loop, settings values)
    : loop(loop), values(std::move(values)), incarnation(support::random_hex_id()),
      store(std::make_unique<platform::table_adapter>(loop, this->values.store)),
      worker(std::make_unique<platform::worker_adapter>(loop, this->values.worker)),
      buffers(make_buffer_budget(this->values)), refusals(loop, this->metrics, this->buffers),
      lease(lease_duration(this->values)), liveness(core::boot_clock::now()),
      election(election_settings_for(this->values.name), core::boot_clock::now())
{
    // Without the worker's clock this process renews nothing, so the leader must not count on it.
    this->worker_info.unresponsive = true;
    this->report_sequence =
        static_cast<std::uint64_t>(core::boot_clock::now().time_since_epoch().count());
    net::async_server_limits limits;
    limits.max_connections = 64;
    limits.max_body_bytes = 4U << 20U;
    limits.max_header_fields = this->values.max_header_fields;
    const net::server_context context{this->buffers,
                                      [this](net::refusal reason) { this->refusals.note(reason); }};
    this->worker_server = std::make_unique<net::async_http_server>(
        loop, this->values.control, limits,
        [this](const net::server_request& request, const net::async_http_server::responder& respond)
        { this->handle_worker_request(request, respond); },
        context);
    if (!this->values.metrics.empty())
    {
        this->metrics_server = std::make_unique<net::async_http_server>(
            loop, this->values.metrics, limits,
            [this](const net::server_request&, const net::async_http_server::responder& respond)
            {
                net::server_response response;
                response.content_type = "text/plain";
                this->metrics.set("buffered_bytes",
                                  static_cast<std::int64_t>(this->buffers->held()));
                response.body = this->metrics.to_text();
                respond(response);
            },
            context);
    }
    net::transport_settings transport_options;
    transport_options.listen_address = this->values.listen;
    transport_options.advertised_address = this->values.listen;
    transport_options.incarnation = this->incarnation;
    transport_options.enable_keepalive = true;
    transport_options.receive_high_water_mark = max_waiting_per_peer;
    transport_options.max_received_bytes = max_agent_message_bytes;
    this->transport = std::make_unique<net::transport>(
        transport_options,
        [this](wire::envelope message)
        {
            if (this->inbox.push(std::move(message), core::boot_clock::now()))
            {
                this->loop.post([this] { this->receive_waiting(); });
            }
        },
        [this](const std::string& address, const wire::envelope&)
        { this->loop.post([this, address] { this->on_send_failed(address); }); });
    this->register_member();
    this->read_probe_targets(this->values.name);
    this->read_leader_row(false);
    this->tick();
}

agent::~agent() = default;

void agent::reload(const settings& values)
{
    this->values.stop_grace = values.stop_grace;
    events::write("reloaded", {{"stop_grace_ms", values.stop_grace.count()}});
}

void agent::stop_gracefully(std::function<void()> finished)
{
    if (this->leaving)
    {
        return;
    }
    this->leaving = true;
    if (this->own_leader != nullptr)
    {
        this->own_leader->resign();
    }
    else
    {
        this->send_report();
    }
    // The worker may leave, and runs may end, until then.
    this->loop.run_after(shutdown_flush_time,
                         [this, finished = std::move(finished)]() mutable
                         {
                             this->send_report();
                             // A leader that finds the row removed relies on this agent following
                             // no other any more.
                             this->reports_ended = true;
                             this->unregister_member();
                             this->loop.run_after(shutdown_flush_time, std::move(finished));
                         });
}

} // namespace chicorylift::site
