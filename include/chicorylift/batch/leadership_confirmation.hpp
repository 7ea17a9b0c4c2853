#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>
#include <optional>

namespace chicorylift::batch
{

/// Tracks when a leader last knew that no later leader was in force.
///
/// A leader that is cut off or paused may renew leases after a later one has taken over. The later
/// leader counts leases from its takeover, or from when most agents followed it. So a lease granted
/// by an earlier leader must end at most its length after the earlier leader was last confirmed.
class leadership_confirmation
{
public:
    void add_agent(const agent_id& agent);
    void remove_agent(const agent_id& agent);
    /// Handles a read of the store that found the leader's row unchanged.
    /// @param requested_at when the read was sent.
    void on_store_confirmed(core::instant requested_at);
    /// Handles an agent's report in this leader's epoch.
    /// @param orders_sent_at when the leader sent the last orders that the agent had received. The
    /// time of the report itself would not do, since a report may be delayed on its way.
    void on_report(const agent_id& agent, core::instant orders_sent_at);

    /// @return the latest time at which the store or more than half of the agents confirmed the
    ///         leader; the clock's epoch before the first confirmation.
    [[nodiscard]] core::instant confirmed_at() const;

private:
    core::instant store_confirmed_at{};
    std::map<agent_id, core::instant> followed_at;
    /// When more than half of the agents confirmed the leader; empty after a change of
    /// `followed_at`. Answers that are sent together share the result.
    mutable std::optional<core::instant> majority_confirmed_at;
};

} // namespace chicorylift::batch
