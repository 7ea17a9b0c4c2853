#include "chicorylift/batch/worker_liveness.hpp"

namespace chicorylift::batch
{

namespace
{

// An agent must stop extending a dead worker's lease early enough for it to end within the leader's
// lease timeout.
constexpr core::milliseconds unresponsive_timeout{1500};
// Two failures would not be enough: when 30% of the responses are lost, two in a row are lost on
// every eleventh call.
constexpr int unresponsive_failures = 3;

} // namespace

void worker_liveness::on_response(core::instant now) noexcept
{
    this->last_response = now;
    this->failures = 0;
}

bool worker_liveness::is_unresponsive(core::instant now) const noexcept
{
    return this->failures >= unresponsive_failures &&
           this->time_since_response(now) > unresponsive_timeout;
}

core::milliseconds worker_liveness::time_since_response(core::instant now) const noexcept
{
    return now - this->last_response;
}

} // namespace chicorylift::batch
