#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>
#include <set>
#include <unordered_map>

/// In-memory state of a site's scheduler: jobs, runs and workers.
namespace chicorylift::batch
{

/// One unit of one step of one occurrence.
struct unit_state
{
    /// Run that currently holds resources for the unit; 0 when there is none.
    run_number run{};
    /// Newest known checkpoint; empty when there is none.
    std::string checkpoint;
    /// Failed runs; their number is limited by the queue's `max_attempts`.
    std::set<run_number> failed;
    /// Workers that the unit failed on; other workers are tried first.
    std::set<agent_id> failed_on;
    /// Number of runs that were stopped because they stalled; each doubles the stall timeout of the
    /// next run.
    int stall_count = 0;
    /// Runs whose lease expired; later reports about them are ignored.
    std::set<run_number> expired_runs;
    /// Earliest time of the next start.
    core::instant not_before{};
    /// Since when the unit could run and has had no run that reached a worker.
    std::optional<core::instant> idle_since;
};

/// The units of one step. A unit that has neither run nor failed nor saved a checkpoint takes one
/// bit, so that wide steps cost little before and after they run.
class unit_table
{
public:
    explicit unit_table(std::size_t size) : count(size) {}

    [[nodiscard]] std::size_t size() const noexcept { return this->count; }
    [[nodiscard]] std::size_t done_count() const noexcept { return this->done; }
    [[nodiscard]] bool is_done(std::size_t index) const noexcept
    {
        return !this->done_bits.empty() && this->done_bits[index];
    }
    /// @return the unit's state; that of a unit that has never run if none is kept.
    [[nodiscard]] const unit_state& operator[](std::size_t index) const;
    /// @return the unit's state, to be changed.
    unit_state& touch(std::size_t index);
    /// Marks a unit as done; its state is kept until it has no run.
    /// @return whether it was not done before.
    bool mark_done(std::size_t index);
    /// Ends a unit's run.
    /// @param reached_worker whether the worker may have begun the run.
    void end_run(std::size_t index, bool reached_worker);
    /// @return the units whose state is kept, by index.
    [[nodiscard]] const std::map<std::size_t, unit_state>& touched() const noexcept
    {
        return this->states;
    }
    /// @return number of units that could run now.
    [[nodiscard]] std::size_t idle_count(core::instant now) const;
    /// @return the first units that could run now, at most @p limit.
    [[nodiscard]] std::vector<std::int64_t> first_idle(core::instant now, std::size_t limit);
    /// Records that a unit could run now.
    /// @return since when it could.
    core::instant note_idle(std::size_t index, core::instant now);

private:
    [[nodiscard]] static bool is_idle(const unit_state& unit, core::instant now) noexcept
    {
        return unit.run == 0 && unit.not_before <= now;
    }

    std::size_t count;
    std::size_t done{};
    /// Empty until a unit is done.
    std::vector<bool> done_bits;
    std::map<std::size_t, unit_state> states;
    /// unit_state::idle_since of the units without a kept state.
    std::optional<core::instant> idle_since;
    /// All units before this one are done.
    std::size_t first_open{};
};

/// One step of one occurrence.
struct step_state
{
    explicit step_state(std::size_t units) : units(units) {}

    unit_table units;
    /// Number of the step's dependencies, in their order, that are known to be done.
    std::size_t dependencies_met{};
    /// When the step became ready to run, as the first pass after that saw it. Reset when one of
    /// its runs ends.
    std::optional<core::instant> ready_since;

