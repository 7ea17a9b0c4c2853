#include "site/withdrawal_trimmer.hpp"

#include "site/row_codec.hpp"

namespace chicorylift::site
{

namespace
{

// Rows are removed minutes after they were written, so they may be read late.
constexpr core::milliseconds watch_wait{8000};
// A transaction holds 100 entries: one for the leader's row, and a condition and a removal per row.
constexpr std::size_t max_rows_per_write = 49;

} // namespace

withdrawal_trimmer::withdrawal_trimmer(net::event_loop& loop, ports::table_service& store,
                                       support::metrics& metrics, const settings& values)
    : retention(ended_job_retention(values)),
      rows(
          loop, store,
          mirror_settings{withdrawal_table, site_partition, watch_wait, "lead", &metrics},
          [this](const ports::row& row) { this->on_row(row); }, [] {})
{
}

void withdrawal_trimmer::on_row(const ports::row& row)
{
    if (row.removed)
    {
        this->read_at.erase(row.id.key);
        return;
    }
    const core::instant now = core::boot_clock::now();
    this->read_at[row.id.key] = now;
    this->order.emplace_back(now, row.id.key);
}

std::size_t withdrawal_trimmer::add_expired(core::instant now, ports::transaction& changes)
{
    std::size_t count = 0;
    for (auto each = this->order.begin(); each != this->order.end() &&
                                          now - each->first > this->retention &&
                                          count < max_rows_per_write;)
    {
        const auto known = this->read_at.find(each->second);
        if (known == this->read_at.end() || known->second != each->first)
        {
            each = this->order.erase(each);
            continue;
        }
        // The caller may have cancelled again since.
        const ports::row_id row{withdrawal_table, site_partition, each->second};
        changes.conditions.push_back({row, this->rows.version_of(each->second)});
        changes.removals.push_back(row);
        ++count;
        ++each;
    }
    return count;
}

} // namespace chicorylift::site
