#include "support/fake_leader.hpp"

#include "support/process.hpp"

#include <chrono>
#include <utility>

namespace chicorylift::testing
{

namespace
{

// Higher than any epoch that the agent reaches by itself.
constexpr std::uint64_t epoch = 1000;
constexpr std::int64_t clock_step_ms = 100;

} // namespace

fake_leader::fake_leader(std::string agent_address)
    : agent_address(std::move(agent_address)), address(free_address())
{
    net::transport_settings options;
    options.listen_address = this->address;
    options.advertised_address = this->address;
    options.incarnation = "fake-leader";
    this->transport = std::make_unique<net::transport>(
        options,
        [this](const wire::envelope& message)
        {
            if (message.has_unit_report())
            {
                this->on_report(message.unit_report());
            }
        },
        [](const std::string&, const wire::envelope&) {});
}

fake_leader::~fake_leader() = default;

std::optional<wire::batch_report> fake_leader::wait_for_report()
{
    constexpr std::chrono::milliseconds call_interval{200};
    constexpr int calls = 50;
    std::unique_lock lock(this->guard);
    const std::uint64_t before = this->reports;
    for (int call = 0; call < calls; ++call)
    {
        if (this->reported.wait_for(lock, call_interval, [&] { return this->reports > before; }))
        {
            return this->latest;
        }
        // The agent learns of its leader from the first orders.
        lock.unlock();
        this->send({}, this->advance_clock());
        lock.lock();
    }
    return std::nullopt;
}

wire::batch_report fake_leader::latest_report()
{
    const std::lock_guard lock(this->guard);
    return this->latest_of_any_kind;
}

void fake_leader::answer_only(std::function<bool(const wire::batch_report&)> condition)
{
    const std::lock_guard lock(this->guard);
    this->condition = std::move(condition);
}

void fake_leader::send(wire::batch_orders orders, std::int64_t clock_ms)
{
    orders.set_epoch(epoch);
    orders.set_lead("fake-leader");
    orders.set_agents(1);
    orders.set_takeover_settled(true);
    orders.set_lead_clock_ms(clock_ms);
    wire::envelope message;
    *message.mutable_unit_orders() = std::move(orders);
    static_cast<void>(this->transport->send(this->agent_address, std::move(message)));
}

std::int64_t fake_leader::advance_clock()
{
    const std::lock_guard lock(this->guard);
    this->clock_ms += clock_step_ms;
    return this->clock_ms;
}

void fake_leader::on_report(const wire::batch_report& report)
{
    {
        const std::lock_guard lock(this->guard);
        if (this->condition && !this->condition(report))
        {
            return;
        }
        if (report.epoch() == epoch)
        {
            this->latest_of_any_kind = report;
        }
        if (report.epoch() == epoch && report.lists_valid())
        {
            ++this->reports;
            this->latest = report;
        }
    }
    this->reported.notify_all();
    wire::batch_orders answer;
    answer.set_reply_to(report.sequence());
    this->send(std::move(answer), this->advance_clock());
}

wire::batch_orders start_order(const std::string& unit, std::uint64_t run,
                               const std::string& payload)
{
    wire::batch_orders orders;
    wire::batch_start& start = *orders.add_starts();
    start.set_unit(unit);
    start.set_run(run);
    start.set_payload(payload);
    return orders;
}

} // namespace chicorylift::testing
