#include "chicorylift/core/error.hpp"
#include "platform/http_codec.hpp"
#include "site/entry.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"
#include "support/unix_clock.hpp"

#include <algorithm>

/// The entry's part that stores, shows and cancels jobs.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;
using ports::client_result;

// A store that is only slow answers a wait within this time.
constexpr core::milliseconds doubtful_after{1000};
constexpr core::milliseconds usual_patience{3000};
// Left of the caller's patience for the answer's way back.
constexpr core::milliseconds answer_margin{150};
constexpr core::milliseconds commit_patience{800};
// Longest time in which a refused write is tried again before the caller hears of it.
constexpr core::milliseconds refusal_patience{700};
constexpr core::milliseconds retry_pause{60};
} // namespace

/// A job on its way into the store.
struct entry::submission
{
    batch::job_spec job;
    batch::resolved_request call;
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

void entry::submit(const net::server_request& request, const batch::resolved_request& call,
                   const std::string& key, const responder& respond)
{
    auto job = platform::parse_job(request.body);
    if (!job.ok())
    {
        events::write("job_refused", {{"job", call.job.str()},
                                      {"queue", call.route.policy.queue.str()},
                                      {"reason", std::string(job.status().message())}});
        respond(platform::answer_response(client_result::bad_request,
                                          std::string(job.status().message()), {}));
        return;
    }
    auto open = std::make_shared<submission>();
    open->job = std::move(*job);
    open->job.id = call.job;
    open->job.organisation = call.organisation;
    open->job.policy = call.route.policy;
    open->job.accepted = support::unix_now();
    open->call = call;
    open->key = key;
    open->respond = respond;
    open->began = core::boot_clock::now();
    open->limit =
        open->began + platform::parse_timeout(request).value_or(usual_patience) - answer_margin;
    if (this->jobs.find(call.job) != nullptr)
    {
        this->respond_accepted(*open);
        return;
    }
    if (this->is_store_unavailable())
    {
        this->respond_refused(*open, client_result::unavailable, "the store does not answer");
        return;
    }
    const ports::row_id place = job_row_id(call.job, job_row_kind::accepted);
    open->changes.conditions.push_back({place, 0});
    open->changes.writes.push_back({place, to_row(open->job).SerializeAsString()});
    if (this->time_since_store_answer() > doubtful_after)
    {
        this->probe_store_then_submit(open);
        return;
    }
    this->try_submission(open);
}

void entry::probe_store_then_submit(const std::shared_ptr<submission>& open)
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
                          this->respond_refused(*open, client_result::unavailable,
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
        this->respond_accepted(*open);
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
        this->respond_refused(*open,
                              open->may_be_stored ? client_result::unknown_outcome
                                                  : client_result::unavailable,
                              outcome.message);
        return;
    }
    this->loop.run_after(retry_pause, [this, open] { this->try_submission(open); });
}

void entry::respond_accepted(const submission& open)
{
    // The key must hold at the moment of the answer, not only at that of the call.
    batch::api_request again;
    again.method = batch::http_method::get;
    again.host = open.call.route.host;
    again.path = open.call.route.path_prefix;
    again.key = open.key;
    const batch::resolved_request still =
        batch::resolve_request(again, this->config.has_value() ? &*this->config : nullptr,
                               this->config_age(), this->max_config_age());
    if (still.rejection != batch::rejection_reason::none &&
        still.rejection != batch::rejection_reason::unknown_queue)
    {
        this->respond_refused(open, client_result::unknown_outcome,
                              "the key cannot be confirmed any more");
        return;
    }
    const core::milliseconds took = core::boot_clock::now() - open.began;
    events::write("job_accepted", {{"job", open.job.id.str()},
                                   {"queue", open.job.policy.queue.str()},
                                   {"organisation", open.job.organisation.str()},
                                   {"config_version", this->config->version},
                                   {"config_age_ms", this->config_age().count()},
                                   {"tries", static_cast<std::int64_t>(open.tries)},
                                   {"took_ms", took.count()}});
    this->metrics.increment("jobs", "accepted");
    this->metrics.observe("accept", open.job.organisation.str(), open.job.policy.queue.str(), took);
    open.respond(platform::answer_response(client_result::accepted, {}, {}));
}

