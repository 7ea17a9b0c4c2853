#pragma once

#include "chicorylift/core/time.hpp"

/// Time limits that the entry's request handlers share.
namespace chicorylift::site
{

inline constexpr core::milliseconds default_call_timeout{3000};
/// Part of the caller's timeout that is reserved for sending the response.
inline constexpr core::milliseconds response_margin{150};
inline constexpr core::milliseconds commit_timeout{800};
inline constexpr core::milliseconds write_retry_delay{60};

} // namespace chicorylift::site
