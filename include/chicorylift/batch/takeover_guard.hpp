#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>
#include <optional>

namespace chicorylift::batch
{

/// What an agent's report tells about unpersisted starts.
struct takeover_report
{
    /// The agent has received this leader's announcement.
    bool confirmed = false;
    /// An earlier leader may have made unpersisted starts that no later leader has accounted for.
    bool earlier_unpersisted = false;
    /// The agent's process has followed a leader that had accounted for its predecessors. A process
    /// that has not may have restarted and forgotten an announcement.
    bool informed = false;
    /// The agent follows this leader. One that still follows an earlier epoch may yet confirm an
    /// announcement of a leader in between.
    bool follows = true;
};

/// Prevents a new leader from starting units again that an earlier leader started without a
/// placement in the store.
///
/// A leader that cannot write to the store announces unpersisted starts to its agents, and begins
/// them only once more than half of the agents have confirmed the announcement. A new leader places
/// no work until more than half of the agents have reported.
///
/// If more than half of the agents are informed, they include one that confirmed the last
/// announcement and whose process has not restarted since, or has heard of it again. So their
/// reports carry the announcement. Otherwise the leader assumes unpersisted starts.
class takeover_guard
{
public:
    /// @param began when this member became leader.
    /// @param lease_timeout time after which all work of agents that do not report has ended.
    takeover_guard(core::instant began, core::milliseconds lease_timeout)
        : began(began), lease_timeout(lease_timeout)
    {
    }

    /// Counts no majority until on_members_read(): not all agents have been added yet.
    void await_members() noexcept { this->members_known = false; }
    /// All agents have been added.
    void on_members_read(core::instant now);
    void add_agent(const agent_id& agent);
    /// An agent is no longer a member, and will follow no leader any more.
    void remove_agent(const agent_id& agent, core::instant now);
    /// Handles an agent's report.
    void on_report(const agent_id& agent, const takeover_report& report, core::instant now);
    /// Begins or ends the announcement of unpersisted starts; beginning one discards earlier
    /// confirmations.
    void announce_unpersisted_starts(bool unpersisted);

    /// @return whether this leader may place work: the agents that have reported tell what an
    /// earlier leader may have started, or the lease timeout has passed since followed_since().
    /// Stays true once it is.
    [[nodiscard]] bool may_place(core::instant now) const;
    /// @return when more than half of the agents had reported, or else
    ///         `unconfirmed_leadership_timeout` after this member became leader. An earlier leader
    ///         may have renewed leases on the word of most agents until then.
    [[nodiscard]] core::instant followed_since() const noexcept;
    /// @return whether an earlier leader may have started work without a placement in the store.
    [[nodiscard]] bool predecessor_may_have_unpersisted_runs() const noexcept
    {
        return this->predecessor_unpersisted;
    }
    /// @return whether the announcement is active and more than half of the agents have confirmed
    /// it.
    [[nodiscard]] bool may_start_unpersisted() const;
    [[nodiscard]] bool is_announcing() const noexcept { return this->announcing; }

private:
    struct known_agent
    {
        bool reported = false;
        bool confirmed = false;
        bool informed = false;
    };

    [[nodiscard]] std::size_t count(bool known_agent::*property) const;
    [[nodiscard]] bool has_majority() const;
    void settle(core::instant now);
    /// Assumes unpersisted starts and announces them again, so that the next leader hears of them
    /// too if this one fails before it has accounted for them.
    void assume_unpersisted_starts() noexcept;

    core::instant began;
    std::optional<core::instant> followed_at;
    core::milliseconds lease_timeout;
    bool members_known = true;
    bool announcing = false;
    bool predecessor_unpersisted = false;
    mutable bool may_place_latched = false;
    std::map<agent_id, known_agent> agents;
};

} // namespace chicorylift::batch
