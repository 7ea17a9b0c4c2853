#pragma once

#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <map>

namespace chicorylift::batch
{

/// Lease up to which an agent may let its worker's runs continue.
///
/// When the leader acknowledges a report, the lease is extended to its length after that report was
/// sent, less the time since the leader was last confirmed. The leader receives the report later
/// than that, so the lease has ended once its length has passed since the leader received the last
/// report.
class worker_lease
{
public:
    /// @param length duration of the lease, from the sending of the acknowledged report.
    explicit worker_lease(core::milliseconds length) : length(length) {}

    /// Records when a report was sent.
    void on_report_sent(std::uint64_t sequence, core::instant now);
    /// Extends the lease after the leader has acknowledged a report; ignores unknown reports.
    /// @param confirmed_age how long before its acknowledgement the leader last knew that no later
    /// leader was in force. The lease ends that much earlier, so that it ends in time for a leader
    /// that has taken over since; see leadership_confirmation.
    void on_report_acknowledged(std::uint64_t sequence, core::milliseconds confirmed_age);
    /// Discards the worker's clock after a restart of the worker, which begins a new clock.
    void forget_clock() noexcept { this->clock = {}; }
    /// Records the worker's clock from a response.
    /// @param worker_clock the clock in the response.
    /// @param received when the response arrived.
    void on_clock(core::milliseconds worker_clock, core::instant received);

    /// @return the end of the lease; in the past when there is no lease.
    [[nodiscard]] core::instant expires_at() const noexcept { return this->expiry; }
    /// @return the end of the lease on the worker's clock, or 0 when the lease has expired or the
    /// worker's clock is unknown.
    [[nodiscard]] core::milliseconds expiry_on_worker_clock(core::instant now) const noexcept;

private:
    core::milliseconds length;
    core::instant expiry{};
    std::map<std::uint64_t, core::instant> sent;
    core::milliseconds clock{};
    core::instant clock_received{};
};

} // namespace chicorylift::batch
