#include "chicorylift/batch/fair_share.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylift::batch
{

namespace
{

constexpr int max_level = 12;
constexpr double min_share = 1e-9;

} // namespace

double dominant_share(const resource_amount& request, const resource_amount& capacity) noexcept
{
    const auto share = [](std::int64_t one, std::int64_t all)
    {
        return one <= 0
                   ? 0.0
                   : static_cast<double>(one) / static_cast<double>(std::max<std::int64_t>(1, all));
    };
    return std::max({share(request.accelerators, capacity.accelerators),
                     share(request.millicores, capacity.millicores),
                     share(request.memory_mb, capacity.memory_mb)});
}

organisation_shares::organisation_shares(
    const std::map<core::organisation_id, std::int64_t>& guaranteed)
    : guaranteed(guaranteed)
{
    double total = 0;
    for (const auto& [organisation, amount] : guaranteed)
    {
        total += static_cast<double>(std::max<std::int64_t>(0, amount));
    }
    this->mean_guarantee =
        std::max(1.0, total / static_cast<double>(std::max<std::size_t>(1, guaranteed.size())));
}

void organisation_shares::add_held(const core::organisation_id& organisation, double share)
{
    this->add_competitor(organisation);
    this->held[organisation] += share;
}

void organisation_shares::add_competitor(const core::organisation_id& organisation)
{
    if (this->held.try_emplace(organisation).second)
    {
        this->total_weight += this->weight_of(organisation);
    }
}

void organisation_shares::add_waiting(const core::organisation_id& organisation, double share)
{
    this->add_held(organisation, std::min(share, this->fair_share(organisation)));
}

double organisation_shares::weight_of(const core::organisation_id& organisation) const
{
    const auto found = this->guaranteed.find(organisation);
    const std::int64_t own =
        found == this->guaranteed.end() ? 0 : std::max<std::int64_t>(0, found->second);
    // With the guarantee itself as weight, an organisation without one had a share of a single
    // accelerator, and the organisation that was served worst got less in trials.
    return 1 + static_cast<double>(own) / this->mean_guarantee;
}

double organisation_shares::fair_share(const core::organisation_id& organisation) const
{
    const double own = this->weight_of(organisation);
    return std::max(min_share, this->available * own / std::max(own, this->total_weight));
}

int organisation_shares::level_of(const core::organisation_id& organisation) const
{
    const auto found = this->held.find(organisation);
    const double ratio =
        (found == this->held.end() ? 0 : found->second) / this->fair_share(organisation);
    return ratio < 1 ? 0 : std::min(max_level, 1 + static_cast<int>(std::log2(ratio)));
}

} // namespace chicorylift::batch
