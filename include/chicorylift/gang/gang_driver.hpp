#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/sched/job.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// State machine, free of I/O, by which a leader starts and stops one attempt of a gang.
namespace chicorylift::gang
{

/// Event that an agent reports about its part, the gang's tasks on one worker.
enum class part_event
{
    reserved,
    refused,
    started,
    checkpointed,
    stopped,
    succeeded,
    failed,
};

/// @return the event's name.
[[nodiscard]] std::string_view to_text(part_event event) noexcept;
/// @return the event with that name, or nothing.
[[nodiscard]] std::optional<part_event> part_event_from(std::string_view text) noexcept;

/// Action: ask the worker's agent to reserve resources for its part.
struct send_reserve
{
    core::worker_id worker;
    std::int64_t tasks{};
};

/// Action: write the row that commits the attempt. No part is started before it is written.
struct write_commit
{
};

/// Action: tell the worker's agent to start its part.
struct send_start
{
    core::worker_id worker;
};

/// Action: tell the worker's agent to stop its part.
struct send_stop
{
    core::worker_id worker;
    /// Write a checkpoint before the tasks are stopped.
    bool checkpoint_first = false;
};

/// Outcome of an attempt, or running.
enum class attempt_result
{
    /// Every part is running or has succeeded.
    running,
    /// The attempt was not committed: no part has run or will run.
    never_started,
    succeeded,
    failed,
    /// The attempt was committed, so parts may have run; none is running any more.
    stopped,
};

/// Action: report to the driver's owner that the attempt runs or has ended.
struct report_result
{
    attempt_result result = attempt_result::running;
    /// First worker that refused or failed its part, if any.
    std::optional<core::worker_id> failed_worker;
};

using gang_action = std::variant<send_reserve, write_commit, send_start, send_stop, report_result>;

/// Resend interval and timeouts of a gang's start and stop.
struct gang_settings
{
    /// Interval at which unanswered requests are resent.
    core::milliseconds repeat = std::chrono::milliseconds{500};
    /// Time until all parts must be reserved, else the attempt is stopped.
    core::milliseconds reserve_timeout = std::chrono::seconds{3};
    /// Time from the commit until all parts must run, else the attempt is stopped.
    core::milliseconds start_timeout = std::chrono::seconds{4};
    /// Time after which the lease of a lost worker has certainly expired, so its part has stopped.
    /// Must exceed the agent's own lease timeout.
    core::milliseconds lease_timeout = std::chrono::seconds{14};
};

/// Drives one attempt: reserves all parts, commits, starts all parts, and stops all parts if any
/// cannot run. The caller passes in events and the time, and carries out take_actions().
class gang_driver
{
public:
    /// Begins a new attempt by reserving all parts.
    gang_driver(std::vector<sched::task_placement> placement, bool checkpointable,
                gang_settings settings, core::instant now);

    /// @return a driver for an attempt that a previous leader committed.
    static gang_driver resumed(std::vector<sched::task_placement> placement, bool checkpointable,
                               gang_settings settings, core::instant now);

    /// Handles an event reported by a worker's agent.
    void part_reported(const core::worker_id& worker, part_event event, core::instant now);
    /// Handles the outcome of write_commit. Call only once it is certain whether the row was
    /// written.
    void commit_completed(bool applied, core::instant now);
    /// Handles the loss of a worker; its part counts as ended after lease_timeout.
    void worker_lost(const core::worker_id& worker, core::instant now);
    /// Stops all parts. During a commit, the stop requests are sent by commit_completed() or the
    /// next resend in tick().
    void stop(core::instant now);
    /// Resends unanswered requests and handles timeouts.
    void tick(core::instant now);

    /// @return the actions added since the last call, in order.
    [[nodiscard]] std::vector<gang_action> take_actions();
    /// @return whether the attempt has ended and its result was reported.
    [[nodiscard]] bool is_finished() const noexcept
    {
        return this->phase == driver_phase::finished;
    }
    /// @return whether the commit has been written.
    [[nodiscard]] bool is_committed() const noexcept { return this->committed; }
    /// @return whether the attempt is in its running phase: all parts started, none being stopped.
    [[nodiscard]] bool is_running() const noexcept { return this->phase == driver_phase::running; }

private:
    enum class driver_phase
    {
        reserving,
        committing,
        starting,
        running,
        stopping,
        finished,
    };

    struct gang_part
    {
        core::worker_id worker;
        std::int64_t tasks{};
        std::optional<part_event> last_event;
        bool lost = false;
        core::instant lost_at{};
    };

    gang_part* find(const core::worker_id& worker) noexcept;
    [[nodiscard]] bool all_report(part_event event) const noexcept;
    [[nodiscard]] static bool has_ended(const gang_part& part) noexcept;
    void resend_requests(core::instant now);
    void advance(core::instant now);
    void advance_starting(core::instant now);
    void advance_stopping(core::instant now);
    void begin_stopping(core::instant now);
    void finish(attempt_result result);

    gang_settings settings;
    bool checkpointable;
    bool committed = false;
    bool part_failed = false;
    driver_phase phase = driver_phase::reserving;
    std::optional<core::worker_id> failed_worker;
    std::vector<gang_part> parts;
    std::vector<gang_action> actions;
    core::instant phase_since;
    core::instant last_resend;
};

} // namespace chicorylift::gang
