#include "chicorylift/batch/job.hpp"

#include "chicorylift/core/error.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace chicorylift::batch
{

namespace
{

using core::error_kind;
using core::make_error;

absl::Status invalid_step(std::size_t step, const std::string& problem)
{
    return make_error(error_kind::invalid_request, "step " + std::to_string(step) + ": " + problem);
}

absl::Status validate_step(const step_spec& step, std::size_t index)
{
    if (step.units < 1 || step.units > max_units)
    {
        return invalid_step(index,
                            "number of units is out of range: " + std::to_string(step.units));
    }
    const resource_amount& request = step.per_unit;
    if (request.millicores < 0 || request.memory_mb < 0 || request.accelerators < 0)
    {
        return invalid_step(index, "resources per unit must not be negative");
    }
    for (const std::int64_t dependency : step.depends_on)
    {
        if (dependency < 0 || dependency >= static_cast<std::int64_t>(index))
        {
            return invalid_step(index, "depends on step " + std::to_string(dependency) +
                                           ", which is not an earlier step");
        }
    }
    return absl::OkStatus();
}

bool parse_number(std::string_view text, std::int64_t& value)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() && value >= 0;
}

} // namespace

resource_amount& operator+=(resource_amount& left, const resource_amount& right) noexcept
{
    left.millicores += right.millicores;
    left.memory_mb += right.memory_mb;
    left.accelerators += right.accelerators;
    return left;
}

resource_amount& operator-=(resource_amount& left, const resource_amount& right) noexcept
{
    left.millicores -= right.millicores;
    left.memory_mb -= right.memory_mb;
    left.accelerators -= right.accelerators;
    return left;
}

resource_amount operator*(const resource_amount& each, std::int64_t times) noexcept
{
    return {each.millicores * times, each.memory_mb * times, each.accelerators * times};
}

bool fits(const resource_amount& request, const resource_amount& available) noexcept
{
    return request.millicores <= available.millicores && request.memory_mb <= available.memory_mb &&
           request.accelerators <= available.accelerators;
}

std::int64_t fit_count(const resource_amount& request, const resource_amount& available,
                       std::int64_t max_count) noexcept
{
    const auto bound = [&max_count](std::int64_t one, std::int64_t all)
    {
        if (all < 0 && one > 0)
        {
            max_count = 0;
        }
        else if (one > 0)
        {
            max_count = std::min(max_count, all / one);
        }
    };
    bound(request.millicores, available.millicores);
    bound(request.memory_mb, available.memory_mb);
    bound(request.accelerators, available.accelerators);
    return max_count;
}

std::string to_text(const unit_key& key)
{
    return key.job.str() + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step) +
           "." + std::to_string(key.index);
}

absl::StatusOr<unit_key> parse_unit_key(std::string_view text)
{
    constexpr std::size_t numbers = 3;
    std::array<std::int64_t, numbers> values{};
    std::string_view rest = text;
    bool valid = true;
    for (std::size_t index = numbers; index > 0 && valid; --index)
    {
        const std::size_t dot = rest.rfind('.');
        valid =
            dot != std::string_view::npos && parse_number(rest.substr(dot + 1), values[index - 1]);
        rest = valid ? rest.substr(0, dot) : rest;
    }
    if (!valid || rest.empty())
    {
        return make_error(error_kind::invalid_request,
                          "\"" + std::string(text) +
                              "\" is not a unit key of the form JOB.OCCURRENCE.STEP.INDEX");
    }
    return unit_key{core::job_id(std::string(rest)), values[0], values[1], values[2]};
}

resource_amount step_spec::resource_request() const noexcept
{
    resource_amount request = this->per_unit;
    if (this->best_effort_cpu)
    {
        request.millicores = 0;
    }
    return request;
}

std::int64_t job_spec::occurrence_count() const noexcept
{
    return std::max<std::int64_t>(1, this->occurrences);
}

core::milliseconds job_spec::critical_path() const
{
    std::vector<core::milliseconds> step_end(this->steps.size());
    core::milliseconds longest{};
    for (std::size_t number = 0; number < this->steps.size(); ++number)
    {
        core::milliseconds start{};
        for (const std::int64_t dependency : this->steps[number].depends_on)
        {
            start = std::max(start, step_end[static_cast<std::size_t>(dependency)]);
        }
        step_end[number] = start + this->steps[number].estimate;
        longest = std::max(longest, step_end[number]);
    }
    return longest;
}

std::int64_t job_spec::initial_accelerators() const noexcept
{
    std::int64_t total = 0;
    for (const step_spec& step : this->steps)
    {
        total += step.depends_on.empty() ? step.units * step.per_unit.accelerators : 0;
    }
    return total;
}

absl::Status validate_step_count(std::size_t steps)
{
    if (steps == 0 || steps > max_job_steps)
    {
        return make_error(error_kind::invalid_request, "the job has " + std::to_string(steps) +
                                                           " steps; the allowed range is 1 to " +
                                                           std::to_string(max_job_steps));
    }
    return absl::OkStatus();
}

std::size_t state_bytes(const job_spec& job) noexcept
{
    // What the scheduler keeps besides the specification.
    constexpr std::size_t job_bytes = 1000;
    constexpr std::size_t step_state_bytes = 160;
    constexpr std::size_t units_per_byte = 8;
    const auto occurrences = static_cast<std::size_t>(job.occurrence_count());
    std::size_t bytes = job_bytes + job.payload.size();
    for (const step_spec& step : job.steps)
    {
        bytes += sizeof step + step.depends_on.size() * sizeof step.depends_on.front() +
                 step.image.size() + step.required_label.size() + step.data_rack.size();
        bytes += occurrences *
                 (step_state_bytes + static_cast<std::size_t>(step.units) / units_per_byte);
    }
    return bytes;
}

absl::Status validate_job(const job_spec& job)
{
    absl::Status counted = validate_step_count(job.steps.size());
    if (!counted.ok())
    {
        return counted;
    }
    std::int64_t units = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number)
    {
        absl::Status checked = validate_step(job.steps[number], number);
        if (!checked.ok())
        {
            return checked;
        }
        units += job.steps[number].units;
    }
    if (job.occurrences < 0 || job.interval.count() < 0 ||
        units > max_units / job.occurrence_count())
    {
        return make_error(error_kind::invalid_request,
                          "the job has " + std::to_string(units) + " units in each of " +
                              std::to_string(job.occurrence_count()) + " occurrences; at most " +
                              std::to_string(max_units) + " are allowed in total");
    }
    return absl::OkStatus();
}

} // namespace chicorylift::batch
