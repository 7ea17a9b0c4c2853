#pragma once

#include <chrono>

/// Clock and duration types, in milliseconds of a clock that includes suspended time.
namespace chicorylift::core
{

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Clock that keeps counting while the machine or the process is suspended.
///
/// A lease holder that was suspended must find its lease expired when it resumes.
struct boot_clock
{
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @return milliseconds since the machine booted.
    static time_point now() noexcept;
};

/// Time point of the boot clock, or of the virtual clock of a test or benchmark.
using instant = boot_clock::time_point;

/// @return the time point @p since_start after the clock's epoch.
[[nodiscard]] constexpr instant instant_at(milliseconds since_start) noexcept
{
    return instant{since_start};
}

} // namespace chicorylift::core
