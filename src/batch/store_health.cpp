#include "chicorylift/batch/store_health.hpp"

namespace chicorylift::batch
{

namespace
{

// Longer than a call with one retry, shorter than the delay that urgent work can bear.
constexpr core::milliseconds store_failure_timeout{500};

} // namespace

store_health assess_store_health(core::milliseconds writes_failing,
                                 core::milliseconds reads_failing) noexcept
{
    store_health health;
    health.unreachable = reads_failing > store_failure_timeout;
    health.not_writable = health.unreachable || writes_failing > store_failure_timeout;
    return health;
}

} // namespace chicorylift::batch
