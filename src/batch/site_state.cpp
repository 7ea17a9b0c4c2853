#include "batch/site_state.hpp"

#include <algorithm>

namespace chicorylift::batch
{

const unit_state& unit_table::operator[](std::size_t index) const
{
    static const unit_state never_run;
    const auto found = this->states.find(index);
    return found == this->states.end() ? never_run : found->second;
}

unit_state& unit_table::touch(std::size_t index)
{
    const auto [found, inserted] = this->states.try_emplace(index);
    if (inserted)
    {
        found->second.idle_since = this->idle_since;
    }
    return found->second;
}

bool unit_table::mark_done(std::size_t index)
{
    if (this->is_done(index))
    {
        return false;
    }
    if (this->done_bits.empty())
    {
        this->done_bits.resize(this->count);
    }
    this->done_bits[index] = true;
    ++this->done;
    const auto found = this->states.find(index);
    if (found != this->states.end() && found->second.run == 0)
    {
        this->states.erase(found);
    }
    return true;
}

void unit_table::end_run(std::size_t index, bool reached_worker)
{
    if (this->is_done(index))
    {
        this->states.erase(index);
        return;
    }
    unit_state& unit = this->touch(index);
    unit.run = 0;
    if (reached_worker)
    {
        unit.idle_since.reset();
    }
}

std::size_t unit_table::idle_count(core::instant now) const
{
    const auto busy =
        std::count_if(this->states.begin(), this->states.end(),
                      [this, now](const auto& each)
                      { return !this->is_done(each.first) && !is_idle(each.second, now); });
    return this->count - this->done - static_cast<std::size_t>(busy);
}

std::vector<std::int64_t> unit_table::first_idle(core::instant now, std::size_t limit)
{
    while (this->first_open < this->count && this->is_done(this->first_open))
    {
        ++this->first_open;
    }
    std::vector<std::int64_t> idle;
    auto state = this->states.lower_bound(this->first_open);
    for (std::size_t index = this->first_open; index < this->count && idle.size() < limit; ++index)
    {
        const bool is_kept = state != this->states.end() && state->first == index;
        const bool is_busy = is_kept && !is_idle(state->second, now);
        if (!this->is_done(index) && !is_busy)
        {
            idle.push_back(static_cast<std::int64_t>(index));
        }
        state = is_kept ? std::next(state) : state;
    }
    return idle;
}

core::instant unit_table::note_idle(std::size_t index, core::instant now)
{
    // Units without a kept state have been idle since the step was ready.
    const auto found = this->states.find(index);
    std::optional<core::instant>& since =
        found == this->states.end() ? this->idle_since : found->second.idle_since;
    since = since.value_or(now);
    return *since;
}

std::vector<step_state>& get_or_create_occurrence(job_state& job, std::int64_t occurrence)
{
    const auto [found, inserted] = job.occurrences.try_emplace(occurrence);
    if (inserted)
    {
        found->second.reserve(job.spec.steps.size());
        for (const step_spec& step : job.spec.steps)
        {
            found->second.emplace_back(to_index(step.units));
        }
    }
    return found->second;
}

bool mark_unit_done(job_state& job, step_state& step, std::size_t index)
{
    const bool marked = step.units.mark_done(index);
    job.done_count += marked ? 1 : 0;
    return marked;
}

bool has_met_dependencies(std::vector<step_state>& steps, const step_spec& spec, step_state& step)
{
    while (step.dependencies_met < spec.depends_on.size() &&
           steps[to_index(spec.depends_on[step.dependencies_met])].is_done())
    {
        ++step.dependencies_met;
    }
    return step.dependencies_met == spec.depends_on.size();
}

bool has_unit(const job_state& job, const unit_key& unit)
{
    return unit.occurrence >= 0 && unit.occurrence < job.spec.occurrence_count() &&
           unit.step >= 0 && to_index(unit.step) < job.spec.steps.size() && unit.index >= 0 &&
           unit.index < job.spec.steps[to_index(unit.step)].units;
}

} // namespace chicorylift::batch
