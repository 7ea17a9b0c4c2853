#include "site/entry.hpp"

#include "chicorylift/core/error.hpp"
#include "platform/front_dialect.hpp"
#include "platform/table_adapter.hpp"
#include "site/config_row.hpp"
#include "site/rows.hpp"
#include "support/events.hpp"
#include "support/unix_clock.hpp"

#include <algorithm>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;
using ports::front_answer;

constexpr core::milliseconds tick_interval{250};
// Several confirmations fit into the keys' time, and a store that falls silent shows soon.
constexpr core::milliseconds config_wait{600};
// Beyond this callers are better served elsewhere; the balancer needs two misses more.
constexpr core::milliseconds unready_after{1300};
constexpr core::milliseconds job_wait{3000};
// A change may stay unseen for a second while the store drops its history; answers take time too.
constexpr core::milliseconds revocation_margin{1600};
constexpr core::milliseconds store_lost_after{900};
// The balancer sends no new connections after two misses, one second apart.
constexpr core::milliseconds balancer_notice{2300};
constexpr core::milliseconds last_answers{400};

std::string_view to_text(batch::call_refusal refusal)
{
    constexpr std::array<std::string_view, 7> names{
        "none",          "no configuration yet", "configuration not confirmed",
        "unknown queue", "unknown key",          "unknown path",
        "unknown method"};
    return names.at(static_cast<std::size_t>(refusal));
}

} // namespace

entry::entry(net::event_loop& loop, settings values)
    : loop(loop), values(std::move(values)),
      store(std::make_unique<platform::table_adapter>(loop, this->values.store)),
      random(std::random_device{}())
{
    this->config_rows = std::make_unique<mirrored_table>(
        loop, *this->store, mirror_settings{platform::config_table, "", config_wait},
        [this](const ports::row& row) { this->on_config_row(row); },
        [this] { this->on_confirmed(); });
    this->job_rows = std::make_unique<mirrored_table>(
        loop, *this->store, mirror_settings{job_table, site_partition, job_wait},
        [this](const ports::row& row) { this->jobs.take(row); }, [this] { this->on_confirmed(); });
    net::async_server_limits limits;
    limits.most_connections = this->values.most_connections;
    this->front = std::make_unique<net::async_http_server>(
        loop, this->values.front, limits,
        [this](const net::server_request& request, const responder& respond)
        { this->answer(request, respond); });
    net::async_server_limits small;
    small.most_connections = 64;
    this->readiness = std::make_unique<net::async_http_server>(
        loop, this->values.ready, small,
        [this](const net::server_request& request, const responder& respond)
        {
            net::server_response response;
            const bool known = platform::is_readiness_check(request);
            response.status = !known ? 404 : this->takes_traffic() ? 200 : 503;
            respond(response);
        });
    if (!this->values.metrics.empty())
    {
        this->metrics_server = std::make_unique<net::async_http_server>(
            loop, this->values.metrics, small,
            [this](const net::server_request&, const responder& respond)
            {
                net::server_response response;
                response.content_type = "text/plain";
                response.body = this->figures.to_text();
                respond(response);
            });
    }
    this->loop.after(tick_interval, [this] { this->tick(); });
}

entry::~entry() = default;

void entry::reload(const settings& values)
{
    this->values.key_revocation = values.key_revocation;
    this->values.stop_grace = values.stop_grace;
    events::write("reloaded", {{"key_revocation_ms", values.key_revocation.count()},
                               {"stop_grace_ms", values.stop_grace.count()}});
}

void entry::stop_gracefully(std::function<void()> done)
{
    if (this->draining)
    {
        return;
    }
    this->draining = true;
    this->finished = std::move(done);
    this->check_ready();
    const core::milliseconds notice =
        std::min(balancer_notice, this->values.stop_grace - balancer_notice);
    this->drain_limit = this->loop.now() + this->values.stop_grace - last_answers;
    this->loop.after(std::max(notice, core::milliseconds{0}), [this] { this->check_drained(); });
}

void entry::check_drained()
{
    this->front->drain();
    const bool quiet = this->front->unanswered() == 0 && this->front->connections() == 0;
    if (quiet || this->loop.now() >= this->drain_limit)
    {
        this->finished();
        return;
    }
    constexpr core::milliseconds pause{50};
    this->loop.after(pause, [this] { this->check_drained(); });
}

