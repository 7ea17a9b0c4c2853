#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::batch
{

/// Decides when a leader sends orders to an agent whose reports are overdue.
///
/// A restarted agent thus finds its leader soon, and one that has left costs little.
class call_backoff
{
public:
    /// The agent has reported in time.
    void reset() noexcept { *this = {}; }
    /// Asks whether a silent agent is due for a call, and records the call if so.
    [[nodiscard]] bool is_due(core::instant now) noexcept;

private:
    core::instant next_call{};
    core::milliseconds interval{};
};

} // namespace chicorylift::batch
