#pragma once

#include "net/event_loop.hpp"
#include "ports/table_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicorylift::site
{

/// How a table is followed.
struct mirror_settings
{
    std::string table;
    std::string partition;
    /// Longest wait of one call for changes; bounds the age of what is known.
    core::milliseconds wait = std::chrono::milliseconds{2000};
};

/// Keeps a process informed of a table's rows: lists them once, then follows the changes.
///
/// Never goes back: a row of a lower version than one seen is passed over.
class mirrored_table
{
public:
    using row_receiver = std::function<void(const ports::row&)>;
    using confirmed_receiver = std::function<void()>;

    /// @param on_row called for each row that is new, changed or removed.
    /// @param on_confirmed called each time the rows were confirmed to be all there are.
    mirrored_table(net::event_loop& loop, ports::table_service& service, mirror_settings settings,
                   row_receiver on_row, confirmed_receiver on_confirmed);
    ~mirrored_table();
    mirrored_table(const mirrored_table&) = delete;
    mirrored_table& operator=(const mirrored_table&) = delete;

    /// @return whether all rows have been read once.
    [[nodiscard]] bool is_loaded() const noexcept;
    /// @return when the call was sent that last confirmed the rows.
    [[nodiscard]] core::instant confirmed_at() const noexcept;
    /// @return when a call was last answered with success.
    [[nodiscard]] core::instant last_answer_at() const noexcept;
    /// @return how long calls have failed without one that succeeded; 0 after a success.
    [[nodiscard]] core::milliseconds failing_for(core::instant now) const noexcept;
    /// @return the version of a row, or 0 when there is none.
    [[nodiscard]] ports::revision version_of(const std::string& key) const;
    /// Notes a row that this process has written, so that its own writes are known at once.
    void note_written(const std::string& key, ports::revision version);

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::site
