#include "chicorylift/batch/report_pacing.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

// A leader of 0.15 cores answers about 1000 messages a second; most are caused by changes.
constexpr std::size_t periodic_reports_per_second = 300;
// An interval of more than a third of the lease would let a single lost answer end it.
constexpr core::milliseconds max_interval{1400};
constexpr std::size_t agents_per_delay_ms = 8;
// Well below the time in which urgent work must start.
constexpr core::milliseconds max_delay{40};
constexpr core::milliseconds scheduling_margin{100};

} // namespace

report_pacing pacing_for(std::size_t agents) noexcept
{
    constexpr std::size_t milliseconds_per_second = 1000;
    const report_pacing base;
    report_pacing pacing;
    const core::milliseconds affordable{
        static_cast<std::int64_t>(agents * milliseconds_per_second / periodic_reports_per_second)};
    pacing.interval = std::clamp(affordable, base.interval, max_interval);
    const core::milliseconds delay{static_cast<std::int64_t>(agents / agents_per_delay_ms)};
    pacing.report_delay = std::clamp(delay, base.report_delay, max_delay);
    pacing.reply_delay = pacing.report_delay;
    pacing.election_timeout = pacing.interval * 2 + scheduling_margin;
    return pacing;
}

} // namespace chicorylift::batch
