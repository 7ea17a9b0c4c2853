#include "chicorylift/core/error.hpp"
#include "platform/http_codec.hpp"
#include "site/entry.hpp"
#include "site/entry_timing.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"
#include "support/unix_clock.hpp"

#include <algorithm>
#include <tuple>

/// Request handlers of the entry: submit, show and queue length.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;
using ports::client_result;

// A slow but reachable store answers a watch within this time.
constexpr core::milliseconds store_doubt_threshold{1000};
// Longest time for which a refused write is retried before the caller gets an error.
constexpr core::milliseconds refused_write_timeout{700};
// With bounded submissions, this many of their writes are sent at a time. The store has 24
// connections; the others stay free for status requests and cancellations.
constexpr std::size_t max_submission_writes = 16;
constexpr std::size_t bytes_per_mb = 1U << 20U;
// Beyond this, whether a refused job has been stored before stays unknown.
constexpr std::size_t max_refusal_reads = 32;
} // namespace

/// Submission that is being written to the store.
struct entry::submission
{
    batch::job_spec job;
    batch::resolved_request call;
    std::string key;
    /// Value of the job's row.
    std::string row;
    ports::transaction changes;
    responder respond;
    core::instant started_at;
    core::instant deadline;
    bool may_be_stored = false;
    int attempts = 0;
    bool admitted = false;
};

void entry::submit(const net::server_request& request, const batch::resolved_request& call,
                   const std::string& key, const responder& respond)
{
    auto job = platform::parse_job(request.body, this->values.max_json_values);
    if (!job.ok())
    {
        events::write("job_refused", {{"job", call.job.str()},
                                      {"queue", call.route.policy.queue.str()},
                                      {"reason", std::string(job.status().message())}});
        respond(platform::answer_response(client_result::bad_request,
                                          std::string(job.status().message()), {}));
        return;
    }
    auto pending = std::make_shared<submission>();
    pending->job = std::move(*job);
    pending->job.id = call.job;
    pending->job.organisation = call.organisation;
    pending->job.policy = call.route.policy;
    pending->job.accepted = support::unix_now();
    pending->call = call;
    pending->key = key;
    pending->respond = respond;
    pending->started_at = core::boot_clock::now();
    pending->deadline = pending->started_at +
                        platform::parse_timeout(request).value_or(default_call_timeout) -
                        response_margin;
    const cached_job* const known = this->jobs.find(call.job);
    if (known != nullptr)
    {
        this->respond_stored(*pending, *known);
        return;
    }
    // A job that was accepted under other limits is not refused when it is repeated.
    pending->row = to_row(pending->job).SerializeAsString();
    const std::string excess = this->describe_excess(*pending);
    if (!excess.empty())
    {
        events::write("job_refused", {{"job", call.job.str()},
                                      {"queue", call.route.policy.queue.str()},
                                      {"reason", excess}});
        respond(platform::answer_response(client_result::bad_request, excess, {}));
        return;
    }
    if (this->is_store_unavailable())
    {
        this->respond_refused(*pending, client_result::unavailable, "the store does not answer");
        return;
    }
    this->admit(pending);
}

std::string entry::describe_excess(const submission& pending) const
{
    const auto exceeds = [](std::string_view what, std::size_t bytes, std::size_t limit)
    {
        return "the job takes " + std::to_string(bytes) + " bytes " + std::string(what) +
               "; at most " + std::to_string(limit) + " are allowed";
    };
    if (pending.row.size() > this->values.max_row_bytes)
    {
        return exceeds("as it is stored", pending.row.size(), this->values.max_row_bytes);
    }
    const std::size_t bytes = batch::state_bytes(pending.job);
    const std::size_t limit = this->values.max_job_state_mb * bytes_per_mb / 2;
    return limit > 0 && bytes > limit ? exceeds("of a leader's memory", bytes, limit) : "";
}

void entry::admit(const std::shared_ptr<submission>& pending)
{
    const batch::admission_decision decision = this->decide_admission(*pending);
    if (!decision.admitted)
    {
        this->refuse_unless_stored(pending, decision);
        return;
    }
    pending->admitted = true;
    this->pending_submissions.insert(pending->job.id);
    this->begin_submission(pending);
}

