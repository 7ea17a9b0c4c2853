#include "chicorylift/batch/worker_contact.hpp"

namespace chicorylift::batch
{

namespace
{

// A dead worker's lease must end within the lapse that the lead counts, so it is given up early ...
constexpr core::milliseconds silent_after{1500};
// ... but with three in ten answers lost, two in a row are lost on every eleventh call.
constexpr int silent_failures = 3;

} // namespace

void worker_contact::on_answer(core::instant now) noexcept
{
    this->answered = now;
    this->failures = 0;
}

bool worker_contact::is_silent(core::instant now) const noexcept
{
    return this->failures >= silent_failures && this->silence(now) > silent_after;
}

core::milliseconds worker_contact::silence(core::instant now) const noexcept
{
    return now - this->answered;
}

} // namespace chicorylift::batch
