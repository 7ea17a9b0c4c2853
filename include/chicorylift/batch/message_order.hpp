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

} // namespace chicorylift::batch
