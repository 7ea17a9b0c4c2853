#include "platform/http_codec.hpp"
#include "site/entry.hpp"
#include "site/entry_timing.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"
#include "support/unix_clock.hpp"

#include <algorithm>

/// Cancellations of stored jobs, and of jobs that are not stored yet.
///
/// A submission may be on its way when its job is cancelled: at another entry, in a write that the
/// store performs late, or in the caller's own repetition. So "no such job" is backed by a row, the
/// withdrawal, which the write of a submission requires not to exist.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;
using ports::client_result;

} // namespace

/// Cancellation that is being written to the store.
struct entry::cancellation
{
    core::job_id job;
    core::organisation_id organisation;
    ports::transaction changes;
    responder respond;
    core::instant started_at;
    core::instant deadline;
    /// A conflict has shown that the entry's view of the job is outdated.
    bool view_outdated = false;
    /// Writes a withdrawal, since the job is not stored.
    bool withdraws = false;
    bool may_be_stored = false;
};

void entry::cancel(const net::server_request& request, const batch::resolved_request& call,
                   const responder& respond)
{
    auto pending = std::make_shared<cancellation>();
    pending->job = call.job;
    pending->organisation = call.organisation;
    pending->respond = respond;
    pending->started_at = core::boot_clock::now();
    pending->deadline = pending->started_at +
                        platform::parse_timeout(request).value_or(default_call_timeout) -
                        response_margin;
    this->decide_cancellation(pending);
}

void entry::decide_cancellation(const std::shared_ptr<cancellation>& pending)
{
    const auto on_job = [this, pending](const absl::StatusOr<std::optional<cached_job>>& job)
    {
        if (!job.ok())
        {
            this->respond_not_cancelled(*pending, "the store does not answer");
            return;
        }
        this->begin_cancellation(pending, *job);
    };
    if (pending->view_outdated)
    {
        this->read_stored_job(pending->job, commit_timeout, on_job);
        return;
    }
    this->read_job(pending->job, commit_timeout, on_job);
}

void entry::begin_cancellation(const std::shared_ptr<cancellation>& pending,
                               const std::optional<cached_job>& job)
{
    const bool is_own = job.has_value() && job->organisation == pending->organisation;
    if (is_own && (job->cancelled || job->completed || job->failed))
    {
        pending->respond(platform::answer_response(client_result::cancelled, {}, {}));
        return;
    }
    wire::batch_cancel row;
    row.set_entry(this->values.name);
    row.set_cancelled_ms(support::unix_now().count());
    pending->withdraws = !is_own;
    pending->changes = {};
    pending->changes.conditions.push_back({job_row_id(pending->job, job_row_kind::accepted),
                                           job.has_value() ? job->accepted_version : 0});
    pending->changes.writes.push_back({is_own
                                           ? job_row_id(pending->job, job_row_kind::cancel)
                                           : withdrawal_row_id(pending->job, pending->organisation),
                                       row.SerializeAsString()});
    if (!is_own)
    {
        const core::milliseconds wait =
            this->withdrawals.take(pending->organisation, core::boot_clock::now());
        if (wait.count() > 0)
        {
            events::write("call_refused", {{"job", pending->job.str()},
                                           {"organisation", pending->organisation.str()},
                                           {"reason", "too many cancellations of unknown jobs"},
                                           {"retry_after_ms", wait.count()}});
            this->metrics.increment("calls_refused", "withdrawal quota");
            pending->respond(platform::answer_response(
                client_result::overloaded, "too many cancellations of unknown jobs", wait));
            return;
        }
    }
    this->try_cancellation(pending);
}

void entry::try_cancellation(const std::shared_ptr<cancellation>& pending)
{
    const core::milliseconds left = pending->deadline - core::boot_clock::now();
    this->store->commit(pending->changes, std::min(commit_timeout, left),
                        [this, pending](const ports::commit_outcome& outcome)
                        { this->on_cancellation(pending, outcome); });
}

void entry::on_cancellation(const std::shared_ptr<cancellation>& pending,
                            const ports::commit_outcome& outcome)
{
    if (outcome.state == ports::commit_state::applied)
    {
        events::write(pending->withdraws ? "job_withdrawn" : "job_cancel_accepted",
                      {{"job", pending->job.str()},
                       {"took_ms", (core::boot_clock::now() - pending->started_at).count()}});
        this->metrics.increment("jobs", pending->withdraws ? "withdrawn" : "cancelled");
        pending->respond(
            pending->withdraws
                ? platform::answer_response(client_result::not_found, "no such job", {})
                : platform::answer_response(client_result::cancelled, {}, {}));
        return;
    }
    pending->may_be_stored =
        pending->may_be_stored || outcome.state == ports::commit_state::unknown;
    if (core::boot_clock::now() + write_retry_delay >= pending->deadline)
    {
        this->respond_not_cancelled(*pending, outcome.message);
        return;
    }
    if (outcome.state == ports::commit_state::conflict)
    {
        // The job was stored, or its row removed, since it was looked up.
        pending->view_outdated = true;
        this->loop.run_after(write_retry_delay,
                             [this, pending] { this->decide_cancellation(pending); });
        return;
    }
    this->loop.run_after(write_retry_delay, [this, pending] { this->try_cancellation(pending); });
}

void entry::respond_not_cancelled(const cancellation& pending, const std::string& reason)
{
    events::write("call_refused", {{"job", pending.job.str()},
                                   {"reason", reason},
                                   {"may_be_stored", pending.may_be_stored ? "yes" : "no"}});
    pending.respond(platform::answer_response(pending.may_be_stored ? client_result::unknown_outcome
                                                                    : client_result::unavailable,
                                              reason, this->retry_after()));
}

} // namespace chicorylift::site
