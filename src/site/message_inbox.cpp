#include "site/message_inbox.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::site
{

namespace
{

/// @return the key of the process that sent the message; a restarted process has another one.
std::string sender_of(const wire::envelope& message)
{
    return message.from() + ' ' + message.incarnation();
}

} // namespace

bool message_inbox::push(wire::envelope message, core::instant now)
{
    const std::lock_guard lock(this->guard);
    const bool wake = !std::exchange(this->reader_woken, true);
    if (!message.has_unit_report())
    {
        this->messages.push_back({std::move(message), now});
        return wake;
    }
    const auto [known, is_new] = this->reports.try_emplace(sender_of(message));
    if (!is_new)
    {
        // After a reconnect, reports that were held up on the old connection arrive late.
        if (message.unit_report().sequence() > known->second->message.unit_report().sequence())
        {
            known->second->message = std::move(message);
        }
        return wake;
    }
    known->second = this->messages.insert(this->messages.end(), {std::move(message), now});
    return wake;
}

std::vector<waiting_message> message_inbox::take(std::size_t max_count, core::instant now)
{
    std::vector<waiting_message> taken;
    const std::lock_guard lock(this->guard);
    while (!this->messages.empty() && taken.size() < max_count)
    {
        waiting_message& first = this->messages.front();
        this->max_delay = std::max(this->max_delay, now - first.arrived);
        if (first.message.has_unit_report())
        {
            this->reports.erase(sender_of(first.message));
        }
        taken.push_back(std::move(first));
        this->messages.pop_front();
    }
    return taken;
}

bool message_inbox::needs_reader()
{
    const std::lock_guard lock(this->guard);
    this->reader_woken = !this->messages.empty();
    return this->reader_woken;
}

inbox_load message_inbox::take_load()
{
    const std::lock_guard lock(this->guard);
    return {this->messages.size(), std::exchange(this->max_delay, {})};
}

} // namespace chicorylift::site
