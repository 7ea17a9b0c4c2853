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

/// How a commit ended, as far as one exchange can tell.
enum class commit_outcome
{
    applied,
    /// Some row had another version; nothing was written.
    conflict,
    /// The store was not reached; nothing was written.
    unavailable,
    /// The write may have taken effect.
    unknown,
};

/// Outcome of a commit and what it met.
struct commit_result
{
    commit_outcome outcome = commit_outcome::unknown;
    /// Version of the written rows when applied.
    std::uint32_t version{};
    /// The row that had another version, on conflict.
    wire::table_row conflicting;
    std::string message;
};

/// The platform's table, reached by one of the registered adapters.
class table
{
public:
    table() = default;
    virtual ~table() = default;
    table(const table&) = delete;
    table& operator=(const table&) = delete;

    /// @return the row; not_found when there is none; store_unavailable when unreachable.
    [[nodiscard]] virtual absl::StatusOr<wire::table_row> read(const std::string& key) = 0;
    /// @return the rows under @p prefix that changed after @p after_version, removed ones too.
    [[nodiscard]] virtual absl::StatusOr<wire::table_rows> list(const std::string& prefix,
                                                                std::uint32_t after_version) = 0;
    /// Writes several rows in one transaction; asks the store once.
    [[nodiscard]] virtual commit_result commit(const wire::table_commit& transaction) = 0;
};

/// Way to reach a table, chosen at start by name.
struct table_factory
{
    std::string_view name;
    std::unique_ptr<table> (*open)(const std::string& address);
};

/// Opens the table at @p address with the adapter of that name, which must exist.
[[nodiscard]] std::unique_ptr<table> open_table(const std::string& adapter,
                                                const std::string& address);

/// Writes a transaction and settles what a lost answer leaves open.
///
/// After a lost answer the first row is read back: the writer's token in it tells whether the
/// write took effect. If the row still has the old version, the same conditional write is sent
/// again, which cannot take effect twice.
/// @param patience how long to go on while the store is down.
/// @return applied, conflict or unavailable when that is certain, else unknown.
[[nodiscard]] commit_result commit_with_retry(table& target, const wire::table_commit& transaction,
                                              core::milliseconds patience,
                                              const std::function<bool()>& give_up);

/// @return a transaction under a fresh writer token.
[[nodiscard]] wire::table_commit new_transaction();
/// Adds a conditional write; version 0 means that the row must not exist.
void add_write(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version,
               std::string value);
/// Adds a condition on a row that is not written.
void add_check(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version);
/// Adds a conditional removal.
void add_removal(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version);

} // namespace chicorylift::store
