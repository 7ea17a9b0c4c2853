#pragma once

#include <cstddef>
#include <vector>

namespace chicorylift::batch
{

/// Number of other members that a member asks before it campaigns.
///
/// A leader that fails for one link or one zone is still heard by a member of the sample, while the
/// cost of an election per member does not grow with the fleet.
inline constexpr std::size_t probe_sample_size = 8;

/// Chooses the members that one member probes in an election.
/// @param members number of members, in an order that all processes share.
/// @param self position of the probing member, below @p members.
/// @return positions of other members, evenly spread over the order: all others when there are at
///         most probe_sample_size. Members of all availability zones are thus included where names
///         are sorted by zone.
[[nodiscard]] std::vector<std::size_t> probe_sample(std::size_t members, std::size_t self);

} // namespace chicorylift::batch
