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
/// The same on the later leader's clock, when both leaders' clocks are wrong by two percent.
inline constexpr core::milliseconds unconfirmed_leadership_timeout =
    max_unconfirmed_leadership * 104 / 100;

/// Tracks when a leader last knew that no later leader was in force.
///
/// A leader that is cut off or paused may renew leases after a later one has taken over. The later
/// leader counts leases from when most agents followed it, or from `unconfirmed_leadership_timeout`
/// after its takeover. So a lease granted by an earlier leader must end at most its length after
/// the earlier leader was last confirmed.
///
/// While all agents follow a leader no later one can be in force, since it would be one of them.
class leadership_confirmation
{
public:
    /// Counts no agents until on_members_read(): not all have been added yet.
    void await_members() noexcept { this->members_known = false; }
    /// All agents have been added.
    void on_members_read() noexcept { this->members_known = true; }
    void add_agent(const agent_id& agent);
    void remove_agent(const agent_id& agent);
    /// Handles a read of the store that found the leader's row unchanged.
    /// @param requested_at when the read was sent.
    void on_store_confirmed(core::instant requested_at);
    /// Handles an agent's report in this leader's epoch; no effect for an agent that has not been
    /// added.
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
    bool members_known = true;
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
