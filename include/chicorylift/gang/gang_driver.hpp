#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/sched/job.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Pure decisions of a lead that drives one attempt of one gang.
namespace chicorylift::gang
{

/// What an agent reports about its part.
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

/// Asks a worker's agent to set room aside.
struct send_reserve
{
    core::worker_id worker;
    std::int64_t tasks{};
};

/// Writes the row that commits the gang; everything after depends on it.
struct write_commit
{
};

/// Orders a worker's agent to start its part.
struct send_start
{
    core::worker_id worker;
};

/// Orders a worker's agent to stop its part.
struct send_stop
{
    core::worker_id worker;
    bool checkpoint_first = false;
};

/// How an attempt ended, or that it runs.
enum class attempt_result
{
    /// All parts run.
    running,
    /// Nothing has run and nothing will.
    never_started,
    succeeded,
    failed,
    /// Some part may have run; none runs any more.
    stopped,
};

/// Tells the owner of the driver how the attempt stands.
struct report_result
{
    attempt_result result = attempt_result::running;
    std::optional<core::worker_id> failed_worker;
};

using gang_action = std::variant<send_reserve, write_commit, send_start, send_stop, report_result>;

/// Times that bound the steps of a gang's start and stop.
struct gang_settings
{
    core::milliseconds repeat = std::chrono::milliseconds{500};
    core::milliseconds reserve_timeout = std::chrono::seconds{3};
    core::milliseconds start_timeout = std::chrono::seconds{4};
    /// When a silent worker's lease on its part has lapsed for certain.
    core::milliseconds lease_timeout = std::chrono::seconds{14};
};

/// Drives one attempt: reserve everywhere, commit once, start everywhere, stop everywhere.
class gang_driver
{
public:
    /// Begins a new attempt.
    gang_driver(std::vector<sched::task_placement> placement, bool checkpointable,
                gang_settings settings, core::instant now);

    /// @return a driver for an attempt that a former lead committed.
    static gang_driver resumed(std::vector<sched::task_placement> placement, bool checkpointable,
                               gang_settings settings, core::instant now);

    /// Takes in a report of a worker's agent.
    void part_reported(const core::worker_id& worker, part_event event, core::instant now);
    /// Takes in the outcome of write_commit, which must be certain.
    void commit_completed(bool applied, core::instant now);
    /// Takes in that a worker is lost; its lease lapses within the bound.
    void worker_lost(const core::worker_id& worker, core::instant now);
    /// Stops the attempt.
    void stop(core::instant now);
    /// Lets time pass.
    void tick(core::instant now);

    /// @return the steps to carry out since the last call.
    [[nodiscard]] std::vector<gang_action> take_actions();
    /// @return whether all parts have ended.
    [[nodiscard]] bool is_finished() const noexcept
    {
        return this->phase == driver_phase::finished;
    }
    /// @return whether the commit has been written.
    [[nodiscard]] bool is_committed() const noexcept { return this->committed; }
    /// @return whether every part runs or has succeeded.
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
