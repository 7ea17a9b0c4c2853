#include "batch/packing.hpp"

#include "batch/placement.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace chicorylift::batch
{

namespace
{

constexpr double demand_half_life_ms = 5000;
// Small units lose at most this share of the workers, for at most the time that they wait for them.
constexpr std::int64_t max_kept_divisor = 4;
constexpr std::int64_t quarters = 4;

bool is_whole(const candidate_worker& worker)
{
    return worker.capacity.accelerators > 0 &&
           worker.free.accelerators >= worker.capacity.accelerators;
}

double taken_share(std::int64_t request, std::int64_t free)
{
    if (request <= 0)
    {
        return 0;
    }
    return free <= 0 ? 1 : std::min(1.0, static_cast<double>(request) / static_cast<double>(free));
}

} // namespace

bool needs_whole_worker(const resource_amount& request, const resource_amount& capacity) noexcept
{
    return capacity.accelerators > 0 && request.accelerators >= capacity.accelerators;
}

double looseness(const resource_amount& request, const resource_amount& free) noexcept
{
    return 1 - std::max({taken_share(request.accelerators, free.accelerators),
                         taken_share(request.millicores, free.millicores),
                         taken_share(request.memory_mb, free.memory_mb)});
}

std::int64_t added_quarters(core::milliseconds run_time, core::milliseconds busy_for) noexcept
{
    if (run_time <= busy_for || run_time.count() <= 0)
    {
        return 0;
    }
    const std::int64_t added = (run_time - std::max(busy_for, core::milliseconds{0})).count();
    return std::clamp<std::int64_t>((added * quarters + run_time.count() - 1) / run_time.count(), 0,
                                    quarters);
}

rack_fragmentation fragmentation_after(const resource_amount& request,
                                       const std::vector<candidate_worker>& workers,
                                       const std::vector<agent_id>& used)
{
    std::map<agent_id, std::int64_t> units;
    for (const agent_id& agent : used)
    {
        ++units[agent];
    }
    rack_fragmentation result;
    for (const candidate_worker& worker : workers)
    {
        const auto here = units.find(worker.agent);
        if (!is_whole(worker))
        {
            continue;
        }
        if (here == units.end())
        {
            ++result.whole_workers;
        }
        else if (here->second * request.accelerators < worker.capacity.accelerators)
        {
            ++result.broken_workers;
        }
    }
    return result;
}

void whole_worker_demand::record(std::int64_t units, core::instant now)
{
    this->count = this->count_at(now) + static_cast<double>(units);
    this->counted_at = now;
}

std::int64_t whole_worker_demand::workers_to_keep(std::int64_t workers, core::instant now) const
{
    return std::min<std::int64_t>(std::llround(this->count_at(now)), workers / max_kept_divisor);
}

double whole_worker_demand::count_at(core::instant now) const
{
    const auto age = static_cast<double>((now - this->counted_at).count());
    return this->count == 0 ? 0 : this->count * std::exp2(-age / demand_half_life_ms);
}

void remove_kept_workers(std::vector<candidate_worker>& candidates, std::int64_t kept)
{
    std::map<core::rack_id, std::int64_t> whole_in_rack;
    std::vector<const candidate_worker*> whole;
    for (const candidate_worker& worker : candidates)
    {
        if (is_whole(worker))
        {
            ++whole_in_rack[worker.rack];
            whole.push_back(&worker);
        }
    }
    std::stable_sort(whole.begin(), whole.end(),
                     [&whole_in_rack](const candidate_worker* left, const candidate_worker* right)
                     { return whole_in_rack[left->rack] > whole_in_rack[right->rack]; });
    whole.resize(std::min(whole.size(), static_cast<std::size_t>(std::max<std::int64_t>(0, kept))));
    std::set<agent_id> removed;
    for (const candidate_worker* worker : whole)
    {
        removed.insert(worker->agent);
    }
    std::erase_if(candidates, [&removed](const candidate_worker& worker)
                  { return removed.contains(worker.agent); });
}

} // namespace chicorylift::batch
