#pragma once

#include "net/transport.hpp"
#include "wire/wire.pb.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace chicorylift::testing
{

/// Leader of a high epoch that answers one agent's reports and sends it any orders.
class fake_leader
{
public:
    /// @param agent_address where the agent takes messages.
    explicit fake_leader(std::string agent_address);
    ~fake_leader();
    fake_leader(const fake_leader&) = delete;
    fake_leader& operator=(const fake_leader&) = delete;

    /// Waits for a report of this epoch with the worker's run lists.
    /// @return the report, or nothing after 10 s.
    [[nodiscard]] std::optional<wire::batch_report> wait_for_report();
    /// @return the latest report of this epoch, whether or not it has run lists.
    [[nodiscard]] wire::batch_report latest_report();
    /// Answers from now on only the reports for which @p condition, called for each one, holds; the
    /// others are held up on their way.
    void answer_only(std::function<bool(const wire::batch_report&)> condition);
    /// Sends orders that were made at the leader's time @p clock_ms.
    void send(wire::batch_orders orders, std::int64_t clock_ms);
    /// @return the leader's clock; later than in any answer so far.
    [[nodiscard]] std::int64_t advance_clock();

private:
    void on_report(const wire::batch_report& report);

    std::string agent_address;
    std::string address;
    std::mutex guard;
    std::condition_variable reported;
    std::int64_t clock_ms = 1000;
    std::uint64_t reports{};
    std::function<bool(const wire::batch_report&)> condition;
    wire::batch_report latest;
    wire::batch_report latest_of_any_kind;
    std::unique_ptr<net::transport> transport;
};

/// @return orders to start one unit.
[[nodiscard]] wire::batch_orders start_order(const std::string& unit, std::uint64_t run,
                                             const std::string& payload);

} // namespace chicorylift::testing
