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

void takeover_guard::on_report(const agent_id& agent, bool confirmed, bool earlier)
{
    known_agent& known = this->agents[agent];
    known.heard = true;
    known.confirmed = confirmed;
    if (earlier && !this->may_place_latched)
    {
        // Passed on, so that the next lead learns of it too if this one is lost early.
        this->predecessor_unpersisted = true;
        this->announcing = true;
    }
}

void takeover_guard::announce_unpersisted_starts(bool unwritten)
{
    if (unwritten && !this->announcing)
    {
        for (auto& [agent, known] : this->agents)
        {
            known.confirmed = false;
        }
    }
    this->announcing = unwritten;
}

bool takeover_guard::may_place(core::instant now) const
{
    if (!this->may_place_latched)
    {
        const auto heard = std::count_if(this->agents.begin(), this->agents.end(),
                                         [](const auto& each) { return each.second.heard; });
        this->may_place_latched = static_cast<std::size_t>(heard) * 2 > this->agents.size() ||
                                  now - this->began > this->lease_timeout;
    }
    return this->may_place_latched;
}

bool takeover_guard::may_start_unpersisted() const
{
    const auto confirmed = std::count_if(this->agents.begin(), this->agents.end(),
                                         [](const auto& each) { return each.second.confirmed; });
    return this->announcing && static_cast<std::size_t>(confirmed) * 2 > this->agents.size();
}

} // namespace chicorylift::batch
