#include "site/lead.hpp"

#include "platform/front_dialect.hpp"
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

constexpr core::milliseconds tick_interval{200};
// News within this time is decided on together.
constexpr core::milliseconds pass_delay{4};
// After a pass the lead rests from deciding for so many times as long as the pass took.
constexpr std::int64_t pass_rest = 4;
constexpr core::milliseconds longest_pass_delay{500};
constexpr core::milliseconds config_wait{3000};
// A silent store shows only when a call has waited in vain.
constexpr core::milliseconds job_wait{1000};
constexpr core::milliseconds lead_wait{1500};
constexpr core::milliseconds member_wait{8000};
constexpr core::milliseconds write_patience{800};
// An agent that was not heard for this long is called, so that one that restarted finds its lead.
constexpr core::milliseconds silent_after{900};
constexpr core::milliseconds majority_freshness{1500};
// A pause of the process beyond this may have cost the lead.
constexpr core::milliseconds suspicious_pause{1000};
// Reports within this time after a pause may have been sent before it.
constexpr core::milliseconds old_news{300};
// How long the store is asked before the agents' word is enough.
constexpr core::milliseconds confirmation_patience{1200};

// Margins of a lease: a worker's clock may be two percent slow, and answers take time.
constexpr core::milliseconds lease_reserve{900};
constexpr core::milliseconds longest_lease_used{5200};
constexpr core::milliseconds lapse_margin{350};
constexpr std::int64_t clock_error_percent = 2;
constexpr std::int64_t percent = 100;

batch::scheduler_settings scheduler_settings_from(const settings& values, std::uint64_t epoch)
{
    batch::scheduler_settings result;
    result.epoch = epoch;
    result.lapse = lapse_time(values);
    result.remote_factor = values.remote_factor;
    result.restore_time = values.restore_time;
    return result;
}

} // namespace

core::milliseconds lease_length(const settings& values) noexcept
{
    return std::min(values.longest_lease - lease_reserve, longest_lease_used);
}

core::milliseconds lapse_time(const settings& values) noexcept
{
    const core::milliseconds length = lease_length(values);
    return length + length * clock_error_percent / percent + lapse_margin;
}

lead::lead(lead_surroundings surroundings, std::uint64_t epoch, ports::revision row_version)
    : around(std::move(surroundings)), my_epoch(epoch), row_version(row_version),
      scheduler(scheduler_settings_from(this->around.values, epoch), core::boot_clock::now()),
      guard(core::boot_clock::now(), lapse_time(this->around.values)),
      began(core::boot_clock::now()), last_tick(this->began)
{
    this->member_rows = std::make_unique<mirrored_table>(
        this->around.loop, this->around.store,
        mirror_settings{member_table, site_partition, member_wait},
        [this](const ports::row& row) { this->on_member_row(row); },
        [this] { this->load_jobs_if_ready(); });
    this->config_rows = std::make_unique<mirrored_table>(
        this->around.loop, this->around.store,
        mirror_settings{platform::config_table, "", config_wait},
        [this](const ports::row& row) { this->on_config_row(row); },
        [this] { this->load_jobs_if_ready(); });
    this->job_rows = std::make_unique<mirrored_table>(
        this->around.loop, this->around.store, mirror_settings{job_table, site_partition, job_wait},
        [this](const ports::row& row) { this->on_job_row(row); },
        [this] { this->load_jobs_if_ready(); });
    this->lead_rows = std::make_unique<mirrored_table>(
        this->around.loop, this->around.store,
        mirror_settings{lead_table, site_partition, lead_wait},
        [this](const ports::row& row) { this->on_lead_row(row); }, [] {});
    const std::weak_ptr<bool> still = this->alive;
    this->around.loop.after(tick_interval,
                            [this, still]
                            {
                                if (!still.expired())
                                {
                                    this->tick();
                                }
                            });
}

lead::~lead() = default;

void lead::on_other_epoch(std::uint64_t epoch)
{
    if (epoch > this->my_epoch)
    {
        this->step_down("epoch " + std::to_string(epoch) + " is in force");
    }
}

void lead::step_down(const std::string& why)
{
    if (this->over)
    {
        return;
    }
    this->over = true;
    events::write("lead_lost", {{"epoch", this->my_epoch}, {"reason", why}});
    this->around.loop.post([superseded = this->around.superseded, why] { superseded(why); });
}

