#pragma once

#include <string>

namespace chicorylift::ctl
{

/// @return the value of a member of a one-line JSON object, without the quotes of a string and with
/// its escapes left as they are; empty if there is none.
[[nodiscard]] std::string log_field(const std::string& object, const std::string& name);

} // namespace chicorylift::ctl
