#pragma once

#include "chicorylift/core/time.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// What the daemon needs from its surroundings; the folder platform/ implements it.
namespace chicorylift::ports
{

/// Version of a row or of the whole table service; rises with each transaction.
using revision = std::uint64_t;

/// Where a row lies. Rows of one partition can change in one transaction.
struct row_id
{
    std::string table;
    std::string partition;
    std::string key;
};

/// One row as it was read.
struct row
{
    row_id id;
    std::string value;
    revision version{};
    bool removed = false;
};

/// Condition on a row; version 0 means that it must not exist.
struct row_condition
{
    row_id id;
    revision version{};
};

/// Row to write.
struct row_write
{
    row_id id;
    std::string value;
};

/// Changes that take effect together or not at all.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_id> removals;
};

/// How a commit ended.
enum class commit_state
{
    applied,
    /// A condition did not hold; nothing was written.
    conflict,
    /// The service refused it or was not reached; nothing was written, now or later.
    not_applied,
    /// It may take effect, now or later.
    unknown,
};

/// Outcome of a commit.
struct commit_outcome
{
    commit_state state = commit_state::unknown;
    /// Version of the written rows when applied.
    revision version{};
    /// Present rows of the conditions, on conflict.
    std::vector<row> conflicting_rows;
    std::string message;
};

/// Rows of one answer.
struct row_page
{
    std::vector<row> rows;
    /// Newest version of the service at the time of the answer.
    revision version{};
    /// More rows follow the last one.
    bool truncated = false;
};

/// Transactional table service; all calls return at once and answer on the loop's thread.
class table_service
{
public:
    using commit_receiver = std::function<void(commit_outcome)>;
    /// Fails with store_unavailable, or history_gone for a watch that began too long ago.
    using page_receiver = std::function<void(absl::StatusOr<row_page>)>;

    table_service() = default;
    virtual ~table_service() = default;
    table_service(const table_service&) = delete;
    table_service& operator=(const table_service&) = delete;

    /// Sends a transaction once.
    virtual void commit(const transaction& changes, core::milliseconds patience,
                        commit_receiver on_outcome) = 0;
    /// Reads the rows of a partition from @p first_key on, in the order of their keys.
    virtual void read(const std::string& table, const std::string& partition,
                      const std::string& first_key, std::size_t limit, core::milliseconds patience,
                      page_receiver on_page) = 0;
    /// Waits up to @p wait for rows of a table that changed after @p after.
    virtual void watch(const std::string& table, revision after, core::milliseconds wait,
                       page_receiver on_page) = 0;
};

} // namespace chicorylift::ports
