#pragma once

#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <string>

namespace chicorylift::batch
{

// Messages keep their order within one connection only. After a reconnect, those that were held up
// on the old connection arrive behind newer ones, seconds late.

/// Rejects orders that an agent receives after later ones of the same leader.
class orders_sequence
{
public:
    /// Begins with a new leader, whose clock does not compare with its predecessor's.
    void reset() noexcept { this->newest = 0; }
    /// @param leader_clock_ms the leader's clock when it made the orders.
    /// @return false if later orders have been accepted.
    [[nodiscard]] bool accept(std::int64_t leader_clock_ms) noexcept;
    /// @return the leader's clock in the latest orders; 0 before the first ones.
    [[nodiscard]] std::int64_t newest_clock_ms() const noexcept { return this->newest; }

private:
    std::int64_t newest{};
};

/// Rejects reports that a leader receives after later ones of the same agent.
class report_sequence
{
public:
    /// @param process incarnation of the sending process.
    /// @param sequence the report's number. It rises over all processes of an agent while its
    /// machine's boot clock keeps running.
    /// @param orders_sent_at when the leader sent the last orders that the sender had received; the
    /// clock's epoch when it had received none.
    /// @return false if a later report has been accepted.
    [[nodiscard]] bool accept(const std::string& process, std::uint64_t sequence,
                              core::instant orders_sent_at, core::instant now);

private:
    std::string process;
    std::uint64_t newest{};
    core::instant accepted_at{};
};

} // namespace chicorylift::batch
