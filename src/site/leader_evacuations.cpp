#include "platform/http_codec.hpp"
#include "site/leader.hpp"
#include "support/events.hpp"

#include <algorithm>

/// Part of the leader that follows operators' requests to evacuate availability zones.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

constexpr core::milliseconds state_line_interval{1000};
// An unchanged state is repeated, so that the newest logs alone tell it.
constexpr core::milliseconds state_repeat_interval{10'000};
// After a longer pause of this process, requests may have been acknowledged that it does not know.
constexpr core::milliseconds view_pause_threshold{1000};
constexpr std::size_t max_logged_value = 200;

std::string shortened(const std::string& text)
{
    return text.size() <= max_logged_value ? text : text.substr(0, max_logged_value) + "...";
}

void log_odd_request(const core::zone_id& zone, const ports::row& row, std::string_view reason)
{
    events::write("evacuation_odd", {{"zone", shortened(zone.str())},
                                     {"row_version", row.version},
                                     {"value", shortened(row.value)},
                                     {"reason", reason}});
}

} // namespace

void leader::on_evacuation_row(const ports::row& row)
{
    const auto zone = platform::parse_evacuation_key(row.id.key);
    if (!this->evacuations.is_enabled() || !zone.has_value())
    {
        return;
    }
    if (zone->empty())
    {
        log_odd_request(*zone, row, "the key names no zone");
        return;
    }
    const core::instant now = core::boot_clock::now();
    if (row.removed)
    {
        this->on_evacuation_removed(*zone, row, now);
        return;
    }
    const batch::evacuation_change change = this->evacuations.on_request(*zone, row.version, now);
    std::string oddity = platform::evacuation_value_oddity(row.value);
    if (change == batch::evacuation_change::repeated)
    {
        oddity += (oddity.empty() ? "" : "; ") + std::string("the request is in force already");
    }
    if (!oddity.empty())
    {
        log_odd_request(*zone, row, shortened(oddity));
    }
    if (change == batch::evacuation_change::begun)
    {
        events::write("evacuation_begun", {{"zone", shortened(zone->str())},
                                           {"row_version", row.version},
                                           {"epoch", this->my_epoch}});
        this->context.metrics.increment("evacuations", "begun");
        this->apply_evacuations(now);
    }
}

void leader::on_evacuation_removed(const core::zone_id& zone, const ports::row& row,
                                   core::instant now)
{
    const auto request = this->evacuations.in_force().find(zone);
    if (request == this->evacuations.in_force().end())
    {
        log_odd_request(zone, row, "the request was removed before it was seen");
        return;
    }
    events::write("evacuation_ended", {{"zone", shortened(zone.str())},
                                       {"row_version", row.version},
                                       {"requested_version", request->second.row_version},
                                       {"for_ms", (now - request->second.since).count()},
                                       {"epoch", this->my_epoch}});
    this->evacuations.on_removal(zone);
    this->evacuation_lines.erase(zone);
    this->context.metrics.increment("evacuations", "ended");
    this->context.metrics.remove("evacuated_zone", zone.str());
    this->apply_evacuations(now);
}

void leader::apply_evacuations(core::instant now)
{
    this->scheduler.set_evacuated_zones(this->evacuations.zones(), now);
    this->next_evacuation_line = now;
    // The stops of starts in flight do not wait for the next pass.
    this->send_due_commands();
    this->schedule_pass();
}

void leader::detect_view_pause(core::instant now)
{
    if (now - this->active_at > view_pause_threshold && this->evacuations.is_enabled())
    {
        this->evacuations.on_pause(now);
        this->config_rows->confirm_soon();
    }
    this->active_at = now;
}

bool leader::may_start_by_evacuations(core::instant now) const
{
    return this->evacuations.is_current(
        {this->config_rows->confirmed_at(),
         std::max({this->leader_rows->last_answer_at(), this->job_rows->last_answer_at(),
                   this->member_rows->last_answer_at()})},
        now);
}

void leader::on_config_confirmed()
{
    this->load_jobs_if_ready();
    if (this->starts_held && this->may_start_by_evacuations(core::boot_clock::now()))
    {
        this->schedule_pass();
    }
}

void leader::update_start_hold(core::instant now)
{
    this->starts_held = !this->may_start_by_evacuations(now);
    this->scheduler.hold_starts(this->starts_held);
}

void leader::log_evacuations(core::instant now)
{
    if (now < this->next_evacuation_line || !this->may_schedule())
    {
        return;
    }
    this->next_evacuation_line = now + state_line_interval;
    for (const auto& [zone, request] : this->evacuations.in_force())
    {
        const batch::zone_use use = this->scheduler.use_of_zone(zone, now);
        evacuation_line& last = this->evacuation_lines[zone];
        const bool is_known = use.workers > 0;
        if (!is_known && use.unknown_workers == 0 && !last.reported_unknown)
        {
            last.reported_unknown = true;
            events::write("evacuation_odd", {{"zone", shortened(zone.str())},
                                             {"row_version", request.row_version},
                                             {"reason", "no worker is in this zone"}});
        }
        // A zone without known workers may be misspelt.
        const bool may_switch_off = is_known && use.is_idle();
        // Long-running units have no expected end.
        const std::int64_t expected_ms =
            use.last_end == core::instant::max()
                ? -1
                : std::max<std::int64_t>(0, (use.last_end - now).count());
        const std::string content =
            std::to_string(request.row_version) + " " + std::to_string(use.workers) + " " +
            std::to_string(use.running_units) + " " + std::to_string(use.unconfirmed_starts) + " " +
            std::to_string(use.unpersisted_ends) + " " +
            std::to_string(use.unread_workers + use.unknown_workers);
        const std::string& name = zone.str();
        this->context.metrics.set("evacuated_zone_row_version", name,
                                  static_cast<std::int64_t>(request.row_version));
        this->context.metrics.set("evacuated_zone_running_units", name,
                                  static_cast<std::int64_t>(use.running_units));
        this->context.metrics.set("evacuated_zone_unconfirmed_starts", name,
                                  static_cast<std::int64_t>(use.unconfirmed_starts));
        this->context.metrics.set("evacuated_zone_may_switch_off", name, may_switch_off ? 1 : 0);
        if (content == last.content && now < last.repeat_at)
        {
            continue;
        }
        last.content = content;
        last.repeat_at = now + state_repeat_interval;
        events::write("evacuation_state",
                      {{"zone", shortened(name)},
                       {"row_version", request.row_version},
                       {"epoch", this->my_epoch},
                       {"for_ms", (now - request.since).count()},
                       {"workers", static_cast<std::uint64_t>(use.workers)},
                       {"running_units", static_cast<std::uint64_t>(use.running_units)},
                       {"unconfirmed_starts", static_cast<std::uint64_t>(use.unconfirmed_starts)},
                       {"unpersisted_ends", static_cast<std::uint64_t>(use.unpersisted_ends)},
                       {"unread_workers", static_cast<std::uint64_t>(use.unread_workers)},
                       {"unknown_workers", static_cast<std::uint64_t>(use.unknown_workers)},
                       {"expected_ms", expected_ms},
                       {"leader_in_zone", this->context.values.zone == name ? "yes" : "no"},
                       {"may_switch_off", may_switch_off ? "yes" : "no"}});
    }
}

void leader::forget_evacuation_metrics()
{
    for (const auto& [zone, request] : this->evacuations.in_force())
    {
        this->context.metrics.remove("evacuated_zone", zone.str());
    }
}

} // namespace chicorylift::site
