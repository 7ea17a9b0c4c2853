#include "site/leader.hpp"

#include "chicorylift/batch/probe_sample.hpp"
#include "chicorylift/batch/report_pacing.hpp"
#include "platform/http_codec.hpp"
#include "site/config_row.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"
#include "support/stopwatch.hpp"
#include "support/unix_clock.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;

constexpr core::milliseconds tick_interval{200};
constexpr core::milliseconds config_wait{3000};
// A silent store is detected only when a watch times out, so this wait is short.
constexpr core::milliseconds job_wait{1000};
// Leases end the earlier the longer ago the leader's row was confirmed.
constexpr core::milliseconds leader_wait{500};
constexpr core::milliseconds member_wait{8000};
constexpr core::milliseconds write_timeout{800};
// The leader's row was written at most this long before its epoch begins.
constexpr core::milliseconds row_write_timeout{800};
// An agent counts towards a quorum for two and a half report intervals.
constexpr std::int64_t quorum_window_numerator = 5;
constexpr std::int64_t quorum_window_denominator = 2;
// After a longer pause of this process, another leader may have been elected.
constexpr core::milliseconds pause_threshold{1000};
// Reports that arrive within this time after a pause may have been sent before it.
constexpr core::milliseconds stale_report_window{300};
// After a pause, a quorum of agents confirms the leadership if the store has not done so within
// this time.
constexpr core::milliseconds verification_timeout{1200};

// Margins of a lease: a worker's clock may be two percent slow, and responses take time.
constexpr core::milliseconds lease_margin{900};
constexpr core::milliseconds max_lease_duration{5200};
constexpr core::milliseconds lease_timeout_margin{350};
constexpr std::int64_t clock_error_percent = 2;
constexpr std::int64_t percent = 100;

batch::scheduler_settings scheduler_settings_from(const settings& values, std::uint64_t epoch)
{
    batch::scheduler_settings result;
    result.epoch = epoch;
    result.lease_timeout = lease_timeout(values);
    result.remote_factor = values.remote_factor;
    result.restore_time = values.restore_time;
    result.learn_run_times = values.learn_run_times;
    result.order_by_value = values.order_by_value;
    result.fair_shares = values.fair_shares;
    result.keep_whole_workers = values.keep_whole_workers;
    return result;
}

} // namespace

core::milliseconds lease_duration(const settings& values) noexcept
{
    return std::min(values.max_lease - lease_margin, max_lease_duration);
}

core::milliseconds lease_timeout(const settings& values) noexcept
{
    const core::milliseconds length = lease_duration(values);
    return length + length * clock_error_percent / percent + lease_timeout_margin;
}

leader::leader(leader_context services, std::uint64_t epoch, ports::revision row_version)
    : context(std::move(services)), my_epoch(epoch), row_version(row_version),
      scheduler(scheduler_settings_from(this->context.values, epoch), core::boot_clock::now()),
      guard(core::boot_clock::now(), lease_timeout(this->context.values)),
      evacuations(this->context.values.evacuation_limit), began(core::boot_clock::now()),
      last_tick(this->began), active_at(this->began), able_at(this->began)
{
    this->guard.await_members();
    this->confirmation.await_members();
    this->confirmation.on_store_confirmed(this->began - row_write_timeout);
    this->scheduler.confirm_version(row_version);
    this->member_rows = std::make_unique<mirrored_table>(
        this->context.loop, this->context.store,
        mirror_settings{member_table, site_partition, member_wait, "lead", &this->context.metrics},
        [this](const ports::row& row) { this->on_member_row(row); },
        [this] { this->on_members_confirmed(); });
    this->config_rows = std::make_unique<mirrored_table>(
        this->context.loop, this->context.store,
        mirror_settings{platform::config_table, "", this->evacuations.watch_wait(config_wait),
                        "lead", &this->context.metrics},
        [this](const ports::row& row) { this->on_config_row(row); },
        [this] { this->on_config_confirmed(); });
    this->job_rows = std::make_unique<mirrored_table>(
        this->context.loop, this->context.store,
        mirror_settings{job_table, site_partition, job_wait, "lead", &this->context.metrics},
        [this](const ports::row& row) { this->on_job_row(row); },
        [this] { this->load_jobs_if_ready(); });
    this->withdrawals = std::make_unique<withdrawal_trimmer>(
        this->context.loop, this->context.store, this->context.metrics, this->context.values);
    this->leader_rows = std::make_unique<mirrored_table>(
        this->context.loop, this->context.store,
        mirror_settings{leader_table, site_partition, leader_wait, "lead", &this->context.metrics},
        [this](const ports::row& row) { this->on_leader_row(row); },
        [this]
        {
            this->confirmation.on_store_confirmed(this->leader_rows->confirmed_at());
            this->scheduler.confirm_version(this->leader_rows->version());
        });
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.loop.run_after(tick_interval,
                                 [this, alive]
                                 {
                                     if (!alive.expired())
                                     {
                                         this->tick();
                                     }
                                 });
}

