#include "chicorylift/batch/worker_lease.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr std::size_t most_remembered = 64;

} // namespace

void worker_lease::on_report_sent(std::uint64_t sequence, core::instant now)
{
    this->sent[sequence] = now;
    if (this->sent.size() > most_remembered)
    {
        this->sent.erase(this->sent.begin());
    }
}

void worker_lease::on_report_acknowledged(std::uint64_t sequence)
{
    const auto found = this->sent.find(sequence);
    if (found != this->sent.end())
    {
        this->expiry = std::max(this->expiry, found->second + this->length);
        this->sent.erase(this->sent.begin(), std::next(found));
    }
}

void worker_lease::on_clock(core::milliseconds worker_clock, core::instant received)
{
    this->clock = worker_clock;
    this->clock_read = received;
}

core::milliseconds worker_lease::expiry_on_worker_clock(core::instant now) const noexcept
{
    if (this->expiry <= now || this->clock.count() == 0)
    {
        return core::milliseconds{0};
    }
    // The clock was read before the answer arrived, so that this end is early rather than late.
    return this->clock + (this->expiry - this->clock_read);
}

} // namespace chicorylift::batch
