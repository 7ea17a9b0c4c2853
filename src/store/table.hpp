#pragma once

#include "chicorylift/core/time.hpp"
#include "wire/wire.pb.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Access to the platform's transactional table.
namespace chicorylift::store
{

/// Outcome of a commit, as far as the client can determine it.
enum class commit_outcome
{
    applied,
    /// A row did not have the expected version; nothing was written.
    conflict,
    /// The store was unreachable or rejected the commit; nothing was written.
    unavailable,
    /// The write may have taken effect.
    unknown,
};

/// Outcome of a commit with its version, conflicting row or error message.
struct commit_result
{
    commit_outcome outcome = commit_outcome::unknown;
    /// Version of the written rows, if applied.
    std::uint32_t version{};
    /// Current row whose version did not match the condition; may also be set for unknown.
    wire::table_row conflicting;
    std::string message;
};

/// Interface to the platform's table, implemented by the registered adapters.
class table
{
public:
    table() = default;
    virtual ~table() = default;
    table(const table&) = delete;
    table& operator=(const table&) = delete;

    /// @return the row; not_found when it does not exist; store_unavailable when unreachable.
    [[nodiscard]] virtual absl::StatusOr<wire::table_row> read(const std::string& key) = 0;
    /// @return the rows under @p prefix that changed after @p after_version, including removed
    /// rows.
    [[nodiscard]] virtual absl::StatusOr<wire::table_rows> list(const std::string& prefix,
                                                                std::uint32_t after_version) = 0;
    /// Writes several rows in one transaction, without retries.
    [[nodiscard]] virtual commit_result commit(const wire::table_commit& transaction) = 0;
};

/// Named factory of a table adapter, selected by the settings.
struct table_factory
{
    std::string_view name;
    std::unique_ptr<table> (*open)(const std::string& address);
};

/// Opens the table at @p address; an adapter called @p adapter must be registered.
[[nodiscard]] std::unique_ptr<table> open_table(const std::string& adapter,
                                                const std::string& address);

/// Commits a transaction with retries, and resolves unknown outcomes where possible.
///
/// After an unknown outcome the first written row is read back; its writer token shows whether the
/// transaction was applied. If the row still has the old version, the same conditional write is
/// sent again, which cannot be applied twice.
/// @param retry_timeout period after which no further attempt is made.
/// @param should_abort returns true to stop retrying early.
/// @return applied, conflict or unavailable when that is certain, else unknown.
[[nodiscard]] commit_result commit_with_retry(table& target, const wire::table_commit& transaction,
                                              core::milliseconds retry_timeout,
                                              const std::function<bool()>& should_abort);

/// @return an empty transaction with a new random writer token.
[[nodiscard]] wire::table_commit new_transaction();
/// Adds a conditional write; version 0 means that the row must not exist.
void add_write(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version,
               std::string value);
/// Adds a version condition on a row that is not written.
void add_check(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version);
/// Adds a conditional removal.
void add_removal(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version);

} // namespace chicorylift::store
