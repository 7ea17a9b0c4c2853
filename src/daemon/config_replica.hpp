#pragma once

#include "chicorylift/quota/quota.hpp"
#include "wire/wire.pb.h"

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>

namespace chicorylift::daemon
{

/// Prefix of the table's rows that hold the configuration.
inline constexpr std::string_view config_prefix = "config/";
/// Key of the row that names the version and the preset in force.
inline constexpr std::string_view config_head_key = "config/head";

/// A process's copy of the configuration; its version never decreases.
class config_replica
{
public:
    /// Applies changed rows, as listed by the table or sent by an entry.
    /// Ignores a delta that starts after the current version or does not raise it.
    /// @return whether the delta was applied.
    [[nodiscard]] bool apply(const wire::config_delta& delta);

    /// @return the rows that changed after configuration version @p version.
    [[nodiscard]] wire::config_delta since(std::uint32_t version) const;

    /// @return the head row.
    [[nodiscard]] const wire::config_head& head() const noexcept { return this->current_head; }
    /// @return the table version up to which this copy is complete.
    [[nodiscard]] std::uint32_t table_version() const noexcept { return this->known_version; }
    /// @return the table version of one row, 0 when there is none.
    [[nodiscard]] std::uint32_t row_version(const std::string& key) const;
    /// @return the parsed configuration; rows that cannot be parsed are left out.
    [[nodiscard]] quota::configuration configuration() const;
    /// @return the terms in force; not_found while no preset is in force.
    [[nodiscard]] absl::StatusOr<quota::resolved_config> terms_in_force() const;
    /// @return the complete configuration as one document.
    [[nodiscard]] wire::config_document document() const;

private:
    struct row
    {
        std::string value;
        bool removed = false;
        std::uint32_t table_version{};
        std::uint32_t config_version{};
    };

    wire::config_head current_head;
    std::uint32_t known_version{};
    std::map<std::string, row> rows;
};

/// @return a table listing as a delta; version 0 if it has no readable head row.
[[nodiscard]] wire::config_delta to_delta(const wire::table_rows& listed,
                                          std::uint32_t from_version);

} // namespace chicorylift::daemon
