#include "site/message_inbox.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::site
{

bool message_inbox::push(wire::envelope message, core::instant now)
{
    const std::lock_guard lock(this->guard);
    this->messages.push_back({std::move(message), now});
    return this->messages.size() == 1;
}

std::vector<waiting_message> message_inbox::take(std::size_t max_count, core::instant now)
{
    std::vector<waiting_message> taken;
    const std::lock_guard lock(this->guard);
    while (!this->messages.empty() && taken.size() < max_count)
    {
        this->max_delay = std::max(this->max_delay, now - this->messages.front().arrived);
        taken.push_back(std::move(this->messages.front()));
        this->messages.pop_front();
    }
    return taken;
}

inbox_load message_inbox::take_load()
{
    const std::lock_guard lock(this->guard);
    return {this->messages.size(), std::exchange(this->max_delay, {})};
}

} // namespace chicorylift::site
