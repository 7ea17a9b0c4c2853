#include "chicorylift/batch/probe_sample.hpp"
#include "chicorylift/batch/report_pacing.hpp"
#include "site/leader.hpp"
#include "support/stopwatch.hpp"

#include <algorithm>
#include <utility>

/// Part of the leader that sends orders and answers to agents.
namespace chicorylift::site
{

namespace
{

// Orders beyond this go into a further message; agents take 4 MiB at a time.
constexpr std::size_t max_order_bytes = 512U << 10U;
// Upper bound for a command's unit and run.
constexpr std::size_t command_bytes = 128;
// Agents whose report is overdue by this time are sent a message, so that a restarted agent finds
// its leader.
constexpr core::milliseconds silence_margin{300};

} // namespace

wire::envelope leader::build_orders(const std::string& agent, agent_state& state)
{
    wire::envelope message;
    wire::batch_orders& orders = *message.mutable_unit_orders();
    orders.set_epoch(this->my_epoch);
    orders.set_lead(this->context.values.name);
    const core::instant now = core::boot_clock::now();
    orders.set_lead_clock_ms(now.time_since_epoch().count());
    const core::milliseconds age =
        std::clamp<core::milliseconds>(now - this->confirmation.confirmed_at(),
                                       core::milliseconds{0}, lease_duration(this->context.values));
    orders.set_confirmed_age_ms(static_cast<std::uint32_t>(age.count()));
    orders.set_agents(static_cast<std::uint32_t>(this->agents.size()));
    if (this->loaded)
    {
        const auto [born, number] = this->scheduler.acknowledged_end(batch::agent_id(agent));
        orders.set_noted_born_ms(born.count());
        orders.set_noted(number);
    }
    for (const auto& [unit, run] : state.acknowledged_runs)
    {
        wire::batch_stop& settled = *orders.add_settled();
        settled.set_unit(unit);
        settled.set_run(run);
    }
    state.acknowledged_runs.clear();
    if (state.known_members_version != this->members_version)
    {
        this->add_probe_targets(agent, orders);
    }
    orders.set_members_version(this->members_version);
    orders.set_store_lost(this->store_health.unreachable);
    orders.set_unwritten_starts(this->guard.is_announcing());
    orders.set_takeover_settled(this->guard.may_place(now));
    return message;
}

void leader::add_probe_targets(const std::string& agent, wire::batch_orders& orders) const
{
    std::vector<const std::pair<const std::string, agent_state>*> members;
    std::size_t position = 0;
    for (const auto& each : this->agents)
    {
        if (each.first == agent)
        {
            position = members.size();
        }
        if (each.first == agent || !each.second.left)
        {
            members.push_back(&each);
        }
    }
    for (const std::size_t index : batch::probe_sample(members.size(), position))
    {
        wire::batch_member& member = *orders.add_members();
        member.set_agent(members[index]->first);
        member.set_address(members[index]->second.address);
    }
}

void leader::add_answer(const std::string& agent, agent_state& state, wire::batch_orders& orders)
{
    if (state.unanswered_report != 0)
    {
        orders.set_reply_to(std::exchange(state.unanswered_report, 0));
        this->scheduler.on_renewal_sent(batch::agent_id(agent), core::boot_clock::now());
    }
}

void leader::schedule_answers()
{
    if (this->answers_scheduled)
    {
        return;
    }
    this->answers_scheduled = true;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.loop.run_after(batch::pacing_for(this->agents.size()).reply_delay,
                                 [this, alive]
                                 {
                                     if (!alive.expired())
                                     {
                                         this->answers_scheduled = false;
                                         this->send_answers();
                                     }
                                 });
}

void leader::send_answers()
{
    this->detect_process_pause();
    if (!this->may_issue_orders())
    {
        return;
    }
    const support::stopwatch watch(this->work.answer_time);
    for (auto& [name, state] : this->agents)
    {
        if (state.unanswered_report != 0)
        {
            ++this->work.answers;
            wire::envelope message = this->build_orders(name, state);
            this->add_answer(name, state, *message.mutable_unit_orders());
            this->context.send(state.address, std::move(message));
        }
    }
    if (this->may_schedule())
    {
        // A completed job does not wait for the next pass, which follows a rest.
        this->write_progress();
    }
}

void leader::send_to_all_agents()
{
    for (auto& [name, state] : this->agents)
    {
        this->context.send(state.address, this->build_orders(name, state));
    }
}

void leader::call_silent_agents()
{
    const core::instant now = core::boot_clock::now();
    const core::milliseconds interval = batch::pacing_for(this->agents.size()).interval;
    for (auto& [name, state] : this->agents)
    {
        if (now - state.last_heard < interval + silence_margin)
        {
            state.calls.reset();
        }
        else if (state.calls.is_due(now))
        {
            this->context.send(state.address, this->build_orders(name, state));
        }
    }
}

void leader::send_orders(const std::vector<batch::agent_command>& orders)
{
    struct unsent_message
    {
        wire::envelope message;
        std::size_t bytes{};
    };
    std::map<std::string, unsent_message> messages;
    const auto send = [this](const std::string& agent, wire::envelope& message)
    {
        agent_state& state = this->agents[agent];
        this->add_answer(agent, state, *message.mutable_unit_orders());
        this->context.send(state.address, std::move(message));
    };
    for (const batch::agent_command& order : orders)
    {
        const std::string& agent = order.agent.str();
        const auto known = this->agents.find(agent);
        if (known == this->agents.end() || known->second.address.empty())
        {
            continue;
        }
        auto unsent = messages.find(agent);
        if (unsent == messages.end())
        {
            unsent = messages.emplace(agent, unsent_message{}).first;
            unsent->second.message = this->build_orders(agent, known->second);
        }
        else if (unsent->second.bytes >= max_order_bytes)
        {
            send(agent, unsent->second.message);
            unsent->second = {this->build_orders(agent, known->second), 0};
        }
        unsent->second.bytes += order.payload.size() + order.checkpoint.size() + command_bytes;
        wire::batch_orders& out = *unsent->second.message.mutable_unit_orders();
        if (order.what == batch::agent_command::action::start)
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
    for (auto& [agent, unsent] : messages)
    {
        send(agent, unsent.message);
    }
}

} // namespace chicorylift::site
