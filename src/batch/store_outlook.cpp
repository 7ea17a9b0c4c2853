#include "chicorylift/batch/store_outlook.hpp"

namespace chicorylift::batch
{

namespace
{

// Longer than a call that is repeated once; shorter than urgent work can wait.
constexpr core::milliseconds store_lost_after{500};

} // namespace

store_outlook judge_store(core::milliseconds writes_failing,
                          core::milliseconds reads_failing) noexcept
{
    store_outlook outlook;
    outlook.silent = reads_failing > store_lost_after;
    outlook.lost = outlook.silent || writes_failing > store_lost_after;
    return outlook;
}

} // namespace chicorylift::batch
