#include "platform/http_codec.hpp"
#include "site/agent.hpp"
#include "support/events.hpp"

/// Parts of the agent that communicate with its worker.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

// Longest time for which a poll waits for a run to end, and thus between two lease renewals.
constexpr core::milliseconds poll_max_wait{600};
// Interval between polls while ends are unacknowledged or a command is pending. Unacknowledged ends
// make the worker answer each poll at once. Kept short, because urgent work waits for the results.
constexpr core::milliseconds busy_poll_interval{40};
constexpr core::milliseconds poll_retry_delay{200};
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;

batch::start_result to_start_result(ports::command_status result)
{
    switch (result)
    {
    case ports::command_status::accepted:
        return batch::start_result::accepted;
    case ports::command_status::refused:
        return batch::start_result::refused;
    case ports::command_status::unavailable:
        return batch::start_result::unavailable;
    case ports::command_status::unknown:
        break;
    }
    return batch::start_result::unknown;
}

} // namespace

void agent::handle_worker_request(const net::server_request& request,
                                  const net::async_http_server::responder& respond)
{
    net::server_response response;
    switch (platform::parse_agent_request(request))
    {
    case platform::agent_request::announce:
    {
        const auto announcement = platform::parse_announcement(
            request.path_segments.back(), request.body, this->values.max_json_values);
        if (announcement.ok())
        {
            this->on_announcement(*announcement);
        }
        else
        {
            response.status = status_bad_request;
        }
        break;
    }
    case platform::agent_request::leave:
        this->on_worker_left(core::worker_id(request.path_segments.back()));
        break;
    case platform::agent_request::unknown:
        response.status = status_not_found;
        break;
    }
    if (response.status == 200)
    {
        response.body = "{}";
    }
    respond(response);
}

void agent::on_announcement(const ports::announcement& announcement)
{
    const batch::registration_result result =
        this->registration.on_announcement(announcement.worker, announcement.sequence);
    if (result == batch::registration_result::waiting)
    {
        // The worker must respond at once, not when the next run ends.
        this->poll_again = true;
        this->poll_worker_now();
        return;
    }
    if (result == batch::registration_result::rejected)
    {
        events::write("announcement_ignored", {{"worker", announcement.worker.id.str()},
                                               {"born_ms", announcement.worker.started_at.count()},
                                               {"service", announcement.worker.service.str()},
                                               {"own_worker", this->worker_info.id.str()}});
    }
    if (result == batch::registration_result::accepted)
    {
        this->on_registered();
    }
}

void agent::on_registered()
{
    const batch::worker_info before = std::exchange(this->worker_info, this->registration.worker());
    this->worker_info.unresponsive = before.unresponsive;
    this->worker_left = false;
    if (before.announced && before.id == this->worker_info.id &&
        before.started_at == this->worker_info.started_at &&
        before.draining == this->worker_info.draining &&
        before.capacity == this->worker_info.capacity && before.labels == this->worker_info.labels)
    {
        return;
    }
    events::write("worker_announced", {{"worker", this->worker_info.id.str()},
                                       {"born_ms", this->worker_info.started_at.count()},
                                       {"draining", this->worker_info.draining ? "yes" : "no"},
                                       {"accelerators", this->worker_info.capacity.accelerators},
                                       {"rack", this->worker_info.rack.str()}});
    this->report_soon();
}

void agent::on_worker_left(const core::worker_id& id)
{
    if (id != this->worker_info.id)
    {
        events::write("announcement_ignored",
                      {{"worker", id.str()}, {"own_worker", this->worker_info.id.str()}});
        return;
    }
    this->worker_left = true;
    this->worker_info.unresponsive = true;
    this->worker_info.draining = true;
    events::write("worker_left", {{"worker", this->worker_info.id.str()}});
    this->report_soon();
}

