#include "daemon/agent.hpp"

#include "chicorylift/core/error.hpp"
#include "support/log.hpp"
#include "support/random_hex_id.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

namespace chicorylift::daemon
{

namespace
{

using core::error_kind;

constexpr std::string_view component = "agent";
constexpr std::size_t agent_queue_capacity = 16384;
constexpr core::milliseconds agent_tick_interval{50};
constexpr std::size_t store_threads = 2;
constexpr std::size_t store_queue_capacity = 256;
constexpr core::milliseconds min_member_write_backoff{500};
constexpr core::milliseconds max_member_write_backoff{16'000};
constexpr core::milliseconds member_removal_timeout{1000};
constexpr core::milliseconds announcement_timeout{5000};
constexpr core::milliseconds max_initial_candidacy_delay{200};

} // namespace

agent::agent(settings initial_values)
    : values(std::move(initial_values)), incarnation(support::random_hex_id()),
      table(store::open_table(this->values.table_adapter, this->values.table_address)),
      random(std::random_device{}()), store_pool(store_threads, store_queue_capacity)
{
    support::log::info(component, "starting", {{"incarnation", this->incarnation}});
    this->calls =
        std::make_unique<call_handler>(this->incarnation, this->values.call_threads,
                                       [this](const std::string& address, wire::envelope message)
                                       { this->send(address, std::move(message)); });
    admit::part_settings part_options;
    part_options.lease_timeout = this->values.gang_lease;
    this->parts = std::make_unique<part_manager>(
        part_options,
        [this](support::serial_executor::task work) { return this->thread->post(std::move(work)); },
        [this](const admit::part_key& key, const std::string& state, const std::string& detail)
        { this->report_part(key, state, detail); });
    this->leader.last_heard = core::boot_clock::now();
    this->thread = std::make_unique<support::serial_executor>(
        agent_queue_capacity, agent_tick_interval, [this] { this->tick(); });
    net::transport_settings transport_options;
    transport_options.listen_address = this->values.listen;
    transport_options.advertised_address = this->values.advertise;
    transport_options.incarnation = this->incarnation;
    this->transport = std::make_unique<net::transport>(
        transport_options, [this](wire::envelope message) { this->receive(std::move(message)); },
        [](const std::string&, const wire::envelope&) {});
    net::server_limits limits;
    limits.threads = 8;
    this->server = std::make_unique<net::http_server>(this->values.http, limits,
                                                      [this](const net::server_request& request)
                                                      { return this->handle_request(request); });
    support::log::info(component, "ready",
                       {{"listen", this->values.listen},
                        {"http", this->server->address()},
                        {"cell", this->values.cell()},
                        {"incarnation", this->incarnation}});
}

agent::~agent()
{
    this->server.reset();
    this->store_pool.stop();
    this->thread->stop();
    this->own_leader.reset();
    this->parts.reset();
    this->calls.reset();
    this->transport.reset();
}

void agent::stop_gracefully()
{
    support::log::info(component, "stopping");
    std::promise<std::size_t> open_parts_promise;
    const bool posted = this->thread->post(
        [this, &open_parts_promise]
        {
            this->stopping = true;
            this->set_leaving(true, true);
            if (this->own_leader != nullptr)
            {
                this->own_leader->resign();
            }
            open_parts_promise.set_value(this->parts->active_count());
        });
    const std::size_t open_parts = posted ? open_parts_promise.get_future().get() : 0;
    constexpr core::milliseconds poll_interval{20};
    const core::instant deadline = core::boot_clock::now() + this->values.drain_timeout;
    while (this->calls->in_flight() > 0 && core::boot_clock::now() < deadline)
    {
        std::this_thread::sleep_for(poll_interval);
    }
    // Tasks keep running on the worker after the agent has stopped. While there are any, the member
    // row is kept, so that the leader expects the agent to return.
    if (open_parts == 0)
    {
        wire::table_commit transaction = store::new_transaction();
        store::add_removal(transaction, "member/" + this->values.cell() + "/" + this->values.name,
                           0);
        transaction.mutable_writes(0)->set_any_version(true);
        static_cast<void>(store::commit_with_retry(*this->table, transaction,
                                                   member_removal_timeout, [] { return false; }));
    }
    support::log::info(component, "stopped",
                       {{"open_calls", std::to_string(this->calls->in_flight())},
                        {"open_parts", std::to_string(open_parts)}});
}

void agent::receive(wire::envelope message)
{
    // Calls are admitted on the transport's thread, so that a busy agent thread does not delay
    // them.
    if (message.body_case() == wire::envelope::kCall)
    {
        this->calls->on_call(message.from(), message.call());
        return;
    }
    if (message.body_case() == wire::envelope::kCancel)
    {
        this->calls->on_cancel(message.from(), message.cancel());
        return;
    }
    static_cast<void>(
        this->thread->post([this, message = std::move(message)] { this->on_message(message); }));
}

void agent::on_message(const wire::envelope& message)
{
    // After a process suspension, expire overdue leases before handling the messages queued
    // meanwhile.
    this->parts->tick();
    switch (message.body_case())
    {
    case wire::envelope::kFencing:
        this->on_fence(message.from(), message.fencing());
        break;
    case wire::envelope::kBeatReply:
        this->on_heartbeat_reply(message.from(), message.beat_reply());
        break;
    case wire::envelope::kConfigNews:
        this->on_config_notice(message.config_news());
        break;
    case wire::envelope::kReserve:
    case wire::envelope::kStart:
    case wire::envelope::kStop:
        this->on_part_order(message);
        break;
    case wire::envelope::kLeaving:
        this->on_leaving(message.leaving());
        break;
    case wire::envelope::kProbing:
        this->on_probe(message);
        break;
    default:
        if (this->own_leader != nullptr)
        {
            this->own_leader->deliver(message);
        }
        break;
    }
}

void agent::on_config_notice(const wire::config_notice& notice)
{
    if (notice.version() <= this->config_version)
    {
        return;
    }
    this->config_version = notice.version();
    this->preset = notice.preset();
    support::log::info(
        component, "configuration in force",
        {{"version", std::to_string(this->config_version)}, {"preset", this->preset}});
    // The next heartbeat reports the version. One more message per member and change would exceed
    // the message budget of the leader.
}

void agent::on_leaving(const wire::leaving_notice& notice)
{
    if (notice.agent() != this->values.name)
    {
        // Either a member notifies this agent as the leader, or the leader of the cell is stopping.
        // In the second case the leader counts as silent from now on.
        if (this->own_leader != nullptr)
        {
            wire::envelope message;
            *message.mutable_leaving() = notice;
            this->own_leader->deliver(std::move(message));
        }
        else if (notice.agent() == this->leader.row.agent())
        {
            this->leader.last_heard = core::boot_clock::now() - this->values.suspect_after;
        }
        return;
    }
    this->drained = !notice.returning();
    this->set_leaving(this->is_leaving(), false);
}

void agent::on_part_order(const wire::envelope& message)
{
    if (message.has_reserve())
    {
        if (this->parts->accept_epoch(message.reserve().epoch()))
        {
            this->parts->on_reserve(message.reserve(), this->is_leaving());
        }
    }
    else if (message.has_start())
    {
        if (this->parts->accept_epoch(message.start().epoch()))
        {
            this->parts->on_start(message.start());
        }
    }
    else if (this->parts->accept_epoch(message.stop().epoch()))
    {
        this->parts->on_stop(message.stop());
    }
}

void agent::tick()
{
    const core::instant now = core::boot_clock::now();
    this->parts->tick();
    if (!this->is_announced)
    {
        return;
    }
    if (!this->upstream_leaving && now - this->announced_at > announcement_timeout)
    {
        support::log::warn(component, "upstream stopped announcing itself; refusing new work",
                           {{"agent", this->values.name}});
        this->upstream_leaving = true;
        this->set_leaving(true, false);
    }
    if (this->member_dirty && !this->member_writing && now >= this->next_member_write)
    {
        this->write_member_row();
    }
    if (now >= this->next_heartbeat)
    {
        this->send_heartbeat(false);
    }
    this->watch_leader(now);
}

void agent::apply_announcement(const wire::announcement& upstream)
{
    const core::instant now = core::boot_clock::now();
    this->announced_at = now;
    this->calls->apply_announcement(upstream);
    this->parts->apply_announcement(upstream);
    const bool first = !std::exchange(this->is_announced, true);
    const bool upstream_returned = std::exchange(this->upstream_leaving, false);
    wire::member_row row;
    row.set_agent(this->values.name);
    row.set_address(this->values.advertise);
    row.set_incarnation(this->incarnation);
    row.set_cell(this->values.cell());
    row.set_zone(this->values.zone);
    row.set_region(this->values.region);
    row.set_rack(this->values.zone + "-rack-" + std::to_string(this->values.rack));
    row.set_service(upstream.service());
    row.set_slots(std::min(upstream.slots(), upstream.connections()));
    row.set_connections(upstream.connections());
    *row.mutable_capacity() = upstream.capacity();
    row.set_leaving(this->is_leaving());
    if (row.SerializeAsString() != this->member.SerializeAsString())
    {
        this->member = row;
        this->member_dirty = true;
    }
    if (first || upstream_returned)
    {
        this->calls->set_leaving(this->is_leaving());
        std::uniform_int_distribution<std::int64_t> jitter(0, max_initial_candidacy_delay.count());
        this->leader.next_candidacy = now + core::milliseconds{jitter(this->random)};
        this->send_heartbeat(true);
    }
}

void agent::set_leaving(bool leaving, bool returning)
{
    this->calls->set_leaving(leaving);
    this->member.set_leaving(leaving);
    this->member_dirty = this->is_announced;
    if (leaving)
    {
        support::log::info(component, "leaving", {{"agent", this->values.name}});
        this->send_leaving_notice(returning);
    }
    else
    {
        this->send_heartbeat(true);
    }
}

void agent::send_leaving_notice(bool returning)
{
    wire::envelope message;
    message.mutable_leaving()->set_agent(this->values.name);
    message.mutable_leaving()->set_returning(returning);
    for (const std::string& entry : this->calls->entries())
    {
        this->send(entry, message);
    }
    this->send_to_leader(message);
}

void agent::write_member_row()
{
    this->member_writing = true;
    this->member_dirty = false;
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, "member/" + this->values.cell() + "/" + this->values.name, 0,
                     wire::to_compact_json(this->member));
    // Only this process writes the row, so no version check is needed.
    transaction.mutable_writes(0)->set_any_version(true);
    const bool queued = this->store_pool.post(
        [this, transaction]
        {
            const store::commit_result result = this->table->commit(transaction);
            static_cast<void>(this->thread->post(
                [this, result]
                {
                    this->member_writing = false;
                    if (result.outcome == store::commit_outcome::applied)
                    {
                        this->member_write_backoff = min_member_write_backoff;
                        return;
                    }
                    // Exponential backoff with jitter avoids a burst of writes when the store
                    // recovers.
                    std::uniform_int_distribution<std::int64_t> jitter(
                        this->member_write_backoff.count() / 2, this->member_write_backoff.count());
                    this->member_dirty = true;
                    this->next_member_write =
                        core::boot_clock::now() + core::milliseconds{jitter(this->random)};
                    this->member_write_backoff =
                        std::min(this->member_write_backoff * 2, max_member_write_backoff);
                }));
        });
    if (!queued)
    {
        this->member_writing = false;
        this->member_dirty = true;
    }
}

void agent::report_part(const admit::part_key& key, const std::string& state,
                        const std::string& detail)
{
    wire::envelope message;
    wire::part_report* report = message.mutable_report();
    report->set_agent(this->values.name);
    report->set_job(key.job.str());
    report->set_attempt(static_cast<std::uint32_t>(key.attempt));
    report->set_state(state);
    report->set_detail(detail);
    report->set_epoch(this->parts->epoch());
    this->send_to_leader(std::move(message));
}

void agent::send(const std::string& address, wire::envelope message)
{
    if (!this->transport->send(address, std::move(message)))
    {
        this->metrics.increment("messages_dropped", "ring_full");
    }
}

bool agent::is_leaving() const noexcept
{
    return this->upstream_leaving || this->drained || this->stopping;
}

} // namespace chicorylift::daemon
