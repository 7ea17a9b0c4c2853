#include "chicorylift/core/error.hpp"
#include "site/agent.hpp"
#include "site/agent_timing.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"

#include <utility>

/// Parts of the agent that follow a leader and run for election.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

// Timers and responses of the store wait for no more than this many messages.
constexpr std::size_t max_messages_per_iteration = 32;
// A start command needs this much of the lease left to reach the worker in time.
constexpr core::milliseconds min_start_lease{800};

} // namespace

void agent::receive(const wire::envelope& message)
{
    switch (message.body_case())
    {
    case wire::envelope::kUnitReport:
        if (this->own_leader != nullptr)
        {
            this->own_leader->on_report(message);
            return;
        }
        {
            // The sender takes this process for the leader; it must look for another one at once.
            wire::envelope reply;
            reply.mutable_unit_orders()->set_epoch(message.unit_report().epoch());
            reply.mutable_unit_orders()->set_resigning(true);
            if (message.unit_report().epoch() >= this->epoch)
            {
                this->send(message.from(), std::move(reply));
            }
        }
        break;
    case wire::envelope::kUnitOrders:
        this->on_orders(message.from(), message.unit_orders());
        break;
    case wire::envelope::kLeadProbe:
        this->on_probe(message.from(), message.lead_probe());
        break;
    default:
        break;
    }
}

message_load agent::take_message_load()
{
    return {this->inbox.take_load(), this->transport->counters()};
}

void agent::receive_waiting()
{
    for (const waiting_message& each :
         this->inbox.take(max_messages_per_iteration, core::boot_clock::now()))
    {
        this->receive(each.message);
    }
    if (this->inbox.needs_reader())
    {
        this->loop.post([this] { this->receive_waiting(); });
    }
}

void agent::follow(std::uint64_t new_epoch, const std::string& address, const std::string& name)
{
    if (new_epoch > this->epoch)
    {
        events::write("lead_followed",
                      {{"epoch", new_epoch}, {"before", this->epoch}, {"lead", name}});
        this->predecessor_unpersisted = this->predecessor_unpersisted || this->unwritten_starts;
        this->unwritten_starts = false;
        this->orders_received.reset();
        this->window.reset();
        // Run lists are valid only if they were read after the worker has seen the new epoch.
        this->snapshot_valid = false;
        if (this->own_leader != nullptr && this->own_leader->epoch() < new_epoch)
        {
            this->own_leader->on_observed_epoch(new_epoch);
        }
    }
    this->epoch = new_epoch;
    this->leader_address = address;
    this->leader_name = name;
}

