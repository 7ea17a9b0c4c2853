#include "chicorylift/core/error.hpp"
#include "daemon/agent.hpp"
#include "support/log.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <utility>

/// Leadership in the agent: follows the leader of its cell, and campaigns when there is none.
namespace chicorylift::daemon
{

namespace
{

using core::error_kind;

constexpr std::string_view component = "agent";
constexpr core::milliseconds candidacy_commit_timeout{1000};

} // namespace

void agent::on_fence(const std::string& from, const wire::fence& fence)
{
    if (fence.cell() != this->values.cell() || !this->parts->accept_epoch(fence.epoch()))
    {
        return;
    }
    if (this->own_leader != nullptr && this->own_leader->epoch() < fence.epoch())
    {
        this->stop_leading();
    }
    this->leader.row.set_epoch(fence.epoch());
    this->leader.row.set_address(from);
    this->leader.row.set_agent(fence.lead());
    this->leader.known = true;
    this->leader.last_heard = core::boot_clock::now();
    this->parts->renew_leases();
    this->send_heartbeat(true);
}

void agent::on_heartbeat_reply(const std::string& from, const wire::heartbeat_reply& reply)
{
    if (!this->parts->accept_epoch(reply.epoch()) || from != this->leader.row.address())
    {
        return;
    }
    this->leader.last_heard = core::boot_clock::now();
    this->parts->renew_leases();
    if (reply.config_version() > this->config_version)
    {
        this->config_version = reply.config_version();
        support::log::info(component, "configuration in force",
                           {{"version", std::to_string(this->config_version)}});
    }
    if (reply.send_whole())
    {
        this->send_heartbeat(true);
    }
}

void agent::on_probe(const wire::envelope& message)
{
    const wire::probe& probe = message.probing();
    if (probe.answered() && probe.asker() == this->values.advertise)
    {
        if (this->own_leader != nullptr)
        {
            this->own_leader->deliver(message);
        }
        return;
    }
    if (!this->parts->accept_epoch(probe.epoch()))
    {
        return;
    }
    wire::envelope forwarded;
    *forwarded.mutable_probing() = probe;
    if (probe.answered())
    {
        this->send(probe.asker(), std::move(forwarded));
        return;
    }
    if (probe.target() != this->values.name)
    {
        this->send(probe.target_address(), std::move(forwarded));
        return;
    }
    // The probe shows that the leader is alive and still counts this agent as a member, so it
    // renews the leases as a heartbeat reply does.
    if (probe.epoch() == this->leader.row.epoch())
    {
        this->leader.last_heard = core::boot_clock::now();
    }
    this->parts->renew_leases();
    forwarded.mutable_probing()->set_answered(true);
    for (wire::held_part& part : this->parts->list_parts())
    {
        *forwarded.mutable_probing()->add_parts() = std::move(part);
    }
    this->send(message.from(), std::move(forwarded));
}

void agent::send_heartbeat(bool full_report)
{
    this->next_heartbeat = core::boot_clock::now() + this->values.heartbeat;
    if (!this->leader.known || !this->is_announced)
    {
        return;
    }
    wire::envelope message;
    wire::heartbeat* beat = message.mutable_beat();
    beat->set_agent(this->values.name);
    beat->set_sequence(++this->heartbeat_sequence);
    beat->set_epoch(this->parts->epoch());
    beat->set_config_version(this->config_version);
    const bool send_full_report = full_report && this->parts->is_ready();
    beat->set_whole(send_full_report);
    if (send_full_report)
    {
        *beat->mutable_member() = this->member;
        for (wire::held_part& part : this->parts->list_parts())
        {
            *beat->add_changed_parts() = std::move(part);
        }
    }
    this->send_to_leader(std::move(message));
}

void agent::watch_leader(core::instant now)
{
    if (this->leader.request_in_flight || this->own_leader != nullptr || this->stopping ||
        now < this->leader.next_candidacy)
    {
        return;
    }
    if (!this->leader.known || now - this->leader.last_heard >= this->values.suspect_after)
    {
        this->read_leader_row();
    }
}

void agent::read_leader_row()
{
    this->leader.request_in_flight = this->store_pool.post(
        [this]
        {
            const auto row = this->table->read("lead/" + this->values.cell());
            static_cast<void>(this->thread->post([this, row] { this->apply_leader_row(row); }));
        });
}

void agent::apply_leader_row(const absl::StatusOr<wire::table_row>& row)
{
    this->leader.request_in_flight = false;
    const core::instant now = core::boot_clock::now();
    std::uniform_int_distribution<std::int64_t> jitter(this->values.heartbeat.count() / 4,
                                                       this->values.heartbeat.count());
    this->leader.next_candidacy = now + core::milliseconds{jitter(this->random)};
    if (!row.ok() && core::kind_of(row.status()) != error_kind::not_found)
    {
        return; // No agent can take over the cell while the store is unavailable.
    }
    const std::uint32_t version = row.ok() ? row->version() : 0;
    const bool changed = version != this->leader.row_version;
    this->leader.row_version = version;
    if (row.ok() && (changed || !this->leader.known))
    {
        wire::lead_row found;
        if (wire::from_json_lenient(row->value(), found).ok() &&
            found.epoch() >= this->parts->epoch())
        {
            this->leader.row = found;
            this->leader.known = true;
            // A leader newly named by the row gets the full timeout before this agent campaigns.
            this->leader.last_heard = now;
            this->send_heartbeat(true);
            return;
        }
    }
    if (!row.ok() || now - this->leader.last_heard >= this->values.suspect_after)
    {
        this->campaign();
    }
}

void agent::campaign()
{
    // A draining agent can still lead: running gangs need a leader that renews their leases.
    if (this->stopping || !this->parts->is_ready())
    {
        return;
    }
    wire::lead_row row;
    row.set_cell(this->values.cell());
    row.set_epoch(std::max(this->leader.row.epoch(), this->parts->epoch()) + 1);
    row.set_agent(this->values.name);
    row.set_address(this->values.advertise);
    row.set_incarnation(this->incarnation);
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, "lead/" + this->values.cell(), this->leader.row_version,
                     wire::to_compact_json(row));
    this->leader.request_in_flight = this->store_pool.post(
        [this, transaction, epoch = row.epoch()]
        {
            const store::commit_result result = store::commit_with_retry(
                *this->table, transaction, candidacy_commit_timeout, [] { return false; });
            static_cast<void>(this->thread->post(
                [this, result, epoch]
                {
                    this->leader.request_in_flight = false;
                    if (result.outcome == store::commit_outcome::applied)
                    {
                        this->become_leader(epoch, result.version);
                    }
                }));
        });
}

