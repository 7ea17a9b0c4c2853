#include "chicorylift/batch/report_window.hpp"

#include <utility>

namespace chicorylift::batch
{

bool report_window::may_send() noexcept
{
    this->due = this->unanswered != 0;
    return !this->due;
}

void report_window::on_sent(std::uint64_t sequence) noexcept
{
    this->unanswered = sequence;
    this->due = false;
}

bool report_window::on_answered(std::uint64_t sequence) noexcept
{
    if (sequence < this->unanswered)
    {
        return false;
    }
    this->unanswered = 0;
    return std::exchange(this->due, false);
}

void report_window::reset() noexcept
{
    *this = {};
}

} // namespace chicorylift::batch
