#include "chicorylift/batch/worker_lease.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr std::size_t max_unacknowledged_reports = 64;

} // namespace

void worker_lease::on_report_sent(std::uint64_t sequence, core::instant now)
{
    this->sent[sequence] = now;
    if (this->sent.size() > max_unacknowledged_reports)
    {
        this->sent.erase(this->sent.begin());
    }
}

void worker_lease::on_report_acknowledged(std::uint64_t sequence, core::milliseconds confirmed_age)
{
    const auto found = this->sent.find(sequence);
    if (found != this->sent.end())
    {
        this->expiry = std::max(this->expiry, found->second + this->length - confirmed_age);
        this->sent.erase(this->sent.begin(), std::next(found));
    }
}

void worker_lease::on_clock(core::milliseconds worker_clock, core::instant received)
{
    this->clock = worker_clock;
    this->clock_received = received;
}

core::milliseconds worker_lease::expiry_on_worker_clock(core::instant now) const noexcept
{
    if (this->expiry <= now || this->clock.count() == 0)
    {
        return core::milliseconds{0};
    }
    // The worker read its clock before the response arrived, so the result is never later than the
    // lease's end.
    return this->clock + (this->expiry - this->clock_received);
}

} // namespace chicorylift::batch