    [[nodiscard]] bool is_done() const noexcept
    {
        return this->units.done_count() == this->units.size();
    }
};

/// Time for which a job has had a unit that could run and does not.
struct job_wait
{
    std::optional<core::instant> since;
    /// When the wait is recorded next.
    core::instant next_line{};
    /// What the job waited for at the last check.
    enum class object
    {
        agents,
        room,
        run,
    };
    object waits_for = object::room;
};

/// A job and its progress.
struct job_state
{
    job_spec spec;
    /// The queue's policy in the newest configuration.
    queue_policy policy;
    std::map<std::int64_t, std::vector<step_state>> occurrences;
    /// All occurrences before this one have been created.
    std::int64_t next_occurrence{};
    /// All occurrences before this one are done.
    std::int64_t first_open_occurrence{};
    /// Units of all steps and occurrences, and those of them that are done.
    std::int64_t unit_count{};
    std::int64_t done_count{};
    /// Of the specification, which does not change; see job_spec.
    core::milliseconds critical_path{};
    std::int64_t initial_accelerators{};
    /// When this leader first saw the job.
    core::instant arrived{};
    /// The job's age then, by the time of day; not set before it is first needed.
    std::optional<core::milliseconds> age_at_arrival;
    /// The job was hopeless when one of its groups last waited; see urgency_of().
    bool was_hopeless = false;
    job_origin origin = job_origin::earlier_leader;
    std::uint64_t accepted_version{};
    job_outcome outcome = job_outcome::unfinished;
    bool cancelled = false;
    /// Members of `agents` that are persisted.
    std::set<agent_id> persisted_agents;
    /// Agents whose workers may have run a unit of the job; an agent must be persisted before a
    /// unit starts on its worker.
    std::set<agent_id> agents;
    /// Agents that may still run units started by an earlier leader. The job starts no units until
    /// the set is empty.
    std::set<agent_id> unreconciled_agents;
    /// Version of the latest change; incremented by each change that must be persisted.
    std::uint64_t version{};
    std::uint64_t persisted_version{};
    /// Version of the change that last added an agent.
    std::uint64_t agents_version{};
    /// A checkpoint has changed since the last check for unpersisted checkpoints.
    bool checkpoint_dirty = false;
    std::int64_t active_runs{};
    job_wait wait;

    [[nodiscard]] bool is_active() const noexcept
    {
        return this->outcome == job_outcome::unfinished && !this->cancelled;
    }
};

/// One unit of a run.
struct run_member_state
{
    std::int64_t index{};
    agent_id agent;
    /// worker_state::index of the agent's worker.
    std::size_t worker{};
    run_phase phase = run_phase::starting;
    bool command_sent = false;
    bool ended = false;
    bool confirmed = false;
    core::instant last_command_at{};
    /// When the member was first missing from the worker's reports.
    std::optional<core::instant> missing_since;
    std::string checkpoint;
    std::int64_t progress_percent{};
    /// When the worker was first seen to have started the unit; valid if `confirmed`.
    core::instant confirmed_at{};
    /// When `progress_percent` last changed.
    core::instant last_progress_at{};
    /// Progress at one time.
    struct progress_mark
    {
        std::int64_t percent{};
        core::instant at{};
    };
    /// Since when the worker does the whole work: when the start was first sent. Unset for runs
    /// that resume from a checkpoint or were adopted from an earlier leader.
    std::optional<core::instant> whole_since;
    /// First progress that was reported to this leader.
    std::optional<progress_mark> first_progress;
    /// Up to here, progress has been used to estimate the worker's speed.
    progress_mark speed_mark;
    /// Sum of the progress that was used so.
    std::int64_t compared_percent{};
};

/// @return the steps of one occurrence, which is created if it does not exist.
std::vector<step_state>& get_or_create_occurrence(job_state& job, std::int64_t occurrence);

/// Marks a unit as done.
/// @return whether it was not done before.
bool mark_unit_done(job_state& job, step_state& step, std::size_t index);

/// @return whether all steps that the step depends on are done.
[[nodiscard]] bool has_met_dependencies(std::vector<step_state>& steps, const step_spec& spec,
                                        step_state& step);

/// @return whether the indices of the unit are within the job's bounds.
[[nodiscard]] bool has_unit(const job_state& job, const unit_key& unit);

/// @return the number as an index; it must not be negative.
[[nodiscard]] inline std::size_t to_index(std::int64_t index) noexcept
{
    return static_cast<std::size_t>(index);
}

/// One start of a unit alone or of a whole gang.
struct run_state
{
    run_number number{};
    core::job_id job;
    std::int64_t occurrence{};
    std::int64_t step{};
    std::vector<run_member_state> members;
    resource_amount per_unit;
    bool gang = false;
    bool stopping = false;
    /// False while a gang that was adopted from an earlier leader has members that no worker has
    /// reported yet.
    bool gang_complete = true;
    /// When the run was placed, or adopted from an earlier leader.
    core::instant started_at{};
    bool adopted = false;
    /// Newest checkpoint of any member; valid for the whole run.
    std::string newest_checkpoint;
    /// When `newest_checkpoint` was received.
    core::instant saved_at{};
    /// Why the run is stopping; valid if `stopping`.
    loss_reason stop_reason = loss_reason::stopped;
    /// Its run time has been recorded; a gang's is once.
    bool learned = false;