void lead::on_report(const wire::envelope& message)
{
    const wire::batch_report& report = message.unit_report();
    if (this->over)
    {
        return;
    }
    if (report.epoch() > this->my_epoch)
    {
        this->on_other_epoch(report.epoch());
        return;
    }
    this->check_suspension();
    const core::instant now = core::boot_clock::now();
    agent_state& state = this->agents[report.agent()];
    if (state.address != message.from())
    {
        state.address = message.from();
        ++this->members_version;
    }
    if (this->confirmed || now - this->woke > old_news)
    {
        state.heard = now;
    }
    state.members_version = report.members_version();
    for (const wire::batch_end& end : report.ends())
    {
        if (end.number() == 0)
        {
            state.settled.emplace_back(end.unit(), end.run());
        }
    }
    this->guard.on_report(batch::agent_id(report.agent()), report.unwritten_starts(),
                          report.earlier_unwritten_starts());
    if (this->guard.must_distrust())
    {
        this->scheduler.distrust_written_agents();
    }
    if (this->loaded)
    {
        batch::worker_report taken = from_message(report);
        taken.lists_valid = taken.lists_valid && report.epoch() == this->my_epoch;
        this->scheduler.on_report(taken, now);
        this->schedule_pass();
    }
    else
    {
        state.settled.clear();
    }
    if (this->may_act())
    {
        this->reply(report.agent(), state, report.sequence());
    }
}

wire::envelope lead::orders_for(const std::string& agent, agent_state& state)
{
    wire::envelope message;
    wire::batch_orders& orders = *message.mutable_unit_orders();
    orders.set_epoch(this->my_epoch);
    orders.set_lead(this->around.values.name);
    if (this->loaded)
    {
        const auto [born, number] = this->scheduler.noted_ends(batch::agent_id(agent));
        orders.set_noted_born_ms(born.count());
        orders.set_noted(number);
    }
    for (const auto& [unit, run] : state.settled)
    {
        wire::batch_stop& settled = *orders.add_settled();
        settled.set_unit(unit);
        settled.set_run(run);
    }
    state.settled.clear();
    if (state.members_version != this->members_version)
    {
        for (const auto& [name, other] : this->agents)
        {
            wire::batch_member& member = *orders.add_members();
            member.set_agent(name);
            member.set_address(other.address);
        }
    }
    orders.set_members_version(this->members_version);
    orders.set_store_lost(this->store.silent);
    orders.set_unwritten_starts(this->guard.is_announcing());
    orders.set_takeover_settled(this->guard.may_place(core::boot_clock::now()));
    return message;
}

void lead::reply(const std::string& agent, agent_state& state, std::uint64_t sequence)
{
    wire::envelope message = this->orders_for(agent, state);
    message.mutable_unit_orders()->set_reply_to(sequence);
    this->scheduler.on_renewal_sent(batch::agent_id(agent), core::boot_clock::now());
    this->around.send(state.address, std::move(message));
}

void lead::call_agents(core::milliseconds silent_for)
{
    const core::instant now = core::boot_clock::now();
    for (auto& [name, state] : this->agents)
    {
        if (now - state.heard >= silent_for && !state.address.empty())
        {
            this->around.send(state.address, this->orders_for(name, state));
        }
    }
}

void lead::schedule_pass()
{
    if (this->pass_scheduled || this->over)
    {
        return;
    }
    this->pass_scheduled = true;
    const std::weak_ptr<bool> still = this->alive;
    // Passes take at most a fixed share of the processor, so that reports are heard in time.
    const core::instant now = core::boot_clock::now();
    const core::milliseconds delay =
        std::clamp<core::milliseconds>(this->next_pass - now, pass_delay, longest_pass_delay);
    this->around.loop.after(delay,
                            [this, still]
                            {
                                if (!still.expired())
                                {
                                    this->pass_scheduled = false;
                                    this->pass();
                                }
                            });
}

void lead::pass()
{
    this->check_suspension();
    const core::instant now = core::boot_clock::now();
    if (this->over || !this->loaded || !this->may_act() || !this->guard.may_place(now))
    {
        return;
    }
    const auto began_pass = std::chrono::steady_clock::now();
    const bool unwritten = this->store.lost && this->guard.may_start_unwritten();
    const std::vector<batch::order> orders =
        this->scheduler.decide(now, support::unix_now(), unwritten);
    this->log_records();
    this->send_orders(orders);
    this->write_progress();
    const auto took = std::chrono::duration_cast<core::milliseconds>(
        std::chrono::steady_clock::now() - began_pass);
    this->next_pass = core::boot_clock::now() + took * pass_rest;
    this->around.figures.observe("pass", "site", "all", took);
    this->around.figures.count("placing", "tries", this->scheduler.placing_tries());
}

void lead::log_records()
{
    for (const batch::decision_record& record : this->scheduler.take_records())
    {
        events::write(record.event, {{"job", record.job.str()},
                                     {"detail", record.detail},
                                     {"epoch", this->my_epoch},
                                     {"config_version", this->config->version}});
        this->around.figures.count("decisions", record.event);
        if (record.waited.has_value())
        {
            this->around.figures.observe("wait_for_worker", record.organisation.str(),
                                         record.queue.str(), *record.waited);
        }
    }
}

