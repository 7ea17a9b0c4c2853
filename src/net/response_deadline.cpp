#include "net/response_deadline.hpp"

namespace chicorylift::net
{

void response_deadline::on_bytes(std::size_t count, core::instant now) noexcept
{
    this->pending_bytes += count;
    if (this->stall.count() == 0 || (this->begun && this->pending_bytes < min_progress_bytes))
    {
        return;
    }
    this->begun = true;
    this->pending_bytes = 0;
    this->expires_at = now + this->stall;
}

} // namespace chicorylift::net
