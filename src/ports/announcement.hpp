#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <cstdint>

namespace chicorylift::ports
{

/// Announcement that a worker sends to its agent.
struct announcement
{
    batch::worker_info worker;
    /// Increases with each announcement of one worker process; detects reordered messages.
    std::uint64_t sequence{};
};

} // namespace chicorylift::ports
