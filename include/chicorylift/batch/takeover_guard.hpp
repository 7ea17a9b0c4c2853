#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>

namespace chicorylift::batch
{

/// Keeps a new lead from starting what an earlier lead started without writing where.
///
/// A lead that cannot write tells its agents so, and starts nothing unwritten before more than
/// half of them have confirmed it. A new lead places nothing before it has heard more than half;
/// one of those knows. Any two majorities share a member.
class takeover_guard
{
public:
    /// @param lapse time after which everything that silent agents ran has ended.
    takeover_guard(core::instant began, core::milliseconds lapse)
        : began(began), lease_timeout(lapse)
    {
    }

    void add_agent(const agent_id& agent);
    void remove_agent(const agent_id& agent);
    /// @param confirmed whether the agent knows that this lead may start work unwritten.
    /// @param earlier whether an earlier lead may have, and no lead has settled it since.
    void on_report(const agent_id& agent, bool confirmed, bool earlier);
    /// Begins or ends the announcement that work may be started unwritten.
    void announce_unpersisted_starts(bool unwritten);

    /// @return whether this lead may place work.
    [[nodiscard]] bool may_place(core::instant now) const;
    /// @return whether the last lead may have started work without writing where.
    [[nodiscard]] bool predecessor_may_have_unpersisted_runs() const noexcept
    {
        return this->predecessor_unpersisted;
    }
    /// @return whether enough agents know that work is started unwritten.
    [[nodiscard]] bool may_start_unpersisted() const;
    [[nodiscard]] bool is_announcing() const noexcept { return this->announcing; }

private:
    struct known_agent
    {
        bool heard = false;
        bool confirmed = false;
    };

    core::instant began;
    core::milliseconds lease_timeout;
    bool announcing = false;
    bool predecessor_unpersisted = false;
    mutable bool may_place_latched = false;
    std::map<agent_id, known_agent> agents;
};

} // namespace chicorylift::batch
