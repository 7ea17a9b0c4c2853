#include "chicorylift/batch/report_pacing.hpp"
#include "site/leader.hpp"
#include "support/events.hpp"

#include <cmath>

/// Part of the leader that logs its load.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

constexpr core::milliseconds load_line_interval{1000};

} // namespace

void leader::log_load()
{
    const core::instant now = core::boot_clock::now();
    if (now < this->next_load_line)
    {
        return;
    }
    this->next_load_line = now + load_line_interval;
    const message_load messages = this->context.take_message_load();
    const net::transport_counters& totals = messages.totals;
    const auto milliseconds_of = [](std::chrono::microseconds time)
    { return std::chrono::duration_cast<core::milliseconds>(time).count(); };
    std::uint64_t heard = 0;
    for (const auto& [name, state] : this->agents)
    {
        heard += now - state.last_heard < batch::pacing_for(this->agents.size()).election_timeout;
    }
    events::write("lead_load",
                  {{"epoch", this->my_epoch},
                   {"agents", static_cast<std::uint64_t>(this->agents.size())},
                   {"heard", heard},
                   {"received", totals.messages_received - this->logged_totals.messages_received},
                   {"received_bytes", totals.bytes_received - this->logged_totals.bytes_received},
                   {"waiting", static_cast<std::uint64_t>(messages.inbox.waiting)},
                   {"max_message_delay_ms", messages.inbox.max_delay.count()},
                   {"reports", this->work.reports},
                   {"report_ms", milliseconds_of(this->work.report_time)},
                   {"answers", this->work.answers},
                   {"answer_ms", milliseconds_of(this->work.answer_time)},
                   {"passes", this->work.passes},
                   {"pass_ms", milliseconds_of(this->work.pass_time)},
                   {"max_pass_ms", milliseconds_of(this->work.max_pass_time)},
                   {"placement_attempts", this->work.placement_attempts},
                   {"pending_units", static_cast<std::uint64_t>(this->scheduler.pending_units())},
                   {"runs", static_cast<std::uint64_t>(this->scheduler.active_runs())},
                   {"unpersisted_jobs",
                    static_cast<std::uint64_t>(this->scheduler.unpersisted_jobs().size())},
                   {"writes", this->work.writes},
                   {"max_write_ms", this->work.max_write_time.count()},
                   {"max_tick_delay_ms", this->work.max_tick_delay.count()},
                   {"sent", totals.messages_sent - this->logged_totals.messages_sent},
                   {"sent_bytes", totals.bytes_sent - this->logged_totals.bytes_sent},
                   {"unsent", totals.unsent},
                   {"undeliverable", totals.undeliverable - this->logged_totals.undeliverable},
                   {"rejected", totals.rejected - this->logged_totals.rejected}});
    this->work = {};
    this->logged_totals = totals;
}

std::string_view leader::scheduling_hold_reason() const
{
    const core::instant now = core::boot_clock::now();
    if (!this->loaded)
    {
        return !this->config.has_value()         ? "configuration not read"
               : !this->member_rows->is_loaded() ? "members not read"
                                                 : "jobs not read";
    }
    if (!this->leadership_verified)
    {
        return "leadership not verified after a pause";
    }
    if (!this->may_issue_orders())
    {
        return "no store and no quorum";
    }
    if (!this->guard.may_place(now))
    {
        return "too few agents have reported";
    }
    return this->may_start_by_evacuations(now) ? "" : "evacuations not confirmed by the store";
}

void leader::log_scheduling_hold()
{
    const std::string_view reason = this->scheduling_hold_reason();
    if (reason == this->hold_reason)
    {
        return;
    }
    const core::instant now = core::boot_clock::now();
    if (reason.empty())
    {
        events::write("scheduling_resumed", {{"epoch", this->my_epoch},
                                             {"reason", this->hold_reason},
                                             {"held_ms", (now - this->held_since).count()}});
    }
    else
    {
        std::uint64_t heard = 0;
        for (const auto& [name, state] : this->agents)
        {
            heard += now - state.last_heard < batch::pacing_for(this->agents.size()).interval * 2;
        }
        events::write("scheduling_held",
                      {{"epoch", this->my_epoch},
                       {"reason", reason},
                       {"agents", static_cast<std::uint64_t>(this->agents.size())},
                       {"heard", heard}});
    }
    if (this->hold_reason.empty())
    {
        this->held_since = now;
    }
    this->hold_reason = reason;
}

void leader::log_lost_work(const batch::decision_record& record, const batch::lost_work& lost)
{
    const std::string_view reason = batch::to_text(lost.reason);
    events::write(record.event, {{"job", record.job.str()},
                                 {"detail", record.detail},
                                 {"lost_core_s", std::int64_t{std::llround(lost.core_seconds)}},
                                 {"lost_for", reason},
                                 {"epoch", this->my_epoch},
                                 {"config_version", this->config->version}});
    this->context.metrics.increment("decisions", record.event);
    if (!lost.is_final)
    {
        return;
    }
    // The counter takes whole core-seconds; what is left over counts with the next loss.
    double& uncounted = this->uncounted_loss[reason];
    uncounted += lost.core_seconds;
    const double whole = std::floor(uncounted);
    uncounted -= whole;
    this->context.metrics.increment("thrown_away", reason, static_cast<std::uint64_t>(whole));
}

} // namespace chicorylift::site