void agent::on_worker_response(batch::unix_time started_at)
{
    const std::optional<batch::registration_result> announcement =
        this->registration.on_response(started_at);
    const batch::unix_time process = this->registration.worker().started_at;
    if (process != this->worker_info.started_at)
    {
        if (this->worker_info.started_at.count() != 0)
        {
            events::write("worker_restarted",
                          {{"worker", this->worker_info.id.str()}, {"born_ms", process.count()}});
            this->runs.on_worker_restarted();
            this->snapshot_valid = false;
            this->lease.forget_clock();
        }
        this->acknowledged_end = 0;
        this->worker_info = {};
        this->worker_info.started_at = process;
        this->report_soon();
    }
    if (announcement == batch::registration_result::accepted)
    {
        this->on_registered();
    }
    else if (announcement == batch::registration_result::rejected)
    {
        events::write("announcement_ignored", {{"own_worker", this->worker_info.id.str()},
                                               {"own_born_ms", process.count()}});
    }
}

void agent::schedule_worker_poll(core::milliseconds delay)
{
    if (this->poll_in_flight)
    {
        this->poll_again = this->poll_again || delay.count() == 0;
        return;
    }
    this->loop.cancel(this->poll_timer);
    this->poll_timer = this->loop.run_after(delay, [this] { this->poll_worker(); });
}

void agent::poll_worker()
{
    if (this->poll_in_flight || this->epoch == 0)
    {
        return;
    }
    const core::instant now = core::boot_clock::now();
    ports::poll_request request;
    request.epoch = this->epoch;
    request.acknowledged_end = this->acknowledged_end;
    // The lease of an unresponsive worker is not renewed, so that it expires by the time that the
    // leader assumes.
    request.lease_expiry = this->worker_info.unresponsive ? ports::worker_time{0}
                                                          : this->lease.expiry_on_worker_clock(now);
    const bool may_wait = this->snapshot_valid && this->liveness.last_call_succeeded() &&
                          !this->runs.has_unacknowledged_ends() && !this->poll_again &&
                          !this->runs.has_pending_commands();
    request.max_wait = may_wait ? poll_max_wait : core::milliseconds{0};
    this->poll_again = false;
    this->poll_in_flight = true;
    this->worker->poll({}, request,
                       [this, now, epoch = this->epoch,
                        number = ++this->poll_sequence](const ports::poll_outcome& outcome)
                       {
                           // The lists of a superseded poll may be older than those already
                           // applied.
                           if (number == this->poll_sequence)
                           {
                               this->poll_in_flight = false;
                               this->on_worker_poll(outcome, now, epoch);
                           }
                       });
}

void agent::poll_worker_now()
{
    // A long poll in flight would delay a new leader until it returns.
    this->poll_in_flight = false;
    this->schedule_worker_poll(core::milliseconds{0});
}

void agent::on_worker_poll(const ports::poll_outcome& outcome, core::instant sent_at,
                           std::uint64_t poll_epoch)
{
    const core::instant now = core::boot_clock::now();
    if (outcome.error == ports::poll_error::fenced)
    {
        // The worker has seen a higher epoch than this agent.
        this->snapshot_valid = false;
        this->read_leader_row(false);
        this->schedule_worker_poll(poll_retry_delay);
        return;
    }
    if (outcome.error != ports::poll_error::none)
    {
        this->on_worker_poll_failed(outcome);
        this->schedule_worker_poll(poll_retry_delay);
        return;
    }
    this->liveness.on_response(now);
    if (this->worker_info.unresponsive && !this->worker_left)
    {
        this->worker_info.unresponsive = false;
        events::write("worker_back", {{"worker", this->worker_info.id.str()}});
        this->report_soon();
    }
    this->on_worker_response(outcome.snapshot.started_at);
    this->lease.on_clock(outcome.snapshot.now, now);
    if (outcome.snapshot.unreadable_rows > 0)
    {
        events::write("worker_rows_ignored",
                      {{"worker", this->worker_info.id.str()},
                       {"rows", static_cast<std::uint64_t>(outcome.snapshot.unreadable_rows)}});
    }
    const bool was_valid = this->snapshot_valid;
    const bool changed = this->runs.on_run_lists(
        {outcome.snapshot.running, outcome.snapshot.ended, outcome.snapshot.ends_complete}, sent_at,
        now);
    if (poll_epoch == this->epoch)
    {
        this->snapshot_valid = true;
    }
    if (changed || this->snapshot_valid != was_valid)
    {
        this->report_soon();
    }
    const bool immediate = this->poll_again || poll_epoch != this->epoch;
    const bool busy = this->runs.has_unacknowledged_ends() || this->runs.has_pending_commands();
    this->schedule_worker_poll(immediate ? core::milliseconds{0}
                               : busy    ? busy_poll_interval
                                         : core::milliseconds{0});
}

