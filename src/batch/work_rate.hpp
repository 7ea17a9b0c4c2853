#pragma once

#include "chicorylift/batch/job.hpp"

namespace chicorylift::batch
{

inline constexpr std::int64_t whole_percent = 100;

/// An accelerator's work counts as that of so many cores.
inline constexpr double cores_per_accelerator = 8.0;

/// @return work that one unit does in a second, in core-seconds.
[[nodiscard]] inline double work_rate(const step_spec& step) noexcept
{
    constexpr double millicores_a_core = 1000.0;
    return static_cast<double>(step.per_unit.millicores) / millicores_a_core +
           static_cast<double>(step.per_unit.accelerators) * cores_per_accelerator;
}

/// @return work that so many units do in a time, in core-seconds.
[[nodiscard]] inline double work_core_seconds(const step_spec& step, std::size_t units,
                                              core::milliseconds time) noexcept
{
    constexpr double milliseconds_a_second = 1000.0;
    return static_cast<double>(units) * work_rate(step) * static_cast<double>(time.count()) /
           milliseconds_a_second;
}

} // namespace chicorylift::batch
