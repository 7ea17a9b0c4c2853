#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::batch
{

/// What a lead takes the store for.
struct store_health
{
    /// Nothing can be written, so that work may have to start unwritten.
    bool not_writable = false;
    /// Nothing is answered at all, so that another member may fare better as lead. Where only
    /// writes go without an answer, another lead would fare alike.
    bool unreachable = false;
};

/// @param writes_failing how long writes have failed without one that succeeded.
/// @param reads_failing the same for reads.
[[nodiscard]] store_health assess_store_health(core::milliseconds writes_failing,
                                               core::milliseconds reads_failing) noexcept;

} // namespace chicorylift::batch