batch::admission_decision entry::decide_admission(const submission& pending) const
{
    const batch::admission_limits limits{this->values.max_pending_submissions,
                                         this->values.max_queued_per_organisation,
                                         std::size_t{this->values.max_job_state_mb} * bytes_per_mb};
    const core::instant now = core::boot_clock::now();
    batch::admission_load load;
    load.pending_submissions = this->pending_submissions.size();
    load.written = this->submissions_written.count(now);
    load.state_bytes = this->jobs.state_bytes();
    load.own_state_bytes = this->jobs.state_bytes_of(pending.job.organisation);
    load.job_bytes = batch::state_bytes(pending.job);
    if (limits.max_queued_per_organisation > 0)
    {
        std::tie(load.queued, load.started) =
            this->jobs.backlog_of(pending.job.organisation, pending.job.policy.priority, now);
        load.starts_known = this->jobs_loaded_at.has_value() &&
                            now - *this->jobs_loaded_at >= batch::event_rate::window;
        const auto& guaranteed = this->config->guaranteed_accelerators;
        const auto own = guaranteed.find(pending.job.organisation);
        load.lapse = batch::lapse_of(pending.job, own == guaranteed.end() ? 0 : own->second);
    }
    return batch::admit_submission(limits, load);
}

void entry::refuse_unless_stored(const std::shared_ptr<submission>& pending,
                                 const batch::admission_decision& decision)
{
    // Another entry may have stored the job at an earlier attempt of the caller, and this entry's
    // view may not show it yet, or this entry is still writing it. "Not run" would then be wrong.
    if (this->refusal_reads >= max_refusal_reads ||
        this->pending_submissions.contains(pending->job.id))
    {
        this->respond_refused(*pending, client_result::unknown_outcome, decision.reason);
        return;
    }
    ++this->refusal_reads;
    this->read_job(pending->job.id, commit_timeout,
                   [this, pending, decision](const absl::StatusOr<std::optional<cached_job>>& job)
                   {
                       --this->refusal_reads;
                       if (!job.ok())
                       {
                           this->respond_refused(*pending, client_result::unknown_outcome,
                                                 std::string(job.status().message()));
                       }
                       else if (job->has_value())
                       {
                           this->respond_stored(*pending, **job);
                       }
                       else
                       {
                           this->respond_overloaded(*pending, decision);
                       }
                   });
}

void entry::respond_overloaded(const submission& pending, const batch::admission_decision& decision)
{
    const core::milliseconds retry_after =
        this->retry_times.next(core::boot_clock::now(), decision.drain_rate,
                               std::uniform_real_distribution<double>(0, 1)(this->random));
    events::write("job_refused", {{"job", pending.job.id.str()},
                                  {"queue", pending.job.policy.queue.str()},
                                  {"organisation", pending.job.organisation.str()},
                                  {"reason", decision.reason},
                                  {"retry_after_ms", retry_after.count()}});
    this->metrics.increment("jobs", "refused_overload");
    pending.respond(
        platform::answer_response(client_result::overloaded, decision.reason, retry_after));
}

void entry::begin_submission(const std::shared_ptr<submission>& pending)
{
    const ports::row_id row_id = job_row_id(pending->job.id, job_row_kind::accepted);
    pending->changes.conditions.push_back({row_id, 0});
    pending->changes.conditions.push_back(
        {withdrawal_row_id(pending->job.id, pending->job.organisation), 0});
    pending->changes.writes.push_back({row_id, std::move(pending->row)});
    if (this->time_since_store_answer() > store_doubt_threshold)
    {
        this->probe_store_then_submit(pending);
        return;
    }
    this->try_submission(pending);
}

void entry::probe_store_then_submit(const std::shared_ptr<submission>& pending)
{
    // A write without a response has an unknown outcome, and the caller could not safely retry at
    // another entry.
    this->store->read(job_table, site_partition, pending->job.id.str(), 1, commit_timeout,
                      [this, pending](const absl::StatusOr<ports::row_page>& page)
                      {
                          if (page.ok())
                          {
                              this->try_submission(pending);
                              return;
                          }
                          this->respond_refused(*pending, client_result::unavailable,
                                                std::string(page.status().message()));
                      },
                      {});
}

