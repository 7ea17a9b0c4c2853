#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chicorylift::batch
{

/// What an agent asks of its worker next.
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

/// How the worker took a start.
enum class start_result
{
    accepted,
    refused,
    unavailable,
    unknown,
};

/// Every run that may be alive on one worker, as its agent knows it.
///
/// An order without an answer stays possible until the worker has acknowledged a stop for it.
class run_table
{
public:
    using run_key = std::pair<unit_key, run_number>;

    /// Takes in an order to start.
    /// @return the action, or nothing when the run is known already.
    [[nodiscard]] std::optional<worker_command> on_start_command(const worker_command& start,
                                                                 core::instant now);
    /// Takes in an order to stop; it also bars a run that is not there yet.
    [[nodiscard]] std::optional<worker_command> on_stop_command(const run_key& key,
                                                                core::instant now);
    void on_start_result(const run_key& key, start_result answer, const std::string& reason,
                         core::instant now);
    /// @param acknowledged whether the worker has carried the stop out or barred the run.
    void on_stop_result(const run_key& key, bool acknowledged, core::instant now);
    /// Takes in the worker's lists.
    /// @param asked when the call that brought them was sent.
    /// @return whether something changed that the lead should hear at once.
    bool on_run_lists(const std::vector<reported_run>& running,
                      const std::vector<reported_end>& ended, core::instant asked,
                      core::instant now);
    /// The worker has forgotten everything.
    void on_worker_restarted();
    /// The lead has heard that a run never started.
    void on_not_started_acknowledged(const run_key& key);

    /// @return orders that are due again because their answer was lost.
    [[nodiscard]] std::vector<worker_command> take_due_retries(core::instant now);
    /// @return every run that may be alive.
    [[nodiscard]] std::vector<reported_run> runs() const;
    /// @return ends in the worker's list and runs that never started.
    [[nodiscard]] std::vector<reported_end> ends() const;
    /// @return whether the worker keeps ends that have not been noted.
    [[nodiscard]] bool has_unacknowledged_ends() const noexcept
    {
        return !this->unacknowledged_ends.empty();
    }
    /// @return whether an order has no answer yet.
    [[nodiscard]] bool has_pending_commands() const noexcept;

private:
    struct entry
    {
        run_phase phase = run_phase::starting;
        bool in_flight = false;
        bool confirmed = false;
        int tries = 0;
        /// When the worker confirmed the run or acknowledged the stop.
        core::instant confirmed_at{};
        bool stop_acknowledged = false;
        core::instant retry_at{};
        std::string payload;
        std::string start_checkpoint;
        std::string checkpoint;
        std::int64_t percent{};
    };

    void never_started(const run_key& key, const std::string& reason);

    std::map<run_key, entry> entries;
    std::vector<reported_end> unacknowledged_ends;
    std::map<run_key, std::string> unstarted;
};

} // namespace chicorylift::batch
