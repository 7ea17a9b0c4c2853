#pragma once

#include "net/event_loop.hpp"
#include "ports/table_service.hpp"
#include "support/metrics.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylift::site
{

/// Selects the rows to mirror and bounds their staleness.
struct mirror_settings
{
    std::string table;
    std::string partition;
    /// Longest wait of one watch call; bounds the staleness of the rows.
    core::milliseconds wait = std::chrono::milliseconds{2000};
    /// Component that reads the rows, for the log ("entry" or "lead").
    std::string_view reader;
    /// Counts calls and bytes; none are counted without it.
    support::metrics* metrics = nullptr;
};

/// Decides whether to list a table again instead of receiving its changes, which include versions
/// that others have replaced since.
/// @param changes_bytes size of the response with the changes.
/// @param listing_bytes size of a listing, as far as the rows are known.
[[nodiscard]] bool is_listing_cheaper(std::size_t changes_bytes,
                                      std::size_t listing_bytes) noexcept;

/// Follows the rows of a table partition: lists them once, then watches for changes. Lists them
/// again when the changes are no longer available, or larger than a listing.
///
/// Versions of a row never decrease: a row older than one already seen is ignored.
class mirrored_table
{
public:
    using row_receiver = std::function<void(const ports::row&)>;
    using confirmed_receiver = std::function<void()>;

    /// @param on_row called for each row that is new, changed or removed.
    /// @param on_confirmed called after each response that confirms the rows as up to date.
    mirrored_table(net::event_loop& loop, ports::table_service& service, mirror_settings settings,
                   row_receiver on_row, confirmed_receiver on_confirmed);
    ~mirrored_table();
    mirrored_table(const mirrored_table&) = delete;
    mirrored_table& operator=(const mirrored_table&) = delete;

    /// @return whether the initial listing is complete.
    [[nodiscard]] bool is_loaded() const noexcept;
    /// @return time at which the latest call that confirmed the rows was sent.
    [[nodiscard]] core::instant confirmed_at() const noexcept;
    /// @return when the service last sent a successful response or a part of one.
    [[nodiscard]] core::instant last_answer_at() const noexcept;
    /// @return since when changes are known to exist that have not been received completely.
    [[nodiscard]] std::optional<core::instant> changes_pending_since() const noexcept;
    /// @return time since the first failure after the last success; 0 while calls succeed.
    [[nodiscard]] core::milliseconds failing_for(core::instant now) const noexcept;
    /// @return the version of the table service up to which the rows are known.
    [[nodiscard]] ports::revision version() const noexcept;
    /// @return the version of a row, or 0 if it does not exist.
    [[nodiscard]] ports::revision version_of(const std::string& key) const;
    /// Asks at once whether the rows are up to date, besides a call that may wait for changes.
    void confirm_soon();
    /// Records the version of a row that this process has written, before the watch reports it.
    void note_written(const std::string& key, ports::revision version);

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::site
