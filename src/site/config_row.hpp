#pragma once

#include "chicorylift/batch/site_config.hpp"
#include "ports/table_service.hpp"

#include <optional>

namespace chicorylift::site
{

/// Replaces @p config by the configuration in @p row, if that is not older.
///
/// Other rows of the table, removals and older versions are ignored. A malformed configuration is
/// logged and ignored.
/// @param reader component that reads the row ("entry" or "lead"), for the log.
/// @return whether the configuration was replaced.
bool apply_config_row(const ports::row& row, std::string_view reader,
                      std::optional<batch::site_config>& config);

} // namespace chicorylift::site