leader::~leader()
{
    this->forget_evacuation_metrics();
}

void leader::on_observed_epoch(std::uint64_t epoch)
{
    if (epoch > this->my_epoch)
    {
        this->step_down("epoch " + std::to_string(epoch) + " is in force");
    }
}

void leader::step_down(const std::string& reason)
{
    if (this->stepped_down)
    {
        return;
    }
    this->stepped_down = true;
    events::write("lead_lost", {{"epoch", this->my_epoch}, {"reason", reason}});
    this->context.loop.post([superseded = this->context.on_superseded, reason]
                            { superseded(reason); });
}

void leader::on_report(const wire::envelope& message)
{
    const wire::batch_report& report = message.unit_report();
    if (this->stepped_down || report.agent().empty())
    {
        return;
    }
    if (report.epoch() > this->my_epoch)
    {
        this->on_observed_epoch(report.epoch());
        return;
    }
    const support::stopwatch watch(this->work.report_time);
    ++this->work.reports;
    this->detect_process_pause();
    const core::instant now = core::boot_clock::now();
    agent_state& state = this->agents[report.agent()];
    // An agent may take this process for the leader of an earlier epoch that it was.
    const bool follows = report.epoch() == this->my_epoch;
    const core::instant orders_sent_at =
        core::instant_at(core::milliseconds{follows ? report.lead_clock_ms() : 0});
    if (!state.reports.accept(message.incarnation(), report.sequence(), orders_sent_at, now))
    {
        events::write("report_late", {{"agent", report.agent()},
                                      {"epoch", this->my_epoch},
                                      {"sequence", report.sequence()}});
        return;
    }
    if (state.address != message.from())
    {
        state.address = message.from();
        ++this->members_version;
    }
    if (follows && (this->leadership_verified || now - this->resumed_at > stale_report_window))
    {
        state.last_heard = now;
    }
    state.known_members_version = report.members_version();
    for (const wire::batch_end& end : report.ends())
    {
        if (end.number() == 0 && follows)
        {
            state.acknowledged_runs.emplace_back(end.unit(), end.run());
        }
    }
    // A report of an agent that has left may arrive after the removal of its row.
    if (!state.left)
    {
        this->guard.on_report(batch::agent_id(report.agent()),
                              {.confirmed = report.unwritten_starts(),
                               .earlier_unpersisted = report.earlier_unwritten_starts(),
                               .informed = report.knows_earlier_leads(),
                               .follows = follows},
                              now);
    }
    if (follows && report.lead_clock_ms() > 0)
    {
        this->confirmation.on_report(batch::agent_id(report.agent()), orders_sent_at);
    }
    if (this->guard.predecessor_may_have_unpersisted_runs())
    {
        this->scheduler.assume_runs_on_unreported_agents();
    }
    if (this->loaded)
    {
        batch::worker_report parsed = from_message(report);
        parsed.lists_valid = parsed.lists_valid && follows;
        this->scheduler.on_report(parsed, now);
        this->schedule_pass();
    }
    else
    {
        state.acknowledged_runs.clear();
    }
    state.unanswered_report = report.sequence();
    this->schedule_answers();
}

void leader::schedule_pass()
{
    if (this->pass_scheduled || this->stepped_down)
    {
        return;
    }
    this->pass_scheduled = true;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.loop.run_after(this->passes.delay(core::boot_clock::now()),
                                 [this, alive]
                                 {
                                     if (!alive.expired())
                                     {
                                         this->pass_scheduled = false;
                                         this->run_pass();
                                     }
                                 });
}

