#pragma once

#include <string>

namespace chicorylift::testing
{

/// Compares a session's transcript with its golden file, byte for byte.
///
/// With CHICORYLIFT_UPDATE_GOLDEN set the file is rewritten instead.
/// @return "" when they agree, else the first line that differs.
[[nodiscard]] std::string compare_golden(const std::string& name, const std::string& transcript);

} // namespace chicorylift::testing
