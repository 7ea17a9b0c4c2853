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

} // namespace chicorylift::batch
