#pragma once

#include "chicorylift/core/time.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Interfaces to external services; implemented in platform/.
namespace chicorylift::ports
{

/// Version of a row or of the whole table service; increases with each transaction.
using revision = std::uint64_t;

/// Address of a row. A transaction covers rows of a single partition, across tables.
struct row_id
{
    std::string table;
    std::string partition;
    std::string key;
};

/// Row returned by a read or a watch.
struct row
{
    row_id id;
    std::string value;
    revision version{};
    bool removed = false;
};

/// Requires that a row has this version; version 0 requires that it does not exist.
struct row_condition
{
    row_id id;
    revision version{};
};

/// Write of one row, which creates or replaces it.
struct row_write
{
    row_id id;
    std::string value;
};

/// Changes that are applied atomically.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_id> removals;
};

/// Result of a commit.
enum class commit_state
{
    applied,
    /// A condition did not hold; nothing was written.
    conflict,
    /// Rejected, or the service is unreachable; nothing is written, now or later.
    not_applied,
    /// No definite answer; the transaction may take effect, now or later.
    unknown,
};

/// Result of a commit with its details.
struct commit_outcome
{
    commit_state state = commit_state::unknown;
    /// Version of the written rows; set when applied.
    revision version{};
    /// Current rows named by the conditions; set on conflict.
    std::vector<row> conflicting_rows;
    std::string message;
};

/// Size and arrival of a response. Times count from when its call was made.
struct page_transfer
{
    std::size_t body_bytes{};
    core::milliseconds first_byte{};
    core::milliseconds complete{};
    /// Time that decoding the rows took after that.
    core::milliseconds decoding{};
};

/// Rows of one response.
struct row_page
{
    page_transfer transfer;
    std::vector<row> rows;
    /// Latest version of the service at the time of the response.
    revision version{};
    /// Whether more rows follow the last one.
    bool truncated = false;
};

/// Part of a response that has arrived.
struct page_extent
{
    std::size_t received_bytes{};
    std::size_t expected_bytes{};
};

/// Client of a transactional table service.
///
/// Calls do not block; callbacks run on the event loop's thread.
class table_service
{
public:
    using commit_receiver = std::function<void(commit_outcome)>;
    /// Fails with store_unavailable, or with not_found if the service has discarded the changes
    /// since a watch's revision.
    using page_receiver = std::function<void(absl::StatusOr<row_page>)>;
    /// Called while a page arrives; false gives it up, and the call fails with store_unavailable.
    using extent_receiver = std::function<bool(const page_extent&)>;

    table_service() = default;
    virtual ~table_service() = default;
    table_service(const table_service&) = delete;
    table_service& operator=(const table_service&) = delete;

    /// Sends a transaction once, without retries; @p timeout bounds the wait for the response.
    virtual void commit(const transaction& changes, core::milliseconds timeout,
                        commit_receiver on_outcome) = 0;
    /// Reads the rows of a partition in key order, starting at @p first_key (inclusive).
    /// @param timeout limit on the wait for the response to begin.
    /// @param on_extent may be empty.
    virtual void read(const std::string& table, const std::string& partition,
                      const std::string& first_key, std::size_t limit, core::milliseconds timeout,
                      page_receiver on_page, extent_receiver on_extent) = 0;
    /// Long-polls up to @p wait for rows of a table that changed after revision @p after. A row
    /// that changed several times is returned as often.
    /// @param on_extent may be empty.
    virtual void watch(const std::string& table, revision after, core::milliseconds wait,
                       page_receiver on_page, extent_receiver on_extent) = 0;
};

} // namespace chicorylift::ports