void agent::on_worker_poll_failed(const ports::poll_outcome& outcome)
{
    const core::instant now = core::boot_clock::now();
    this->liveness.on_failure();
    if (this->worker_left && outcome.error == ports::poll_error::refused)
    {
        // A worker announces its departure and then ends, and so do its runs. The announcement
        // alone may be a delayed one of an earlier process.
        this->snapshot_valid = true;
        if (this->runs.on_worker_ended())
        {
            this->report_soon();
        }
        return;
    }
    // The leader is informed; the lease is no longer renewed and expires.
    if (!this->worker_info.unresponsive && this->liveness.is_unresponsive(now))
    {
        this->worker_info.unresponsive = true;
        this->snapshot_valid = false;
        events::write("worker_silent",
                      {{"worker", this->worker_info.id.str()},
                       {"reason", outcome.message},
                       {"for_ms", this->liveness.time_since_response(now).count()}});
        this->report_soon();
    }
}

void agent::send_to_worker(const batch::worker_command& command)
{
    const batch::run_table::run_key key{command.unit, command.run};
    if (command.what == batch::worker_command::kind::stop)
    {
        this->worker->stop(this->worker_info.id, command.unit, command.run, this->epoch,
                           [this, key](const ports::command_outcome& outcome)
                           {
                               if (outcome.status != ports::command_status::accepted)
                               {
                                   events::write("order_lost", {{"unit", batch::to_text(key.first)},
                                                                {"run", key.second},
                                                                {"order", "stop"},
                                                                {"reason", outcome.reason}});
                               }
                               this->runs.on_stop_result(
                                   key, outcome.status == ports::command_status::accepted,
                                   core::boot_clock::now());
                               this->schedule_worker_poll(core::milliseconds{0});
                           });
        return;
    }
    ports::start_request start;
    start.unit = command.unit;
    start.run = command.run;
    start.epoch = this->epoch;
    start.payload = command.payload;
    start.checkpoint = command.checkpoint;
    start.lease_expiry = this->lease.expiry_on_worker_clock(core::boot_clock::now());
    this->worker->start(
        this->worker_info.id, start,
        [this, key, checkpoint = command.checkpoint](const ports::command_outcome& outcome)
        {
            const bool started = outcome.status == ports::command_status::accepted;
            events::write(started                                            ? "run_started"
                          : outcome.status == ports::command_status::unknown ? "order_lost"
                                                                             : "start_refused",
                          {{"unit", batch::to_text(key.first)},
                           {"run", key.second},
                           {"worker", this->worker_info.id.str()},
                           {"epoch", this->epoch},
                           {"from_state", checkpoint},
                           {"reason", outcome.reason}});
            this->metrics.increment("starts", started ? "accepted" : outcome.reason);
            this->runs.on_start_result(key, to_start_result(outcome.status), outcome.reason,
                                       core::boot_clock::now());
            this->report_soon();
        });
}

void agent::retry_due_commands()
{
    for (const batch::worker_command& command :
         this->runs.take_due_retries(core::boot_clock::now()))
    {
        this->send_to_worker(command);
    }
}

} // namespace chicorylift::site
