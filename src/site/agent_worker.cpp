#include "platform/http_codec.hpp"
#include "site/agent.hpp"
#include "support/events.hpp"

/// The agent's part that speaks with its worker.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

// How long a look waits for an end; also the longest time between two renewals.
constexpr core::milliseconds look_wait{600};
// Pause between looks while ends wait to be written, which would answer each look at once, or
// while a stop is awaited; urgent work waits for what these looks bring.
constexpr core::milliseconds unnoted_pause{40};
constexpr core::milliseconds failed_look_pause{200};
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;

batch::start_result answer_of(ports::command_status result)
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
        const auto said = platform::parse_announcement(request.path_segments.back(), request.body);
        if (said.ok())
        {
            this->on_announcement(*said);
        }
        else
        {
            response.status = status_bad_request;
        }
        break;
    }
    case platform::agent_request::leave:
        this->on_worker_left();
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

void agent::on_announcement(const ports::announcement& said)
{
    const batch::worker_info& now_said = said.worker;
    const bool same_life = this->worker_info.announced && this->worker_info.id == now_said.id &&
                           this->worker_info.started_at == now_said.started_at;
    if (this->worker_info.announced && now_said.started_at < this->worker_info.started_at)
    {
        // Sent by an earlier life and delayed on its way.
        return;
    }
    if (same_life && said.sequence <= this->announcement_sequence)
    {
        return;
    }
    const bool changed = !same_life || this->worker_info.draining != now_said.draining ||
                         this->worker_info.capacity != now_said.capacity ||
                         this->worker_info.labels != now_said.labels;
    if (now_said.started_at != this->worker_info.started_at)
    {
        this->on_worker_incarnation(now_said.started_at);
    }
    const bool gone = this->worker_info.unresponsive;
    this->announcement_sequence = said.sequence;
    this->worker_info = now_said;
    this->worker_info.unresponsive = gone && same_life;
    this->worker_left = false;
    if (changed)
    {
        events::write("worker_announced", {{"worker", now_said.id.str()},
                                           {"born_ms", now_said.started_at.count()},
                                           {"draining", now_said.draining ? "yes" : "no"},
                                           {"accelerators", now_said.capacity.accelerators},
                                           {"rack", now_said.rack.str()},
                                           {"sequence", said.sequence}});
        this->report_soon();
    }
    if (!same_life)
    {
        this->schedule_worker_poll(core::milliseconds{0});
    }
}

void agent::on_worker_left()
{
    this->worker_left = true;
    this->worker_info.unresponsive = true;
    this->worker_info.draining = true;
    events::write("worker_left", {{"worker", this->worker_info.id.str()}});
    this->report_soon();
}

void agent::on_worker_incarnation(batch::unix_time born)
{
    if (this->worker_info.started_at.count() != 0 && born != this->worker_info.started_at)
    {
        events::write("worker_restarted",
                      {{"worker", this->worker_info.id.str()}, {"born_ms", born.count()}});
        this->runs.on_worker_restarted();
        this->snapshot_valid = false;
        this->lease.forget_clock();
        this->announcement_sequence = 0;
    }
    this->acknowledged_end = 0;
    this->worker_info.started_at = born;
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
    ports::poll_request what;
    what.epoch = this->epoch;
    what.acknowledged_end = this->acknowledged_end;
    // A worker that does not answer is left alone, so that its lease ends when the lead thinks.
    what.lease_expiry = this->worker_info.unresponsive ? ports::worker_time{0}
                                                       : this->lease.expiry_on_worker_clock(now);
    const bool quiet = this->snapshot_valid && this->contact.last_call_succeeded() &&
                       !this->runs.has_unacknowledged_ends() && !this->poll_again &&
                       !this->runs.has_pending_commands();
    what.max_wait = quiet ? look_wait : core::milliseconds{0};
    this->poll_again = false;
    this->poll_in_flight = true;
    this->worker->poll({}, what,
                       [this, now, epoch = this->epoch,
                        number = ++this->poll_sequence](const ports::poll_outcome& outcome)
                       {
                           // Lists of a look that was overtaken may be older than those taken in
                           // since.
                           if (number == this->poll_sequence)
                           {
                               this->poll_in_flight = false;
                               this->on_worker_poll(outcome, now, epoch);
                           }
                       });
}

