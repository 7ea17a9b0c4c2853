#include "chicorylift/batch/message_order.hpp"

namespace chicorylift::batch
{

bool orders_sequence::accept(std::int64_t leader_clock_ms) noexcept
{
    // Several messages of one millisecond are equally new.
    if (leader_clock_ms < this->newest)
    {
        return false;
    }
    this->newest = leader_clock_ms;
    return true;
}

bool report_sequence::accept(const std::string& sender, std::uint64_t sequence,
                             core::instant orders_sent_at, core::instant now)
{
    bool is_later = sequence > this->newest;
    if (sender != this->process && orders_sent_at != core::instant{})
    {
        // An ended process cannot have received orders that were sent after its successor's report.
        // Its numbers may be higher, if the machine has restarted and its boot clock with it.
        is_later = orders_sent_at > this->accepted_at;
    }
    if (!is_later)
    {
        return false;
    }
    this->process = sender;
    this->newest = sequence;
    this->accepted_at = now;
    return true;
}

} // namespace chicorylift::batch
