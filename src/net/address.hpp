#pragma once

#include <string>

namespace chicorylift::net
{

/// @return whether the text is an IP number and a port, such as 127.0.0.1:7000 or [::1]:7000. Host
/// names are not looked up.
[[nodiscard]] bool is_address(const std::string& text);

} // namespace chicorylift::net