    [[nodiscard]] bool has_ended() const noexcept
    {
        for (const run_member_state& member : this->members)
        {
            if (!member.ended)
            {
                return false;
            }
        }
        return true;
    }
};

/// Recent failures on a worker, which decide on its quarantine.
struct worker_failure_history
{
    /// Number of consecutive failures.
    std::int64_t failures{};
    core::instant quarantined_until{};
    core::milliseconds next_quarantine = std::chrono::milliseconds{2000};
};

/// An agent and its worker.
struct worker_state
{
    agent_id agent;
    /// Position in lists with one entry per worker; workers are never removed.
    std::size_t index{};
    worker_info info;
    bool reported = false;
    /// Complete run lists were received since this leader took over, or since the worker was lost.
    bool reconciled = false;
    bool lost = false;
    bool agent_stopping = false;
    /// The worker's availability zone is evacuated.
    bool zone_evacuated = false;
    /// When the worker's zone was restored to service after an evacuation that this leader saw.
    std::optional<core::instant> zone_restored_at;
    core::instant last_report_at{};
    /// When the run lists of the last report were read from the worker.
    core::instant lists_read_at{};
    core::instant last_renewal_at{};
    /// Ended runs that the worker must keep until their job is persisted: sequence number to job
    /// and version of its change.
    std::map<std::uint64_t, std::pair<core::job_id, std::uint64_t>> pending_ends;
    /// Highest sequence number of an ended run that was processed.
    std::uint64_t highest_end{};
    worker_failure_history failure_history;
    /// See run_time_model::speed_of(); 1 unless run times are learned.
    double speed = 1;
    /// Runs with members on the worker that have not been removed.
    std::set<run_number> runs;
};

/// Units that are placed together.
struct placement_group
{
    job_state* job{};
    std::int64_t occurrence{};
    std::int64_t step{};
    /// Indices of the units; several only for a gang.
    std::vector<std::int64_t> units;
    core::instant waiting_since{};
    /// See unit_state::idle_since; bounds the waits for better room than there is.
    core::instant idle_since{};
    /// Groups with a lower rank are placed first.
    double rank{};
    bool guaranteed = false;
    /// The job's latency objective can no longer be met.
    bool objective_missed = false;
    /// The job has waited long enough to get a backfill reservation; see
    /// `placement_weights::reservation_threshold`.
    bool reservation_due = false;
    /// Work was stopped to make room for the group. Other groups' backfill reservations do not
    /// apply to it until it starts.
    bool room_promised = false;
    /// The workers of the group's service could not hold it if they were empty. It stands for all
    /// units of its step, and is not placed.
    bool exceeds_room = false;
};

/// One amount per worker, by worker_state::index.
using resources_by_worker = std::vector<resource_amount>;

/// Worker on which a unit is placed.
struct unit_placement
{
    std::int64_t index{};
    agent_id agent;
    /// worker_state::index of the agent's worker.
    std::size_t worker{};
};

} // namespace chicorylift::batch
