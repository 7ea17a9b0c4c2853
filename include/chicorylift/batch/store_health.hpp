#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::batch
{

/// A leader's assessment of the store.
struct store_health
{
    /// Writes fail, so that work may have to start without a placement in the store.
    bool not_writable = false;
    /// Reads fail too, so that another member may reach the store and should take over as leader.
    /// When only writes fail, they would fail for another leader as well.
    bool unreachable = false;
};

/// Assesses the store from how long its calls have failed.
/// @param writes_failing how long all writes have failed; 0 after a success.
/// @param reads_failing how long all reads have failed; 0 after a success.
[[nodiscard]] store_health assess_store_health(core::milliseconds writes_failing,
                                               core::milliseconds reads_failing) noexcept;

} // namespace chicorylift::batch
