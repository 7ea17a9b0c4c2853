#pragma once

#include <string>

/// Generation of random identifiers.
namespace chicorylift::support
{

/// @return 16 random hexadecimal digits.
[[nodiscard]] std::string random_hex_id();

} // namespace chicorylift::support
