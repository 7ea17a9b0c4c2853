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
// A store that is only slow answers a wait within this time.
constexpr core::milliseconds doubtful_after{1000};
// Beyond this callers are better served elsewhere; the balancer needs two misses more.
constexpr core::milliseconds unready_after{1300};
constexpr core::milliseconds job_wait{3000};
// A change may stay unseen for a second while the store drops its history; answers take time too.
constexpr core::milliseconds revocation_margin{1600};
constexpr core::milliseconds usual_patience{3000};
// Left of the caller's patience for the answer's way back.
constexpr core::milliseconds answer_margin{150};
constexpr core::milliseconds commit_patience{800};
// Longest time in which a refused write is tried again before the caller hears of it.
constexpr core::milliseconds refusal_patience{700};
constexpr core::milliseconds retry_pause{60};
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

/// A job on its way into the store.
struct entry::submission
{
    batch::job_spec job;
    batch::resolved_call call;
    std::string key;
    ports::transaction changes;
    responder respond;
    core::instant began;
    core::instant limit;
    bool may_be_stored = false;
    int tries = 0;
};

/// A cancellation on its way into the store.
struct entry::cancellation
{
    core::job_id job;
    ports::transaction changes;
    responder respond;
    core::instant began;
    core::instant limit;
    bool may_be_stored = false;
};

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

void entry::submit(const net::server_request& request, const batch::resolved_call& call,
                   const std::string& key, const responder& respond)
{
    auto job = platform::read_job(request.body);
    if (!job.ok())
    {
        events::write("job_refused", {{"job", call.job.str()},
                                      {"queue", call.route.terms.queue.str()},
                                      {"reason", std::string(job.status().message())}});
        respond(platform::print_answer(front_answer::bad_request,
                                       std::string(job.status().message()), {}));
        return;
    }
    auto open = std::make_shared<submission>();
    open->job = std::move(*job);
    open->job.id = call.job;
    open->job.organisation = call.organisation;
    open->job.terms = call.route.terms;
    open->job.accepted = support::unix_now();
    open->call = call;
    open->key = key;
    open->respond = respond;
    open->began = core::boot_clock::now();
    open->limit =
        open->began + platform::read_patience(request).value_or(usual_patience) - answer_margin;
    if (this->jobs.find(call.job) != nullptr)
    {
        this->accept(*open);
        return;
    }
    if (this->store_is_lost())
    {
        this->refuse(*open, front_answer::not_run, "the store does not answer");
        return;
    }
    const ports::row_place place = place_of(call.job, job_row_kind::accepted);
    open->changes.conditions.push_back({place, 0});
    open->changes.writes.push_back({place, to_row(open->job).SerializeAsString()});
    if (this->store_silence() > doubtful_after)
    {
        this->ask_store_first(open);
        return;
    }
    this->try_submission(open);
}

void entry::ask_store_first(const std::shared_ptr<submission>& open)
{
    // A write without an answer could only be told as unknown, and the caller could not go to
    // another entry with it.
    this->store->read(job_table, site_partition, open->job.id.str(), 1, commit_patience,
                      [this, open](const absl::StatusOr<ports::row_page>& page)
                      {
                          if (page.ok())
                          {
                              this->try_submission(open);
                              return;
                          }
                          this->refuse(*open, front_answer::not_run,
                                       std::string(page.status().message()));
                      });
}

void entry::try_submission(const std::shared_ptr<submission>& open)
{
    const core::milliseconds left = open->limit - core::boot_clock::now();
    ++open->tries;
    this->store->commit(open->changes, std::min(commit_patience, left),
                        [this, open](const ports::commit_outcome& outcome)
                        { this->on_submission(open, outcome); });
}

