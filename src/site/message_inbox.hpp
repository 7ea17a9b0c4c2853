#pragma once

#include "chicorylift/core/time.hpp"
#include "wire/wire.pb.h"

#include <cstddef>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
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
///
/// A report repeats everything that still holds, so a later one of the same process replaces one
/// that waits. When the loop is slower than the senders, it thus skips outdated reports instead of
/// falling behind, and at most one report of each process waits.
class message_inbox
{
public:
    /// Appends a message, or replaces the waiting report of the same process. The report keeps its
    /// place and its time of arrival then.
    /// @return whether the reader must be woken: it is not when it has been, and has not found the
    /// inbox empty since.
    [[nodiscard]] bool push(wire::envelope message, core::instant now);
    /// @return at most @p max_count messages, oldest first.
    [[nodiscard]] std::vector<waiting_message> take(std::size_t max_count, core::instant now);
    /// Asks whether the reader must come again. If not, the next message wakes it.
    [[nodiscard]] bool needs_reader();
    /// @return the inbox's state; resets the longest delay.
    [[nodiscard]] inbox_load take_load();

private:
    std::mutex guard;
    std::list<waiting_message> messages;
    /// Waiting reports by the process that sent them.
    std::unordered_map<std::string, std::list<waiting_message>::iterator> reports;
    core::milliseconds max_delay{};
    bool reader_woken = false;
};

} // namespace chicorylift::site