void agent::on_orders(const std::string& from, const wire::batch_orders& orders)
{
    const core::instant now = core::boot_clock::now();
    if (orders.epoch() < this->epoch)
    {
        // The sender has been superseded; a report with the higher epoch informs it.
        wire::envelope reply;
        reply.mutable_unit_report()->set_epoch(this->epoch);
        reply.mutable_unit_report()->set_agent(this->values.name);
        this->send(from, std::move(reply));
        return;
    }
    if (orders.resigning())
    {
        if (from == this->leader_address && orders.epoch() == this->epoch)
        {
            this->election.on_leader_lost(now);
        }
        return;
    }
    const bool is_new = orders.epoch() > this->epoch;
    this->follow(orders.epoch(), from, orders.lead());
    if (!this->orders_received.accept(orders.lead_clock_ms()))
    {
        // The leader may have given up what these orders start, and sends again what still holds.
        events::write("orders_late", {{"epoch", this->epoch},
                                      {"starts", static_cast<std::int64_t>(orders.starts_size())},
                                      {"stops", static_cast<std::int64_t>(orders.stops_size())},
                                      {"late_ms", this->orders_received.newest_clock_ms() -
                                                      orders.lead_clock_ms()}});
        return;
    }
    this->election.on_leader_heartbeat(now);
    this->last_orders = now;
    if (orders.store_lost())
    {
        this->election.on_leader_store_unreachable(now);
    }
    else
    {
        this->election.on_leader_store_reachable();
    }
    this->predecessor_unpersisted = this->predecessor_unpersisted && !orders.takeover_settled();
    this->knows_predecessors = this->knows_predecessors || orders.takeover_settled();
    this->unwritten_starts = orders.unwritten_starts();
    this->pacing = batch::pacing_for(orders.agents());
    this->election.set_election_timeout(this->pacing.election_timeout);
    if (orders.reply_to() != 0)
    {
        const bool had_lapsed = this->lease.expires_at() <= now;
        this->lease.on_report_acknowledged(orders.reply_to(),
                                           core::milliseconds{orders.confirmed_age_ms()});
        if (had_lapsed && this->lease.expires_at() > now)
        {
            this->runs.on_lease_renewed_after_lapse(now);
        }
        if (this->window.on_answered(orders.reply_to()))
        {
            this->report_soon();
        }
    }
    if (orders.members_size() > 0)
    {
        this->probe_targets.clear();
        for (const wire::batch_member& member : orders.members())
        {
            this->probe_targets[member.agent()] = member.address();
        }
    }
    this->members_version = orders.members_version();
    if (orders.noted_born_ms() == this->worker_info.started_at.count() &&
        orders.noted() > this->acknowledged_end)
    {
        this->acknowledged_end = orders.noted();
        this->schedule_worker_poll(core::milliseconds{0});
    }
    for (const wire::batch_stop& settled : orders.settled())
    {
        const auto unit = batch::parse_unit_key(settled.unit());
        if (unit.ok())
        {
            this->runs.on_unlisted_end_acknowledged({*unit, settled.run()});
        }
    }
    for (const wire::batch_stop& stop : orders.stops())
    {
        const auto unit = batch::parse_unit_key(stop.unit());
        const auto command =
            unit.ok() ? this->runs.on_stop_command({*unit, stop.run()}, now) : std::nullopt;
        if (command.has_value())
        {
            this->send_to_worker(*command);
        }
    }
    for (const wire::batch_start& start : orders.starts())
    {
        const auto unit = batch::parse_unit_key(start.unit());
        // Without a lease, or with run lists of an earlier epoch, the start command is dropped; the
        // leader sends it again.
        const std::string_view obstacle = unit.ok() ? this->start_obstacle(now) : "unit name";
        if (!obstacle.empty())
        {
            events::write("start_dropped",
                          {{"unit", start.unit()},
                           {"run", start.run()},
                           {"reason", obstacle},
                           {"epoch", this->epoch},
                           {"lease_left_ms", (this->lease.expires_at() - now).count()}});
            continue;
        }
        batch::worker_command requested;
        requested.unit = *unit;
        requested.run = start.run();
        requested.payload = start.payload();
        requested.checkpoint = start.checkpoint();
        const auto command = this->runs.on_start_command(requested, now);
        if (command.has_value())
        {
            this->send_to_worker(*command);
        }
        else
        {
            this->report_soon();
        }
    }
    if (is_new)
    {
        this->poll_worker_now();
        this->report_soon();
    }
    if (orders.reply_to() == 0 && now - this->last_report > this->pacing.interval)
    {
        this->report_soon();
    }
}

std::string_view agent::start_obstacle(core::instant now) const
{
    if (!this->snapshot_valid)
    {
        return "lists not read in this epoch";
    }
    if (this->worker_info.unresponsive)
    {
        return "worker silent";
    }
    if (this->worker_info.draining)
    {
        return "worker draining";
    }
    if (this->leaving)
    {
        return "agent stopping";
    }
    return this->lease.expires_at() > now + min_start_lease ? "" : "lease too short";
}

void agent::on_probe(const std::string& from, const wire::batch_probe& probe)
{
    const core::instant now = core::boot_clock::now();
    if (!probe.answer())
    {
        wire::envelope reply;
        wire::batch_probe& answer = *reply.mutable_lead_probe();
        answer.set_answer(true);
        answer.set_epoch(this->epoch);
        const bool leads = this->own_leader != nullptr && !this->own_leader->is_powerless(now);
        answer.set_lead_heard(
            leads || this->epoch > probe.epoch() ||
            (this->epoch == probe.epoch() && this->epoch != 0 && this->election.hears_leader(now)));
        answer.set_lead_address(this->leader_address);
        answer.set_lead(this->leader_name);
        this->send(from, std::move(reply));
        return;
    }
    if (probe.epoch() > this->epoch && !probe.lead_address().empty())
    {
        this->follow(probe.epoch(), probe.lead_address(), probe.lead());
        this->poll_worker_now();
        this->report_soon();
    }
    this->election.on_probe_answer(probe.lead_heard(), now);
}

