#include "chicorylift/batch/leadership_confirmation.hpp"

#include <algorithm>
#include <vector>

namespace chicorylift::batch
{

void leadership_confirmation::add_agent(const agent_id& agent)
{
    this->followed_at.try_emplace(agent);
    this->majority_confirmed_at.reset();
}

void leadership_confirmation::remove_agent(const agent_id& agent)
{
    this->followed_at.erase(agent);
    this->majority_confirmed_at.reset();
}

void leadership_confirmation::on_store_confirmed(core::instant requested_at)
{
    this->store_confirmed_at = std::max(this->store_confirmed_at, requested_at);
}

void leadership_confirmation::on_report(const agent_id& agent, core::instant orders_sent_at)
{
    core::instant& known = this->followed_at[agent];
    known = std::max(known, orders_sent_at);
    this->majority_confirmed_at.reset();
}

core::instant leadership_confirmation::confirmed_at() const
{
    if (this->followed_at.empty())
    {
        return this->store_confirmed_at;
    }
    if (this->majority_confirmed_at.has_value())
    {
        return std::max(this->store_confirmed_at, *this->majority_confirmed_at);
    }
    std::vector<core::instant> times;
    times.reserve(this->followed_at.size());
    for (const auto& [agent, time] : this->followed_at)
    {
        times.push_back(time);
    }
    const auto majority = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), majority, times.end(), std::greater<>{});
    this->majority_confirmed_at = *majority;
    return std::max(this->store_confirmed_at, *majority);
}

} // namespace chicorylift::batch