void entry::try_submission(const std::shared_ptr<submission>& pending)
{
    if (this->values.max_pending_submissions > 0 &&
        this->submission_writes >= max_submission_writes)
    {
        this->waiting_submissions.push_back(pending);
        return;
    }
    this->send_submission(pending);
}

void entry::send_waiting_submissions()
{
    while (!this->waiting_submissions.empty() && this->submission_writes < max_submission_writes)
    {
        const std::shared_ptr<submission> next = std::move(this->waiting_submissions.front());
        this->waiting_submissions.pop_front();
        if (core::boot_clock::now() < next->deadline)
        {
            this->send_submission(next);
            continue;
        }
        this->respond_refused(*next,
                              next->may_be_stored ? client_result::unknown_outcome
                                                  : client_result::unavailable,
                              "the submission waited for others until its deadline");
    }
}

void entry::send_submission(const std::shared_ptr<submission>& pending)
{
    const core::milliseconds left = pending->deadline - core::boot_clock::now();
    ++pending->attempts;
    ++this->submission_writes;
    this->store->commit(pending->changes, std::min(commit_timeout, left),
                        [this, pending](const ports::commit_outcome& outcome)
                        {
                            --this->submission_writes;
                            this->on_submission(pending, outcome);
                            this->send_waiting_submissions();
                        });
}

void entry::on_submission(const std::shared_ptr<submission>& pending,
                          const ports::commit_outcome& outcome)
{
    const core::instant now = core::boot_clock::now();
    if (outcome.state == ports::commit_state::applied)
    {
        this->submissions_written.record(now);
        this->respond_accepted(*pending);
        return;
    }
    if (outcome.state == ports::commit_state::conflict)
    {
        this->on_submission_conflict(*pending, outcome.conflicting_rows);
        return;
    }
    if (outcome.state == ports::commit_state::unknown)
    {
        // The retry repeats the same conditional write, which takes effect at most once.
        pending->may_be_stored = true;
        events::write("order_lost", {{"job", pending->job.id.str()}, {"reason", outcome.message}});
    }
    const core::instant deadline =
        pending->may_be_stored
            ? pending->deadline
            : std::min(pending->deadline, pending->started_at + refused_write_timeout);
    if (now + write_retry_delay >= deadline)
    {
        this->respond_refused(*pending,
                              pending->may_be_stored ? client_result::unknown_outcome
                                                     : client_result::unavailable,
                              outcome.message);
        return;
    }
    this->loop.run_after(write_retry_delay, [this, pending] { this->try_submission(pending); });
}

void entry::on_submission_conflict(const submission& pending, const std::vector<ports::row>& rows)
{
    job_view view;
    bool withdrawn = false;
    for (const ports::row& row : rows)
    {
        if (row.id.table == withdrawal_table)
        {
            withdrawn = true;
            continue;
        }
        view.apply(row, core::boot_clock::now());
    }
    const cached_job* const stored = view.find(pending.job.id);
    if (stored != nullptr)
    {
        // Stored by an earlier attempt or another entry.
        this->submissions_written.record(core::boot_clock::now());
        this->respond_stored(pending, *stored);
    }
    else if (withdrawn)
    {
        this->respond_refused(pending, client_result::withdrawn,
                              "the job was cancelled before it was accepted");
    }
    else
    {
        this->respond_refused(pending, client_result::unknown_outcome,
                              "the row of the job is not a valid job");
    }
}

void entry::respond_stored(const submission& pending, const cached_job& stored)
{
    if (stored.organisation == pending.job.organisation && stored.queue == pending.job.policy.queue)
    {
        this->respond_accepted(pending);
        return;
    }
    this->respond_refused(pending, client_result::id_in_use,
                          "another queue or organisation has a job of this ID");
}