void agent::on_send_failed(const std::string& address)
{
    if (address == this->leader_address && this->own_leader == nullptr)
    {
        this->election.on_leader_lost(core::boot_clock::now());
    }
}

void agent::send(const std::string& address, wire::envelope message)
{
    if (address == this->values.listen)
    {
        message.set_from(address);
        message.set_incarnation(this->incarnation);
        this->loop.post([this, message = std::move(message)] { this->receive(message); });
        return;
    }
    if (!address.empty())
    {
        static_cast<void>(this->transport->send(address, std::move(message)));
    }
}

void agent::report_soon()
{
    if (this->report_scheduled || !this->window.may_send())
    {
        return;
    }
    this->report_scheduled = true;
    this->loop.run_after(this->pacing.report_delay,
                         [this]
                         {
                             this->report_scheduled = false;
                             this->send_report();
                         });
}

void agent::send_report()
{
    if (this->leader_address.empty() || this->reports_ended)
    {
        return;
    }
    const core::instant now = core::boot_clock::now();
    wire::envelope message;
    wire::batch_report& report = *message.mutable_unit_report();
    report.set_sequence(++this->report_sequence);
    report.set_epoch(this->epoch);
    report.set_agent(this->values.name);
    *report.mutable_worker() = to_message(this->worker_info);
    report.set_lists_valid(this->snapshot_valid);
    report.set_lists_incomplete(!this->runs.is_complete());
    report.set_lists_age_ms(
        static_cast<std::uint32_t>(this->liveness.time_since_response(now).count()));
    if (this->snapshot_valid)
    {
        add_runs(report, this->runs.runs());
        add_ends(report, this->runs.ends());
    }
    report.set_store_reachable(this->store_reachable);
    report.set_unwritten_starts(this->unwritten_starts);
    report.set_earlier_unwritten_starts(this->predecessor_unpersisted);
    report.set_knows_earlier_leads(this->knows_predecessors);
    report.set_members_version(this->members_version);
    report.set_leaving(this->leaving);
    report.set_lead_clock_ms(this->orders_received.newest_clock_ms());
    if (!this->worker_info.unresponsive)
    {
        // The leader does not count its answers to the other reports as renewals.
        this->lease.on_report_sent(this->report_sequence, now);
    }
    this->window.on_sent(this->report_sequence);
    this->last_report = now;
    this->send(this->leader_address, std::move(message));
}

void agent::run_election()
{
    const core::instant now = core::boot_clock::now();
    if (this->own_leader != nullptr || this->leaving)
    {
        return;
    }
    if (this->epoch == 0 && !this->leader_read_in_flight && now >= this->next_leader_read)
    {
        this->read_leader_row(false);
    }
    const bool has_peers = !this->probe_targets.empty();
    switch (this->election.tick(has_peers, now))
    {
    case batch::election_action::nothing:
        break;
    case batch::election_action::probe:
        events::write(
            "lead_suspected",
            {{"epoch", this->epoch},
             {"lead", this->leader_name},
             {"orders_ms_ago",
              this->last_orders == core::instant{} ? -1 : (now - this->last_orders).count()},
             {"report_ms_ago", (now - this->last_report).count()},
             {"undeliverable", this->transport->counters().undeliverable}});
        for (const auto& [name, address] : this->probe_targets)
        {
            wire::envelope message;
            message.mutable_lead_probe()->set_epoch(this->epoch);
            this->send(address, std::move(message));
        }
        break;
    case batch::election_action::campaign:
        this->read_leader_row(true);
        break;
    }
}

