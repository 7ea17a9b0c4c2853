#include "chicorylift/batch/worker_registration.hpp"

#include <array>
#include <utility>

namespace chicorylift::batch
{

namespace
{

/// @return whether the properties agree that a process keeps as long as it runs.
bool has_same_fixed_properties(const worker_info& left, const worker_info& right)
{
    return left.id == right.id && left.service == right.service && left.zone == right.zone &&
           left.capacity == right.capacity && left.labels == right.labels;
}

} // namespace

std::string_view to_text(registration_result result) noexcept
{
    constexpr std::array<std::string_view, 4> names{"accepted", "outdated", "waiting", "rejected"};
    return names.at(static_cast<std::size_t>(result));
}

registration_result worker_registration::on_announcement(const worker_info& announced,
                                                         std::uint64_t number)
{
    if (!this->has_responded || announced.started_at != this->current.started_at)
    {
        this->waiting = announcement{announced, number};
        return registration_result::waiting;
    }
    return this->apply({announced, number});
}

std::optional<registration_result> worker_registration::on_response(unix_time started_at)
{
    // Without a start in the responses, the announcements are all there is to go by.
    const bool names_process = started_at.count() != 0;
    const unix_time process = names_process               ? started_at
                              : this->waiting.has_value() ? this->waiting->worker.started_at
                                                          : this->current.started_at;
    this->has_responded = true;
    if (process != this->current.started_at)
    {
        this->current = {};
        this->current.started_at = process;
        this->sequence = 0;
        this->disputed.reset();
    }
    if (!this->waiting.has_value())
    {
        return std::nullopt;
    }
    const announcement received = *std::exchange(this->waiting, std::nullopt);
    return received.worker.started_at == process ? this->apply(received)
                                                 : registration_result::rejected;
}

registration_result worker_registration::apply(const announcement& received)
{
    if (this->current.announced && !has_same_fixed_properties(this->current, received.worker))
    {
        // One odd announcement is another program's. The worker repeats its own.
        const bool repeated = this->disputed.has_value() &&
                              has_same_fixed_properties(*this->disputed, received.worker);
        this->disputed = received.worker;
        if (!repeated)
        {
            return registration_result::rejected;
        }
    }
    else if (this->current.announced && received.sequence <= this->sequence)
    {
        return registration_result::outdated;
    }
    this->disputed.reset();
    this->current = received.worker;
    this->sequence = received.sequence;
    return registration_result::accepted;
}

} // namespace chicorylift::batch