void entry::on_config_row(const ports::row& row)
{
    if (!take_config_row(row, "entry", this->config))
    {
        return;
    }
    net::async_server_limits limits;
    limits.most_connections = this->values.most_connections;
    limits.largest_header = this->config->limits.header_bytes;
    limits.largest_body = this->config->limits.body_bytes;
    limits.request_time = this->config->limits.header_time;
    limits.idle = this->config->limits.idle_time;
    this->front->set_limits(limits);
    this->figures.count("config_versions", "applied");
}

void entry::on_confirmed()
{
    this->check_ready();
}

void entry::tick()
{
    const core::instant now = this->loop.now();
    const bool lost = this->config_rows->failing_for(now) > store_lost_after &&
                      this->job_rows->failing_for(now) > store_lost_after;
    if (lost != this->store_lost)
    {
        this->store_lost = lost;
        events::write(lost ? "store_lost" : "store_regained",
                      {{"config_age_ms", this->config_age().count()}});
    }
    const bool stale = this->config.has_value() && this->config_age() > this->allowed_age();
    if (stale != this->config_stale)
    {
        this->config_stale = stale;
        events::write(stale ? "config_stale" : "config_fresh",
                      {{"config_age_ms", this->config_age().count()},
                       {"allowed_ms", this->allowed_age().count()},
                       {"version", this->config.has_value() ? this->config->version : 0}});
    }
    this->check_ready();
    this->loop.after(tick_interval, [this] { this->tick(); });
}

void entry::check_ready()
{
    const bool ready = this->takes_traffic();
    if (ready != this->was_ready)
    {
        this->was_ready = ready;
        events::write("ready", {{"ready", ready ? "yes" : "no"},
                                {"draining", this->draining ? "yes" : "no"},
                                {"config_age_ms", this->config_age().count()}});
    }
}

bool entry::takes_traffic() const
{
    return !this->draining && this->config.has_value() && this->job_rows->is_loaded() &&
           this->config_age() <= this->allowed_age() && this->store_silence() <= unready_after;
}

core::milliseconds entry::config_age() const
{
    return core::boot_clock::now() - this->config_rows->confirmed();
}

core::milliseconds entry::allowed_age() const noexcept
{
    return this->values.key_revocation - revocation_margin;
}

core::milliseconds entry::come_back()
{
    // Spread, so that those who were refused together do not return together; soon while the
    // fault is young and may be this entry's alone.
    constexpr core::milliseconds soonest{1000};
    constexpr core::milliseconds widest{2000};
    std::uniform_int_distribution<std::int64_t> spread(
        0, std::min(this->store_silence(), widest).count());
    return soonest + core::milliseconds{spread(this->random)};
}

core::milliseconds entry::store_silence() const
{
    return core::boot_clock::now() -
           std::max(this->config_rows->answered(), this->job_rows->answered());
}

bool entry::store_is_lost() const
{
    return this->store_lost;
}

void entry::answer(const net::server_request& request, const responder& respond)
{
    const batch::front_call call = platform::read_call(request);
    const batch::resolved_call resolved =
        batch::resolve(call, this->config.has_value() ? &*this->config : nullptr,
                       this->config_age(), this->allowed_age());
    if (resolved.refusal != batch::call_refusal::none)
    {
        events::write("call_refused",
                      {{"method", request.method},
                       {"path", call.path},
                       {"reason", to_text(resolved.refusal)},
                       {"config_version", this->config.has_value() ? this->config->version : 0},
                       {"config_age_ms", this->config_age().count()}});
        this->figures.count("calls_refused", to_text(resolved.refusal));
        net::server_response response =
            platform::print_refusal(resolved.refusal, this->come_back());
        response.ends_connection = resolved.refusal == batch::call_refusal::stale_config;
        respond(response);
        return;
    }
    switch (resolved.kind)
    {
    case batch::call_kind::submit:
        this->submit(request, resolved, call.key, respond);
        break;
    case batch::call_kind::show:
        this->show(resolved, respond);
        break;
    case batch::call_kind::cancel:
        this->cancel(request, resolved, respond);
        break;
    case batch::call_kind::count_waiting:
        this->count_waiting(resolved, respond);
        break;
    }
}

} // namespace chicorylift::site
