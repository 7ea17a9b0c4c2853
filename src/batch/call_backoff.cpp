#include "chicorylift/batch/call_backoff.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr core::milliseconds min_interval{200};
// A fifth of a lease: while many agents connect at a takeover, a call may come before its
// connection is complete.
constexpr core::milliseconds max_interval{1000};

} // namespace

bool call_backoff::is_due(core::instant now) noexcept
{
    if (now < this->next_call)
    {
        return false;
    }
    this->interval = std::clamp(this->interval * 2, min_interval, max_interval);
    this->next_call = now + this->interval;
    return true;
}

} // namespace chicorylift::batch
