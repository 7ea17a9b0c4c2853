#include "chicorylift/batch/leadership_confirmation.hpp"

#include <algorithm>
#include <vector>

namespace chicorylift::batch
{

void leadership_confirmation::add_agent(const agent_id& agent)
{
    this->followed_at.try_emplace(agent);
    this->by_agents.reset();
}

void leadership_confirmation::remove_agent(const agent_id& agent)
{
    this->followed_at.erase(agent);
    this->by_agents.reset();
}

void leadership_confirmation::on_store_confirmed(core::instant requested_at)
{
    this->store_confirmed_at = std::max(this->store_confirmed_at, requested_at);
}

void leadership_confirmation::on_report(const agent_id& agent, core::instant orders_sent_at)
{
    const auto known = this->followed_at.find(agent);
    if (known != this->followed_at.end())
    {
        known->second = std::max(known->second, orders_sent_at);
        this->by_agents.reset();
    }
}

core::instant leadership_confirmation::confirmed_at() const
{
    if (!this->members_known || this->followed_at.empty())
    {
        return this->store_confirmed_at;
    }
    if (!this->by_agents.has_value())
    {
        std::vector<core::instant> times;
        times.reserve(this->followed_at.size());
        for (const auto& [agent, time] : this->followed_at)
        {
            times.push_back(time);
        }
        const auto majority = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), majority, times.end(), std::greater<>{});
        this->by_agents = {*majority, *std::min_element(majority, times.end())};
    }
    const core::instant by_majority =
        std::min(this->by_agents->majority, this->store_confirmed_at + max_unconfirmed_leadership);
    return std::max({this->store_confirmed_at, by_majority, this->by_agents->all});
}

} // namespace chicorylift::batch
