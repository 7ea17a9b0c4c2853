#pragma once

#include <chrono>

/// Time as decisions see it: milliseconds of a clock that counts suspension.
namespace chicorylift::core
{

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::seconds;

/// Clock that keeps counting while the machine or the process is suspended.
///
/// A paused holder of a lease must see, when it wakes, that the lease has lapsed.
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

/// Moment on the boot clock, or on the virtual clock of a test or benchmark.
using instant = boot_clock::time_point;

/// @return the moment that lies @p since_start after the clock's zero.
[[nodiscard]] constexpr instant instant_at(milliseconds since_start) noexcept
{
    return instant{since_start};
}

} // namespace chicorylift::core
