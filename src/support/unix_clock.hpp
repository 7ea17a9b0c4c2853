#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::support
{

/// @return milliseconds since the Unix epoch; the system clock may be set backwards or forwards.
[[nodiscard]] inline core::milliseconds unix_now()
{
    return std::chrono::duration_cast<core::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace chicorylift::support