void entry::respond_refused(const submission& open, client_result answer, const std::string& why)
{
    const bool unknown = answer == client_result::unknown_outcome;
    events::write(unknown ? "job_unsettled" : "job_refused",
                  {{"job", open.job.id.str()},
                   {"queue", open.job.policy.queue.str()},
                   {"organisation", open.job.organisation.str()},
                   {"reason", why},
                   {"tries", static_cast<std::int64_t>(open.tries)},
                   {"config_age_ms", this->config_age().count()}});
    this->metrics.increment("jobs", unknown ? "unsettled" : "refused");
    net::server_response response = platform::answer_response(answer, why, this->retry_after());
    response.close_connection = this->time_since_store_answer() > doubtful_after;
    open.respond(response);
}

void entry::read_job(const core::job_id& job, core::milliseconds patience,
                     std::function<void(const absl::StatusOr<std::optional<cached_job>>&)> on_job)
{
    const cached_job* const known = this->jobs.find(job);
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
                              view.apply(row);
                          }
                          const cached_job* const found = view.find(job);
                          on_job(found == nullptr ? std::optional<cached_job>{}
                                                  : std::optional(*found));
                      });
}

void entry::show(const batch::resolved_request& call, const responder& respond)
{
    this->read_job(
        call.job, commit_patience,
        [this, call, respond](const absl::StatusOr<std::optional<cached_job>>& job)
        {
            if (!job.ok())
            {
                events::write("call_refused", {{"job", call.job.str()},
                                               {"reason", std::string(job.status().message())}});
                respond(platform::answer_response(
                    client_result::unavailable, "the store does not answer", this->retry_after()));
                return;
            }
            if (!job->has_value() || (*job)->organisation != call.organisation)
            {
                respond(platform::answer_response(client_result::not_found, "no such job", {}));
                return;
            }
            const ports::client_job_state state = (*job)->state();
            if (state >= ports::client_job_state::completed)
            {
                events::write("job_shown", {{"job", call.job.str()},
                                            {"state", static_cast<std::int64_t>(state)}});
            }
            respond(platform::state_response(state));
        });
}

void entry::count_queued(const batch::resolved_request& call, const responder& respond)
{
    if (!this->job_rows->is_loaded())
    {
        respond(platform::answer_response(client_result::unavailable, "the jobs are not read yet",
                                          this->retry_after()));
        return;
    }
    respond(platform::pending_response(this->jobs.queued_count(call.route.policy.queue)));
}

void entry::cancel(const net::server_request& request, const batch::resolved_request& call,
                   const responder& respond)
{
    auto open = std::make_shared<cancellation>();
    open->job = call.job;
    open->respond = respond;
    open->began = core::boot_clock::now();
    open->limit =
        open->began + platform::parse_timeout(request).value_or(usual_patience) - answer_margin;
    this->read_job(
        call.job, commit_patience,
        [this, open, call](const absl::StatusOr<std::optional<cached_job>>& job)
        {
            if (!job.ok())
            {
                open->respond(platform::answer_response(
                    client_result::unavailable, "the store does not answer", this->retry_after()));
                return;
            }
            if (!job->has_value() || (*job)->organisation != call.organisation)
            {
                open->respond(
                    platform::answer_response(client_result::not_found, "no such job", {}));
                return;
            }
            if ((*job)->cancelled || (*job)->completed || (*job)->failed)
            {
                open->respond(platform::answer_response(client_result::cancelled, {}, {}));
                return;
            }
            wire::batch_cancel row;
            row.set_entry(this->values.name);
            row.set_cancelled_ms(support::unix_now().count());
            open->changes.conditions.push_back(
                {job_row_id(open->job, job_row_kind::accepted), (*job)->accepted_version});
            open->changes.writes.push_back(
                {job_row_id(open->job, job_row_kind::cancel), row.SerializeAsString()});
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
        this->metrics.increment("jobs", "cancelled");
        open->respond(platform::answer_response(client_result::cancelled, {}, {}));
        return;
    }
    if (outcome.state == ports::commit_state::conflict)
    {
        open->respond(platform::answer_response(client_result::not_found, "no such job", {}));
        return;
    }
    open->may_be_stored = open->may_be_stored || outcome.state == ports::commit_state::unknown;
    if (core::boot_clock::now() + retry_pause >= open->limit)
    {
        open->respond(platform::answer_response(open->may_be_stored ? client_result::unknown_outcome
                                                                    : client_result::unavailable,
                                                outcome.message, this->retry_after()));
        return;
    }
    this->loop.run_after(retry_pause, [this, open] { this->try_cancellation(open); });
}

} // namespace chicorylift::site
