#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <cstdint>

namespace chicorylift::ports
{

/// What a worker says when it announces itself to its agent.
struct announcement
{
    batch::worker_info worker;
    /// Rises with each announcement of one life, so that a late one can be told.
    std::uint64_t sequence{};
};

} // namespace chicorylift::ports
