#include "chicorylift/batch/takeover_guard.hpp"

#include <algorithm>

namespace chicorylift::batch
{

void takeover_guard::add_agent(const agent_id& agent)
{
    this->agents.try_emplace(agent);
}

void takeover_guard::remove_agent(const agent_id& agent)
{
    this->agents.erase(agent);
}

void takeover_guard::on_report(const agent_id& agent, bool confirmed, bool earlier_unpersisted,
                               core::instant now)
{
    known_agent& known = this->agents[agent];
    known.reported = true;
    known.confirmed = confirmed;
    if (!this->may_place_latched && !this->followed_at.has_value() && this->has_majority())
    {
        this->followed_at = now;
    }
    if (earlier_unpersisted && !this->may_place_latched)
    {
        // Announced again, so that the next leader receives it too if this one fails before it has
        // accounted for these starts.
        this->predecessor_unpersisted = true;
        this->announcing = true;
    }
}

void takeover_guard::announce_unpersisted_starts(bool unpersisted)
{
    if (unpersisted && !this->announcing)
    {
        for (auto& [agent, known] : this->agents)
        {
            known.confirmed = false;
        }
    }
    this->announcing = unpersisted;
}

bool takeover_guard::may_place(core::instant now) const
{
    if (!this->may_place_latched)
    {
        this->may_place_latched = this->has_majority() || now - this->began > this->lease_timeout;
    }
    return this->may_place_latched;
}

bool takeover_guard::has_majority() const
{
    const auto reported = std::count_if(this->agents.begin(), this->agents.end(),
                                        [](const auto& each) { return each.second.reported; });
    return static_cast<std::size_t>(reported) * 2 > this->agents.size();
}

bool takeover_guard::may_start_unpersisted() const
{
    const auto confirmed = std::count_if(this->agents.begin(), this->agents.end(),
                                         [](const auto& each) { return each.second.confirmed; });
    return this->announcing && static_cast<std::size_t>(confirmed) * 2 > this->agents.size();
}

} // namespace chicorylift::batch
