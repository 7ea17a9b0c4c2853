#include "daemon/entry.hpp"

#include "chicorylift/core/error.hpp"
#include "support/log.hpp"
#include "support/random_hex_id.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <thread>
#include <utility>

/// Background work of the entry: call routing, table polling and peer messages.
namespace chicorylift::daemon
{

namespace
{

constexpr std::string_view component = "entry";
constexpr std::size_t routing_queue_capacity = 16384;
constexpr core::milliseconds routing_interval{10};
constexpr std::int64_t polls_per_subscription = 2;
// Added to the caller's deadline on the worker, so that a cancellation can complete.
constexpr core::milliseconds cancellation_margin{200};

route::router_settings routing_settings(const settings& values)
{
    route::router_settings router_values;
    router_values.zone = values.zone;
    router_values.region = values.region;
    router_values.entries = values.entries;
    router_values.seed = static_cast<std::uint32_t>(std::hash<std::string>{}(values.name));
    return router_values;
}

} // namespace

entry::entry(settings initial_settings)
    : values(std::move(initial_settings)), incarnation(support::random_hex_id()),
      table(store::open_table(this->values.table_adapter, this->values.table_address)),
      router(routing_settings(this->values))
{
    support::log::info(component, "starting", {{"incarnation", this->incarnation}});
    this->admin = std::make_unique<config_admin>(
        *this->table,
        [this]
        {
            std::map<std::string, config_admin::cell_capacity> cells;
            const std::lock_guard lock(this->mutex);
            for (const auto& [id, member] : this->members)
            {
                config_admin::cell_capacity& capacity = cells[member.cell()];
                capacity.cell = member.cell();
                capacity.workers.push_back(wire::to_worker_info(member));
            }
            std::vector<config_admin::cell_capacity> list;
            list.reserve(cells.size());
            for (auto& [cell, capacity] : cells)
            {
                list.push_back(std::move(capacity));
            }
            return list;
        },
        [this](const wire::config_delta& delta) { this->apply_config(delta); });
    this->routing_thread = std::make_unique<support::serial_executor>(
        routing_queue_capacity, routing_interval, [this] { this->routing_tick(); });
    net::transport_settings sockets;
    sockets.listen_address = this->values.listen;
    sockets.advertised_address = this->values.advertise;
    sockets.incarnation = this->incarnation;
    this->transport = std::make_unique<net::transport>(
        sockets, [this](wire::envelope message) { this->receive(std::move(message)); },
        [this](const std::string&, const wire::envelope& message)
        { this->on_send_failed(message); });
    this->polling_thread = std::make_unique<support::serial_executor>(
        1, this->values.config_poll, [this] { this->poll_table(); });
    net::server_limits limits;
    limits.threads = 256;
    this->server = std::make_unique<net::http_server>(this->values.http, limits,
                                                      [this](const net::server_request& request)
                                                      { return this->handle_request(request); });
    support::log::info(component, "ready",
                       {{"listen", this->values.listen}, {"http", this->server->address()}});
}

entry::~entry()
{
    this->server.reset();
    this->polling_thread->stop();
    this->transport.reset();
    this->routing_thread->stop();
}

void entry::stop_gracefully()
{
    support::log::info(component, "stopping");
    this->stopping = true;
    // Lets the load balancer see the failing health check before connections are refused.
    std::this_thread::sleep_for(this->values.shutdown_delay);
    this->server->drain(this->values.drain_timeout);
    support::log::info(component, "stopped");
}

void entry::receive(wire::envelope message)
{
    static_cast<void>(this->routing_thread->post(
        [this, message = std::move(message)]
        {
            switch (message.body_case())
            {
            case wire::envelope::kReply:
                this->on_reply(message.from(), message.reply());
                break;
            case wire::envelope::kSummary:
                this->on_summary(message.from(), message.summary());
                break;
            case wire::envelope::kLeaving:
                this->router.remove_upstream(core::worker_id(message.leaving().agent()));
                break;
            case wire::envelope::kExplained:
            {
                const std::lock_guard lock(this->mutex);
                const auto pending = this->pending_explains.find(message.explained().question());
                if (pending != this->pending_explains.end())
                {
                    pending->second->set_value(message.explained());
                    this->pending_explains.erase(pending);
                }
                break;
            }
            default:
                break;
            }
        }));
}

void entry::on_send_failed(const wire::envelope& message)
{
    if (!message.has_call())
    {
        return;
    }
    static_cast<void>(this->routing_thread->post(
        [this, id = core::request_id(message.call().request()), attempt = message.call().attempt()]
        {
            this->apply_actions(this->router.on_send_failed(id, attempt, core::boot_clock::now()));
        }));
}

void entry::on_reply(const std::string& from, const wire::call_reply& reply)
{
    const auto agent = this->agent_by_address.find(from);
    if (agent == this->agent_by_address.end())
    {
        return;
    }
    route::attempt_response answer;
    answer.id = core::request_id(reply.request());
    answer.attempt = reply.attempt();
    answer.agent = core::worker_id(agent->second);
    if (!reply.error().empty())
    {
        answer.error = core::kind_from_name(reply.error());
    }
    answer.message = reply.message();
    answer.status = static_cast<int>(reply.status());
    answer.body = reply.body();
    this->apply_actions(this->router.on_response(answer, core::boot_clock::now()));
}

void entry::on_summary(const std::string& from, const wire::cell_document& summary)
{
    wire::envelope message;
    {
        const std::lock_guard lock(this->mutex);
        known_leader& leader = this->leaders[summary.cell()];
        if (summary.epoch() < leader.summary.epoch())
        {
            return;
        }
        leader.summary = summary;
        leader.row.set_address(from);
        leader.last_summary_at = core::boot_clock::now();
        if (summary.config_version() < this->config.head().version())
        {
            *message.mutable_config() = this->config.since(summary.config_version());
        }
    }
    if (message.has_config())
    {
        this->send(from, std::move(message));
    }
}

void entry::apply_actions(std::vector<route::route_action> actions)
{
    for (route::route_action& action : actions)
    {
        if (const auto* call = std::get_if<route::send_call>(&action))
        {
            this->send_call(*call);
        }
        else if (const auto* cancel = std::get_if<route::send_cancel>(&action))
        {
            wire::envelope message;
            message.mutable_cancel()->set_request(cancel->id.str());
            message.mutable_cancel()->set_attempt(static_cast<std::uint32_t>(cancel->attempt));
            message.mutable_cancel()->set_target_incarnation(cancel->incarnation);
            this->send(cancel->address, std::move(message));
        }
        else if (auto* finished = std::get_if<route::finish_call>(&action))
        {
            const auto found = this->pending_calls.find(finished->id.str());
            if (found != this->pending_calls.end())
            {
                const std::shared_ptr<answer_promise> promise = found->second;
                this->pending_calls.erase(found);
                promise->set_value(std::move(*finished));
            }
        }
    }
}

void entry::send_call(const route::send_call& step)
{
    const route::upstream_info* upstream = this->router.find(step.agent);
    const route::call_spec* call = this->router.find(step.id);
    if (upstream == nullptr || call == nullptr)
    {
        return;
    }
    wire::envelope message;
    wire::call_request* request = message.mutable_call();
    request->set_request(step.id.str());
    request->set_attempt(static_cast<std::uint32_t>(step.attempt));
    request->set_organisation(call->organisation.str());
    request->set_service(call->service.str());
    request->set_target_incarnation(upstream->incarnation);
    request->set_idempotent(call->idempotent);
    const core::milliseconds remaining =
        call->deadline - core::boot_clock::now() + cancellation_margin;
    request->set_patience_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(remaining.count(), 1)));
    request->set_body(call->body);
    if (!this->transport->send(upstream->address, std::move(message)))
    {
        this->apply_actions(
            this->router.on_send_failed(step.id, step.attempt, core::boot_clock::now()));
    }
}

