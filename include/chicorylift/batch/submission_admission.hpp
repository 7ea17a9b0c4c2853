#pragma once

#include "chicorylift/batch/job.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

/// Admission of submissions at an entry.
///
/// Answers more submissions than the store can take or an organisation's share of the site can
/// serve. Owns no clock.
namespace chicorylift::batch
{

/// Bounds on what an entry takes; 0 disables a bound.
struct admission_limits
{
    /// Submissions that are being written to the store.
    std::size_t max_pending_submissions{};
    /// Queued jobs of one organisation that go before a new one.
    std::size_t max_queued_per_organisation{};
    /// Memory that a leader may need for all unfinished jobs. Those of one organisation may take
    /// half of it.
    std::size_t max_state_bytes{};
};

/// Counts events over a sliding window.
class event_rate
{
public:
    /// Length of the window.
    static constexpr core::milliseconds window = std::chrono::seconds{20};

    void record(core::instant now);
    /// @return number of events in the window.
    [[nodiscard]] std::uint64_t count(core::instant now) const;

private:
    static constexpr std::size_t slots = 20;
    struct slot
    {
        std::int64_t number = -1;
        std::uint64_t count{};
    };
    std::array<slot, slots> counts{};
};

/// What an entry knows when a submission arrives.
struct admission_load
{
    std::size_t pending_submissions{};
    /// Submissions that were written within `event_rate::window`.
    std::uint64_t written{};
    /// Jobs of the organisation that are at least as urgent and have not been started.
    std::size_t queued{};
    /// Jobs of the organisation, of these priorities, that were started within the window.
    std::uint64_t started{};
    /// The entry has followed the job rows for the whole window.
    bool starts_known = false;
    /// Time after acceptance beyond which the job is worth nothing to its caller; 0 for a job that
    /// must not be refused for its organisation's backlog.
    core::milliseconds lapse{};
    /// Memory that a leader needs for the unfinished jobs of all organisations, for those of the
    /// job's own, and for the job; see batch::state_bytes().
    std::size_t state_bytes{};
    std::size_t own_state_bytes{};
    std::size_t job_bytes{};
};

/// Whether a submission is taken, and if not, why.
struct admission_decision
{
    bool admitted = true;
    /// Names the bound and the values; empty if admitted.
    std::string reason;
    /// Rate at which the backlog drains, in jobs per second.
    double drain_rate{};
};

[[nodiscard]] admission_decision admit_submission(const admission_limits& limits,
                                                  const admission_load& load);

/// @return the lapse of a job by its policy, or 0 if its organisation's backlog does not decide
/// when
///         it runs: a scheduled or long-running job, or urgent work of an organisation that has a
///         guarantee.
[[nodiscard]] core::milliseconds lapse_of(const job_spec& job,
                                          std::int64_t guaranteed_accelerators);

/// Tells refused callers when to come back, so that they return at the rate at which the backlog
/// drains.
class retry_schedule
{
public:
    static constexpr core::milliseconds min_delay = std::chrono::seconds{1};
    static constexpr core::milliseconds max_delay = std::chrono::seconds{30};

    /// @param jitter from 0 to 1; spreads callers that come too late for their own slot.
    [[nodiscard]] core::milliseconds next(core::instant now, double drain_rate, double jitter);

private:
    core::instant last{};
};

} // namespace chicorylift::batch
