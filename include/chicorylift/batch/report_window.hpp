#pragma once

#include <cstdint>

namespace chicorylift::batch
{

/// Limits an agent to one unanswered report, besides those that are due at the report interval.
///
/// The leader's answers thus set the pace of reports about changes: a leader that falls behind gets
/// fewer of them, each with more changes.
class report_window
{
public:
    /// Asks whether a report about a change may be sent now. If not, it is remembered as due.
    [[nodiscard]] bool may_send() noexcept;
    void on_sent(std::uint64_t sequence) noexcept;
    /// Handles the leader's answer to the report @p sequence.
    /// @return whether a report about a change is due.
    [[nodiscard]] bool on_answered(std::uint64_t sequence) noexcept;
    /// Forgets the unanswered report, because there is a new leader.
    void reset() noexcept;

private:
    /// 0 if the latest report has been answered.
    std::uint64_t unanswered{};
    bool due = false;
};

} // namespace chicorylift::batch