void entry::routing_tick()
{
    this->apply_actions(this->router.tick(core::boot_clock::now()));
}

void entry::poll_table()
{
    const auto config_rows = [this]
    {
        std::uint32_t after = 0;
        {
            const std::lock_guard lock(this->mutex);
            after = this->config.table_version();
        }
        return this->table->list(std::string(config_prefix), after);
    }();
    const auto member_rows = this->table->list("member/", this->members_version);
    const auto lead_rows = this->table->list("lead/", this->leaders_version);
    this->store_reachable = config_rows.ok() && member_rows.ok() && lead_rows.ok();
    if (config_rows.ok())
    {
        std::uint32_t from = 0;
        {
            const std::lock_guard lock(this->mutex);
            from = this->config.head().version();
        }
        this->apply_config(to_delta(*config_rows, from));
    }
    if (member_rows.ok())
    {
        this->apply_members(*member_rows);
    }
    if (lead_rows.ok())
    {
        this->apply_leaders(*lead_rows);
    }
    if (core::boot_clock::now() >= this->next_subscription)
    {
        this->next_subscription =
            core::boot_clock::now() + this->values.config_poll * polls_per_subscription;
        this->subscribe();
    }
}

void entry::apply_members(const wire::table_rows& listed)
{
    this->members_version = std::max(this->members_version, listed.version());
    for (const wire::table_row& row : listed.rows())
    {
        const std::string name = row.key().substr(row.key().rfind('/') + 1);
        wire::member_row found;
        const bool removed_or_invalid =
            row.removed() || !wire::from_json_lenient(row.value(), found).ok();
        {
            const std::lock_guard lock(this->mutex);
            if (removed_or_invalid)
            {
                this->members.erase(name);
            }
            else
            {
                this->members[name] = found;
            }
        }
        const route::upstream_info upstream{
            core::worker_id(name), found.address(),
            found.incarnation(),   core::service_id(found.service()),
            found.zone(),          found.region(),
            found.slots(),         found.leaving()};
        static_cast<void>(this->routing_thread->post(
            [this, removed_or_invalid, upstream]
            {
                if (removed_or_invalid || upstream.leaving)
                {
                    this->router.remove_upstream(upstream.agent);
                    return;
                }
                this->router.update_upstream(upstream);
                this->agent_by_address[upstream.address] = upstream.agent.str();
            }));
    }
}