void lead::send_orders(const std::vector<batch::order>& orders)
{
    std::map<std::string, wire::envelope> messages;
    for (const batch::order& order : orders)
    {
        const std::string& agent = order.agent.str();
        const auto known = this->agents.find(agent);
        if (known == this->agents.end() || known->second.address.empty())
        {
            continue;
        }
        auto message = messages.find(agent);
        if (message == messages.end())
        {
            message = messages.emplace(agent, this->orders_for(agent, known->second)).first;
        }
        wire::batch_orders& out = *message->second.mutable_unit_orders();
        if (order.what == batch::order::action::start)
        {
            wire::batch_start& start = *out.add_starts();
            start.set_unit(batch::to_text(order.unit));
            start.set_run(order.run);
            start.set_payload(order.payload);
            start.set_checkpoint(order.checkpoint);
        }
        else
        {
            wire::batch_stop& stop = *out.add_stops();
            stop.set_unit(batch::to_text(order.unit));
            stop.set_run(order.run);
        }
    }
    for (auto& [agent, message] : messages)
    {
        this->around.send(this->agents[agent].address, std::move(message));
    }
}

void lead::tick()
{
    this->check_suspension();
    const core::instant now = core::boot_clock::now();
    const core::milliseconds writes_failing = this->write_failing_since == core::instant{}
                                                  ? core::milliseconds{0}
                                                  : now - this->write_failing_since;
    const core::milliseconds reads_failing =
        std::min(this->job_rows->failing_for(now), this->lead_rows->failing_for(now));
    const batch::store_outlook seen = batch::judge_store(writes_failing, reads_failing);
    if (seen.lost != this->store.lost)
    {
        if (seen.lost)
        {
            this->guard.announce(true);
        }
        events::write(seen.lost ? "store_lost" : "store_regained",
                      {{"at", "lead"},
                       {"epoch", this->my_epoch},
                       {"writes_fail_ms", writes_failing.count()},
                       {"reads_fail_ms", reads_failing.count()}});
    }
    const bool word = seen.silent != this->store.silent;
    this->store = seen;
    if (word)
    {
        // To all at once, so that nobody takes over for want of word.
        this->call_agents(core::milliseconds{0});
    }
    this->call_agents(silent_after);
    if (!this->confirmed && now - this->woke > confirmation_patience && this->hears_majority(now))
    {
        // Nobody can have taken over while the store answers nobody and most agents still follow.
        this->confirmed = true;
    }
    if (this->loaded)
    {
        this->pass();
        this->trim();
    }
    this->last_tick = core::boot_clock::now();
    const std::weak_ptr<bool> still = this->alive;
    this->around.loop.after(tick_interval,
                            [this, still]
                            {
                                if (!still.expired() && !this->over)
                                {
                                    this->tick();
                                }
                            });
}

/// Holds still after a pause of the process until it is sure that it still leads.
void lead::check_suspension()
{
    const core::instant now = core::boot_clock::now();
    if (now - this->last_tick > suspicious_pause && this->confirmed)
    {
        this->confirmed = false;
        this->woke = now;
        events::write("lead_suspected", {{"epoch", this->my_epoch},
                                         {"reason", "this process stood still"},
                                         {"for_ms", (now - this->last_tick).count()}});
        for (auto& [name, state] : this->agents)
        {
            state.heard = {};
        }
    }
    this->last_tick = std::max(this->last_tick, now - suspicious_pause);
    if (!this->confirmed && !this->confirming)
    {
        this->confirm();
    }
}

void lead::confirm()
{
    this->confirming = true;
    const std::weak_ptr<bool> still = this->alive;
    this->around.store.read(lead_table, site_partition, lead_key, 1, write_patience,
                            [this, still](const absl::StatusOr<ports::row_page>& page)
                            {
                                if (still.expired())
                                {
                                    return;
                                }
                                this->confirming = false;
                                if (page.ok() && !page->rows.empty())
                                {
                                    if (page->rows.front().version == this->row_version)
                                    {
                                        this->confirmed = true;
                                        this->schedule_pass();
                                    }
                                    else
                                    {
                                        this->step_down("the lead's row has changed");
                                    }
                                }
                            });
}

bool lead::hears_majority(core::instant now) const
{
    std::size_t heard = 0;
    for (const auto& [name, state] : this->agents)
    {
        heard += now - state.heard < majority_freshness ? 1 : 0;
    }
    return heard * 2 > this->agents.size();
}

bool lead::may_act() const
{
    if (this->over || !this->confirmed)
    {
        return false;
    }
    // Without the store another lead may have been chosen; then most agents follow that one.
    return !this->store.lost || this->hears_majority(core::boot_clock::now());
}

void lead::resign()
{
    for (auto& [name, state] : this->agents)
    {
        wire::envelope message = this->orders_for(name, state);
        message.mutable_unit_orders()->set_resigning(true);
        this->around.send(state.address, std::move(message));
    }
    this->over = true;
    events::write("lead_lost", {{"epoch", this->my_epoch}, {"reason", "this process ends"}});
}

} // namespace chicorylift::site
