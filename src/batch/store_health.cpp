#include "chicorylift/batch/store_health.hpp"

namespace chicorylift::batch
{

namespace
{

// Longer than a call that is repeated once; shorter than urgent work can wait.
constexpr core::milliseconds store_lost_after{500};

} // namespace

store_health assess_store_health(core::milliseconds writes_failing,
                                 core::milliseconds reads_failing) noexcept
{
    store_health outlook;
    outlook.unreachable = reads_failing > store_lost_after;
    outlook.not_writable = outlook.unreachable || writes_failing > store_lost_after;
    return outlook;
}

} // namespace chicorylift::batch
