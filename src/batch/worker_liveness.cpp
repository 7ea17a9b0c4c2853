#include "chicorylift/batch/worker_liveness.hpp"

namespace chicorylift::batch
{

namespace
{

// A dead worker's lease must end within the lapse that the lead counts, so it is given up early ...
constexpr core::milliseconds silent_after{1500};
// ... but with three in ten answers lost, two in a row are lost on every eleventh call.
constexpr int silent_failures = 3;

} // namespace

void worker_liveness::on_response(core::instant now) noexcept
{
    this->last_response = now;
    this->failures = 0;
}

bool worker_liveness::is_unresponsive(core::instant now) const noexcept
{
    return this->failures >= silent_failures && this->time_since_response(now) > silent_after;
}

core::milliseconds worker_liveness::time_since_response(core::instant now) const noexcept
{
    return now - this->last_response;
}

} // namespace chicorylift::batch
