#pragma once

#include <string>

/// Small helpers that several modules need.
namespace chicorylift::support
{

/// @return 16 random hexadecimal digits.
[[nodiscard]] std::string random_hex_id();

} // namespace chicorylift::support