void agent::become_leader(std::uint32_t epoch, std::uint32_t row_version)
{
    if (!this->parts->accept_epoch(epoch))
    {
        return;
    }
    this->leader.row.set_epoch(epoch);
    this->leader.row.set_agent(this->values.name);
    this->leader.row.set_address(this->values.advertise);
    this->leader.row_version = row_version;
    this->leader.known = true;
    this->leader.last_heard = core::boot_clock::now();
    this->own_leader = std::make_shared<cell_leader>(
        leader_context{
            .values = this->values,
            .table = *this->table,
            .metrics = this->metrics,
            .send = [this](const std::string& address, wire::envelope message)
            { this->send(address, std::move(message)); },
            .superseded = [this]
            { static_cast<void>(this->thread->post([this] { this->stop_leading(); })); }},
        epoch, row_version);
}

void agent::stop_leading()
{
    if (this->own_leader == nullptr)
    {
        return;
    }
    this->leader.known = false;
    std::shared_ptr<cell_leader> former_leader = std::exchange(this->own_leader, nullptr);
    // The destructor waits for pending store requests, so it runs off the agent thread.
    static_cast<void>(this->store_pool.post([former_leader]() mutable { former_leader.reset(); }));
}

void agent::send_to_leader(wire::envelope message)
{
    if (this->leader.known)
    {
        this->send(this->leader.row.address(), std::move(message));
    }
}

} // namespace chicorylift::daemon