void entry::on_submission(const std::shared_ptr<submission>& open,
                          const ports::commit_outcome& outcome)
{
    const core::instant now = core::boot_clock::now();
    if (outcome.state == ports::commit_state::applied ||
        outcome.state == ports::commit_state::conflict)
    {
        // On conflict the row is there: this job was stored before, by whomever.
        this->accept(*open);
        return;
    }
    if (outcome.state == ports::commit_state::unknown)
    {
        // The same conditional write again: it takes effect once at most.
        open->may_be_stored = true;
        events::write("order_lost", {{"job", open->job.id.str()}, {"reason", outcome.message}});
    }
    const core::instant limit =
        open->may_be_stored ? open->limit : std::min(open->limit, open->began + refusal_patience);
    if (now + retry_pause >= limit)
    {
        this->refuse(*open,
                     open->may_be_stored ? front_answer::unknown_outcome : front_answer::not_run,
                     outcome.message);
        return;
    }
    this->loop.after(retry_pause, [this, open] { this->try_submission(open); });
}

void entry::accept(const submission& open)
{
    // The key must hold at the moment of the answer, not only at that of the call.
    batch::front_call again;
    again.method = batch::call_method::get;
    again.host = open.call.route.host;
    again.path = open.call.route.path_prefix;
    again.key = open.key;
    const batch::resolved_call still =
        batch::resolve(again, this->config.has_value() ? &*this->config : nullptr,
                       this->config_age(), this->allowed_age());
    if (still.refusal != batch::call_refusal::none &&
        still.refusal != batch::call_refusal::unknown_queue)
    {
        this->refuse(open, front_answer::unknown_outcome, "the key cannot be confirmed any more");
        return;
    }
    const core::milliseconds took = core::boot_clock::now() - open.began;
    events::write("job_accepted", {{"job", open.job.id.str()},
                                   {"queue", open.job.terms.queue.str()},
                                   {"organisation", open.job.organisation.str()},
                                   {"config_version", this->config->version},
                                   {"config_age_ms", this->config_age().count()},
                                   {"tries", static_cast<std::int64_t>(open.tries)},
                                   {"took_ms", took.count()}});
    this->figures.count("jobs", "accepted");
    this->figures.observe("accept", open.job.organisation.str(), open.job.terms.queue.str(), took);
    open.respond(platform::print_answer(front_answer::accepted, {}, {}));
}

void entry::refuse(const submission& open, front_answer answer, const std::string& why)
{
    const bool unknown = answer == front_answer::unknown_outcome;
    events::write(unknown ? "job_unsettled" : "job_refused",
                  {{"job", open.job.id.str()},
                   {"queue", open.job.terms.queue.str()},
                   {"organisation", open.job.organisation.str()},
                   {"reason", why},
                   {"tries", static_cast<std::int64_t>(open.tries)},
                   {"config_age_ms", this->config_age().count()}});
    this->figures.count("jobs", unknown ? "unsettled" : "refused");
    net::server_response response = platform::print_answer(answer, why, this->come_back());
    response.ends_connection = this->store_silence() > doubtful_after;
    open.respond(response);
}

void entry::read_job(const core::job_id& job, core::milliseconds patience,
                     std::function<void(const absl::StatusOr<std::optional<seen_job>>&)> on_job)
{
    const seen_job* const known = this->jobs.find(job);
    if (known != nullptr)
    {
        on_job(std::optional(*known));
        return;
    }
    constexpr std::size_t rows_a_job = 3;
    this->store->read(job_table, site_partition, job.str(), rows_a_job, patience,
                      [job, on_job = std::move(on_job)](const absl::StatusOr<ports::row_page>& page)
                      {
                          if (!page.ok())
                          {
                              on_job(page.status());
                              return;
                          }
                          job_view view;
                          for (const ports::row& row : page->rows)
                          {
                              view.take(row);
                          }
                          const seen_job* const found = view.find(job);
                          on_job(found == nullptr ? std::optional<seen_job>{}
                                                  : std::optional(*found));
                      });
}

