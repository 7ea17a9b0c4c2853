#pragma once

#include "chicorylift/batch/job.hpp"

namespace chicorylift::batch
{

/// Progress of completed work, in percent.
inline constexpr std::int64_t whole_percent = 100;

/// Number of cores that one accelerator counts as.
inline constexpr double cores_per_accelerator = 8.0;

/// @return work of one unit per second, in core-seconds.
[[nodiscard]] inline double work_rate(const step_spec& step) noexcept
{
    constexpr double millicores_per_core = 1000.0;
    return static_cast<double>(step.per_unit.millicores) / millicores_per_core +
           static_cast<double>(step.per_unit.accelerators) * cores_per_accelerator;
}

/// @return work of @p units units in the given time, in core-seconds.
[[nodiscard]] inline double work_core_seconds(const step_spec& step, std::size_t units,
                                              core::milliseconds time) noexcept
{
    constexpr double milliseconds_per_second = 1000.0;
    return static_cast<double>(units) * work_rate(step) * static_cast<double>(time.count()) /
           milliseconds_per_second;
}

} // namespace chicorylift::batch
