#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>
#include <optional>

namespace chicorylift::batch
{

/// Longest time since the store confirmed a leader for which the word of most agents alone confirms
/// it. Work outlasts a store outage of this length while some agents are silent, and a leader that
/// most agents do not follow waits this long before it gives up the work of the others.
inline constexpr core::milliseconds max_unconfirmed_leadership{12000};

/// Tracks when a leader last knew that no later leader was in force.
///
/// A leader that is cut off or paused may renew leases after a later one has taken over. The later
/// leader counts leases from when most agents followed it, or from `max_unconfirmed_leadership`
/// after its takeover. So a lease granted by an earlier leader must end at most its length after
/// the earlier leader was last confirmed.
///
/// While all agents follow a leader no later one can be in force, since it would be one of them.
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

    /// @return the latest time at which the store, all agents, or more than half of the agents
    ///         confirmed the leader, the last not later than `max_unconfirmed_leadership` after the
    ///         store; the clock's epoch before the first confirmation.
    [[nodiscard]] core::instant confirmed_at() const;
    /// @return the latest time at which the store confirmed the leader. Until then no other leader
    ///         can have renewed the lease of any agent.
    [[nodiscard]] core::instant store_confirmed() const noexcept
    {
        return this->store_confirmed_at;
    }

private:
    core::instant store_confirmed_at{};
    std::map<agent_id, core::instant> followed_at;
    /// When agents confirmed the leader.
    struct agents_confirmation
    {
        core::instant majority{};
        core::instant all{};
    };
    /// Empty after a change of `followed_at`. Answers that are sent together share the result.
    mutable std::optional<agents_confirmation> by_agents;
};

} // namespace chicorylift::batch