void entry::end_pending(const submission& pending)
{
    const auto found = this->pending_submissions.find(pending.job.id);
    if (pending.admitted && found != this->pending_submissions.end())
    {
        this->pending_submissions.erase(found);
    }
}

void entry::respond_accepted(const submission& pending)
{
    // The key must still be valid when the response is sent, not only when the request arrived.
    batch::api_request recheck;
    recheck.method = batch::http_method::get;
    recheck.host = pending.call.route.host;
    recheck.path = pending.call.route.path_prefix;
    recheck.key = pending.key;
    batch::config_freshness freshness = this->config_freshness();
    // The job is stored: a public queue's is not called unknown because its route may be outdated.
    freshness.newer_exists = false;
    const batch::resolved_request revalidated = batch::resolve_request(
        recheck, this->config.has_value() ? &*this->config : nullptr, freshness);
    if (revalidated.rejection != batch::rejection_reason::none &&
        revalidated.rejection != batch::rejection_reason::unknown_queue)
    {
        this->respond_refused(pending, client_result::unknown_outcome,
                              "the caller's key is no longer confirmed as valid");
        return;
    }
    this->end_pending(pending);
    const core::milliseconds duration = core::boot_clock::now() - pending.started_at;
    events::write("job_accepted", {{"job", pending.job.id.str()},
                                   {"queue", pending.job.policy.queue.str()},
                                   {"organisation", pending.job.organisation.str()},
                                   {"config_version", this->config->version},
                                   {"config_age_ms", this->config_age().count()},
                                   {"tries", static_cast<std::int64_t>(pending.attempts)},
                                   {"took_ms", duration.count()}});
    this->metrics.increment("jobs", "accepted");
    this->metrics.observe("accept", pending.job.organisation.str(), pending.job.policy.queue.str(),
                          duration);
    pending.respond(platform::answer_response(client_result::accepted, {}, {}));
}

void entry::respond_refused(const submission& pending, client_result answer,
                            const std::string& reason)
{
    this->end_pending(pending);
    const bool unknown = answer == client_result::unknown_outcome;
    events::write(unknown ? "job_unsettled" : "job_refused",
                  {{"job", pending.job.id.str()},
                   {"queue", pending.job.policy.queue.str()},
                   {"organisation", pending.job.organisation.str()},
                   {"reason", reason},
                   {"tries", static_cast<std::int64_t>(pending.attempts)},
                   {"config_age_ms", this->config_age().count()}});
    this->metrics.increment("jobs", unknown ? "unsettled" : "refused");
    const core::milliseconds retry_after = answer == client_result::withdrawn
                                               ? ended_job_retention(this->values)
                                               : this->retry_after();
    net::server_response response = platform::answer_response(answer, reason, retry_after);
    response.close_connection = this->time_since_store_answer() > store_doubt_threshold;
    pending.respond(response);
}

void entry::read_job(const core::job_id& job, core::milliseconds timeout,
                     std::function<void(const absl::StatusOr<std::optional<cached_job>>&)> on_job)
{
    const cached_job* const known = this->jobs.find(job);
    if (known != nullptr)
    {
        on_job(std::optional(*known));
        return;
    }
    this->read_stored_job(job, timeout, std::move(on_job));
}

void entry::read_stored_job(
    const core::job_id& job, core::milliseconds timeout,
    std::function<void(const absl::StatusOr<std::optional<cached_job>>&)> on_job)
{
    constexpr std::size_t rows_per_job = 3;
    this->store->read(job_table, site_partition, job.str(), rows_per_job, timeout,
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
                              view.apply(row, core::boot_clock::now());
                          }
                          const cached_job* const found = view.find(job);
                          on_job(found == nullptr ? std::optional<cached_job>{}
                                                  : std::optional(*found));
                      },
                      {});
}

void entry::show(const batch::resolved_request& call, const responder& respond)
{
    this->read_job(
        call.job, commit_timeout,
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
        respond(platform::answer_response(client_result::unavailable,
                                          "the job table has not been loaded yet",
                                          this->retry_after()));
        return;
    }
    respond(platform::pending_response(this->jobs.queued_count(call.route.policy.queue)));
}

} // namespace chicorylift::site
