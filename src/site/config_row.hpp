#pragma once

#include "chicorylift/batch/site_config.hpp"
#include "ports/table_service.hpp"

#include <optional>

namespace chicorylift::site
{

/// Takes a row of the operators' table in; other rows, older versions and rows that cannot be read
/// change nothing, the last of which is logged.
/// @param reader name of the duty that reads it, for the log.
/// @return whether a version came into force.
bool apply_config_row(const ports::row& row, std::string_view reader,
                      std::optional<batch::site_config>& config);

} // namespace chicorylift::site
