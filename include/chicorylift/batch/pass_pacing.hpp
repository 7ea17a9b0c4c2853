#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::batch
{

/// Limits the share of a leader's time that scheduling passes take, so that reports are answered
/// and leases renewed in time: a fifth, or more if passes take over 250 ms.
class pass_pacing
{
public:
    /// Records a pass.
    void on_pass(core::instant start, core::instant end) noexcept;
    /// @return time until the next pass may start. Changes within this time share a pass.
    [[nodiscard]] core::milliseconds delay(core::instant now) const noexcept;

private:
    core::instant next_pass{};
};

} // namespace chicorylift::batch
