#include "site/entry.hpp"

#include "chicorylift/core/error.hpp"
#include "platform/http_codec.hpp"
#include "platform/table_adapter.hpp"
#include "site/config_row.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"
#include "support/unix_clock.hpp"

#include <algorithm>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;
using ports::client_result;

constexpr core::milliseconds tick_interval{250};
// Allows several confirmations within the key revocation time and detects a silent store early.
constexpr core::milliseconds config_wait{600};
// Beyond this, callers are better served by another entry; the load balancer needs two more failed
// checks to remove this one.
constexpr core::milliseconds unready_threshold{1300};
constexpr core::milliseconds job_wait{3000};
// A change can stay unseen for a second while the store discards its history; the rest covers the
// response time.
constexpr core::milliseconds revocation_margin{1600};
constexpr core::milliseconds store_lost_threshold{900};
// The load balancer stops sending new connections after two failed checks, one second apart.
constexpr core::milliseconds balancer_removal_time{2300};
constexpr core::milliseconds response_flush_time{400};
// Paths of callers may be as long as a header, and many lines may wait to be written.
constexpr std::size_t max_logged_path_bytes = 256;

std::string_view to_text(batch::rejection_reason reason)
{
    constexpr std::array<std::string_view, 7> names{
        "none",          "no configuration yet", "configuration not confirmed",
        "unknown queue", "unknown key",          "unknown path",
        "unknown method"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace

entry::entry(net::event_loop& loop, settings values)
    : loop(loop), values(std::move(values)),
      store(std::make_unique<platform::table_adapter>(loop, this->values.store)),
      buffers(make_buffer_budget(this->values)), refusals(loop, this->metrics, this->buffers),
      random(std::random_device{}())
{
    this->config_rows = std::make_unique<mirrored_table>(
        loop, *this->store,
        mirror_settings{platform::config_table, "", config_wait, "entry", &this->metrics},
        [this](const ports::row& row) { this->on_config_row(row); },
        [this] { this->on_rows_confirmed(); });
    this->job_rows = std::make_unique<mirrored_table>(
        loop, *this->store,
        mirror_settings{job_table, site_partition, job_wait, "entry", &this->metrics},
        [this](const ports::row& row) { this->jobs.apply(row, core::boot_clock::now()); },
        [this] { this->on_rows_confirmed(); });
    const net::server_context context{this->buffers,
                                      [this](net::refusal reason) { this->refusals.note(reason); }};
    this->client_server = std::make_unique<net::async_http_server>(
        loop, this->values.front, this->client_limits(),
        [this](const net::server_request& request, const responder& respond)
        { this->handle_request(request, respond); },
        context);
    net::async_server_limits internal_limits;
    internal_limits.max_connections = 64;
    internal_limits.max_header_fields = this->values.max_header_fields;
    this->readiness = std::make_unique<net::async_http_server>(
        loop, this->values.ready, internal_limits,
        [this](const net::server_request& request, const responder& respond)
        {
            net::server_response response;
            const bool known = platform::is_readiness_check(request);
            response.status = !known ? 404 : this->is_ready() ? 200 : 503;
            respond(response);
        },
        context);
    if (!this->values.metrics.empty())
    {
        this->metrics_server = std::make_unique<net::async_http_server>(
            loop, this->values.metrics, internal_limits,
            [this](const net::server_request&, const responder& respond)
            {
                net::server_response response;
                response.content_type = "text/plain";
                this->metrics.set("config_age_ms", this->config_age().count());
                this->metrics.set("config_newer_known_ms", this->newer_config_known_for().count());
                this->metrics.set("buffered_bytes",
                                  static_cast<std::int64_t>(this->buffers->held()));
                response.body = this->metrics.to_text();
                respond(response);
            },
            context);
    }
    this->loop.run_after(tick_interval, [this] { this->tick(); });
}

entry::~entry() = default;

void entry::reload(const settings& values)
{
    this->values.key_revocation = values.key_revocation;
    this->values.stop_grace = values.stop_grace;
    events::write("reloaded", {{"key_revocation_ms", values.key_revocation.count()},
                               {"stop_grace_ms", values.stop_grace.count()}});
}

void entry::stop_gracefully(std::function<void()> finished)
{
    if (this->draining)
    {
        return;
    }
    this->draining = true;
    this->on_finished = std::move(finished);
    this->check_ready();
    const core::milliseconds drain_delay =
        std::min(balancer_removal_time, this->values.stop_grace - balancer_removal_time);
    this->drain_deadline = this->loop.now() + this->values.stop_grace - response_flush_time;
    this->loop.run_after(std::max(drain_delay, core::milliseconds{0}),
                         [this] { this->check_drained(); });
}

void entry::check_drained()
{
    this->client_server->drain();
    const bool drained =
        this->client_server->requests_in_flight() == 0 && this->client_server->connections() == 0;
    if (drained || this->loop.now() >= this->drain_deadline)
    {
        this->on_finished();
        return;
    }
    constexpr core::milliseconds drain_check_interval{50};
    this->loop.run_after(drain_check_interval, [this] { this->check_drained(); });
}

net::async_server_limits entry::client_limits() const
{
    net::async_server_limits limits;
    limits.max_connections = max_client_connections(this->values);
    limits.max_connections_per_address = this->values.max_connections_per_address;
    limits.max_header_fields = this->values.max_header_fields;
    if (this->config.has_value())
    {
        limits.max_header_bytes = this->config->limits.max_header_bytes;
        limits.max_body_bytes = this->config->limits.max_body_bytes;
        limits.request_timeout = this->config->limits.header_timeout;
        limits.idle_timeout = this->config->limits.idle_timeout;
    }
    return limits;
}

void entry::on_config_row(const ports::row& row)
{
    if (!apply_config_row(row, "entry", this->config))
    {
        return;
    }
    this->client_server->set_limits(this->client_limits());
    this->metrics.increment("config_versions", "applied");
}

void entry::on_rows_confirmed()
{
    if (!this->jobs_loaded_at.has_value() && this->job_rows->is_loaded())
    {
        this->jobs_loaded_at = core::boot_clock::now();
    }
    this->check_ready();
}

void entry::tick()
{
    const core::instant now = this->loop.now();
    const bool lost = this->config_rows->failing_for(now) > store_lost_threshold &&
                      this->job_rows->failing_for(now) > store_lost_threshold;
    if (lost != this->store_unavailable)
    {
        this->store_unavailable = lost;
        events::write(lost ? "store_lost" : "store_regained",
                      {{"config_age_ms", this->config_age().count()}});
    }
    const bool stale = this->config.has_value() && this->config_age() > this->max_config_age();
    if (stale != this->config_stale)
    {
        this->config_stale = stale;
        events::write(stale ? "config_stale" : "config_fresh",
                      {{"config_age_ms", this->config_age().count()},
                       {"allowed_ms", this->max_config_age().count()},
                       {"newer_known_ms", this->newer_config_known_for().count()},
                       {"version", this->config.has_value() ? this->config->version : 0}});
    }
    this->check_ready();
    this->loop.run_after(tick_interval, [this] { this->tick(); });
}

void entry::check_ready()
{
    const bool ready = this->is_ready();
    if (ready != this->was_ready)
    {
        this->was_ready = ready;
        events::write("ready", {{"ready", ready ? "yes" : "no"},
                                {"draining", this->draining ? "yes" : "no"},
                                {"config_age_ms", this->config_age().count()}});
    }
}

bool entry::is_ready() const
{
    return !this->draining && this->config.has_value() && this->job_rows->is_loaded() &&
           this->config_age() <= this->max_config_age() &&
           this->time_since_store_answer() <= unready_threshold;
}

core::milliseconds entry::config_age() const
{
    return core::boot_clock::now() - this->config_rows->confirmed_at();
}

batch::config_freshness entry::config_freshness() const
{
    return {this->config_age(), this->max_config_age(),
            this->config_rows->changes_pending_since().has_value()};
}

core::milliseconds entry::newer_config_known_for() const
{
    const auto since = this->config_rows->changes_pending_since();
    return since.has_value() ? core::boot_clock::now() - *since : core::milliseconds{0};
}

core::milliseconds entry::max_config_age() const noexcept
{
    return this->values.key_revocation - revocation_margin;
}

core::milliseconds entry::retry_after()
{
    // Jitter keeps callers that were refused together from retrying together. The delay is short
    // early in an outage, which may affect only this entry.
    constexpr core::milliseconds min_delay{1000};
    constexpr core::milliseconds max_jitter{2000};
    std::uniform_int_distribution<std::int64_t> jitter(
        0, std::min(this->time_since_store_answer(), max_jitter).count());
    return min_delay + core::milliseconds{jitter(this->random)};
}

core::milliseconds entry::time_since_store_answer() const
{
    return core::boot_clock::now() -
           std::max(this->config_rows->last_answer_at(), this->job_rows->last_answer_at());
}

bool entry::is_store_unavailable() const
{
    return this->store_unavailable;
}

void entry::handle_request(const net::server_request& request, const responder& respond)
{
    const batch::api_request call = platform::parse_call(request);
    const batch::resolved_request resolved = batch::resolve_request(
        call, this->config.has_value() ? &*this->config : nullptr, this->config_freshness());
    if (resolved.rejection != batch::rejection_reason::none)
    {
        events::write("call_refused",
                      {{"method", request.method},
                       {"path", call.path.substr(0, max_logged_path_bytes)},
                       {"reason", to_text(resolved.rejection)},
                       {"config_version", this->config.has_value() ? this->config->version : 0},
                       {"config_age_ms", this->config_age().count()}});
        this->metrics.increment("calls_refused", to_text(resolved.rejection));
        net::server_response response =
            platform::refusal_response(resolved.rejection, this->retry_after());
        response.close_connection = resolved.rejection == batch::rejection_reason::stale_config;
        respond(response);
        return;
    }
    switch (resolved.operation)
    {
    case batch::api_operation::submit:
        this->submit(request, resolved, call.key, respond);
        break;
    case batch::api_operation::get_status:
        this->show(resolved, respond);
        break;
    case batch::api_operation::cancel:
        this->cancel(request, resolved, respond);
        break;
    case batch::api_operation::get_queue_length:
        this->count_queued(resolved, respond);
        break;
    }
}

} // namespace chicorylift::site
