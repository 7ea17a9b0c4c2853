#pragma once

#include "chicorylift/core/time.hpp"
#include "wire/wire.pb.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace chicorylift::site
{

/// Message that waits to be handled.
struct waiting_message
{
    wire::envelope message;
    core::instant arrived{};
};

/// State of an inbox.
struct inbox_load
{
    std::size_t waiting{};
    /// Longest time from a message's arrival until it was taken, since the last look.
    core::milliseconds max_delay{};
};

/// Messages between the transport's thread and the event loop. Thread-safe.
class message_inbox
{
public:
    /// Appends a message.
    /// @return whether the inbox was empty, so that its reader must be woken.
    [[nodiscard]] bool push(wire::envelope message, core::instant now);
    /// @return at most @p max_count messages, oldest first.
    [[nodiscard]] std::vector<waiting_message> take(std::size_t max_count, core::instant now);
    /// @return the inbox's state; resets the longest delay.
    [[nodiscard]] inbox_load take_load();

private:
    std::mutex guard;
    std::deque<waiting_message> messages;
    core::milliseconds max_delay{};
};

} // namespace chicorylift::site
