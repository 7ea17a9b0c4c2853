#pragma once

#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <map>

namespace chicorylift::batch
{

/// How long an agent may keep its worker's work alive.
///
/// The lead's answer to a report extends the lease from the moment at which that report was sent.
/// The lead saw the report later than that, so it can tell when the lease ends at the latest.
class worker_lease
{
public:
    /// @param length time that one answer of the lead is good for.
    explicit worker_lease(core::milliseconds length) : length(length) {}

    /// Notes that a report was sent.
    void on_report_sent(std::uint64_t sequence, core::instant now);
    /// Takes in the lead's answer to a report; an unknown report changes nothing.
    void on_report_acknowledged(std::uint64_t sequence);
    /// Notes the worker's clock as an answer to a call that was sent at @p sent shows it.
    /// The worker has begun a new life, with a clock of its own.
    void forget_clock() noexcept { this->clock = {}; }
    void on_clock(core::milliseconds worker_clock, core::instant received);

    /// @return when the work may run until; the past when there is no lease.
    [[nodiscard]] core::instant expires_at() const noexcept { return this->expiry; }
    /// @return the lease's end on the worker's clock, or 0 when nothing may be granted now.
    [[nodiscard]] core::milliseconds expiry_on_worker_clock(core::instant now) const noexcept;

private:
    core::milliseconds length;
    core::instant expiry{};
    std::map<std::uint64_t, core::instant> sent;
    core::milliseconds clock{};
    core::instant clock_read{};
};

} // namespace chicorylift::batch
