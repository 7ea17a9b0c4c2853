#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorylift::batch
{

/// Call that an agent makes to its worker.
struct worker_command
{
    enum class kind
    {
        start,
        stop,
    };
    kind what = kind::start;
    unit_key unit;
    run_number run{};
    std::string payload;
    std::string checkpoint;
};

/// Result of a start call to the worker.
enum class start_result
{
    accepted,
    /// The worker has rejected the start.
    refused,
    /// The worker could not be reached, so that it has not received the start.
    unavailable,
    /// No response: the run may or may not have started.
    unknown,
};

/// A worker's lists of its runs.
struct run_lists
{
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
    /// False if further ends may follow that are not listed yet.
    bool ends_complete = true;
};

/// An agent's table of all runs that may be alive on its worker.
///
/// A start without a response may have taken effect. Its run stays in the table until the worker
/// lists its end, or has acknowledged a stop for it and no longer lists it.
class run_table
{
public:
    using run_key = std::pair<unit_key, run_number>;

    /// Handles a start command from the leader.
    /// @return the call to make, or nothing when the run is in the table or has ended.
    [[nodiscard]] std::optional<worker_command> on_start_command(const worker_command& start,
                                                                 core::instant now);
    /// Handles a stop command from the leader. A stop also bars a run that the worker does not have
    /// yet, so that a delayed start is rejected.
    /// @return the call to make, or nothing when the run is being stopped or never started.
    [[nodiscard]] std::optional<worker_command> on_stop_command(const run_key& key,
                                                                core::instant now);
    /// @param reason why the worker refused the start.
    void on_start_result(const run_key& key, start_result answer, const std::string& reason,
                         core::instant now);
    /// @param acknowledged whether the worker has stopped or barred the run.
    void on_stop_result(const run_key& key, bool acknowledged, core::instant now);
    /// Updates the table from the worker's lists of running and ended runs.
    /// @param requested_at when the call that returned the lists was sent.
    /// @return whether something changed that should be reported to the leader at once.
    bool on_run_lists(const run_lists& lists, core::instant requested_at, core::instant now);
    /// Bars starts without a response: the lease under which the leader ordered them has lapsed,
    /// and the leader may have placed their units elsewhere before it granted the present one.
    void on_lease_renewed_after_lapse(core::instant now);
    /// Clears the table: the worker has restarted and lost all runs.
    void on_worker_restarted();
    /// Ends all runs: the worker's process has ended after it announced its departure.
    /// @return whether there were any.
    bool on_worker_ended();
    /// The leader has received the report of an end that the worker does not list.
    void on_unlisted_end_acknowledged(const run_key& key);

    /// @return calls without a response that are due for a retry; marks them as in flight.
    [[nodiscard]] std::vector<worker_command> take_due_retries(core::instant now);
    /// @return every run that may be alive.
    [[nodiscard]] std::vector<reported_run> runs() const;
    /// @return the ended runs in the worker's list and those that it does not list: runs that never
    ///         started, or that ended with the worker.
    [[nodiscard]] std::vector<reported_end> ends() const;
    /// @return whether runs() and ends() include every run of the worker's process whose end has
    /// not been acknowledged. A table that began with incomplete lists does not.
    [[nodiscard]] bool is_complete() const noexcept { return this->complete; }
    /// @return whether the worker still lists ended runs because their acknowledgement is missing.
    [[nodiscard]] bool has_unacknowledged_ends() const noexcept
    {
        return !this->unacknowledged_ends.empty();
    }
    /// @return whether a run is being stopped or the worker has not confirmed it yet.
    [[nodiscard]] bool has_pending_commands() const noexcept;

private:
    struct entry
    {
        run_phase phase = run_phase::starting;
        bool in_flight = false;
        bool confirmed = false;
        int attempts = 0;
        /// When the worker confirmed the run or acknowledged the stop.
        core::instant confirmed_at{};
        bool stop_acknowledged = false;
        core::instant retry_at{};
        std::string payload;
        std::string start_checkpoint;
        std::string checkpoint;
        std::int64_t percent{};
    };

    struct unlisted_end
    {
        run_outcome outcome = run_outcome::never_started;
        std::string reason;
        std::string checkpoint;
    };

    void mark_never_started(const run_key& key, const std::string& reason);

    std::map<run_key, entry> entries;
    bool complete = false;
    std::vector<reported_end> unacknowledged_ends;
    /// Ends that the leader has not acknowledged.
    std::map<run_key, unlisted_end> unlisted_ends;
};

} // namespace chicorylift::batch
