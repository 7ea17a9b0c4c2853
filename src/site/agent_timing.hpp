#pragma once

#include "chicorylift/core/time.hpp"

/// Times of the agent's calls of the store.
namespace chicorylift::site
{

inline constexpr core::milliseconds store_timeout{800};
inline constexpr core::milliseconds store_retry_interval{400};

} // namespace chicorylift::site