void entry::show(const batch::resolved_call& call, const responder& respond)
{
    this->read_job(
        call.job, commit_patience,
        [this, call, respond](const absl::StatusOr<std::optional<seen_job>>& job)
        {
            if (!job.ok())
            {
                events::write("call_refused", {{"job", call.job.str()},
                                               {"reason", std::string(job.status().message())}});
                respond(platform::print_answer(front_answer::not_run, "the store does not answer",
                                               this->come_back()));
                return;
            }
            if (!job->has_value() || (*job)->organisation != call.organisation)
            {
                respond(platform::print_answer(front_answer::not_there, "no such job", {}));
                return;
            }
            const ports::shown_state state = (*job)->state();
            if (state >= ports::shown_state::completed)
            {
                events::write("job_shown", {{"job", call.job.str()},
                                            {"state", static_cast<std::int64_t>(state)}});
            }
            respond(platform::print_state(state));
        });
}

void entry::count_waiting(const batch::resolved_call& call, const responder& respond)
{
    if (!this->job_rows->is_loaded())
    {
        respond(platform::print_answer(front_answer::not_run, "the jobs are not read yet",
                                       this->come_back()));
        return;
    }
    respond(platform::print_waiting(this->jobs.waiting(call.route.terms.queue)));
}

void entry::cancel(const net::server_request& request, const batch::resolved_call& call,
                   const responder& respond)
{
    auto open = std::make_shared<cancellation>();
    open->job = call.job;
    open->respond = respond;
    open->began = core::boot_clock::now();
    open->limit =
        open->began + platform::read_patience(request).value_or(usual_patience) - answer_margin;
    this->read_job(
        call.job, commit_patience,
        [this, open, call](const absl::StatusOr<std::optional<seen_job>>& job)
        {
            if (!job.ok())
            {
                open->respond(platform::print_answer(
                    front_answer::not_run, "the store does not answer", this->come_back()));
                return;
            }
            if (!job->has_value() || (*job)->organisation != call.organisation)
            {
                open->respond(platform::print_answer(front_answer::not_there, "no such job", {}));
                return;
            }
            if ((*job)->cancelled || (*job)->completed || (*job)->failed)
            {
                open->respond(platform::print_answer(front_answer::cancelled, {}, {}));
                return;
            }
            wire::batch_cancel row;
            row.set_entry(this->values.name);
            row.set_cancelled_ms(support::unix_now().count());
            open->changes.conditions.push_back(
                {place_of(open->job, job_row_kind::accepted), (*job)->accepted_version});
            open->changes.writes.push_back(
                {place_of(open->job, job_row_kind::cancel), row.SerializeAsString()});
            this->try_cancellation(open);
        });
}

void entry::try_cancellation(const std::shared_ptr<cancellation>& open)
{
    const core::milliseconds left = open->limit - core::boot_clock::now();
    this->store->commit(open->changes, std::min(commit_patience, left),
                        [this, open](const ports::commit_outcome& outcome)
                        { this->on_cancellation(open, outcome); });
}

void entry::on_cancellation(const std::shared_ptr<cancellation>& open,
                            const ports::commit_outcome& outcome)
{
    if (outcome.state == ports::commit_state::applied)
    {
        events::write("job_cancel_accepted",
                      {{"job", open->job.str()},
                       {"took_ms", (core::boot_clock::now() - open->began).count()}});
        this->figures.count("jobs", "cancelled");
        open->respond(platform::print_answer(front_answer::cancelled, {}, {}));
        return;
    }
    if (outcome.state == ports::commit_state::conflict)
    {
        open->respond(platform::print_answer(front_answer::not_there, "no such job", {}));
        return;
    }
    open->may_be_stored = open->may_be_stored || outcome.state == ports::commit_state::unknown;
    if (core::boot_clock::now() + retry_pause >= open->limit)
    {
        open->respond(platform::print_answer(open->may_be_stored ? front_answer::unknown_outcome
                                                                 : front_answer::not_run,
                                             outcome.message, this->come_back()));
        return;
    }
    this->loop.after(retry_pause, [this, open] { this->try_cancellation(open); });
}

} // namespace chicorylift::site