void leader::run_pass()
{
    this->detect_process_pause();
    const core::instant now = core::boot_clock::now();
    if (!this->may_schedule())
    {
        return;
    }
    this->scheduler.count_leases_from(this->guard.followed_since());
    this->scheduler.confirm_leadership(this->confirmation.store_confirmed());
    this->update_start_hold(now);
    const support::stopwatch watch(this->work.pass_time);
    const std::vector<batch::agent_command> orders =
        this->scheduler.schedule(now, support::unix_now(), this->may_start_unpersisted());
    this->log_records();
    this->send_orders(orders);
    this->write_progress();
    const core::instant end = core::boot_clock::now();
    this->passes.on_pass(now, end);
    ++this->work.passes;
    this->work.placement_attempts += this->scheduler.placement_attempts();
    this->work.max_pass_time = std::max(this->work.max_pass_time, watch.elapsed());
    this->context.metrics.observe("pass", "site", "all", end - now);
    this->context.metrics.increment("placing", "tries", this->scheduler.placement_attempts());
}

void leader::send_due_commands()
{
    this->detect_process_pause();
    if (this->may_schedule())
    {
        const core::instant now = core::boot_clock::now();
        this->update_start_hold(now);
        this->send_orders(this->scheduler.due_commands(now, this->may_start_unpersisted()));
    }
}

void leader::log_records()
{
    for (const batch::decision_record& record : this->scheduler.take_records())
    {
        if (!record.reason.empty())
        {
            events::write(record.event, {{"job", record.job.str()},
                                         {"reason", record.reason},
                                         {"detail", record.detail},
                                         {"epoch", this->my_epoch},
                                         {"config_version", this->config->version}});
            this->context.metrics.increment("jobs_waiting", record.reason);
            continue;
        }
        if (record.lost.has_value())
        {
            this->log_lost_work(record, *record.lost);
            continue;
        }
        events::write(record.event, {{"job", record.job.str()},
                                     {"detail", record.detail},
                                     {"epoch", this->my_epoch},
                                     {"config_version", this->config->version}});
        this->context.metrics.increment("decisions", record.event);
        if (record.waited.has_value())
        {
            this->context.metrics.observe("wait_for_worker", record.organisation.str(),
                                          record.queue.str(), *record.waited);
        }
    }
    // By queue only: a series for each organisation and queue would use up the series' limit.
    for (const batch::run_time_sample& sample : this->scheduler.take_run_times())
    {
        this->context.metrics.observe("run_time_expected", "", sample.queue.str(), sample.expected);
        this->context.metrics.observe("run_time_actual", "", sample.queue.str(), sample.actual);
    }
}

void leader::tick()
{
    this->detect_process_pause();
    const core::instant now = core::boot_clock::now();
    if (this->tick_due != core::instant{})
    {
        this->work.max_tick_delay = std::max(this->work.max_tick_delay, now - this->tick_due);
    }
    this->log_load();
    this->log_evacuations(now);
    const core::milliseconds writes_failing = this->write_failing_since == core::instant{}
                                                  ? core::milliseconds{0}
                                                  : now - this->write_failing_since;
    const core::milliseconds reads_failing =
        std::min(this->job_rows->failing_for(now), this->leader_rows->failing_for(now));
    const batch::store_health health = batch::assess_store_health(writes_failing, reads_failing);
    if (health.not_writable != this->store_health.not_writable)
    {
        if (health.not_writable)
        {
            this->guard.announce_unpersisted_starts(true);
        }
        events::write(health.not_writable ? "store_lost" : "store_regained",
                      {{"at", "lead"},
                       {"epoch", this->my_epoch},
                       {"writes_fail_ms", writes_failing.count()},
                       {"reads_fail_ms", reads_failing.count()}});
    }
    const bool reachability_changed = health.unreachable != this->store_health.unreachable;
    this->store_health = health;
    if (reachability_changed)
    {
        // Sent to all agents at once, so that none campaigns because of a missing heartbeat.
        this->send_to_all_agents();
    }
    this->log_scheduling_hold();
    this->call_silent_agents();
    if (!this->leadership_verified && now - this->resumed_at > verification_timeout &&
        this->has_quorum(now))
    {
        // While the store does not answer and a quorum of agents still follows this leader, no
        // other leader can have been elected.
        this->leadership_verified = true;
    }
    if (this->may_issue_orders())
    {
        this->able_at = now;
    }
    if (this->loaded)
    {
        this->send_due_commands();
        this->schedule_pass();
        this->trim();
        this->trim_withdrawals();
        this->load_set_aside_job();
        this->check_writable();
    }
    this->last_tick = core::boot_clock::now();
    this->tick_due = this->last_tick + tick_interval;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.loop.run_after(tick_interval,
                                 [this, alive]
                                 {
                                     if (!alive.expired() && !this->stepped_down)
                                     {
                                         this->tick();
                                     }
                                 });
}

