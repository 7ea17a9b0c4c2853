#include "platform/front_dialect.hpp"
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

batch::start_answer answer_of(ports::order_result result)
{
    switch (result)
    {
    case ports::order_result::accepted:
        return batch::start_answer::accepted;
    case ports::order_result::refused:
        return batch::start_answer::refused;
    case ports::order_result::unavailable:
        return batch::start_answer::unavailable;
    case ports::order_result::unknown:
        break;
    }
    return batch::start_answer::unknown;
}

} // namespace

void agent::answer_worker(const net::server_request& request,
                          const net::async_http_server::responder& respond)
{
    net::server_response response;
    switch (platform::read_agent_call(request))
    {
    case platform::agent_call::announce:
    {
        const auto said = platform::read_announcement(request.path.back(), request.body);
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
    case platform::agent_call::leave:
        this->on_worker_left();
        break;
    case platform::agent_call::unknown:
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
    const bool same_life =
        this->info.announced && this->info.id == now_said.id && this->info.born == now_said.born;
    if (this->info.announced && now_said.born < this->info.born)
    {
        // Sent by an earlier life and delayed on its way.
        return;
    }
    if (same_life && said.sequence <= this->announcement_sequence)
    {
        return;
    }
    const bool changed = !same_life || this->info.draining != now_said.draining ||
                         this->info.capacity != now_said.capacity ||
                         this->info.labels != now_said.labels;
    if (now_said.born != this->info.born)
    {
        this->on_worker_life(now_said.born);
    }
    const bool gone = this->info.gone;
    this->announcement_sequence = said.sequence;
    this->info = now_said;
    this->info.gone = gone && same_life;
    this->worker_left = false;
    if (changed)
    {
        events::write("worker_announced", {{"worker", now_said.id.str()},
                                           {"born_ms", now_said.born.count()},
                                           {"draining", now_said.draining ? "yes" : "no"},
                                           {"accelerators", now_said.capacity.accelerators},
                                           {"rack", now_said.rack.str()},
                                           {"sequence", said.sequence}});
        this->report_soon();
    }
    if (!same_life)
    {
        this->schedule_look(core::milliseconds{0});
    }
}

void agent::on_worker_left()
{
    this->worker_left = true;
    this->info.gone = true;
    this->info.draining = true;
    events::write("worker_left", {{"worker", this->info.id.str()}});
    this->report_soon();
}

void agent::on_worker_life(batch::unix_time born)
{
    if (this->info.born.count() != 0 && born != this->info.born)
    {
        events::write("worker_restarted",
                      {{"worker", this->info.id.str()}, {"born_ms", born.count()}});
        this->runs.on_worker_restarted();
        this->lists_valid = false;
        this->lease.forget_clock();
        this->announcement_sequence = 0;
    }
    this->noted = 0;
    this->info.born = born;
}

void agent::schedule_look(core::milliseconds delay)
{
    if (this->look_in_flight)
    {
        this->look_again = this->look_again || delay.count() == 0;
        return;
    }
    this->loop.cancel(this->look_timer);
    this->look_timer = this->loop.after(delay, [this] { this->look(); });
}

void agent::look()
{
    if (this->look_in_flight || this->epoch == 0)
    {
        return;
    }
    const core::instant now = core::boot_clock::now();
    ports::worker_look what;
    what.epoch = this->epoch;
    what.noted = this->noted;
    // A worker that does not answer is left alone, so that its lease ends when the lead thinks.
    what.lease_until = this->info.gone ? ports::worker_clock{0} : this->lease.end_on_worker(now);
    const bool quiet = this->lists_valid && this->contact.is_sound() &&
                       !this->runs.has_listed_ends() && !this->look_again &&
                       !this->runs.has_open_orders();
    what.wait = quiet ? look_wait : core::milliseconds{0};
    this->look_again = false;
    this->look_in_flight = true;
    this->worker->look({}, what,
                       [this, now, epoch = this->epoch,
                        number = ++this->look_number](const ports::look_outcome& outcome)
                       {
                           // Lists of a look that was overtaken may be older than those taken in
                           // since.
                           if (number == this->look_number)
                           {
                               this->look_in_flight = false;
                               this->on_look(outcome, now, epoch);
                           }
                       });
}

void agent::look_at_once()
{
    // A look that waits for news holds back a new lead for as long as it waits.
    this->look_in_flight = false;
    this->schedule_look(core::milliseconds{0});
}

void agent::on_look(const ports::look_outcome& outcome, core::instant asked,
                    std::uint64_t asked_epoch)
{
    const core::instant now = core::boot_clock::now();
    if (outcome.failure == ports::look_failure::fenced)
    {
        // The worker has seen a later lead than this agent.
        this->lists_valid = false;
        this->read_lead_row(false);
        this->schedule_look(failed_look_pause);
        return;
    }
    if (outcome.failure != ports::look_failure::none)
    {
        this->worker_failed(outcome.message);
        this->schedule_look(failed_look_pause);
        return;
    }
    this->contact.on_answer(now);
    if (this->info.gone && !this->worker_left)
    {
        this->info.gone = false;
        events::write("worker_back", {{"worker", this->info.id.str()}});
        this->report_soon();
    }
    if (outcome.lists.born != this->info.born && outcome.lists.born.count() != 0)
    {
        if (outcome.lists.born < this->info.born)
        {
            this->schedule_look(failed_look_pause);
            return;
        }
        this->on_worker_life(outcome.lists.born);
    }
    this->lease.on_clock(outcome.lists.clock, now);
    const bool was_valid = this->lists_valid;
    const bool changed =
        this->runs.on_lists(outcome.lists.running, outcome.lists.ended, asked, now);
    if (asked_epoch == this->epoch)
    {
        this->lists_valid = true;
    }
    if (changed || this->lists_valid != was_valid)
    {
        this->report_soon();
    }
    const bool at_once = this->look_again || asked_epoch != this->epoch;
    const bool busy = this->runs.has_listed_ends() || this->runs.has_open_orders();
    this->schedule_look(at_once ? core::milliseconds{0}
                        : busy  ? unnoted_pause
                                : core::milliseconds{0});
}

void agent::worker_failed(const std::string& why)
{
    const core::instant now = core::boot_clock::now();
    this->contact.on_failure();
    // It is reported, and its lease is left to end.
    if (!this->info.gone && this->contact.is_silent(now) && this->info.born.count() != 0)
    {
        this->info.gone = true;
        this->lists_valid = false;
        events::write("worker_silent", {{"worker", this->info.id.str()},
                                        {"reason", why},
                                        {"for_ms", this->contact.silence(now).count()}});
        this->report_soon();
    }
}

void agent::carry_out(const batch::worker_action& action)
{
    const batch::run_table::run_key key{action.unit, action.run};
    if (action.what == batch::worker_action::kind::stop)
    {
        this->worker->stop(this->info.id, action.unit, action.run, this->epoch,
                           [this, key](const ports::order_outcome& outcome)
                           {
                               if (outcome.result != ports::order_result::accepted)
                               {
                                   events::write("order_lost", {{"unit", batch::to_text(key.first)},
                                                                {"run", key.second},
                                                                {"order", "stop"},
                                                                {"reason", outcome.reason}});
                               }
                               this->runs.on_stop_answer(
                                   key, outcome.result == ports::order_result::accepted,
                                   core::boot_clock::now());
                               this->schedule_look(core::milliseconds{0});
                           });
        return;
    }
    ports::worker_start start;
    start.unit = action.unit;
    start.run = action.run;
    start.epoch = this->epoch;
    start.payload = action.payload;
    start.checkpoint = action.checkpoint;
    start.lease_until = this->lease.end_on_worker(core::boot_clock::now());
    this->worker->start(
        this->info.id, start,
        [this, key, checkpoint = action.checkpoint](const ports::order_outcome& outcome)
        {
            const bool started = outcome.result == ports::order_result::accepted;
            events::write(started                                          ? "run_started"
                          : outcome.result == ports::order_result::unknown ? "order_lost"
                                                                           : "start_refused",
                          {{"unit", batch::to_text(key.first)},
                           {"run", key.second},
                           {"worker", this->info.id.str()},
                           {"epoch", this->epoch},
                           {"from_state", checkpoint},
                           {"reason", outcome.reason}});
            this->figures.count("starts", started ? "accepted" : outcome.reason);
            this->runs.on_start_answer(key, answer_of(outcome.result), outcome.reason,
                                       core::boot_clock::now());
            this->report_soon();
        });
}

void agent::check_orders()
{
    for (const batch::worker_action& action : this->runs.due(core::boot_clock::now()))
    {
        this->carry_out(action);
    }
}

} // namespace chicorylift::site
