#include "chicorylift/batch/takeover_guard.hpp"

#include "chicorylift/batch/leadership_confirmation.hpp"

#include <algorithm>

namespace chicorylift::batch
{

void takeover_guard::add_agent(const agent_id& agent)
{
    this->agents.try_emplace(agent);
}

void takeover_guard::remove_agent(const agent_id& agent, core::instant now)
{
    if (this->agents.erase(agent) > 0 && !this->may_place_latched)
    {
        this->settle(now);
    }
}

void takeover_guard::on_report(const agent_id& agent, const takeover_report& report,
                               core::instant now)
{
    known_agent& known = this->agents[agent];
    if (!report.follows)
    {
        return;
    }
    known.reported = true;
    known.confirmed = report.confirmed;
    known.informed = report.informed;
    if (this->may_place_latched)
    {
        return;
    }
    if (report.earlier_unpersisted)
    {
        this->assume_unpersisted_starts();
    }
    this->settle(now);
}

void takeover_guard::on_members_read(core::instant now)
{
    if (!this->members_known)
    {
        this->members_known = true;
        this->settle(now);
    }
}

void takeover_guard::settle(core::instant now)
{
    if (!this->has_majority())
    {
        return;
    }
    this->followed_at = this->followed_at.value_or(now);
    const std::size_t informed = this->count(&known_agent::informed);
    const std::size_t uninformed = this->count(&known_agent::reported) - informed;
    const bool most_are_informed = informed * 2 > this->agents.size();
    const bool most_never_will_be = uninformed * 2 >= this->agents.size();
    if (!most_are_informed && most_never_will_be)
    {
        this->assume_unpersisted_starts();
    }
    this->may_place_latched = most_are_informed || most_never_will_be;
}

void takeover_guard::assume_unpersisted_starts() noexcept
{
    this->predecessor_unpersisted = true;
    this->announcing = true;
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

core::instant takeover_guard::followed_since() const noexcept
{
    return this->followed_at.value_or(this->began + unconfirmed_leadership_timeout);
}

bool takeover_guard::may_place(core::instant now) const
{
    if (!this->may_place_latched)
    {
        this->may_place_latched =
            this->members_known && now - this->followed_since() > this->lease_timeout;
    }
    return this->may_place_latched;
}

std::size_t takeover_guard::count(bool known_agent::*property) const
{
    return static_cast<std::size_t>(std::count_if(this->agents.begin(), this->agents.end(),
                                                  [property](const auto& each)
                                                  { return each.second.*property; }));
}

bool takeover_guard::has_majority() const
{
    return this->members_known && this->count(&known_agent::reported) * 2 > this->agents.size();
}

bool takeover_guard::may_start_unpersisted() const
{
    return this->announcing && this->members_known &&
           this->count(&known_agent::confirmed) * 2 > this->agents.size();
}

} // namespace chicorylift::batch
