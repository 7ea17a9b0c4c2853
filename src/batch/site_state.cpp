#include "batch/site_state.hpp"

namespace chicorylift::batch
{

std::vector<step_state>& get_or_create_occurrence(job_state& job, std::int64_t occurrence)
{
    const auto [found, inserted] = job.occurrences.try_emplace(occurrence);
    for (std::size_t step = 0; inserted && step < job.spec.steps.size(); ++step)
    {
        found->second.emplace_back().units.resize(to_index(job.spec.steps[step].units));
    }
    return found->second;
}

bool has_unit(const job_state& job, const unit_key& unit)
{
    return unit.occurrence >= 0 && unit.occurrence < job.spec.occurrence_count() &&
           unit.step >= 0 && to_index(unit.step) < job.spec.steps.size() && unit.index >= 0 &&
           unit.index < job.spec.steps[to_index(unit.step)].units;
}

} // namespace chicorylift::batch
