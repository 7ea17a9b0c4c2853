#pragma once

#include "ports/table_service.hpp"
#include "site/mirrored_table.hpp"
#include "site/settings.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicorylift::site
{

/// Follows the cancellations of jobs that were not stored, and tells which have stood for long
/// enough.
class withdrawal_trimmer
{
public:
    withdrawal_trimmer(net::event_loop& loop, ports::table_service& store,
                       support::metrics& metrics, const settings& values);

    /// Adds the removal of expired rows, as many as fit into one transaction, to @p changes.
    /// @return the number of rows.
    std::size_t add_expired(core::instant now, ports::transaction& changes);

private:
    void on_row(const ports::row& row);

    core::milliseconds retention;
    /// When this process first read each row's present version, by key.
    std::map<std::string, core::instant> read_at;
    /// The same, oldest first; entries whose row has been written again or removed are outdated.
    std::deque<std::pair<core::instant, std::string>> order;
    mirrored_table rows;
};

} // namespace chicorylift::site