/// Stops issuing orders after a pause of the process until the leadership is verified.
void leader::detect_process_pause()
{
    const core::instant now = core::boot_clock::now();
    this->detect_view_pause(now);
    if (now - this->last_tick > pause_threshold && this->leadership_verified)
    {
        this->leadership_verified = false;
        this->resumed_at = now;
        events::write("lead_suspected", {{"epoch", this->my_epoch},
                                         {"reason", "this process stood still"},
                                         {"for_ms", (now - this->last_tick).count()}});
        for (auto& [name, state] : this->agents)
        {
            state.last_heard = {};
        }
    }
    this->last_tick = std::max(this->last_tick, now - pause_threshold);
    if (!this->leadership_verified && !this->verification_in_flight)
    {
        this->verify_leadership();
    }
}

void leader::verify_leadership()
{
    this->verification_in_flight = true;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.store.read(leader_table, site_partition, leader_key, 1, write_timeout,
                             [this, alive](const absl::StatusOr<ports::row_page>& page)
                             {
                                 if (alive.expired())
                                 {
                                     return;
                                 }
                                 this->verification_in_flight = false;
                                 if (page.ok() && !page->rows.empty())
                                 {
                                     if (page->rows.front().version == this->row_version)
                                     {
                                         this->leadership_verified = true;
                                         this->schedule_pass();
                                     }
                                     else
                                     {
                                         this->step_down("the leader row has changed");
                                     }
                                 }
                             },
                             {});
}

bool leader::has_quorum(core::instant now) const
{
    const core::milliseconds quorum_window = batch::pacing_for(this->agents.size()).interval *
                                             quorum_window_numerator / quorum_window_denominator;
    std::size_t responsive = 0;
    for (const auto& [name, state] : this->agents)
    {
        responsive += now - state.last_heard < quorum_window ? 1 : 0;
    }
    return this->member_rows->is_loaded() && responsive * 2 > this->agents.size();
}

bool leader::is_confirmed_by_store(core::instant now) const
{
    return now - this->confirmation.store_confirmed() <
           batch::pacing_for(this->agents.size()).election_timeout;
}

bool leader::may_issue_orders() const
{
    if (this->stepped_down || !this->leadership_verified)
    {
        return false;
    }
    // Without the store, another leader may have been elected; a quorum of agents then follows it.
    // Failed writes alone do not matter while the store still shows this leader's row: only a write
    // that succeeds ends that state, and it needs no quorum.
    const core::instant now = core::boot_clock::now();
    return !this->store_health.not_writable || this->is_confirmed_by_store(now) ||
           this->has_quorum(now);
}

bool leader::is_powerless(core::instant now) const
{
    return !this->may_issue_orders() &&
           now - this->able_at > batch::pacing_for(this->agents.size()).election_timeout;
}

bool leader::may_schedule() const
{
    return !this->stepped_down && this->loaded && this->may_issue_orders() &&
           this->guard.may_place(core::boot_clock::now());
}

bool leader::may_start_unpersisted() const
{
    return this->store_health.not_writable && this->guard.may_start_unpersisted() &&
           this->has_quorum(core::boot_clock::now());
}

void leader::resign()
{
    for (auto& [name, state] : this->agents)
    {
        wire::envelope message = this->build_orders(name, state);
        message.mutable_unit_orders()->set_resigning(true);
        this->context.send(state.address, std::move(message));
    }
    this->stepped_down = true;
    events::write("lead_lost", {{"epoch", this->my_epoch}, {"reason", "this process ends"}});
}

} // namespace chicorylift::site
