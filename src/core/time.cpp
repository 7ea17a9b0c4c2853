#include "chicorylift/core/time.hpp"

#include <ctime>

namespace chicorylift::core
{

boot_clock::time_point boot_clock::now() noexcept
{
    constexpr long nanoseconds_per_millisecond = 1'000'000;
    constexpr long milliseconds_per_second = 1'000;
    timespec reading{};
    // CLOCK_MONOTONIC stops during suspension, but leases must continue to expire.
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point{milliseconds{reading.tv_sec * milliseconds_per_second +
                                   reading.tv_nsec / nanoseconds_per_millisecond}};
}

} // namespace chicorylift::core