void agent::read_leader_row(bool may_campaign)
{
    if (this->leader_read_in_flight)
    {
        if (may_campaign)
        {
            this->election.on_campaign_failed(core::boot_clock::now());
        }
        return;
    }
    this->leader_read_in_flight = true;
    const core::instant sent_at = core::boot_clock::now();
    this->store->read(leader_table, site_partition, leader_key, 1, store_timeout,
                      [this, may_campaign, sent_at](const absl::StatusOr<ports::row_page>& page)
                      {
                          this->leader_read_in_flight = false;
                          if (page.ok())
                          {
                              this->election.on_store_round_trip(core::boot_clock::now() - sent_at);
                          }
                          this->on_leader_row(page, may_campaign);
                      },
                      {});
}

void agent::on_leader_row(const absl::StatusOr<ports::row_page>& page, bool may_campaign)
{
    const core::instant now = core::boot_clock::now();
    this->store_reachable = page.ok();
    this->next_leader_read = now + store_retry_interval;
    if (!page.ok())
    {
        if (may_campaign)
        {
            this->election.on_store_unreachable(now);
        }
        return;
    }
    wire::batch_lead_row current;
    ports::revision version = 0;
    if (!page->rows.empty())
    {
        // A row that is not a leader's is replaced by the next campaign.
        version = page->rows.front().version;
        if (!current.ParseFromString(page->rows.front().value))
        {
            log_ignored_row(page->rows.front(), "not a leader");
            current.Clear();
        }
    }
    if (current.epoch() > this->epoch)
    {
        // A new epoch: its leader gets the usual timeout to send a heartbeat.
        const bool own = current.agent() == this->values.name;
        this->follow(current.epoch(), current.address(), current.agent());
        this->poll_worker_now();
        if (own)
        {
            // An earlier process of this agent was the leader; there is none now.
            this->election.on_campaign_failed(now);
            this->election.on_leader_lost(now);
        }
        else
        {
            this->election.on_leader_heartbeat(now);
            this->report_soon();
        }
        return;
    }
    // A leader's heartbeat may have arrived while the row was read.
    if (may_campaign && this->election.is_campaigning() && this->election.on_store_reachable(now))
    {
        this->campaign(std::max(current.epoch(), this->epoch) + 1, version);
    }
}

void agent::campaign(std::uint64_t next_epoch, ports::revision version)
{
    wire::batch_lead_row row;
    row.set_epoch(next_epoch);
    row.set_agent(this->values.name);
    row.set_address(this->values.listen);
    row.set_incarnation(this->incarnation);
    ports::transaction changes;
    changes.conditions.push_back({leader_row_id(), version});
    changes.writes.push_back({leader_row_id(), row.SerializeAsString()});
    this->store->commit(changes, store_timeout,
                        [this, next_epoch](const ports::commit_outcome& outcome)
                        {
                            if (outcome.state == ports::commit_state::applied &&
                                next_epoch > this->epoch)
                            {
                                this->become_leader(next_epoch, outcome.version);
                                return;
                            }
                            // If the write took effect without a response, the next read finds this
                            // agent's row, and the agent campaigns with a higher epoch.
                            this->election.on_campaign_failed(core::boot_clock::now());
                        });
}

void agent::become_leader(std::uint64_t next_epoch, ports::revision version)
{
    this->follow(next_epoch, this->values.listen, this->values.name);
    this->election.on_leader_heartbeat(core::boot_clock::now());
    this->own_leader = std::make_unique<leader>(
        leader_context{this->loop, this->values, *this->store, this->metrics,
                       [this](const std::string& address, wire::envelope message)
                       { this->send(address, std::move(message)); },
                       [this](const std::string&)
                       {
                           this->own_leader.reset();
                           this->next_leader_read = {};
                           this->read_leader_row(false);
                       },
                       [this] { return this->take_message_load(); }},
        next_epoch, version);
    this->poll_worker_now();
    this->report_soon();
}

void agent::tick()
{
    constexpr core::milliseconds interval{100};
    const core::instant now = core::boot_clock::now();
    this->retry_due_commands();
    this->run_election();
    if (!this->leader_address.empty() && now - this->last_report >= this->pacing.interval)
    {
        this->send_report();
    }
    this->loop.run_after(interval, [this] { this->tick(); });
}

} // namespace chicorylift::site
