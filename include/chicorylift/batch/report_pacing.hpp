#pragma once

#include "chicorylift/core/time.hpp"

#include <cstddef>

namespace chicorylift::batch
{

/// Intervals of the messages between agents and their leader.
///
/// A leader handles each report and answer in a fraction of a core that does not grow with the
/// fleet, so above a certain fleet size reports become rarer and more changes share one report.
struct report_pacing
{
    /// Time between two reports of an agent without changes.
    core::milliseconds interval{600};
    /// Changes within this time are sent in one report.
    core::milliseconds report_delay{5};
    /// Reports of an agent within this time are answered together.
    core::milliseconds reply_delay{5};
    /// Time without a message from the leader after which an agent suspects it. Two reports or
    /// answers may be lost.
    core::milliseconds election_timeout{1300};
};

/// @param agents number of agents that report to one leader.
/// @return the pacing for a fleet of that size.
[[nodiscard]] report_pacing pacing_for(std::size_t agents) noexcept;

} // namespace chicorylift::batch