void entry::apply_leaders(const wire::table_rows& listed)
{
    this->leaders_version = std::max(this->leaders_version, listed.version());
    const std::lock_guard lock(this->mutex);
    for (const wire::table_row& row : listed.rows())
    {
        wire::lead_row found;
        if (row.removed() || !wire::from_json_lenient(row.value(), found).ok())
        {
            continue;
        }
        known_leader& leader = this->leaders[found.cell()];
        if (found.epoch() > leader.row.epoch())
        {
            leader.row = found;
            this->next_subscription = {};
        }
    }
}

void entry::apply_config(const wire::config_delta& delta)
{
    std::vector<std::string> addresses;
    wire::envelope message;
    absl::StatusOr<quota::resolved_config> terms;
    {
        const std::lock_guard lock(this->mutex);
        const std::uint32_t previous_version = this->config.head().version();
        if (!this->config.apply(delta))
        {
            return;
        }
        support::log::info(component, "configuration in force",
                           {{"version", std::to_string(this->config.head().version())},
                            {"preset", this->config.head().preset_in_force()}});
        *message.mutable_config() = this->config.since(previous_version);
        for (const auto& [cell, leader] : this->leaders)
        {
            addresses.push_back(leader.row.address());
        }
        terms = this->config.terms_in_force();
    }
    for (const std::string& address : addresses)
    {
        this->send(address, message);
    }
    if (terms.ok())
    {
        static_cast<void>(this->routing_thread->post(
            [this, terms = *terms] { this->router.apply_config(terms, core::boot_clock::now()); }));
    }
}

void entry::subscribe()
{
    std::vector<std::string> addresses;
    wire::envelope message;
    {
        const std::lock_guard lock(this->mutex);
        // While the store is unreachable this copy may be stale: version 0 makes no claim about it.
        message.mutable_subscription()->set_config_version(
            this->store_reachable ? this->config.head().version() : 0);
        for (const auto& [cell, leader] : this->leaders)
        {
            addresses.push_back(leader.row.address());
        }
    }
    for (const std::string& address : addresses)
    {
        this->send(address, message);
    }
}

void entry::send(const std::string& address, wire::envelope message)
{
    if (!this->transport->send(address, std::move(message)))
    {
        this->metrics.increment("messages_dropped", "ring_full");
    }
}

} // namespace chicorylift::daemon