void agent::poll_worker_now()
{
    // A look that waits for news holds back a new lead for as long as it waits.
    this->poll_in_flight = false;
    this->schedule_worker_poll(core::milliseconds{0});
}

void agent::on_worker_poll(const ports::poll_outcome& outcome, core::instant asked,
                           std::uint64_t asked_epoch)
{
    const core::instant now = core::boot_clock::now();
    if (outcome.error == ports::poll_error::fenced)
    {
        // The worker has seen a later lead than this agent.
        this->snapshot_valid = false;
        this->read_leader_row(false);
        this->schedule_worker_poll(failed_look_pause);
        return;
    }
    if (outcome.error != ports::poll_error::none)
    {
        this->on_worker_poll_failed(outcome.message);
        this->schedule_worker_poll(failed_look_pause);
        return;
    }
    this->contact.on_response(now);
    if (this->worker_info.unresponsive && !this->worker_left)
    {
        this->worker_info.unresponsive = false;
        events::write("worker_back", {{"worker", this->worker_info.id.str()}});
        this->report_soon();
    }
    if (outcome.snapshot.started_at != this->worker_info.started_at &&
        outcome.snapshot.started_at.count() != 0)
    {
        if (outcome.snapshot.started_at < this->worker_info.started_at)
        {
            this->schedule_worker_poll(failed_look_pause);
            return;
        }
        this->on_worker_incarnation(outcome.snapshot.started_at);
    }
    this->lease.on_clock(outcome.snapshot.now, now);
    const bool was_valid = this->snapshot_valid;
    const bool changed =
        this->runs.on_run_lists(outcome.snapshot.running, outcome.snapshot.ended, asked, now);
    if (asked_epoch == this->epoch)
    {
        this->snapshot_valid = true;
    }
    if (changed || this->snapshot_valid != was_valid)
    {
        this->report_soon();
    }
    const bool at_once = this->poll_again || asked_epoch != this->epoch;
    const bool busy = this->runs.has_unacknowledged_ends() || this->runs.has_pending_commands();
    this->schedule_worker_poll(at_once ? core::milliseconds{0}
                               : busy  ? unnoted_pause
                                       : core::milliseconds{0});
}

void agent::on_worker_poll_failed(const std::string& why)
{
    const core::instant now = core::boot_clock::now();
    this->contact.on_failure();
    // It is reported, and its lease is left to end.
    if (!this->worker_info.unresponsive && this->contact.is_unresponsive(now) &&
        this->worker_info.started_at.count() != 0)
    {
        this->worker_info.unresponsive = true;
        this->snapshot_valid = false;
        events::write("worker_silent",
                      {{"worker", this->worker_info.id.str()},
                       {"reason", why},
                       {"for_ms", this->contact.time_since_response(now).count()}});
        this->report_soon();
    }
}

void agent::send_to_worker(const batch::worker_command& action)
{
    const batch::run_table::run_key key{action.unit, action.run};
    if (action.what == batch::worker_command::kind::stop)
    {
        this->worker->stop(this->worker_info.id, action.unit, action.run, this->epoch,
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
    start.unit = action.unit;
    start.run = action.run;
    start.epoch = this->epoch;
    start.payload = action.payload;
    start.checkpoint = action.checkpoint;
    start.lease_expiry = this->lease.expiry_on_worker_clock(core::boot_clock::now());
    this->worker->start(
        this->worker_info.id, start,
        [this, key, checkpoint = action.checkpoint](const ports::command_outcome& outcome)
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
            this->runs.on_start_result(key, answer_of(outcome.status), outcome.reason,
                                       core::boot_clock::now());
            this->report_soon();
        });
}

void agent::retry_due_commands()
{
    for (const batch::worker_command& action : this->runs.take_due_retries(core::boot_clock::now()))
    {
        this->send_to_worker(action);
    }
}

} // namespace chicorylift::site
